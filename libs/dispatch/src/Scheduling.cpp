// The scheduling pass: assigns workers to ready steps.

#include "DispatchState.h"

#include <algorithm>
#include <tuple>

namespace amaranthwind::dispatch {

namespace {

/** A job older than this multiple of its objective has no value left. */
constexpr int kExpiryFactor = 3;
/** A step waits this multiple of its estimate for its preferred rack. */
constexpr int kRackWaitEstimates = kRemoteSlowdown - 1;
/** Maximum wait while the pool is mostly idle, so that capacity is used. */
constexpr base::Duration kIdlePoolMaxWait = std::chrono::milliseconds(1500);
/** Utilization below which a pool counts as mostly idle. */
constexpr double kIdlePoolUtilization = 0.75;
/**
 * Part of the work of a pool, see Pool::UsedWork(), below which nothing that
 * fits waits for longer than kIdlePoolMaxWait.
 */
constexpr double kHalfIdleWork = 0.5;
/** Maximum time that a failed task waits for another worker otherwise. */
constexpr base::Duration kBusyPoolMaxWait = std::chrono::seconds(15);
/** Maximum time that a guaranteed step waits for its preferred rack. */
constexpr base::Duration kGuaranteedMaxRackWait =
  std::chrono::milliseconds(1200);
/** A run is assumed to need at least its estimate / kOverrunDivisor more. */
constexpr int kOverrunDivisor = 10;
/** A run that has not stopped after this many repeated orders may never do. */
constexpr int kMaxStopRetries = 2;
/**
 * Maximum number of runs on one worker, which bounds its reports if tasks need
 * few resources or none.
 */
constexpr std::uint32_t kMaxRunsOnWorker = 1024;
/** Maximum number of blocked steps of a pool with reserved resources. */
constexpr std::size_t kMaxReservations = 2;

double
Fraction(std::uint64_t aUsed, std::uint64_t aTotal)
{
  return aTotal == 0 ? 1.0
                     : static_cast<double>(aUsed) / static_cast<double>(aTotal);
}

} // namespace

double
Pool::Utilization() const noexcept
{
  return this->accelerators > 0
           ? Fraction(this->usedAccelerators, this->accelerators)
           : Fraction(this->usedMilliCores, this->milliCores);
}

double
Pool::UsedWork() const noexcept
{
  constexpr auto kWeight =
    static_cast<std::uint64_t>(kCoresPerAccelerator * 1000);
  return Fraction(this->usedMilliCores + kWeight * this->usedAccelerators,
                  this->milliCores + kWeight * this->accelerators);
}

bool
Pool::IsMostlyIdle() const noexcept
{
  return this->Utilization() < kIdlePoolUtilization;
}

UsableWorkers
UsableWorkers::Without(const Pool& aPool, const base::AgentId& aAgent) const
{
  UsableWorkers others;
  for (std::size_t i = 0; i < this->indices.size(); ++i) {
    if (aPool.workers[this->indices[i]].worker->agent != aAgent) {
      others.indices.push_back(this->indices[i]);
      others.packing.push_back(this->packing[i]);
      if (!this->reserved.empty()) {
        others.reserved.push_back(this->reserved[i]);
      }
      if (!this->slowness.empty()) {
        others.slowness.push_back(this->slowness[i]);
      }
      if (!this->isCold.empty()) {
        others.isCold.push_back(this->isCold[i]);
      }
    }
  }
  return others;
}

void
Dispatcher::State::Schedule()
{
  this->CollectPools();
  this->UpdateGuaranteedJobs();
  for (const Candidate& candidate : this->CollectCandidates()) {
    UsableWorkers usable = this->FindUsableWorkers(candidate);
    std::size_t waiting = candidate.idleTasks.size();
    if (candidate.Spec().isGang) {
      waiting = this->PlaceGang(candidate, usable) ? 0 : waiting;
    } else if (const auto placed =
                 this->PlaceIndependentTasks(candidate, usable);
               placed > 0) {
      waiting -= placed;
      usable = this->FindUsableWorkers(candidate);
    }
    if (waiting == 0) {
      continue;
    }
    if (this->MayPreempt(candidate) &&
        this->Preempt(candidate, usable, static_cast<std::uint32_t>(waiting))) {
      continue;
    }
    // A gang needs workers for all of its tasks at once. Independent tasks can
    // start one by one, but a large one still needs a reserved worker.
    for (auto count = static_cast<std::uint32_t>(waiting);
         count > 0 && candidate.pool->reservations < kMaxReservations;
         count = candidate.Spec().isGang ? 0 : count / 2) {
      if (this->Reserve(candidate, usable, count)) {
        break;
      }
    }
  }
  this->pools.clear();
}

void
Dispatcher::State::CollectPools()
{
  this->pools.clear();
  std::map<base::PoolId, std::map<base::RackId, std::uint32_t>> racks;
  for (auto& [agent, worker] : this->workers) {
    if (!worker.info) {
      continue;
    }
    Pool& pool = this->pools[worker.info->pool];
    ++(this->IsCold(worker) ? pool.coldWorkers : pool.warmWorkers);
    if (worker.info->isDraining || this->IsEvacuated(worker)) {
      continue;
    }
    const auto [rack, isNew] =
      racks[worker.info->pool].try_emplace(worker.info->rack, pool.racks);
    pool.racks += isNew ? 1 : 0;
    PoolWorker& added = pool.workers.emplace_back();
    added.worker = &worker;
    added.rack = rack->second;
    pool.usedAccelerators += worker.used.accelerators;
    pool.accelerators += worker.info->capacity.accelerators;
    pool.usedMilliCores += worker.used.milliCores;
    pool.milliCores += worker.info->capacity.milliCores;
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

std::vector<std::uint32_t>
Dispatcher::State::IdleTasks(const Step& aStep) const
{
  std::vector<std::uint32_t> idle;
  for (std::uint32_t i = 0; i < aStep.tasks.size(); ++i) {
    const Task& task = aStep.tasks[i];
    if (task.phase == Phase::Idle && this->endsAsOf &&
        this->AreEndsKnown(task)) {
      idle.push_back(i);
    }
  }
  return idle;
}

std::vector<Candidate>
Dispatcher::State::CollectCandidates()
{
  std::vector<Candidate> candidates;
  for (auto& [id, job] : this->jobs) {
    if (job.hasEnded) {
      continue;
    }
    const base::Duration path = this->ExpectedPath(job);
    // The objective rests on the work of the job, of which the caller's
    // estimate is one indication.
    const auto objective =
      std::chrono::duration_cast<base::Duration>(
        std::chrono::duration<double>(path) * job.spec->stretch) +
      job.spec->slack;
    for (std::uint32_t k = 0; k < job.spec->Occurrences(); ++k) {
      const auto age = this->callTime.wall - job.spec->DueAt(k);
      if (age < base::WallTime::duration::zero()) {
        break;
      }
      for (std::uint32_t s = 0; s < job.spec->steps.size(); ++s) {
        Step& step = this->EnsureStep(job, k, s);
        auto idle = this->IdleTasks(step);
        const bool allTasksIdle = idle.size() == step.tasks.size();
        if (idle.empty() || (job.spec->steps[s].isGang && !allTasksIdle) ||
            !this->IsReady(job, step)) {
          continue;
        }
        if (!step.readyAt) {
          step.readyAt = this->callTime.now;
        }
        const auto expectedAge = age + path + this->options.stopTime / 2;
        candidates.push_back({ &job,
                               &step,
                               &this->pools[job.spec->pool],
                               std::move(idle),
                               this->guaranteedJobs.contains(id),
                               age > objective * kExpiryFactor,
                               expectedAge <= objective,
                               std::chrono::duration_cast<base::Duration>(
                                 objective - expectedAge) });
      }
    }
  }
  // Load: a burst of urgent jobs, not all of which can be in time. By the order
  // of acceptance, long jobs that could wait make short ones late.
  const bool isBySlack = this->runTimes != nullptr;
  const auto rank = [isBySlack](const Candidate& aCandidate) {
    const bool isUrgent = aCandidate.job->spec->urgency == 0;
    return std::tuple(!aCandidate.isGuaranteed,
                      aCandidate.isExpired,
                      aCandidate.job->spec->urgency,
                      !aCandidate.canMeetObjective,
                      isBySlack && isUrgent && aCandidate.canMeetObjective
                        ? aCandidate.slack
                        : base::Duration::zero(),
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

base::Duration
Dispatcher::State::WaitedTime(const Candidate& aCandidate) const
{
  return this->callTime.now -
         aCandidate.step->readyAt.value_or(this->callTime.now);
}

base::TimePoint
Dispatcher::State::ExpectedEnd(const Candidate& aCandidate) const
{
  const base::Duration runTime =
    this->ExpectedRunTime(*aCandidate.job->spec, aCandidate.step->id.step);
  const bool isKnown =
    !aCandidate.Spec().isLongRunning && runTime > base::Duration::zero();
  return isKnown ? this->callTime.now + runTime : base::TimePoint::max();
}

UsableWorkers
Dispatcher::State::FindUsableWorkers(const Candidate& aCandidate) const
{
  const job::StepSpec& spec = aCandidate.Spec();
  const Pool& pool = *aCandidate.pool;
  // A suspect worker is better than none once a step has waited although the
  // pool is mostly idle: all other workers are busy or unsuitable.
  const bool mayUseSuspects =
    this->WaitedTime(aCandidate) > kIdlePoolMaxWait && pool.IsMostlyIdle();
  std::vector<std::uint32_t> indices;
  indices.reserve(pool.workers.size());
  for (std::uint32_t i = 0; i < pool.workers.size(); ++i) {
    const PoolWorker& each = pool.workers[i];
    if (each.worker->avoidUntil > this->callTime.now && !mayUseSuspects) {
      continue;
    }
    const auto& labels = each.worker->info->labels;
    if (spec.requiredLabel.empty() ||
        std::find(labels.begin(), labels.end(), spec.requiredLabel) !=
          labels.end()) {
      indices.push_back(i);
    }
  }
  UsableWorkers usable = ToUsableWorkers(aCandidate, std::move(indices));
  if (pool.reservations > 0) {
    this->WithholdReserved(aCandidate, usable);
  }
  return usable;
}

bool
Dispatcher::State::MayUseReserved(const Candidate& aCandidate,
                                  const UsableWorkers& aAll) const
{
  const job::StepSpec& spec = aCandidate.Spec();
  if (spec.isLongRunning) {
    return true; // Its users notice each moment without it.
  }
  return this->WaitedTime(aCandidate) > kIdlePoolMaxWait &&
         this->HasPlentyOfRoom(aCandidate, aAll);
}

bool
Dispatcher::State::HasPlentyOfRoom(const Candidate& aCandidate,
                                   const UsableWorkers& aUsable) const
{
  if (aCandidate.pool->UsedWork() >= kHalfIdleWork) {
    return false;
  }
  const job::StepSpec& spec = aCandidate.Spec();
  PackingRequest twice;
  twice.need = RequiredResources(spec);
  twice.count =
    2 *
    (spec.isGang ? static_cast<std::uint32_t>(aCandidate.idleTasks.size()) : 1);
  return !this->packing->Pack(aUsable.packing, twice).empty();
}

void
Dispatcher::State::WithholdReserved(const Candidate& aCandidate,
                                    UsableWorkers& aUsable) const
{
  const Pool& pool = *aCandidate.pool;
  const base::TimePoint end = this->ExpectedEnd(aCandidate);
  const bool mayUseReserved = this->MayUseReserved(aCandidate, aUsable);
  aUsable.reserved.resize(aUsable.indices.size());
  for (std::size_t i = 0; i < aUsable.indices.size(); ++i) {
    fleet::TaskResources released;
    for (const Reservation& each :
         pool.workers[aUsable.indices[i]].reservations) {
      if (end > each.from && (each.isFirm || !mayUseReserved)) {
        aUsable.reserved[i] += each.need;
        released += each.released;
      }
    }
    // The reservations are met from what will be released first.
    const fleet::TaskResources free = aUsable.packing[i].free;
    released += free;
    aUsable.packing[i].free =
      ComponentwiseMin(free, aUsable.Unreserved(i, released));
  }
}

UsableWorkers
Dispatcher::State::ToUsableWorkers(const Candidate& aCandidate,
                                   std::vector<std::uint32_t> aIndices) const
{
  const Pool& pool = *aCandidate.pool;
  const std::uint32_t maxPerWorker = aCandidate.Spec().maxPerWorker;
  std::unordered_map<base::AgentId, std::uint32_t> tasksOn;
  if (maxPerWorker > 0) {
    for (const Task& task : aCandidate.step->tasks) {
      if (task.IsOnWorker()) {
        ++tasksOn[task.agent];
      }
    }
  }
  constexpr std::uint32_t kUnnumbered = UINT32_MAX;
  std::vector<std::uint32_t> racks(pool.racks, kUnnumbered);
  std::uint32_t lastRack = 0;
  UsableWorkers usable;
  usable.packing.reserve(aIndices.size());
  for (const std::uint32_t index : aIndices) {
    const PoolWorker& each = pool.workers[index];
    std::uint32_t& rack = racks[each.rack];
    if (rack == kUnnumbered) {
      rack = lastRack++;
    }
    const auto runs =
      static_cast<std::uint32_t>(each.worker->allocations.size());
    PackingWorker packing{ each.worker->Free(),
                           rack,
                           kMaxRunsOnWorker -
                             std::min(kMaxRunsOnWorker, runs) };
    if (maxPerWorker > 0) {
      const auto found = tasksOn.find(each.worker->agent);
      packing.remainingTaskLimit = std::min(
        packing.remainingTaskLimit,
        maxPerWorker -
          std::min(maxPerWorker, found == tasksOn.end() ? 0 : found->second));
    }
    if (pool.coldWorkers > 0) {
      const bool isCold = this->IsCold(*each.worker);
      usable.isCold.push_back(isCold);
      if (isCold) {
        packing.remainingTaskLimit =
          std::min(packing.remainingTaskLimit,
                   this->RemainingColdStarts(pool, *each.worker));
      }
    }
    usable.packing.push_back(packing);
    if (this->UsesSpeeds()) {
      usable.slowness.push_back(this->SlownessOf(*each.worker));
    }
  }
  usable.indices = std::move(aIndices);
  return usable;
}

RackedRequest
Dispatcher::State::MakeRequest(const Candidate& aCandidate,
                               const UsableWorkers& aUsable,
                               std::uint32_t aCount) const
{
  const job::StepSpec& spec = aCandidate.Spec();
  const Pool& pool = *aCandidate.pool;
  PackingRequest request;
  request.need = RequiredResources(spec);
  request.count = aCount;
  base::Duration maxRackWait = spec.estimate * kRackWaitEstimates;
  if (aCandidate.isGuaranteed) {
    maxRackWait = kGuaranteedMaxRackWait;
  } else if (pool.IsMostlyIdle() ||
             this->HasPlentyOfRoom(aCandidate, aUsable)) {
    maxRackWait = std::min(maxRackWait, kIdlePoolMaxWait);
  }
  const bool mayWaitForRack = this->WaitedTime(aCandidate) < maxRackWait;
  if (spec.prefersOneRack && spec.count > 1 && mayWaitForRack) {
    // Does not wait if the tasks would not fit even into an empty rack.
    std::vector<PackingWorker> empty = aUsable.packing;
    for (std::size_t i = 0; i < empty.size(); ++i) {
      empty[i].free = pool.workers[aUsable.indices[i]].worker->info->capacity;
    }
    request.requiresOneRack = true;
    request.requiresOneRack = !this->packing->Pack(empty, request).empty();
  }
  if (!spec.dataRack.IsEmpty()) {
    for (std::size_t i = 0; i < aUsable.indices.size(); ++i) {
      if (pool.workers[aUsable.indices[i]].worker->info->rack ==
          spec.dataRack) {
        request.rack = aUsable.packing[i].rack;
        break;
      }
    }
  }
  return { request, !mayWaitForRack };
}

std::vector<std::uint32_t>
Dispatcher::State::Pack(std::span<const PackingWorker> aAvailable,
                        const RackedRequest& aRequest) const
{
  auto chosen = this->packing->Pack(aAvailable, aRequest.request);
  if (chosen.empty() && aRequest.request.rack && aRequest.mayLeaveRack) {
    PackingRequest anyRack = aRequest.request;
    anyRack.rack.reset();
    chosen = this->packing->Pack(aAvailable, anyRack);
  }
  return chosen;
}

bool
Dispatcher::State::PlaceGang(const Candidate& aCandidate,
                             const UsableWorkers& aUsable)
{
  const auto& idle = aCandidate.idleTasks;
  const auto chosen = this->PackGangWarmFirst(
    aCandidate,
    aUsable,
    this->MakeRequest(
      aCandidate, aUsable, static_cast<std::uint32_t>(idle.size())));
  if (chosen.empty()) {
    return false;
  }
  std::vector<Worker*> workers;
  workers.reserve(chosen.size());
  for (const std::uint32_t position : chosen) {
    workers.push_back(
      aCandidate.pool->workers[aUsable.indices[position]].worker);
  }
  this->CommitPlacement(aCandidate, idle, workers);
  return true;
}

std::size_t
Dispatcher::State::PlaceIndependentTasks(const Candidate& aCandidate,
                                         UsableWorkers& aUsable)
{
  const auto& workers = aCandidate.pool->workers;
  const fleet::TaskResources need = RequiredResources(aCandidate.Spec());
  const auto pack = [&](const UsableWorkers& aWorkers) {
    const auto chosen = this->PackTaskWarmFirst(
      aCandidate, aWorkers, this->MakeRequest(aCandidate, aWorkers, 1));
    return chosen.empty() ? std::optional<std::uint32_t>()
                          : aWorkers.indices[chosen.front()];
  };
  const base::Duration maxOtherWait =
    aCandidate.pool->IsMostlyIdle() ? kIdlePoolMaxWait : kBusyPoolMaxWait;
  std::size_t placed = 0;
  for (const std::uint32_t index : aCandidate.idleTasks) {
    const Task& task = aCandidate.step->tasks[index];
    std::optional<std::uint32_t> chosen;
    if (!task.failedOn.IsEmpty()) {
      const UsableWorkers others =
        aUsable.Without(*aCandidate.pool, task.failedOn);
      const bool mayWait = !others.indices.empty() &&
                           this->callTime.now - task.failedAt <= maxOtherWait;
      chosen = pack(others);
      if (!chosen && mayWait) {
        continue;
      }
    }
    if (!chosen) {
      chosen = pack(aUsable);
    }
    if (!chosen) {
      break;
    }
    const std::uint32_t tasks[] = { index };
    Worker* const worker[] = { workers[*chosen].worker };
    this->CommitPlacement(aCandidate, tasks, worker);
    ++placed;
    PackingWorker& packing = aUsable.packing[static_cast<std::size_t>(
      std::lower_bound(
        aUsable.indices.begin(), aUsable.indices.end(), *chosen) -
      aUsable.indices.begin())];
    packing.free -= need;
    if (packing.remainingTaskLimit != UINT32_MAX) {
      --packing.remainingTaskLimit;
    }
  }
  return placed;
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
    task.firstProgress.reset();
    task.lastProgress.reset();
    task.isProgressLearned = false;
    task.isResumed = !task.checkpoint.empty();
    task.phaseStartedAt = this->callTime.now;
    task.startedAt = this->callTime.now;
    task.isInherited = false;
    task.releasedAt = {};
    const job::TaskRun run{ { step.id, aTasks[i] }, task.run };
    const fleet::TaskResources usedBefore = worker.used;
    this->AllocateResources(worker, run, RequiredResources(spec));
    aCandidate.pool->usedAccelerators +=
      worker.used.accelerators - usedBefore.accelerators;
    aCandidate.pool->usedMilliCores +=
      worker.used.milliCores - usedBefore.milliCores;
    this->CountPlacement(*aCandidate.pool, worker);
    this->unwrittenPlacements.push_back(run);
    this->observer.OnPlaced(
      run, worker.agent, this->callTime.now - *step.readyAt);
  }
  aCandidate.pool->runs.reset();
  this->MarkDirty(step);
}

PoolRun
Dispatcher::State::ToPoolRun(const Worker& aWorker,
                             const job::TaskRun& aRun,
                             const fleet::TaskResources& aNeed)
{
  const Task* task = this->FindRun(aRun);
  if (task == nullptr || !task->IsOnWorker()) {
    const auto stop = aWorker.orphanStops.find(aRun);
    return this->ToEndingRun(aNeed,
                             stop == aWorker.orphanStops.end()
                               ? this->callTime.now
                               : stop->second.firstSentAt);
  }
  if (task->phase == Phase::Stopping) {
    return this->ToEndingRun(aNeed, task->stopRequestedAt);
  }
  const job::StepSpec& spec = *this->SpecOf(aRun.task.step);
  const base::Duration elapsed = this->callTime.now - task->startedAt;
  if (this->runTimes != nullptr && !spec.isLongRunning) {
    if (const auto measured = this->MeasuredRemaining(*task)) {
      return { aNeed, measured, false, true };
    }
    const Step& step = *this->FindStep(aRun.task.step);
    return {
      aNeed, this->ExpectedRemaining(aWorker, step, *task), false, false
    };
  }
  if (spec.isLongRunning || spec.estimate == base::Duration::zero()) {
    return { aNeed, std::nullopt, false };
  }
  // An overdue run is assumed to need as long again as it is overdue, so that
  // longer and longer jobs pass a step that waits for it.
  const base::Duration difference =
    spec.estimate > elapsed ? spec.estimate - elapsed : elapsed - spec.estimate;
  return { aNeed,
           std::max(difference, spec.estimate / kOverrunDivisor),
           false };
}

PoolRun
Dispatcher::State::ToEndingRun(const fleet::TaskResources& aNeed,
                               base::TimePoint aStopRequestedAt) const
{
  if (this->callTime.now - aStopRequestedAt >
      this->options.stopTime +
        this->options.stopRetryInterval * kMaxStopRetries) {
    return { aNeed, std::nullopt, false };
  }
  return { aNeed, this->options.stopTime, true };
}

void
Dispatcher::State::CollectRuns(Pool& aPool)
{
  auto& runs = aPool.runs.emplace();
  for (PoolWorker& each : aPool.workers) {
    each.firstRun = runs.size();
    for (const auto& [run, need] : each.worker->allocations) {
      runs.push_back(this->ToPoolRun(*each.worker, run, need));
    }
  }
}

std::span<const PoolRun>
Dispatcher::State::RunsOn(Pool& aPool, std::uint32_t aWorker)
{
  if (!aPool.runs) {
    this->CollectRuns(aPool);
  }
  const PoolWorker& worker = aPool.workers[aWorker];
  return std::span(*aPool.runs)
    .subspan(worker.firstRun, worker.worker->allocations.size());
}

/**
 * Finds the earliest time at which the step fits if running tasks end as
 * estimated, and reserves what it would use. Returns false if it never fits, or
 * only after the end of a run that may never end.
 */
bool
Dispatcher::State::Reserve(const Candidate& aCandidate,
                           const UsableWorkers& aUsable,
                           std::uint32_t aCount)
{
  const auto& workers = aCandidate.pool->workers;
  const RackedRequest request = this->MakeRequest(aCandidate, aUsable, aCount);
  struct Release
  {
    base::Duration in;
    std::size_t worker;
    fleet::TaskResources freed;
  };
  std::vector<Release> releases;
  for (std::size_t i = 0; i < aUsable.indices.size(); ++i) {
    for (const PoolRun& run :
         this->RunsOn(*aCandidate.pool, aUsable.indices[i])) {
      if (run.remaining) {
        releases.push_back({ *run.remaining, i, run.need });
      }
    }
  }
  std::sort(releases.begin(),
            releases.end(),
            [](const Release& aLeft, const Release& aRight) {
              return aLeft.in < aRight.in;
            });
  std::vector<fleet::TaskResources> released;
  const auto packAfter = [&](std::size_t aReleases) {
    released.assign(aUsable.indices.size(), {});
    for (std::size_t i = 0; i < aReleases; ++i) {
      released[releases[i].worker] += releases[i].freed;
    }
    auto available = aUsable.packing;
    for (std::size_t i = 0; i < available.size(); ++i) {
      available[i].free = workers[aUsable.indices[i]].worker->Free();
      available[i].free += released[i];
      available[i].free = aUsable.Unreserved(i, available[i].free);
    }
    return this->Pack(available, request);
  };
  if (releases.empty() || packAfter(releases.size()).empty()) {
    return false;
  }
  // Finds the first sufficient release by bisection.
  std::size_t first = 0;
  for (std::size_t end = releases.size() - 1; first < end;) {
    const std::size_t middle = first + (end - first) / 2;
    if (packAfter(middle + 1).empty()) {
      first = middle + 1;
    } else {
      end = middle;
    }
  }
  const auto chosen = packAfter(first + 1);
  AddReservation(aCandidate,
                 aUsable,
                 chosen,
                 released,
                 { .from = this->callTime.now + releases[first].in,
                   .need = {},
                   .released = {},
                   .isFirm = false });
  return true;
}

void
Dispatcher::State::AddReservation(
  const Candidate& aCandidate,
  const UsableWorkers& aUsable,
  std::span<const std::uint32_t> aChosen,
  std::span<const fleet::TaskResources> aReleased,
  Reservation aReservation)
{
  ++aCandidate.pool->reservations;
  const fleet::TaskResources need = RequiredResources(aCandidate.Spec());
  std::map<std::uint32_t, fleet::TaskResources> needs;
  for (const std::uint32_t position : aChosen) {
    needs[position] += need;
  }
  for (const auto& [position, sum] : needs) {
    aReservation.need = sum;
    aReservation.released = aReleased[position];
    aCandidate.pool->workers[aUsable.indices[position]].reservations.push_back(
      aReservation);
  }
}

} // namespace amaranthwind::dispatch
