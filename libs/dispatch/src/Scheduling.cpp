// The scheduling pass: assigns workers to ready steps.

#include "DispatchState.h"

#include <algorithm>
#include <tuple>

namespace amaranthwind::dispatch {

namespace {

/** A job older than this multiple of its objective has no value left. */
constexpr int kExpiryFactor = 3;
/** Slowdown of a task outside the rack of its data or its gang. */
constexpr int kRemoteSlowdown = 3;
/** A step waits this multiple of its estimate for its preferred rack. */
constexpr int kRackWaitEstimates = kRemoteSlowdown - 1;
/** Maximum wait while the pool is mostly idle, so that capacity is used. */
constexpr base::Duration kIdlePoolMaxWait = std::chrono::milliseconds(1500);
/** Accelerator utilization below which a pool counts as mostly idle. */
constexpr double kIdlePoolUtilization = 0.75;
/** Maximum time that a guaranteed step waits for its preferred rack. */
constexpr base::Duration kGuaranteedMaxRackWait =
  std::chrono::milliseconds(1200);
/** A run is assumed to need at least its estimate / kOverrunDivisor more. */
constexpr int kOverrunDivisor = 10;
/** Maximum number of blocked steps with reserved workers. */
constexpr std::size_t kMaxReservations = 2;

std::vector<std::uint32_t>
IdleTasks(const Step& aStep)
{
  std::vector<std::uint32_t> idle;
  for (std::uint32_t i = 0; i < aStep.tasks.size(); ++i) {
    if (aStep.tasks[i].phase == Phase::Idle) {
      idle.push_back(i);
    }
  }
  return idle;
}

} // namespace

void
Dispatcher::State::Schedule()
{
  this->reservations.clear();
  this->UpdateGuaranteedJobs();
  for (const Candidate& candidate : this->CollectCandidates()) {
    const bool isPlaced = candidate.Spec().isGang
                            ? this->PlaceGang(candidate)
                            : this->PlaceIndependentTasks(candidate);
    if (isPlaced) {
      continue;
    }
    const auto waiting =
      static_cast<std::uint32_t>(IdleTasks(*candidate.step).size());
    if (this->MayPreempt(candidate) && this->Preempt(candidate, waiting)) {
      continue;
    }
    // A gang needs workers for all of its tasks at once. Independent tasks can
    // start one by one, but a large one still needs a reserved worker.
    for (std::uint32_t count = waiting;
         count > 0 && this->reservations.size() < kMaxReservations;
         count = candidate.Spec().isGang ? 0 : count / 2) {
      if (this->Reserve(candidate, count)) {
        break;
      }
    }
  }
}

/**
 * Guaranteed steps may preempt work that borrows their capacity. Other urgent
 * steps may preempt less urgent work while they can still meet their objective.
 */
bool
Dispatcher::State::MayPreempt(const Candidate& aCandidate) const
{
  return aCandidate.isGuaranteed ||
         (aCandidate.job->spec->urgency == 0 && aCandidate.canMeetObjective);
}

/**
 * An account's guarantee covers its most urgent jobs as long as their combined
 * demand does not exceed it.
 */
void
Dispatcher::State::UpdateGuaranteedJobs()
{
  std::unordered_map<base::AccountId, std::uint32_t> demands;
  std::unordered_map<base::AccountId, std::vector<base::JobId>> urgentJobs;
  for (const auto& [id, job] : this->jobs) {
    if (job.hasEnded || job.spec->urgency != 0) {
      continue;
    }
    std::uint32_t peak = 0;
    for (const auto& step : job.spec->steps) {
      peak = std::max(peak, step.count * step.need.accelerators);
    }
    demands[job.spec->account] += peak;
    urgentJobs[job.spec->account].push_back(id);
  }
  this->guaranteedJobs.clear();
  for (const auto& [account, demand] : demands) {
    const auto found = this->guarantees.find(account);
    if (found != this->guarantees.end() && demand <= found->second) {
      this->guaranteedJobs.insert(urgentJobs[account].begin(),
                                  urgentJobs[account].end());
    }
  }
}

bool
Dispatcher::State::IsReady(Job& aJob, const Step& aStep)
{
  const auto& spec = aJob.spec->steps[aStep.id.step];
  return std::all_of(
    spec.dependsOn.begin(), spec.dependsOn.end(), [&](std::uint32_t aBefore) {
      return aBefore < aJob.spec->steps.size() &&
             this->EnsureStep(aJob, aStep.id.occurrence, aBefore).IsDone();
    });
}

std::vector<Candidate>
Dispatcher::State::CollectCandidates()
{
  std::vector<Candidate> candidates;
  for (auto& [id, job] : this->jobs) {
    if (job.hasEnded) {
      continue;
    }
    const auto objective =
      std::chrono::duration_cast<base::Duration>(
        std::chrono::duration<double>(job.criticalPath) * job.spec->stretch) +
      job.spec->slack;
    for (std::uint32_t k = 0; k < job.spec->Occurrences(); ++k) {
      const auto age = this->callTime.wall - job.spec->DueAt(k);
      if (age < base::WallTime::duration::zero()) {
        break;
      }
      for (std::uint32_t s = 0; s < job.spec->steps.size(); ++s) {
        Step& step = this->EnsureStep(job, k, s);
        const auto idle = IdleTasks(step);
        const bool allTasksIdle = idle.size() == step.tasks.size();
        if (idle.empty() || (job.spec->steps[s].isGang && !allTasksIdle) ||
            !this->IsReady(job, step)) {
          continue;
        }
        if (!step.readyAt) {
          step.readyAt = this->callTime.now;
        }
        const auto expectedAge =
          age + job.criticalPath + this->options.stopTime / 2;
        candidates.push_back({ &job,
                               &step,
                               this->guaranteedJobs.contains(id),
                               age > objective * kExpiryFactor,
                               expectedAge <= objective });
      }
    }
  }
  const auto rank = [](const Candidate& aCandidate) {
    return std::tuple(!aCandidate.isGuaranteed,
                      aCandidate.isExpired,
                      aCandidate.job->spec->urgency,
                      !aCandidate.canMeetObjective,
                      aCandidate.job->acceptedOffset,
                      aCandidate.step->id);
  };
  std::sort(candidates.begin(),
            candidates.end(),
            [&](const Candidate& aLeft, const Candidate& aRight) {
              return rank(aLeft) < rank(aRight);
            });
  return candidates;
}

std::vector<Worker*>
Dispatcher::State::UsableWorkers(const Candidate& aCandidate) const
{
  const job::StepSpec& spec = aCandidate.Spec();
  // A suspect worker is better than none once a step has waited although the
  // pool is mostly idle: all other workers are busy or unsuitable.
  const bool mayUseSuspects =
    this->callTime.now - aCandidate.step->readyAt.value_or(this->callTime.now) >
      kIdlePoolMaxWait &&
    this->AcceleratorUtilization(aCandidate.job->spec->pool) <
      kIdlePoolUtilization;
  std::vector<Worker*> usable;
  for (const auto& [agent, worker] : this->workers) {
    if (!worker.info || worker.info->isDraining ||
        (worker.avoidUntil > this->callTime.now && !mayUseSuspects) ||
        worker.info->pool != aCandidate.job->spec->pool) {
      continue;
    }
    const auto& labels = worker.info->labels;
    if (!spec.requiredLabel.empty() &&
        std::find(labels.begin(), labels.end(), spec.requiredLabel) ==
          labels.end()) {
      continue;
    }
    const auto expectedEnd = this->callTime.now + aCandidate.Spec().estimate;
    const bool isReserved =
      std::any_of(this->reservations.begin(),
                  this->reservations.end(),
                  [&, id = agent](const Reservation& aReservation) {
                    return expectedEnd > aReservation.until &&
                           aReservation.workers.contains(id);
                  });
    if (!isReserved) {
      usable.push_back(const_cast<Worker*>(&worker));
    }
  }
  return usable;
}

std::vector<PackingWorker>
Dispatcher::State::ToPackingWorkers(std::span<Worker* const> aWorkers,
                                    const Step& aStep,
                                    const job::StepSpec& aSpec)
{
  std::map<base::RackId, std::uint32_t> racks;
  std::vector<PackingWorker> packing;
  packing.reserve(aWorkers.size());
  for (const Worker* worker : aWorkers) {
    const auto rack = racks
                        .try_emplace(worker->info->rack,
                                     static_cast<std::uint32_t>(racks.size()))
                        .first->second;
    PackingWorker each{ worker->Free(), rack };
    if (aSpec.maxPerWorker > 0) {
      const auto here = static_cast<std::uint32_t>(std::count_if(
        aStep.tasks.begin(), aStep.tasks.end(), [&](const Task& aTask) {
          return aTask.IsOnWorker() && aTask.agent == worker->agent;
        }));
      each.remainingTaskLimit =
        aSpec.maxPerWorker - std::min(aSpec.maxPerWorker, here);
    }
    packing.push_back(each);
  }
  return packing;
}

/** Chooses workers for aCount tasks of the step within aAvailable. */
std::optional<std::vector<Worker*>>
Dispatcher::State::Pack(std::span<Worker* const> aWorkers,
                        const Candidate& aCandidate,
                        std::uint32_t aCount,
                        std::vector<PackingWorker> aAvailable)
{
  const job::StepSpec& spec = aCandidate.Spec();
  PackingRequest request;
  request.need = RequiredResources(spec);
  request.count = aCount;
  const base::Duration waited =
    this->callTime.now - aCandidate.step->readyAt.value_or(this->callTime.now);
  base::Duration maxRackWait = spec.estimate * kRackWaitEstimates;
  if (aCandidate.isGuaranteed) {
    maxRackWait = kGuaranteedMaxRackWait;
  } else if (this->AcceleratorUtilization(aCandidate.job->spec->pool) <
             kIdlePoolUtilization) {
    maxRackWait = std::min(maxRackWait, kIdlePoolMaxWait);
  }
  const bool mayWaitForRack = waited < maxRackWait;
  if (spec.prefersOneRack && spec.count > 1 && mayWaitForRack) {
    // Does not wait if the tasks would not fit even into an empty rack.
    std::vector<PackingWorker> empty = aAvailable;
    for (std::size_t i = 0; i < empty.size(); ++i) {
      empty[i].free = aWorkers[i]->info->capacity;
    }
    request.requiresOneRack = true;
    request.requiresOneRack = !this->packing->Pack(empty, request).empty();
  }
  if (!spec.dataRack.IsEmpty()) {
    for (std::size_t i = 0; i < aAvailable.size(); ++i) {
      if (aWorkers[i]->info->rack == spec.dataRack) {
        request.rack = aAvailable[i].rack;
      }
    }
  }
  auto chosen = this->packing->Pack(aAvailable, request);
  if (chosen.empty() && request.rack && !mayWaitForRack) {
    request.rack.reset();
    chosen = this->packing->Pack(aAvailable, request);
  }
  if (chosen.empty()) {
    return std::nullopt;
  }
  std::vector<Worker*> workers;
  workers.reserve(chosen.size());
  for (const std::uint32_t index : chosen) {
    workers.push_back(aWorkers[index]);
  }
  return workers;
}

bool
Dispatcher::State::PlaceGang(const Candidate& aCandidate)
{
  const auto usable = this->UsableWorkers(aCandidate);
  const auto idle = IdleTasks(*aCandidate.step);
  const auto chosen = this->Pack(
    usable,
    aCandidate,
    static_cast<std::uint32_t>(idle.size()),
    this->ToPackingWorkers(usable, *aCandidate.step, aCandidate.Spec()));
  if (!chosen) {
    return false;
  }
  this->CommitPlacement(aCandidate, idle, *chosen);
  return true;
}

/** Returns true if every task of the step is placed. */
bool
Dispatcher::State::PlaceIndependentTasks(const Candidate& aCandidate)
{
  const auto usable = this->UsableWorkers(aCandidate);
  for (const std::uint32_t index : IdleTasks(*aCandidate.step)) {
    const Task& task = aCandidate.step->tasks[index];
    std::vector<Worker*> allowed;
    std::copy_if(
      usable.begin(),
      usable.end(),
      std::back_inserter(allowed),
      [&](const Worker* aWorker) { return aWorker->agent != task.failedOn; });
    if (allowed.empty()) {
      allowed = usable;
    }
    const auto chosen = this->Pack(
      allowed,
      aCandidate,
      1,
      this->ToPackingWorkers(allowed, *aCandidate.step, aCandidate.Spec()));
    if (!chosen) {
      return false;
    }
    const std::uint32_t tasks[] = { index };
    this->CommitPlacement(aCandidate, tasks, *chosen);
  }
  return true;
}

void
Dispatcher::State::CommitPlacement(const Candidate& aCandidate,
                                   std::span<const std::uint32_t> aTasks,
                                   std::span<Worker* const> aWorkers)
{
  Step& step = *aCandidate.step;
  const job::StepSpec& spec = aCandidate.Spec();
  std::uint32_t lastRun = 0;
  for (const std::uint32_t index : aTasks) {
    lastRun = std::max(lastRun, step.tasks[index].run);
  }
  for (std::size_t i = 0; i < aTasks.size(); ++i) {
    Task& task = step.tasks[aTasks[i]];
    Worker& worker = *aWorkers[i];
    task.run = (spec.isGang ? lastRun : task.run) + 1;
    task.phase = Phase::Placing;
    task.incarnation = worker.info->life;
    task.agent = worker.agent;
    task.placedOn = worker.agent;
    task.percent = 0;
    task.phaseStartedAt = this->callTime.now;
    task.startedAt = this->callTime.now;
    task.isInherited = false;
    const job::TaskRun run{ { step.id, aTasks[i] }, task.run };
    this->AllocateResources(worker, run, RequiredResources(spec));
    this->pendingPlacements.emplace_back(this->lastVersion + 1, run);
    this->observer.OnPlaced(
      run, worker.agent, this->callTime.now - *step.readyAt);
  }
  this->MarkDirty(step);
}

double
Dispatcher::State::AcceleratorUtilization(const base::PoolId& aPool) const
{
  std::uint64_t used = 0;
  std::uint64_t all = 0;
  for (const auto& [agent, worker] : this->workers) {
    if (worker.info && worker.info->pool == aPool && !worker.info->isDraining) {
      used += worker.used.accelerators;
      all += worker.info->capacity.accelerators;
    }
  }
  return all == 0 ? 1.0 : static_cast<double>(used) / static_cast<double>(all);
}

base::Duration
Dispatcher::State::EstimateRemaining(const job::TaskRun& aRun)
{
  const Task* task = this->FindRun(aRun);
  const job::StepSpec* spec = this->SpecOf(aRun.task.step);
  if (task == nullptr || spec == nullptr || task->phase == Phase::Stopping ||
      !task->IsOnWorker()) {
    return this->options.stopTime;
  }
  const base::Duration elapsed = this->callTime.now - task->startedAt;
  return std::max(spec->estimate - elapsed, spec->estimate / kOverrunDivisor);
}

/**
 * Finds the earliest time at which the step fits if running tasks end as
 * estimated, and reserves the workers that it would use. Returns false if it
 * never fits.
 */
bool
Dispatcher::State::Reserve(const Candidate& aCandidate, std::uint32_t aCount)
{
  const auto usable = this->UsableWorkers(aCandidate);
  auto available =
    this->ToPackingWorkers(usable, *aCandidate.step, aCandidate.Spec());
  struct Release
  {
    base::Duration in;
    std::size_t worker;
    fleet::TaskResources freed;
  };
  std::vector<Release> releases;
  for (std::size_t i = 0; i < usable.size(); ++i) {
    for (const auto& [run, need] : usable[i]->allocations) {
      releases.push_back({ this->EstimateRemaining(run), i, need });
    }
  }
  std::sort(releases.begin(),
            releases.end(),
            [](const Release& aLeft, const Release& aRight) {
              return aLeft.in < aRight.in;
            });
  for (const Release& release : releases) {
    available[release.worker].free += release.freed;
    if (const auto chosen = this->Pack(usable, aCandidate, aCount, available)) {
      Reservation reservation;
      reservation.until = this->callTime.now + release.in;
      for (const Worker* worker : *chosen) {
        reservation.workers.insert(worker->agent);
      }
      this->reservations.push_back(std::move(reservation));
      return true;
    }
  }
  return false;
}

} // namespace amaranthwind::dispatch
