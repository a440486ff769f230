// State of workers and of the runs that may be on them.

#include "DispatchState.h"

#include <algorithm>

namespace amaranthwind::dispatch {

namespace {

/** A worker is avoided after this many failures without a completed run. */
constexpr std::uint32_t kSuspectFailureStreak = 2;
/**
 * How long a suspect worker is avoided; multiplied by the number of failures
 * after the first.
 */
constexpr base::Duration kSuspectInterval = std::chrono::seconds(4);
constexpr std::uint32_t kMaxSuspectMultiplier = 8;
/**
 * Part of DispatcherOptions::maxStartAge that must be left when a start order
 * is sent: the order's way to the agent, and two attempts to start the run.
 */
constexpr base::Duration kStartOrderTime = std::chrono::milliseconds(500);
/**
 * How long a worker is avoided after a failed start; doubled for each further
 * one in a row. A gang loses all of its starts to one worker that refuses, and
 * best fit would choose the same worker again.
 */
constexpr base::Duration kStartFailureBackoff = std::chrono::milliseconds(500);
constexpr std::uint32_t kMaxStartFailureDoublings = 2;
/**
 * Limits of the start orders to a worker whose outcome is not known yet. More
 * would exceed the queues on their way, which refuse them or break the
 * connection.
 */
constexpr std::size_t kMaxAwaitedStarts = 256;
constexpr std::size_t kMaxAwaitedBytes = std::size_t{ 1024 } * 1024;

/** The runs that a report names, for repeated search. */
class ReportedRuns
{
public:
  explicit ReportedRuns(const WorkerReport& aReport)
  {
    this->runs.reserve(aReport.running.size() + aReport.ended.size());
    for (const auto& running : aReport.running) {
      this->runs.push_back(&running.run);
    }
    for (const auto& end : aReport.ended) {
      this->runs.push_back(&end.run);
    }
    if (!std::is_sorted(this->runs.begin(), this->runs.end(), IsBefore)) {
      std::sort(this->runs.begin(), this->runs.end(), IsBefore);
    }
  }

  bool Contains(const job::TaskRun& aRun) const
  {
    return std::binary_search(
      this->runs.begin(), this->runs.end(), &aRun, IsBefore);
  }

private:
  static bool IsBefore(const job::TaskRun* aLeft, const job::TaskRun* aRight)
  {
    return *aLeft < *aRight;
  }

  std::vector<const job::TaskRun*> runs;
};

/** Returns true if a task of the step is not on a worker. */
bool
HasIdleTask(const Step& aStep)
{
  return std::any_of(
    aStep.tasks.begin(), aStep.tasks.end(), [](const Task& aTask) {
      return aTask.phase == Phase::Idle;
    });
}

} // namespace

bool
Worker::HasRoomForStart() const noexcept
{
  return this->awaitedStarts.size() < kMaxAwaitedStarts &&
         this->awaitedBytes < kMaxAwaitedBytes;
}

void
Dispatcher::State::HandleReport(const WorkerReport& aReport,
                                SessionId aSession,
                                base::Duration aQueueTime)
{
  Worker& worker = this->workers[aReport.agent];
  if (aSession < worker.session) {
    return;
  }
  if (aSession > worker.session) {
    worker.session = aSession;
    worker.lastOrderBeforeSession = this->lastOrder;
  }
  worker.agent = aReport.agent;
  worker.receivedOrder = aReport.receivedOrder;
  if (worker.info && aReport.worker &&
      aReport.worker->life.born < worker.info->life.born) {
    // Sent on an earlier connection, before the worker was replaced; or the
    // worker started after its clock was set back. The grant that answers the
    // report extends no run of the known worker, which therefore expires if
    // all further reports are like this one.
    return;
  }
  worker.reportedAt = this->callTime.now - aQueueTime;
  worker.grantExpiresAt = this->callTime.now + this->options.maxGrantDuration;
  this->HandlePastEnds(worker, aReport);
  if (!aReport.worker) {
    if (worker.info) {
      this->observer.OnWorkerChanged(worker.agent, "left");
      this->EndIncarnation(worker, "worker left");
      worker.info.reset();
    }
    return;
  }
  this->SetWorker(worker, *aReport.worker);
  this->UpdateColdness(worker);
  std::uint64_t lastEnd = 0;
  for (const auto& end : aReport.ended) {
    this->HandleEnd(worker, worker.info->life, end);
    lastEnd = std::max(lastEnd, end.number);
  }
  worker.lastEnd = std::max(worker.lastEnd, lastEnd);
  this->HandleAllRunning(worker, aReport);
  this->RuleOutLateStarts(worker, aReport);
  if (!aReport.mayHaveMoreEnds) {
    this->Reconcile(worker, aReport);
  }
  if (lastEnd > 0) {
    // Sent only after all changes made so far are durable, because the worker
    // discards an end once it is acknowledged.
    this->unwrittenAcks.push_back({ worker.agent, worker.info->life, lastEnd });
  }
}

void
Dispatcher::State::SetWorker(Worker& aWorker, const WorkerInfo& aInfo)
{
  if (aWorker.info && aWorker.info->life == aInfo.life) {
    if (aWorker.info->isDraining != aInfo.isDraining) {
      this->observer.OnWorkerChanged(aWorker.agent,
                                     aInfo.isDraining ? "draining" : "ready");
      this->mustSchedule = true;
    }
    const bool isMoved = aWorker.info->zone != aInfo.zone;
    aWorker.info = aInfo;
    if (isMoved) {
      this->mustSchedule = true;
      this->WithdrawEvacuatedPlacements();
    }
    return;
  }
  if (aWorker.info) {
    this->EndIncarnation(aWorker, "worker restarted");
  }
  this->observer.OnWorkerChanged(aWorker.agent, "joined");
  aWorker.info = aInfo;
  aWorker.lastEnd = 0;
  aWorker.failureStreak = 0;
  aWorker.avoidUntil = {};
  aWorker.startFailures = 0;
  aWorker.coldUntil = {};
  this->AdoptInheritedTasks(aWorker);
  this->mustSchedule = true;
}

void
Dispatcher::State::AdoptInheritedTasks(Worker& aWorker)
{
  if (!this->hasInheritedTasks) {
    return;
  }
  for (auto& [id, job] : this->jobs) {
    for (auto& [key, step] : job.steps) {
      for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
        Task& task = step.tasks[i];
        if (!task.IsOnWorker() || !task.agent.IsEmpty()) {
          continue;
        }
        if (task.incarnation == aWorker.info->life) {
          task.agent = aWorker.agent;
          this->AllocateResources(
            aWorker,
            { { step.id, i }, task.run },
            RequiredResources(job.spec->steps[key.second]));
          if (job.spec->steps[key.second].isGang && HasIdleTask(step)) {
            this->RequestStop(step, i, "gang member lost");
          }
        } else if (task.placedOn == aWorker.agent &&
                   task.incarnation.id != aWorker.info->life.id &&
                   task.incarnation.born < aWorker.info->life.born) {
          // A VM has one worker at a time; the report may be from before the
          // worker that the task was placed on. Orders name the worker's id, so
          // a late order has no effect on a successor with another id. One with
          // the same id might execute it, so its lease has to expire first.
          this->MarkLost(step, i, "worker was replaced on its VM");
        }
      }
    }
  }
}

void
Dispatcher::State::HandlePastEnds(Worker& aWorker, const WorkerReport& aReport)
{
  std::map<ledger::WorkerIncarnation, std::uint64_t> lastEnds;
  for (const auto& [life, end] : aReport.pastEnds) {
    std::uint64_t& lastEnd = lastEnds[life];
    lastEnd = std::max(lastEnd, end.number);
    const Task* task = this->FindRun(end.run);
    const bool isOnThisLife =
      task != nullptr && task->IsOnWorker() && task->incarnation == life;
    // Any other run is lost however it has ended.
    if (isOnThisLife || end.kind == EndKind::Done) {
      this->HandleEnd(aWorker, life, end);
    }
  }
  for (const auto& [life, lastEnd] : lastEnds) {
    this->unwrittenAcks.push_back({ aWorker.agent, life, lastEnd });
  }
}

void
Dispatcher::State::HandleRecordedEnds(const EndRecord& aRecord)
{
  Worker unknown;
  unknown.agent = aRecord.agent;
  const auto found = this->workers.find(aRecord.agent);
  Worker& worker = found == this->workers.end() ? unknown : found->second;
  for (const auto& end : aRecord.ends) {
    const Task* task = this->FindRun(end.run);
    if (task != nullptr && task->phase == Phase::Done) {
      continue;
    }
    if (task != nullptr && task->phase == Phase::Idle &&
        task->releasedAt != base::TimePoint{} &&
        task->incarnation == aRecord.life && end.kind == EndKind::Failed) {
      this->CountReleasedFailure(worker, end);
      continue;
    }
    const job::StepSpec* spec = this->SpecOf(end.run.task.step);
    const bool isOnThisLife = task != nullptr && task->IsOnWorker() &&
                              task->incarnation == aRecord.life;
    const bool completes =
      spec != nullptr && !spec->isLongRunning && end.kind == EndKind::Done;
    if (!isOnThisLife && !completes) {
      continue;
    }
    this->HandleEnd(worker, aRecord.life, end);
    if (worker.info && worker.info->life == aRecord.life) {
      worker.lastEnd = std::max(worker.lastEnd, end.number);
      worker.recordedEnds.emplace(end.run, this->callTime.now);
    }
  }
}

void
Dispatcher::State::CountReleasedFailure(Worker& aWorker, const EndedTask& aEnd)
{
  Step& step = *this->FindStep(aEnd.run.task.step);
  const std::uint32_t index = aEnd.run.task.index;
  Job& job = *this->FindJob(step.id.job);
  const job::StepSpec& spec = job.spec->steps[step.id.step];
  step.tasks[index].releasedAt = {};
  this->mustSchedule = true;
  if (spec.isLongRunning || (spec.isGang && step.failedRun == aEnd.run.run)) {
    return;
  }
  step.failedRun = aEnd.run.run;
  this->RecordTaskFailure(aWorker, step, index);
  this->MarkDirty(step);
  this->observer.OnEnded(
    aEnd.run, aWorker.agent, aEnd.kind, step.tasks[index].failures);
  this->UpdateJobOutcome(job);
}

void
Dispatcher::State::HandleEnd(Worker& aWorker,
                             const ledger::WorkerIncarnation& aLife,
                             const EndedTask& aEnd)
{
  const bool heldResources = aWorker.info && aWorker.info->life == aLife &&
                             this->ReleaseResources(aWorker, aEnd.run);
  this->NoteBegun(aEnd.run.task.step.job);
  // An end is listed again until the worker has received its acknowledgement.
  const bool isNew = aEnd.number > aWorker.lastEnd;
  const Task* known = this->FindRun(aEnd.run);
  const bool isGivenUp =
    known == nullptr || !known->IsOnWorker() || known->incarnation != aLife;
  Task* task = aEnd.kind == EndKind::Done
                 ? this->TakeCompletedTask(aLife, aEnd.run)
                 : this->FindRun(aEnd.run);
  // An inherited run has no resources until its worker has reported.
  const bool isCurrent = task != nullptr && task->IsOnWorker() &&
                         task->incarnation == aLife &&
                         (heldResources || task->agent.IsEmpty());
  // A completed run completes its task whatever was assumed about the run: that
  // it was lost, that another run follows, or that it is on another worker.
  // This is safe to accept, because a run number is used by one start only. It
  // has to be accepted, because nothing may start once the end is acknowledged.
  const bool isCompletion =
    task != nullptr && task->phase == Phase::Idle && aEnd.kind == EndKind::Done;
  if (!isCurrent && !isCompletion) {
    this->mustSchedule = this->mustSchedule || heldResources;
    if (isNew && aEnd.kind == EndKind::Done) {
      const std::string_view reason =
        this->ReasonIgnored(aLife, aEnd.run, heldResources);
      if (!reason.empty()) {
        this->observer.OnEndIgnored(aEnd.run, aWorker.agent, aEnd.kind, reason);
      }
    }
    return; // Already handled, or the end of an orphaned run.
  }
  this->mustSchedule = true;
  if (task->phase == Phase::Ordered && aEnd.kind == EndKind::Stopped) {
    // The agent got no answer to the start. Placing the task there again at
    // once would start and stop it in a loop.
    this->DeferPlacement(aWorker);
  }
  Step& step = *this->FindStep(aEnd.run.task.step);
  const std::uint32_t index = aEnd.run.task.index;
  Job& job = *this->FindJob(step.id.job);
  const job::StepSpec& spec = job.spec->steps[step.id.step];
  // A task whose current run has completed is already off its worker.
  if (isCurrent || (isCompletion && !isGivenUp)) {
    this->LearnFrom(aWorker, step, index, aEnd.kind);
  }
  if (!aEnd.checkpoint.empty()) {
    task->checkpoint = aEnd.checkpoint;
  }
  this->MarkDirty(step);
  if (aEnd.kind == EndKind::Done && !spec.isLongRunning) {
    aWorker.failureStreak = 0;
    task->phase = Phase::Done;
    task->phaseStartedAt = this->callTime.now;
    if (spec.isGang) {
      // The end of one member completes the gang. The resources of the others
      // are released when their own ends are reported.
      for (Task& member : step.tasks) {
        member.phase = Phase::Done;
        member.phaseStartedAt = this->callTime.now;
      }
    }
  } else {
    task->phase = Phase::Idle;
    // A gang run counts as one failure even if several members fail.
    const bool isCounted = spec.isGang && step.failedRun == aEnd.run.run;
    if (aEnd.kind == EndKind::Failed && !spec.isLongRunning && !isCounted) {
      step.failedRun = aEnd.run.run;
      this->RecordTaskFailure(aWorker, step, index);
    }
    if (spec.isGang) {
      this->StopGangMembers(step, aEnd.run.run, "gang member ended");
    }
  }
  this->observer.OnEnded(
    aEnd.run, aWorker.agent, aEnd.kind, step.tasks[index].failures);
  if (isCompletion && isGivenUp) {
    this->observer.OnLateCompletion(
      aEnd.run, aWorker.agent, step.tasks[index].run);
  }
  this->UpdateJobOutcome(job);
}

std::string_view
Dispatcher::State::ReasonIgnored(const ledger::WorkerIncarnation& aLife,
                                 const job::TaskRun& aRun,
                                 bool aHeldResources)
{
  const job::StepSpec* spec = this->SpecOf(aRun.task.step);
  if (spec == nullptr) {
    return "unknown job";
  }
  const Step* step = this->FindStep(aRun.task.step);
  if (step == nullptr || aRun.task.index >= step->tasks.size()) {
    return "unknown task";
  }
  const Task& task = step->tasks[aRun.task.index];
  if (task.run != aRun.run) {
    return task.phase == Phase::Done ? "completed by another run"
                                     : "another run is known";
  }
  if (task.incarnation != aLife) {
    return "on another incarnation";
  }
  if (task.phase != Phase::Done) {
    return "not on the worker";
  }
  // Each member of a gang lists an end of its own.
  return spec->isGang && aHeldResources ? "" : "already done";
}

Task*
Dispatcher::State::TakeCompletedTask(const ledger::WorkerIncarnation& aLife,
                                     const job::TaskRun& aCompleted)
{
  const job::StepId& id = aCompleted.task.step;
  Job* job = this->FindJob(id.job);
  if (job == nullptr || id.step >= job->spec->steps.size() ||
      id.occurrence >= job->spec->Occurrences() ||
      aCompleted.task.index >= job->spec->steps[id.step].count) {
    return nullptr;
  }
  const job::StepSpec& spec = job->spec->steps[id.step];
  Step& step = this->EnsureStep(*job, id.occurrence, id.step);
  Task& task = step.tasks[aCompleted.task.index];
  if (spec.isLongRunning) {
    return task.run == aCompleted.run ? &task : nullptr;
  }
  if (task.phase == Phase::Done) {
    return nullptr;
  }
  if (task.run != aCompleted.run || task.incarnation != aLife) {
    constexpr std::string_view kReason = "completed by another run";
    if (spec.isGang && task.run != aCompleted.run) {
      this->StopGangMembers(step, task.run, kReason);
    } else {
      this->RequestStop(step, aCompleted.task.index, kReason);
    }
    if (task.run < aCompleted.run) {
      // A record without the run would let a successor number another run so.
      for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
        if (spec.isGang || i == aCompleted.task.index) {
          step.tasks[i].run = aCompleted.run;
        }
      }
    }
  }
  task.phase = Phase::Idle;
  return &task;
}

void
Dispatcher::State::RecordTaskFailure(Worker& aWorker,
                                     Step& aStep,
                                     std::uint32_t aIndex)
{
  const Job& job = *this->FindJob(aStep.id.job);
  const job::StepSpec& spec = job.spec->steps[aStep.id.step];
  Task& failed = aStep.tasks[aIndex];
  ++failed.failures;
  failed.failedOn = aWorker.agent;
  failed.failedAt = this->callTime.now;
  if (spec.isGang) {
    for (Task& member : aStep.tasks) {
      member.failures = failed.failures;
    }
  }
  if (failed.failures >= job.spec->maxAttempts) {
    aStep.hasFailed = true;
  }
  ++aWorker.failureStreak;
  if (aWorker.failureStreak >= kSuspectFailureStreak) {
    const auto factor =
      std::min(aWorker.failureStreak - 1, kMaxSuspectMultiplier);
    aWorker.avoidUntil = this->callTime.now + kSuspectInterval * factor;
    this->observer.OnWorkerChanged(aWorker.agent, "suspect");
  }
}

void
Dispatcher::State::HandleAllRunning(Worker& aWorker,
                                    const WorkerReport& aReport)
{
  std::map<job::TaskRun, base::TimePoint> outdated;
  for (const auto& running : aReport.running) {
    const auto ended = aWorker.recordedEnds.find(running.run);
    if (ended != aWorker.recordedEnds.end() &&
        this->callTime.now - ended->second < this->options.stopRetryInterval) {
      outdated.insert(*ended);
    } else {
      this->HandleRunning(aWorker, running);
    }
  }
  aWorker.recordedEnds = std::move(outdated);
}

void
Dispatcher::State::HandleRunning(Worker& aWorker, const RunningTask& aRunning)
{
  const job::StepSpec* spec = this->SpecOf(aRunning.run.task.step);
  if (aRunning.hasBegun) {
    this->NoteBegun(aRunning.run.task.step.job);
  }
  if (!aWorker.allocations.contains(aRunning.run)) {
    // Started late, or by a previous coordinator.
    this->AllocateResources(aWorker,
                            aRunning.run,
                            spec == nullptr ? aWorker.info->capacity
                                            : RequiredResources(*spec));
  }
  Task* task = this->FindRun(aRunning.run);
  if (task != nullptr && task->phase == Phase::Done &&
      this->callTime.now - task->phaseStartedAt <
        this->options.stopRetryInterval) {
    return; // The gang has completed; this member's own end will follow.
  }
  if (task == nullptr || task->incarnation != aWorker.info->life ||
      task->phase == Phase::Idle || task->phase == Phase::Done) {
    this->StopOrphanedRun(aWorker, aRunning.run);
    return;
  }
  Step& step = *this->FindStep(aRunning.run.task.step);
  if (!aRunning.checkpoint.empty() && aRunning.checkpoint != task->checkpoint) {
    task->checkpoint = aRunning.checkpoint;
    if (spec->isGang) {
      for (Task& member : step.tasks) {
        member.checkpoint = aRunning.checkpoint;
      }
    }
  }
  const bool wasInherited = std::exchange(task->isInherited, false);
  if (task->order <= aWorker.lastOrderBeforeSession) {
    // Its outcome was lost with its session.
    SettleStart(aWorker, aRunning.run);
  }
  if (task->phase == Phase::Ordered) {
    task->phase = Phase::Running;
    task->phaseStartedAt = this->callTime.now;
    if (aRunning.percent == 0 && !wasInherited) {
      // A report may arrive before the outcome of the order.
      this->BeginProgress(*task);
    }
  }
  this->OnProgress(aWorker, step, aRunning.run.task.index, aRunning.percent);
  if (this->FindJob(step.id.job)->hasEnded && task->phase == Phase::Running) {
    this->RequestStop(step, aRunning.run.task.index, "job has ended");
  } else if (task->phase == Phase::Stopping &&
             this->MustRepeatStop(aWorker, task->order, task->phaseStartedAt)) {
    this->SendStop(*task, aRunning.run);
  }
}

void
Dispatcher::State::StopOrphanedRun(Worker& aWorker, const job::TaskRun& aRun)
{
  const auto [found, isNew] = aWorker.orphanStops.try_emplace(aRun);
  OrphanStop& stop = found->second;
  if (!isNew && !this->MustRepeatStop(aWorker, stop.order, stop.sentAt)) {
    return;
  }
  stop.order = this->NextOrder();
  stop.sentAt = this->callTime.now;
  if (isNew) {
    stop.firstSentAt = stop.sentAt;
  }
  this->observer.OnStopping(aRun, aWorker.agent, "orphaned run", 0);
  this->effects.emplace_back(StopTask{
    aWorker.agent, aWorker.session, stop.order, aWorker.info->life, aRun });
}

void
Dispatcher::State::RuleOutLateStarts(Worker& aWorker,
                                     const WorkerReport& aReport)
{
  const auto runs = this->lateStarts.Take(aWorker.info->life);
  if (runs.empty()) {
    return;
  }
  const ReportedRuns reported(aReport);
  for (const auto& run : runs) {
    if (reported.Contains(run)) {
      continue; // Its end is listed, or it is stopped as orphaned.
    }
    // The stop is repeated until its outcome is known, and the room stays taken
    // as long.
    const job::StepSpec* spec = this->SpecOf(run.task.step);
    this->AllocateResources(aWorker,
                            run,
                            spec == nullptr ? fleet::TaskResources{}
                                            : RequiredResources(*spec));
    aWorker.awaitedStarts.emplace(run, 0);
    this->StopOrphanedRun(aWorker, run);
  }
}

void
Dispatcher::State::Reconcile(Worker& aWorker, const WorkerReport& aReport)
{
  const ReportedRuns reported(aReport);
  std::vector<job::TaskRun> missing;
  for (const auto& [run, need] : aWorker.allocations) {
    if (!reported.Contains(run)) {
      missing.push_back(run);
    }
  }
  for (const auto& run : missing) {
    Task* task = this->FindRun(run);
    if (task != nullptr && task->IsOnWorker() &&
        task->incarnation == aWorker.info->life) {
      this->HandleMissingRun(aWorker, run, *task);
    } else if (aWorker.awaitedStarts.contains(run) &&
               (task == nullptr || !this->MayStillStart(aWorker, *task))) {
      // The worker may still carry out the start, also after the agent that
      // sent it was restarted, until a stop rules that out.
      this->StopOrphanedRun(aWorker, run);
    } else if (task == nullptr || !this->MayStillStart(aWorker, *task)) {
      // Its end was already acknowledged, or it never ran.
      this->ReleaseResources(aWorker, run);
      aWorker.orphanStops.erase(run);
      this->mustSchedule = true;
    }
  }
}

void
Dispatcher::State::HandleMissingRun(Worker& aWorker,
                                    const job::TaskRun& aRun,
                                    Task& aTask)
{
  bool isMissing = false;
  if (aTask.phase == Phase::Ordered) {
    const OrderFate fate = this->FateOf(
      aWorker, aTask.order, aTask.phaseStartedAt, this->options.startTimeout);
    // The agent rejects orders of the previous coordinator, but one may still
    // be on its way to the worker until a stop rules that out.
    isMissing = aTask.isInherited || fate == OrderFate::Received;
    if (fate == OrderFate::Lost && this->IsEvacuated(aWorker)) {
      isMissing = true; // It is not ordered again, so that it can move.
    }
    if (!isMissing && fate == OrderFate::Lost && this->CanStartInTime(aTask)) {
      aTask.isStartRepeated = true;
      this->observer.OnStartRepeated(aRun, aWorker.agent);
      this->SendStart(aTask, aRun);
    }
  } else if (aTask.phase == Phase::Stopping) {
    const OrderFate fate = this->FateOf(aWorker,
                                        aTask.order,
                                        aTask.phaseStartedAt,
                                        this->options.stopRetryInterval);
    isMissing = fate == OrderFate::Received;
    if (fate == OrderFate::Lost) {
      this->SendStop(aTask, aRun);
    }
  } else {
    // The message that confirmed the start was sent before this report.
    isMissing = aTask.phase == Phase::Running;
  }
  if (isMissing) {
    aTask.phase = Phase::Running;
    this->RequestStop(*this->FindStep(aRun.task.step),
                      aRun.task.index,
                      "missing from worker report");
  }
}

bool
Dispatcher::State::MayStillStart(const Worker& aWorker, const Task& aTask) const
{
  // A gang is done when one member has ended; another one may have started
  // after its agent sent this report.
  return aTask.phase == Phase::Done && aWorker.receivedOrder &&
         this->FateOf(aWorker, aTask.order, {}, {}) == OrderFate::InTransit;
}

OrderFate
Dispatcher::State::FateOf(const Worker& aWorker,
                          OrderNumber aOrder,
                          base::TimePoint aSentAt,
                          base::Duration aTimeout) const
{
  if (!aWorker.receivedOrder) {
    return this->callTime.now - aSentAt > aTimeout ? OrderFate::Received
                                                   : OrderFate::InTransit;
  }
  if (aOrder <= *aWorker.receivedOrder) {
    return OrderFate::Received;
  }
  return aOrder <= aWorker.lastOrderBeforeSession ? OrderFate::Lost
                                                  : OrderFate::InTransit;
}

bool
Dispatcher::State::MustRepeatStop(const Worker& aWorker,
                                  OrderNumber aOrder,
                                  base::TimePoint aSentAt) const
{
  switch (
    this->FateOf(aWorker, aOrder, aSentAt, this->options.stopRetryInterval)) {
    case OrderFate::InTransit:
      return false;
    case OrderFate::Received:
      return this->callTime.now - aSentAt > this->options.stopRetryInterval;
    case OrderFate::Lost:
      return true;
  }
  return false;
}

void
Dispatcher::State::EndIncarnation(Worker& aWorker, std::string_view aReason)
{
  const auto allocations = std::exchange(aWorker.allocations, {});
  aWorker.used = {};
  aWorker.orphanStops.clear();
  aWorker.readyStarts.clear();
  aWorker.awaitedStarts.clear();
  aWorker.awaitedBytes = 0;
  aWorker.recordedEnds.clear();
  for (const auto& [run, need] : allocations) {
    this->lateStarts.OnGivenUp(aWorker.info->life, run, this->callTime.now);
    Task* task = this->FindRun(run);
    if (task != nullptr && task->IsOnWorker() &&
        task->incarnation == aWorker.info->life) {
      this->MarkLost(*this->FindStep(run.task.step), run.task.index, aReason);
    }
  }
  this->mustSchedule = true;
}

void
Dispatcher::State::ExpireSilentWorkers()
{
  for (auto position = this->workers.begin();
       position != this->workers.end();) {
    const auto current = position++;
    Worker& worker = current->second;
    if (this->callTime.now < worker.grantExpiresAt) {
      continue;
    }
    if (worker.info) {
      this->observer.OnWorkerChanged(worker.agent, "lost");
      this->EndIncarnation(worker, "worker stopped reporting");
    }
    this->workers.erase(current);
  }
}

void
Dispatcher::State::ExpireInheritedTasks()
{
  if (!this->hasInheritedTasks ||
      this->callTime.now < this->inheritedGrantsExpireAt) {
    return;
  }
  this->hasInheritedTasks = false;
  for (auto& [id, job] : this->jobs) {
    for (auto& [key, step] : job.steps) {
      for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
        if (step.tasks[i].IsOnWorker() && step.tasks[i].agent.IsEmpty()) {
          this->MarkLost(step, i, "worker did not report after takeover");
        }
      }
    }
  }
}

void
Dispatcher::State::HandleOutcome(Worker& aWorker,
                                 const job::TaskRun& aRun,
                                 OrderOutcome aOutcome)
{
  Task* task = this->FindRun(aRun);
  const bool isCurrent = task != nullptr && task->IsOnWorker() &&
                         task->incarnation == aWorker.info->life;
  SettleStart(aWorker, aRun);
  if (aOutcome == OrderOutcome::Started) {
    this->NoteBegun(aRun.task.step.job);
    aWorker.startFailures = 0;
    if (isCurrent && task->phase == Phase::Ordered) {
      task->phase = Phase::Running;
      task->phaseStartedAt = this->callTime.now;
      this->BeginProgress(*task);
    }
    return;
  }
  if (aOutcome == OrderOutcome::Refused && isCurrent && task->isStartRepeated) {
    // The agent refused the order that was sent last; the worker may still
    // carry out the one before it until a stop rules that out.
    this->DeferPlacement(aWorker);
    this->RequestStop(*this->FindStep(aRun.task.step),
                      aRun.task.index,
                      "repeated start was refused");
    return;
  }
  this->ReleaseResources(aWorker, aRun);
  aWorker.orphanStops.erase(aRun);
  this->mustSchedule = true;
  if (aOutcome == OrderOutcome::Refused ||
      (isCurrent && task->phase == Phase::Ordered)) {
    this->DeferPlacement(aWorker);
  }
  if (!isCurrent) {
    return;
  }
  Step& step = *this->FindStep(aRun.task.step);
  this->ReleaseWithoutEnd(*task);
  this->MarkDirty(step);
  if (this->SpecOf(step.id)->isGang) {
    this->StopGangMembers(step, aRun.run, "gang member did not start");
  }
}

void
Dispatcher::State::DeferPlacement(Worker& aWorker) const
{
  const bool isRepeated = this->callTime.now < aWorker.avoidUntil;
  if (this->runTimes != nullptr && !isRepeated) {
    aWorker.startFailures =
      std::min(aWorker.startFailures + 1, kMaxStartFailureDoublings + 1);
  }
  const std::uint32_t doublings = std::max(aWorker.startFailures, 1U) - 1;
  aWorker.avoidUntil =
    std::max(aWorker.avoidUntil,
             this->callTime.now + kStartFailureBackoff * (1U << doublings));
}

void
Dispatcher::State::AllocateResources(Worker& aWorker,
                                     const job::TaskRun& aRun,
                                     const fleet::TaskResources& aNeed)
{
  if (aWorker.allocations.emplace(aRun, aNeed).second) {
    aWorker.used += aNeed;
  }
}

bool
Dispatcher::State::ReleaseResources(Worker& aWorker, const job::TaskRun& aRun)
{
  SettleStart(aWorker, aRun);
  const auto found = aWorker.allocations.find(aRun);
  if (found == aWorker.allocations.end()) {
    return false;
  }
  // `used` is the exact sum of the allocations, so that nothing saturates.
  aWorker.used -= found->second;
  aWorker.allocations.erase(found);
  return true;
}

void
Dispatcher::State::ReleaseWithoutEnd(Task& aTask)
{
  aTask.phase = Phase::Idle;
  aTask.releasedAt = this->callTime.now;
  if (this->lastReleaseAt != this->callTime.now) {
    this->lastReleaseAt = this->callTime.now;
    this->effects.emplace_back(ConfirmEnds{});
  }
}

bool
Dispatcher::State::AreEndsKnown(const Task& aTask) const
{
  return aTask.releasedAt == base::TimePoint{} ||
         (this->endsAsOf && aTask.releasedAt <= *this->endsAsOf);
}

void
Dispatcher::State::RecordReleases()
{
  std::erase_if(this->unrecordedReleases, [this](const job::StepId& aStep) {
    Step* step = this->FindStep(aStep);
    if (step == nullptr) {
      return true;
    }
    if (this->HasUnrecordedRelease(*step)) {
      return false;
    }
    this->MarkDirty(*step);
    return true;
  });
}

bool
Dispatcher::State::HasUnrecordedRelease(const Step& aStep) const
{
  return std::any_of(
    aStep.tasks.begin(), aStep.tasks.end(), [this](const Task& aTask) {
      return aTask.phase == Phase::Idle && !this->AreEndsKnown(aTask);
    });
}

void
Dispatcher::State::MarkLost(Step& aStep,
                            std::uint32_t aIndex,
                            std::string_view aReason)
{
  Task& task = aStep.tasks[aIndex];
  this->lateStarts.OnGivenUp(
    task.incarnation, { { aStep.id, aIndex }, task.run }, this->callTime.now);
  this->ReleaseWithoutEnd(task);
  this->MarkDirty(aStep);
  this->mustSchedule = true;
  this->observer.OnLost({ { aStep.id, aIndex }, task.run }, aReason);
  if (this->SpecOf(aStep.id)->isGang) {
    this->StopGangMembers(aStep, task.run, "gang member lost");
  }
}

void
Dispatcher::State::StopGangMembers(Step& aStep,
                                   std::uint32_t aRun,
                                   std::string_view aReason)
{
  for (std::uint32_t i = 0; i < aStep.tasks.size(); ++i) {
    if (aStep.tasks[i].run == aRun) {
      this->RequestStop(aStep, i, aReason);
    }
  }
}

void
Dispatcher::State::RequestStop(Step& aStep,
                               std::uint32_t aIndex,
                               std::string_view aReason)
{
  Task& task = aStep.tasks[aIndex];
  const job::TaskRun run{ { aStep.id, aIndex }, task.run };
  if (task.phase == Phase::Placing) {
    // The start order was not sent and will not be.
    const auto found = this->workers.find(task.agent);
    if (found != this->workers.end()) {
      this->ReleaseResources(found->second, run);
    }
    this->mustSchedule = true;
    task.phase = Phase::Idle;
    this->MarkDirty(aStep);
    return;
  }
  if ((task.phase != Phase::Ordered && task.phase != Phase::Running) ||
      task.agent.IsEmpty()) {
    return;
  }
  task.phase = Phase::Stopping;
  task.stopRequestedAt = this->callTime.now;
  this->observer.OnStopping(
    run,
    task.agent,
    aReason,
    WorkLostByStop(*this->SpecOf(aStep.id),
                   this->callTime.now - task.startedAt));
  this->SendStop(task, run);
}

OrderNumber
Dispatcher::State::NextOrder()
{
  this->lastOrder = OrderNumber(this->lastOrder.Get() + 1);
  return this->lastOrder;
}

SessionId
Dispatcher::State::SessionOf(const base::AgentId& aAgent) const
{
  const auto found = this->workers.find(aAgent);
  return found == this->workers.end() ? SessionId() : found->second.session;
}

void
Dispatcher::State::SendStart(Task& aTask, const job::TaskRun& aRun)
{
  aTask.order = this->NextOrder();
  aTask.phaseStartedAt = this->callTime.now;
  this->lateStarts.OnOrdered(aTask.incarnation, aRun, this->callTime.now);
  const std::string& payload = this->FindJob(aRun.task.step.job)->spec->payload;
  Worker& worker = this->workers.at(aTask.agent);
  const std::size_t bytes = payload.size() + aTask.checkpoint.size();
  if (worker.awaitedStarts.emplace(aRun, bytes).second) {
    worker.awaitedBytes += bytes;
  }
  this->effects.emplace_back(StartTask{ aTask.agent,
                                        worker.session,
                                        aTask.order,
                                        aTask.incarnation,
                                        aRun,
                                        payload,
                                        aTask.checkpoint,
                                        this->RemainingStartTime() });
}

void
Dispatcher::State::SettleStart(Worker& aWorker, const job::TaskRun& aRun)
{
  const auto found = aWorker.awaitedStarts.find(aRun);
  if (found != aWorker.awaitedStarts.end()) {
    aWorker.awaitedBytes -= found->second;
    aWorker.awaitedStarts.erase(found);
  }
}

void
Dispatcher::State::SendStop(Task& aTask, const job::TaskRun& aRun)
{
  aTask.order = this->NextOrder();
  aTask.phaseStartedAt = this->callTime.now;
  this->effects.emplace_back(StopTask{ aTask.agent,
                                       this->SessionOf(aTask.agent),
                                       aTask.order,
                                       aTask.incarnation,
                                       aRun });
}

bool
Dispatcher::State::CanStartInTime(const Task& aTask) const
{
  const auto worker = this->workers.find(aTask.agent);
  return worker != this->workers.end() && this->AreInputsRecent() &&
         !this->IsEvacuated(worker->second) &&
         (this->callTime.now - worker->second.reportedAt) + kStartOrderTime <=
           this->RemainingStartTime();
}

bool
Dispatcher::State::IsToBeStarted(const job::TaskRun& aRun)
{
  const Task* task = this->FindRun(aRun);
  return task != nullptr && task->phase == Phase::Placing &&
         this->workers.contains(task->agent);
}

void
Dispatcher::State::OrderStart(const job::TaskRun& aRun)
{
  Task& task = *this->FindRun(aRun);
  task.phase = Phase::Ordered;
  task.isStartRepeated = false;
  this->SendStart(task, aRun);
}

void
Dispatcher::State::CollectReadyStarts()
{
  while (!this->pendingPlacements.empty() &&
         this->pendingPlacements.front().first <= this->persistedVersion) {
    const job::TaskRun run = this->pendingPlacements.front().second;
    this->pendingPlacements.pop_front();
    if (!this->IsToBeStarted(run)) {
      continue;
    }
    if (!this->SpecOf(run.task.step)->isGang) {
      const Task& task = *this->FindRun(run);
      this->workers.at(task.agent).readyStarts.push_back(run);
      continue;
    }
    // The members of a gang are placed one after another.
    const bool isFirst =
      this->readyGangs.empty() ||
      this->readyGangs.back().back().run != run.run ||
      this->readyGangs.back().back().task.step != run.task.step;
    if (isFirst) {
      this->readyGangs.emplace_back();
    }
    this->readyGangs.back().push_back(run);
  }
}

bool
Dispatcher::State::CanStartGang(std::span<const job::TaskRun> aMembers,
                                std::set<base::AgentId>& aHeldWorkers)
{
  std::vector<base::AgentId> busyWorkers;
  for (const auto& run : aMembers) {
    const Task& task = *this->FindRun(run);
    if (!this->CanStartInTime(task)) {
      return false;
    }
    if (!this->workers.at(task.agent).HasRoomForStart()) {
      busyWorkers.push_back(task.agent);
    }
  }
  aHeldWorkers.insert(busyWorkers.begin(), busyWorkers.end());
  return busyWorkers.empty();
}

void
Dispatcher::State::SendReadyOrders()
{
  this->CollectReadyStarts();
  std::set<base::AgentId> heldWorkers;
  std::erase_if(this->readyGangs, [&](std::vector<job::TaskRun>& aGang) {
    std::erase_if(aGang, [this](const job::TaskRun& aRun) {
      return !this->IsToBeStarted(aRun);
    });
    if (!aGang.empty() && !this->CanStartGang(aGang, heldWorkers)) {
      return false;
    }
    for (const auto& run : aGang) {
      this->OrderStart(run);
    }
    return true;
  });
  for (auto& [agent, worker] : this->workers) {
    while (!worker.readyStarts.empty()) {
      const job::TaskRun run = worker.readyStarts.front();
      if (this->IsToBeStarted(run)) {
        if (heldWorkers.contains(agent) || !worker.HasRoomForStart() ||
            !this->CanStartInTime(*this->FindRun(run))) {
          break;
        }
        this->OrderStart(run);
      }
      worker.readyStarts.pop_front();
    }
  }
}

void
Dispatcher::State::AcknowledgeDurableEnds()
{
  while (!this->pendingAcks.empty() &&
         this->pendingAcks.front().first <= this->persistedVersion) {
    this->effects.emplace_back(std::move(this->pendingAcks.front().second));
    this->pendingAcks.pop_front();
  }
  while (!this->pendingDeletions.empty() &&
         this->pendingDeletions.front().first <= this->persistedVersion) {
    this->effects.emplace_back(this->pendingDeletions.front().second);
    this->pendingDeletions.pop_front();
  }
}

} // namespace amaranthwind::dispatch
