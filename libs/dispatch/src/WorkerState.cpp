// The part of the dispatcher that keeps workers and what may run on them.

#include "DispatchState.h"

#include <algorithm>

namespace amaranthwind::dispatch {

namespace {

/** A worker whose last runs all failed is left alone for a while. */
constexpr std::uint32_t kSuspectStreak = 2;
constexpr base::Duration kSuspectTime = std::chrono::seconds(4);
constexpr std::uint32_t kMaxSuspectFactor = 8;
/** For which a worker is not chosen after a start there has failed. */
constexpr base::Duration kRefusedPause = std::chrono::milliseconds(500);

template<typename Range>
bool
Lists(const Range& aRange, const job::TaskRun& aRun)
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
  worker.grantBound = this->moment.now + this->options.grantBound;
  if (!aReport.worker) {
    if (worker.info) {
      this->observer.OnWorker(worker.agent, "left");
      this->EndLife(worker, "worker left");
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
    this->acks.emplace_back(
      this->lastVersion + 1,
      AcknowledgeEnds{ worker.agent, worker.info->life, lastEnd });
  }
}

void
Dispatcher::State::SetWorker(Worker& aWorker, const WorkerInfo& aInfo)
{
  if (aWorker.info && aWorker.info->life == aInfo.life) {
    if (aWorker.info->isDraining != aInfo.isDraining) {
      this->observer.OnWorker(aWorker.agent,
                              aInfo.isDraining ? "draining" : "ready");
      this->mustSchedule = true;
    }
    aWorker.info = aInfo;
    return;
  }
  if (aWorker.info) {
    this->EndLife(aWorker, "worker restarted");
  }
  this->observer.OnWorker(aWorker.agent, "joined");
  aWorker.info = aInfo;
  aWorker.failureStreak = 0;
  aWorker.avoidUntil = {};
  this->Adopt(aWorker);
  this->mustSchedule = true;
}

void
Dispatcher::State::Adopt(Worker& aWorker)
{
  if (!this->hasInherited) {
    return;
  }
  for (auto& [id, job] : this->jobs) {
    for (auto& [place, step] : job.steps) {
      for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
        Task& task = step.tasks[i];
        if (!task.IsOnWorker() || !task.agent.IsEmpty()) {
          continue;
        }
        if (task.life == aWorker.info->life) {
          task.agent = aWorker.agent;
          this->Occupy(aWorker,
                       { { step.id, i }, task.run },
                       NeedOf(job.spec->steps[place.second]));
          if (job.spec->steps[place.second].isGang && HasIdleTask(step)) {
            this->RequestStop(step, i, "gang member lost");
          }
        } else if (task.placedOn == aWorker.agent &&
                   task.life.id != aWorker.info->life.id) {
          // A VM has one worker at a time. Orders name the worker's id, so
          // that a late one does nothing on its successor; one with the same
          // id might carry it out, and the time of its lease has to pass.
          this->Lose(step, i, "another worker lives on the VM");
        }
      }
    }
  }
}

void
Dispatcher::State::HandleEnd(Worker& aWorker, const EndedTask& aEnd)
{
  const bool wasHere = this->Vacate(aWorker, aEnd.run);
  this->mustSchedule = this->mustSchedule || wasHere;
  Task* task = this->FindRun(aEnd.run);
  const bool isCurrent = wasHere && task != nullptr && task->IsOnWorker() &&
                         task->life == aWorker.info->life;
  // Given up, as its worker was silent or has restarted, but the run was done
  // all the same. Its number is given to one start only.
  const bool isDoneUnseen =
    task != nullptr && task->phase == Phase::Idle && aEnd.kind == EndKind::Done;
  if (!isCurrent && !isDoneUnseen) {
    return; // Known already, or of a run that nobody placed.
  }
  if (task->phase == Phase::Ordered && aEnd.kind == EndKind::Stopped) {
    // The daemon had no answer to its start. Placed there again at once, it
    // would be started and stopped over and over.
    this->Pause(aWorker);
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
        member.since = this->moment.now;
      }
    }
  } else {
    task->phase = Phase::Idle;
    // Several members of a gang may fail in one run, which counts once.
    const bool isCounted = spec.isGang && step.failedRun == aEnd.run.run;
    if (aEnd.kind == EndKind::Failed && !spec.isLongRunning && !isCounted) {
      step.failedRun = aEnd.run.run;
      this->FailTask(aWorker, step, index);
    }
    if (spec.isGang) {
      this->EndGangRun(step, aEnd.run.run, "gang member ended");
    }
  }
  this->observer.OnEnded(
    aEnd.run, aWorker.agent, aEnd.kind, step.tasks[index].failures);
  this->UpdateOver(job);
}

void
Dispatcher::State::FailTask(Worker& aWorker, Step& aStep, std::uint32_t aIndex)
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
  if (aWorker.failureStreak >= kSuspectStreak) {
    const auto factor = std::min(aWorker.failureStreak - 1, kMaxSuspectFactor);
    aWorker.avoidUntil = this->moment.now + kSuspectTime * factor;
    this->observer.OnWorker(aWorker.agent, "suspect");
  }
}

void
Dispatcher::State::HandleRunning(Worker& aWorker, const RunningTask& aRunning)
{
  const job::StepSpec* spec = this->SpecOf(aRunning.run.task.step);
  if (!aWorker.occupants.contains(aRunning.run)) {
    // A start that was carried out late, or one of a former coordinator.
    this->Occupy(aWorker,
                 aRunning.run,
                 spec == nullptr ? aWorker.info->capacity : NeedOf(*spec));
  }
  Task* task = this->FindRun(aRunning.run);
  if (task != nullptr && task->phase == Phase::Done &&
      this->moment.now - task->since < this->options.stopRepeat) {
    return; // Its gang is done, and its own end will be listed.
  }
  if (task == nullptr || task->life != aWorker.info->life ||
      task->phase == Phase::Idle || task->phase == Phase::Done) {
    this->StopStray(aWorker, aRunning.run);
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
    task->since = this->moment.now;
  }
  if (this->FindJob(step.id.job)->isOver && task->phase == Phase::Running) {
    this->RequestStop(step, aRunning.run.task.index, "job is over");
  } else if (task->phase == Phase::Stopping &&
             this->moment.now - task->since > this->options.stopRepeat) {
    task->since = this->moment.now;
    this->effects.emplace_back(
      StopTask{ aWorker.agent, aWorker.info->life, aRunning.run });
  }
}

void
Dispatcher::State::StopStray(Worker& aWorker, const job::TaskRun& aRun)
{
  const auto [found, isNew] =
    aWorker.strayStops.try_emplace(aRun, this->moment.now);
  if (!isNew && this->moment.now - found->second < this->options.stopRepeat) {
    return;
  }
  found->second = this->moment.now;
  this->observer.OnStopping(aRun, aWorker.agent, "run is not wanted");
  this->effects.emplace_back(
    StopTask{ aWorker.agent, aWorker.info->life, aRun });
}

void
Dispatcher::State::Reconcile(Worker& aWorker, const WorkerReport& aReport)
{
  std::vector<job::TaskRun> missing;
  for (const auto& [run, need] : aWorker.occupants) {
    if (!Lists(aReport.running, run) && !Lists(aReport.ended, run)) {
      missing.push_back(run);
    }
  }
  for (const auto& run : missing) {
    Task* task = this->FindRun(run);
    if (task == nullptr || !task->IsOnWorker() ||
        task->life != aWorker.info->life) {
      // Its end was acknowledged before, or it never ran.
      this->Vacate(aWorker, run);
      aWorker.strayStops.erase(run);
      this->mustSchedule = true;
      continue;
    }
    const base::Duration age = this->moment.now - task->since;
    const bool isOverdue =
      (task->phase == Phase::Ordered && age > this->options.orderLimit) ||
      (task->phase == Phase::Stopping && age > this->options.stopRepeat);
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
Dispatcher::State::EndLife(Worker& aWorker, std::string_view aReason)
{
  const auto occupants = std::exchange(aWorker.occupants, {});
  aWorker.used = {};
  aWorker.strayStops.clear();
  for (const auto& [run, need] : occupants) {
    Task* task = this->FindRun(run);
    if (task != nullptr && task->IsOnWorker() &&
        task->life == aWorker.info->life) {
      this->Lose(*this->FindStep(run.task.step), run.task.index, aReason);
    }
  }
  this->mustSchedule = true;
}

void
Dispatcher::State::LoseSilentWorkers()
{
  for (auto position = this->workers.begin();
       position != this->workers.end();) {
    const auto current = position++;
    Worker& worker = current->second;
    if (this->moment.now < worker.grantBound) {
      continue;
    }
    if (worker.info) {
      this->observer.OnWorker(worker.agent, "lost");
      this->EndLife(worker, "worker is silent");
    }
    this->workers.erase(current);
  }
}

void
Dispatcher::State::LoseInherited()
{
  if (!this->hasInherited || this->moment.now < this->inheritedUntil) {
    return;
  }
  this->hasInherited = false;
  for (auto& [id, job] : this->jobs) {
    for (auto& [place, step] : job.steps) {
      for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
        if (step.tasks[i].IsOnWorker() && step.tasks[i].agent.IsEmpty()) {
          this->Lose(step, i, "worker has not come back");
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
      task->since = this->moment.now;
    }
    return;
  }
  this->Vacate(aWorker, aRun);
  aWorker.strayStops.erase(aRun);
  this->mustSchedule = true;
  if (aOutcome == OrderOutcome::Refused ||
      (isCurrent && task->phase == Phase::Ordered)) {
    this->Pause(aWorker);
  }
  if (!isCurrent) {
    return;
  }
  Step& step = *this->FindStep(aRun.task.step);
  task->phase = Phase::Idle;
  this->MarkDirty(step);
  if (this->SpecOf(step.id)->isGang) {
    this->EndGangRun(step, aRun.run, "gang member did not start");
  }
}

void
Dispatcher::State::Pause(Worker& aWorker) const
{
  aWorker.avoidUntil =
    std::max(aWorker.avoidUntil, this->moment.now + kRefusedPause);
}

void
Dispatcher::State::Occupy(Worker& aWorker,
                          const job::TaskRun& aRun,
                          const fleet::TaskResources& aNeed)
{
  if (aWorker.occupants.emplace(aRun, aNeed).second) {
    aWorker.used += aNeed;
  }
}

bool
Dispatcher::State::Vacate(Worker& aWorker, const job::TaskRun& aRun)
{
  const auto found = aWorker.occupants.find(aRun);
  if (found == aWorker.occupants.end()) {
    return false;
  }
  aWorker.occupants.erase(found);
  aWorker.used = {};
  for (const auto& [run, need] : aWorker.occupants) {
    aWorker.used += need;
  }
  return true;
}

void
Dispatcher::State::Lose(Step& aStep,
                        std::uint32_t aIndex,
                        std::string_view aReason)
{
  Task& task = aStep.tasks[aIndex];
  task.phase = Phase::Idle;
  this->MarkDirty(aStep);
  this->mustSchedule = true;
  this->observer.OnLost({ { aStep.id, aIndex }, task.run }, aReason);
  if (this->SpecOf(aStep.id)->isGang) {
    this->EndGangRun(aStep, task.run, "gang member lost");
  }
}

void
Dispatcher::State::EndGangRun(Step& aStep,
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
      this->Vacate(found->second, run);
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
  task.since = this->moment.now;
  this->observer.OnStopping(run, task.agent, aReason);
  this->effects.emplace_back(StopTask{ task.agent, task.life, run });
}

void
Dispatcher::State::SendReadyOrders(std::uint64_t aVersion)
{
  while (!this->placings.empty() && this->placings.front().first <= aVersion) {
    const job::TaskRun run = this->placings.front().second;
    this->placings.pop_front();
    Task* task = this->FindRun(run);
    if (task == nullptr || task->phase != Phase::Placing) {
      continue;
    }
    task->phase = Phase::Ordered;
    task->since = this->moment.now;
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
  while (!this->acks.empty() &&
         (this->acks.front().first <= this->persistedVersion ||
          this->persistedVersion == this->lastVersion)) {
    this->effects.emplace_back(std::move(this->acks.front().second));
    this->acks.pop_front();
  }
}

} // namespace amaranthwind::dispatch
