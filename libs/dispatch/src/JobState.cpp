// State of jobs, steps and tasks.

#include "DispatchState.h"

#include <algorithm>

namespace amaranthwind::dispatch {

fleet::TaskResources
RequiredResources(const job::StepSpec& aSpec) noexcept
{
  fleet::TaskResources need = aSpec.need;
  if (aSpec.isFiller) {
    need.milliCores = 0;
  }
  return need;
}

double
WorkOf(const job::StepSpec& aSpec, base::Duration aTime)
{
  const double cores = aSpec.need.milliCores / 1000.0 +
                       kCoresPerAccelerator * aSpec.need.accelerators;
  return cores * std::chrono::duration<double>(aTime).count();
}

double
WorkLostByStop(const job::StepSpec& aSpec, base::Duration aElapsed)
{
  /** Run time that a checkpointing task loses when it is stopped. */
  constexpr base::Duration kCheckpointLoss = std::chrono::milliseconds(500);
  return WorkOf(aSpec,
                aSpec.isCheckpointing ? std::min(aElapsed, kCheckpointLoss)
                                      : aElapsed);
}

bool
Step::IsDone() const noexcept
{
  return std::all_of(
    this->tasks.begin(), this->tasks.end(), [](const Task& aTask) {
      return aTask.phase == Phase::Done;
    });
}

base::Duration
LongestChain(const job::WorkflowSpec& aSpec,
             std::span<const base::Duration> aRunTimes)
{
  std::vector<base::Duration> ends(aSpec.steps.size());
  base::Duration longest{};
  for (std::size_t i = 0; i < aSpec.steps.size(); ++i) {
    base::Duration start{};
    for (const std::uint32_t before : aSpec.steps[i].dependsOn) {
      if (before < i) {
        start = std::max(start, ends[before]);
      }
    }
    ends[i] = start + aRunTimes[i];
    longest = std::max(longest, ends[i]);
  }
  return longest;
}

static base::Duration
CriticalPath(const job::WorkflowSpec& aSpec)
{
  std::vector<base::Duration> estimates;
  for (const auto& step : aSpec.steps) {
    estimates.push_back(step.estimate);
  }
  return LongestChain(aSpec, estimates);
}

/** See ledger::TaskRecord::failures. */
static void
RestoreGangFailures(Step& aGang)
{
  std::uint32_t failures = 0;
  for (const Task& member : aGang.tasks) {
    failures = std::max(failures, member.failures);
  }
  for (Task& member : aGang.tasks) {
    if (member.IsOnWorker() && member.failures < failures) {
      aGang.failedRun = member.run;
    }
    member.failures = failures;
  }
}

void
Dispatcher::State::Restore(const ledger::JobEntry& aEntry)
{
  this->Add(aEntry);
  Job& job = *this->FindJob(aEntry.spec->id);
  job.hasBegun = aEntry.HasBegun();
  for (const auto& [key, record] : aEntry.steps) {
    if (key.second >= aEntry.spec->steps.size()) {
      continue;
    }
    Step& step = this->EnsureStep(job, key.first, key.second);
    step.hasFailed = record.hasFailed;
    for (const auto& saved : record.tasks) {
      if (saved.index >= step.tasks.size()) {
        continue;
      }
      Task& task = step.tasks[saved.index];
      task.run = saved.run;
      task.failures = saved.failures;
      task.checkpoint = saved.checkpoint;
      task.incarnation = saved.worker;
      task.placedOn = saved.agent;
      task.startedAt = this->callTime.now;
      task.phaseStartedAt = this->callTime.now;
      if (saved.phase == ledger::TaskPhase::Done) {
        task.phase = Phase::Done;
      } else if (saved.phase == ledger::TaskPhase::Placed) {
        task.phase = Phase::Ordered;
        task.isInherited = true;
        this->hasInheritedTasks = true;
      }
    }
    if (aEntry.spec->steps[key.second].isGang) {
      RestoreGangFailures(step);
    }
  }
  this->UpdateJobOutcome(job);
}

void
Dispatcher::State::Add(const ledger::JobEntry& aEntry)
{
  const auto [found, isNew] = this->jobs.try_emplace(aEntry.spec->id);
  Job& job = found->second;
  if (isNew) {
    this->earlyCancellations.erase(found->first);
    job.spec = aEntry.spec;
    job.acceptedOffset = aEntry.acceptedOffset;
    job.criticalPath = CriticalPath(*job.spec);
    this->mustSchedule = true;
  }
  if (aEntry.isCancelRequested && !job.isCancelled) {
    this->Cancel(job);
  }
}

void
Dispatcher::State::Cancel(Job& aJob)
{
  aJob.isCancelled = true;
  this->mustSchedule = true;
  for (auto& [key, step] : aJob.steps) {
    for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
      this->RequestStop(step, i, "cancelled");
    }
  }
  this->UpdateJobOutcome(aJob);
}

void
Dispatcher::State::UpdateJobOutcome(Job& aJob)
{
  if (aJob.hasEnded) {
    return;
  }
  const char* outcome = nullptr;
  std::size_t done = 0;
  for (const auto& [key, step] : aJob.steps) {
    done += step.IsDone() ? 1 : 0;
    if (step.hasFailed) {
      outcome = "failed";
    }
  }
  if (done == aJob.spec->steps.size() * aJob.spec->Occurrences()) {
    outcome = "completed";
  } else if (outcome == nullptr && aJob.isCancelled) {
    outcome = "cancelled";
  }
  if (outcome == nullptr) {
    return;
  }
  aJob.hasEnded = true;
  this->mustSchedule = true;
  aJob.endedAt = this->callTime.now;
  for (auto& [key, step] : aJob.steps) {
    for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
      this->RequestStop(step, i, outcome);
    }
  }
  this->observer.OnJobEnded(aJob.spec->id,
                            outcome,
                            std::chrono::duration_cast<base::Duration>(
                              this->callTime.wall - aJob.spec->acceptedAt));
}

void
Dispatcher::State::ForgetOldJobs()
{
  for (ForgetJob& orphan : std::exchange(this->orphans, {})) {
    this->effects.emplace_back(std::move(orphan));
  }
  std::erase_if(this->earlyCancellations, [this](const auto& aCancellation) {
    const auto& [job, knownSince] = aCancellation;
    const bool isOld =
      this->callTime.now - knownSince >= this->options.retention;
    if (isOld) {
      this->effects.emplace_back(ForgetJob{ job, {} });
    }
    return isOld;
  });
  for (auto position = this->jobs.begin(); position != this->jobs.end();) {
    const auto current = position++;
    const Job& job = current->second;
    if (!job.hasEnded ||
        this->callTime.now - job.endedAt < this->options.retention) {
      continue;
    }
    ForgetJob forget{ current->first, {} };
    bool isIdle = true;
    for (const auto& [key, step] : job.steps) {
      forget.steps.push_back(step.id);
      isIdle = isIdle && std::none_of(step.tasks.begin(),
                                      step.tasks.end(),
                                      [](const Task& aTask) {
                                        return aTask.IsOnWorker();
                                      });
    }
    if (isIdle) {
      this->effects.emplace_back(std::move(forget));
      this->jobs.erase(current);
    }
  }
}

void
Dispatcher::State::NoteBegun(const base::JobId& aJob)
{
  Job* job = this->FindJob(aJob);
  if (job != nullptr && !job->hasEnded && !std::exchange(job->hasBegun, true)) {
    this->effects.emplace_back(PersistBegin{ aJob });
  }
}

Job*
Dispatcher::State::FindJob(const base::JobId& aJob)
{
  const auto found = this->jobs.find(aJob);
  return found == this->jobs.end() ? nullptr : &found->second;
}

Step*
Dispatcher::State::FindStep(const job::StepId& aStep)
{
  Job* job = this->FindJob(aStep.job);
  if (job == nullptr) {
    return nullptr;
  }
  const auto found = job->steps.find({ aStep.occurrence, aStep.step });
  return found == job->steps.end() ? nullptr : &found->second;
}

Step&
Dispatcher::State::EnsureStep(Job& aJob,
                              std::uint32_t aOccurrence,
                              std::uint32_t aStep)
{
  const auto [found, isNew] = aJob.steps.try_emplace({ aOccurrence, aStep });
  if (isNew) {
    found->second.id = { aJob.spec->id, aOccurrence, aStep };
    found->second.tasks.resize(aJob.spec->steps[aStep].count);
  }
  return found->second;
}

Task*
Dispatcher::State::FindRun(const job::TaskRun& aRun)
{
  Step* step = this->FindStep(aRun.task.step);
  if (step == nullptr || aRun.task.index >= step->tasks.size()) {
    return nullptr;
  }
  Task& task = step->tasks[aRun.task.index];
  return task.run == aRun.run ? &task : nullptr;
}

const job::StepSpec*
Dispatcher::State::SpecOf(const job::StepId& aStep)
{
  const Job* job = this->FindJob(aStep.job);
  return job == nullptr || aStep.step >= job->spec->steps.size()
           ? nullptr
           : &job->spec->steps[aStep.step];
}

ledger::StepRecord
Dispatcher::State::ToRecord(const Step& aStep)
{
  const bool isGang = this->SpecOf(aStep.id)->isGang;
  ledger::StepRecord record;
  record.id = aStep.id;
  record.hasFailed = aStep.hasFailed;
  for (std::uint32_t i = 0; i < aStep.tasks.size(); ++i) {
    const Task& task = aStep.tasks[i];
    if (task.run == 0) {
      continue;
    }
    // A release is not recorded before the recorded ends are known as of it: a
    // successor counts a recorded failure only of a run that was not released.
    const bool isPlaced = task.IsOnWorker() || (task.phase == Phase::Idle &&
                                                !this->AreEndsKnown(task));
    const auto phase = task.phase == Phase::Done ? ledger::TaskPhase::Done
                       : isPlaced                ? ledger::TaskPhase::Placed
                                                 : ledger::TaskPhase::Idle;
    // Tells a successor whether the failure of the gang's run was counted when
    // the other members' ends arrive.
    const bool excludesRun = isGang && isPlaced && task.run == aStep.failedRun;
    record.tasks.push_back({ i,
                             phase,
                             task.run,
                             task.failures - (excludesRun ? 1 : 0),
                             task.incarnation,
                             task.placedOn,
                             task.checkpoint });
  }
  return record;
}

void
Dispatcher::State::FlushWrites()
{
  // Placements follow all other changes: those of a step whose dependencies are
  // done must not become durable before the ends of the dependencies.
  std::vector<job::StepId> placed;
  for (const auto& placement : this->unwrittenPlacements) {
    if (this->dirtySteps.erase(placement.task.step) > 0) {
      placed.push_back(placement.task.step);
    }
  }
  for (const job::StepId& id : std::exchange(this->dirtySteps, {})) {
    this->WriteStep(id);
  }
  std::map<job::StepId, std::uint64_t> versions;
  for (const job::StepId& id : placed) {
    this->WriteStep(id);
    versions[id] = this->lastVersion;
  }
  // Steps are written in the order of their first placements.
  std::stable_sort(this->unwrittenPlacements.begin(),
                   this->unwrittenPlacements.end(),
                   [&](const job::TaskRun& aLeft, const job::TaskRun& aRight) {
                     return versions[aLeft.task.step] <
                            versions[aRight.task.step];
                   });
  for (auto& placement : std::exchange(this->unwrittenPlacements, {})) {
    const std::uint64_t version = versions[placement.task.step];
    this->pendingPlacements.emplace_back(version, std::move(placement));
  }
  for (auto& ack : std::exchange(this->unwrittenAcks, {})) {
    this->pendingAcks.emplace_back(this->lastVersion, std::move(ack));
  }
  for (const auto& deletion : std::exchange(this->unwrittenDeletions, {})) {
    this->pendingDeletions.emplace_back(this->lastVersion, deletion);
  }
}

void
Dispatcher::State::WriteStep(const job::StepId& aStep)
{
  // The records of a job that was forgotten meanwhile are being deleted.
  if (const Step* step = this->FindStep(aStep)) {
    if (this->HasUnrecordedRelease(*step)) {
      this->unrecordedReleases.insert(aStep);
    }
    this->effects.emplace_back(
      PersistStep{ this->ToRecord(*step), ++this->lastVersion });
  }
}

} // namespace amaranthwind::dispatch
