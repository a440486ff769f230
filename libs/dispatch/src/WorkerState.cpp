// The part of the dispatcher that keeps workers and what may run on them.

#include "DispatchState.h"

#include <algorithm>

namespace amaranthwind::dispatch {

namespace {

/** A worker whose last runs all failed is left alone for a while. */
constexpr std::uint32_t kSuspectFailureStreak = 2;
constexpr base::Duration kSuspectInterval = std::chrono::seconds(4);
constexpr std::uint32_t kMaxSuspectMultiplier = 8;
/** For which a worker is not chosen after a start there has failed. */
constexpr base::Duration kStartFailureBackoff = std::chrono::milliseconds(500);

template<typename Range>
bool
ContainsRun(const Range& aRange, const job::TaskRun& aRun)
{
  return std::any_of(aRange.begin(), aRange.end(), [&](const auto& aEach) {
    return aEach.run == aRun;
  });
}

/** True if a member of the step's gang is not on a worker any more. */
bool
HasIdleTask(const Step& aStep)
{
  return std::any_of(
    aStep.tasks.begin(), aStep.tasks.end(), [](const Task& aTask) {
      return aTask.phase == Phase::Idle;
    });
}

} // namespace

void
Dispatcher::State::HandleReport(const WorkerReport& aReport)
{
  Worker& worker = this->workers[aReport.agent];
  worker.agent = aReport.agent;
  worker.grantExpiresAt = this->callTime.now + this->options.maxGrantDuration;
  if (!aReport.worker) {
    if (worker.info) {
      this->observer.OnWorkerChanged(worker.agent, "left");
      this->EndIncarnation(worker, "worker left");
      worker.info.reset();
    }
    return;
  }
  this->SetWorker(worker, *aReport.worker);
  std::uint64_t lastEnd = 0;
  for (const auto& end : aReport.ended) {
    this->HandleEnd(worker, end);
    lastEnd = std::max(lastEnd, end.number);
  }
  for (const auto& running : aReport.running) {
    this->HandleRunning(worker, running);
  }
  this->Reconcile(worker, aReport);
  if (lastEnd > 0) {
    // Behind everything that was decided so far, so that no end is forgotten
    // before it is durable.
    this->pendingAcks.emplace_back(
      this->lastVersion + 1,
      AcknowledgeEnds{ worker.agent, worker.info->life, lastEnd });
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
    aWorker.info = aInfo;
    return;
  }
  if (aWorker.info) {
    this->EndIncarnation(aWorker, "worker restarted");
  }
  this->observer.OnWorkerChanged(aWorker.agent, "joined");
  aWorker.info = aInfo;
  aWorker.failureStreak = 0;
  aWorker.avoidUntil = {};
  this->AdoptInheritedTasks(aWorker);
  this->mustSchedule = true;
}

void
Dispatcher::State::AdoptInheritedTasks(Worker& aWorker)
{
  if (!this->hasInherited) {
    return;
  }
  for (auto& [id, job] : this->jobs) {
    for (auto& [key, step] : job.steps) {
      for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
        Task& task = step.tasks[i];
        if (!task.IsOnWorker() || !task.agent.IsEmpty()) {
          continue;
        }
        if (task.life == aWorker.info->life) {
          task.agent = aWorker.agent;
          this->AllocateResources(
            aWorker,
            { { step.id, i }, task.run },
            RequiredResources(job.spec->steps[key.second]));
          if (job.spec->steps[key.second].isGang && HasIdleTask(step)) {
            this->RequestStop(step, i, "gang member lost");
          }
        } else if (task.placedOn == aWorker.agent &&
                   task.life.id != aWorker.info->life.id) {
          // A VM has one worker at a time. Orders name the worker's id, so
          // that a late one does nothing on its successor; one with the same
          // id might carry it out, and the time of its lease has to pass.
          this->MarkLost(step, i, "another worker lives on the VM");
        }
      }
    }
  }
}

void
Dispatcher::State::HandleEnd(Worker& aWorker, const EndedTask& aEnd)
{
  const bool heldResources = this->ReleaseResources(aWorker, aEnd.run);
  this->mustSchedule = this->mustSchedule || heldResources;
  Task* task = this->FindRun(aEnd.run);
  const bool isCurrent = heldResources && task != nullptr &&
                         task->IsOnWorker() && task->life == aWorker.info->life;
  // Given up, as its worker was silent or has restarted, but the run was done
  // all the same. Its number is given to one start only.
  const bool isLateCompletion =
    task != nullptr && task->phase == Phase::Idle && aEnd.kind == EndKind::Done;
  if (!isCurrent && !isLateCompletion) {
    return; // Known already, or of a run that nobody placed.
  }
  if (task->phase == Phase::Ordered && aEnd.kind == EndKind::Stopped) {
    // The daemon had no answer to its start. Placed there again at once, it
    // would be started and stopped over and over.
    this->DeferPlacement(aWorker);
  }
  Step& step = *this->FindStep(aEnd.run.task.step);
  const std::uint32_t index = aEnd.run.task.index;
  Job& job = *this->FindJob(step.id.job);
  const job::StepSpec& spec = job.spec->steps[step.id.step];
  if (!aEnd.checkpoint.empty()) {
    task->checkpoint = aEnd.checkpoint;
  }
  this->MarkDirty(step);
  if (aEnd.kind == EndKind::Done && !spec.isLongRunning) {
    aWorker.failureStreak = 0;
    task->phase = Phase::Done;
    if (spec.isGang) {
      // One end stands for all members; their room is free when their own
      // ends are listed.
      for (Task& member : step.tasks) {
        member.phase = Phase::Done;
        member.since = this->callTime.now;
      }
    }
  } else {
    task->phase = Phase::Idle;
    // Several members of a gang may fail in one run, which counts once.
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
  this->UpdateJobOutcome(job);
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
Dispatcher::State::HandleRunning(Worker& aWorker, const RunningTask& aRunning)
{
  const job::StepSpec* spec = this->SpecOf(aRunning.run.task.step);
  if (!aWorker.allocations.contains(aRunning.run)) {
    // A start that was carried out late, or one of a former coordinator.
    this->AllocateResources(aWorker,
                            aRunning.run,
                            spec == nullptr ? aWorker.info->capacity
                                            : RequiredResources(*spec));
  }
  Task* task = this->FindRun(aRunning.run);
  if (task != nullptr && task->phase == Phase::Done &&
      this->callTime.now - task->since < this->options.stopRetryInterval) {
    return; // Its gang is done, and its own end will be listed.
  }
  if (task == nullptr || task->life != aWorker.info->life ||
      task->phase == Phase::Idle || task->phase == Phase::Done) {
    this->StopOrphanedRun(aWorker, aRunning.run);
    return;
  }
  Step& step = *this->FindStep(aRunning.run.task.step);
  task->percent = aRunning.percent;
  if (!aRunning.checkpoint.empty() && aRunning.checkpoint != task->checkpoint) {
    task->checkpoint = aRunning.checkpoint;
    if (spec->isGang) {
      for (Task& member : step.tasks) {
        member.checkpoint = aRunning.checkpoint;
      }
    }
  }
  task->isInherited = false;
  if (task->phase == Phase::Ordered) {
    task->phase = Phase::Running;
    task->since = this->callTime.now;
  }
  if (this->FindJob(step.id.job)->hasEnded && task->phase == Phase::Running) {
    this->RequestStop(step, aRunning.run.task.index, "job is over");
  } else if (task->phase == Phase::Stopping &&
             this->callTime.now - task->since >
               this->options.stopRetryInterval) {
    task->since = this->callTime.now;
    this->effects.emplace_back(
      StopTask{ aWorker.agent, aWorker.info->life, aRunning.run });
  }
}

void
Dispatcher::State::StopOrphanedRun(Worker& aWorker, const job::TaskRun& aRun)
{
  const auto [found, isNew] =
    aWorker.orphanStops.try_emplace(aRun, this->callTime.now);
  if (!isNew &&
      this->callTime.now - found->second < this->options.stopRetryInterval) {
    return;
  }
  found->second = this->callTime.now;
  this->observer.OnStopping(aRun, aWorker.agent, "run is not wanted");
  this->effects.emplace_back(
    StopTask{ aWorker.agent, aWorker.info->life, aRun });
}

void
Dispatcher::State::Reconcile(Worker& aWorker, const WorkerReport& aReport)
{
  std::vector<job::TaskRun> missing;
  for (const auto& [run, need] : aWorker.allocations) {
    if (!ContainsRun(aReport.running, run) &&
        !ContainsRun(aReport.ended, run)) {
      missing.push_back(run);
    }
  }
  for (const auto& run : missing) {
    Task* task = this->FindRun(run);
    if (task == nullptr || !task->IsOnWorker() ||
        task->life != aWorker.info->life) {
      // Its end was acknowledged before, or it never ran.
      this->ReleaseResources(aWorker, run);
      aWorker.orphanStops.erase(run);
      this->mustSchedule = true;
      continue;
    }
    const base::Duration age = this->callTime.now - task->since;
    const bool isOverdue =
      (task->phase == Phase::Ordered && age > this->options.startTimeout) ||
      (task->phase == Phase::Stopping && age > this->options.stopRetryInterval);
    // The daemon no longer accepts the former coordinator's order, but the
    // worker may have it on the way until a stop has made that impossible.
    const bool isInherited = task->isInherited && task->phase == Phase::Ordered;
    if (task->phase == Phase::Running || isOverdue || isInherited) {
      Step& step = *this->FindStep(run.task.step);
      task->phase = Phase::Running;
      this->RequestStop(step, run.task.index, "not listed by its worker");
    }
  }
}

void
Dispatcher::State::EndIncarnation(Worker& aWorker, std::string_view aReason)
{
  const auto allocations = std::exchange(aWorker.allocations, {});
  aWorker.used = {};
  aWorker.orphanStops.clear();
  for (const auto& [run, need] : allocations) {
    Task* task = this->FindRun(run);
    if (task != nullptr && task->IsOnWorker() &&
        task->life == aWorker.info->life) {
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
      this->EndIncarnation(worker, "worker is silent");
    }
    this->workers.erase(current);
  }
}

void
Dispatcher::State::ExpireInheritedTasks()
{
  if (!this->hasInherited || this->callTime.now < this->inheritedUntil) {
    return;
  }
  this->hasInherited = false;
  for (auto& [id, job] : this->jobs) {
    for (auto& [key, step] : job.steps) {
      for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
        if (step.tasks[i].IsOnWorker() && step.tasks[i].agent.IsEmpty()) {
          this->MarkLost(step, i, "worker has not come back");
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
  const bool isCurrent =
    task != nullptr && task->IsOnWorker() && task->life == aWorker.info->life;
  if (aOutcome == OrderOutcome::Started) {
    if (isCurrent && task->phase == Phase::Ordered) {
      task->phase = Phase::Running;
      task->since = this->callTime.now;
    }
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
  task->phase = Phase::Idle;
  this->MarkDirty(step);
  if (this->SpecOf(step.id)->isGang) {
    this->StopGangMembers(step, aRun.run, "gang member did not start");
  }
}

void
Dispatcher::State::DeferPlacement(Worker& aWorker) const
{
  aWorker.avoidUntil =
    std::max(aWorker.avoidUntil, this->callTime.now + kStartFailureBackoff);
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
  const auto found = aWorker.allocations.find(aRun);
  if (found == aWorker.allocations.end()) {
    return false;
  }
  aWorker.allocations.erase(found);
  aWorker.used = {};
  for (const auto& [run, need] : aWorker.allocations) {
    aWorker.used += need;
  }
  return true;
}

void
Dispatcher::State::MarkLost(Step& aStep,
                            std::uint32_t aIndex,
                            std::string_view aReason)
{
  Task& task = aStep.tasks[aIndex];
  task.phase = Phase::Idle;
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
    // The order was not sent and will not be.
    const auto found = this->workers.find(task.agent);
    if (found != this->workers.end()) {
      this->ReleaseResources(found->second, run);
    }
    task.phase = Phase::Idle;
    this->MarkDirty(aStep);
    return;
  }
  if ((task.phase != Phase::Ordered && task.phase != Phase::Running) ||
      task.agent.IsEmpty()) {
    return;
  }
  task.phase = Phase::Stopping;
  task.since = this->callTime.now;
  this->observer.OnStopping(run, task.agent, aReason);
  this->effects.emplace_back(StopTask{ task.agent, task.life, run });
}

void
Dispatcher::State::SendReadyOrders(std::uint64_t aVersion)
{
  while (!this->pendingPlacements.empty() &&
         this->pendingPlacements.front().first <= aVersion) {
    const job::TaskRun run = this->pendingPlacements.front().second;
    this->pendingPlacements.pop_front();
    Task* task = this->FindRun(run);
    if (task == nullptr || task->phase != Phase::Placing) {
      continue;
    }
    task->phase = Phase::Ordered;
    task->since = this->callTime.now;
    this->effects.emplace_back(
      StartTask{ task->agent,
                 task->life,
                 run,
                 this->FindJob(run.task.step.job)->spec->payload,
                 task->checkpoint });
  }
}

void
Dispatcher::State::AcknowledgeDurableEnds()
{
  // Ends that led to no write wait for none: their version was never used.
  while (!this->pendingAcks.empty() &&
         (this->pendingAcks.front().first <= this->persistedVersion ||
          this->persistedVersion == this->lastVersion)) {
    this->effects.emplace_back(std::move(this->pendingAcks.front().second));
    this->pendingAcks.pop_front();
  }
}

} // namespace amaranthwind::dispatch
