// Preemption: frees resources for a step by stopping less important work.

#include "DispatchState.h"

#include <algorithm>
#include <bit>
#include <limits>

namespace amaranthwind::dispatch {

namespace {

/**
 * A step without a guarantee may discard at most this multiple of its own work,
 * because it gains only the difference between finishing on time and late.
 */
constexpr double kWasteLimit = 0.5;
/** From the end of a run to the start of another one in its place. */
constexpr base::Duration kStartMargin = std::chrono::milliseconds(300);
/** Tolerance for the order in which costs are added up. */
constexpr double kRoundingTolerance = 1e-9;

using Amount = std::uint64_t (*)(const fleet::TaskResources&);

std::uint64_t
AcceleratorsOf(const fleet::TaskResources& aResources)
{
  return aResources.accelerators;
}

std::uint64_t
MilliCoresOf(const fleet::TaskResources& aResources)
{
  return aResources.milliCores;
}

FreeingCosts
MakeFreeingCosts(const VictimList& aList, Amount aAmount)
{
  FreeingCosts costs;
  costs.sums.reserve(aList.victims.size());
  for (const Victim& victim : aList.victims) {
    std::uint64_t amount = 0;
    for (std::size_t i = victim.first; i < victim.end; ++i) {
      amount += aAmount(aList.tasks[i].task->need);
    }
    if (amount > 0) {
      costs.sums.push_back({ amount, victim.cost });
    }
  }
  using Sum = FreeingCosts::Sum;
  std::sort(costs.sums.begin(),
            costs.sums.end(),
            [](const Sum& aLeft, const Sum& aRight) {
              return aLeft.cost * static_cast<double>(aRight.amount) <
                     aRight.cost * static_cast<double>(aLeft.amount);
            });
  for (std::size_t i = 1; i < costs.sums.size(); ++i) {
    costs.sums[i].amount += costs.sums[i - 1].amount;
    costs.sums[i].cost += costs.sums[i - 1].cost;
  }
  return costs;
}

/** What is lost at least to free what the tasks lack of one resource. */
double
MinWaste(const FreeingCosts& aCosts,
         std::span<const PackingWorker> aAvailable,
         const PackingRequest& aRequest,
         Amount aAmount)
{
  const std::uint64_t needed = aAmount(aRequest.need) * aRequest.count;
  std::uint64_t free = 0;
  for (const PackingWorker& worker : aAvailable) {
    free += aAmount(worker.free);
  }
  return aCosts.LowerBound(needed - std::min(needed, free));
}

} // namespace

double
FreeingCosts::LowerBound(std::uint64_t aAmount) const
{
  const auto last = std::lower_bound(
    this->sums.begin(),
    this->sums.end(),
    aAmount,
    [](const Sum& aSum, std::uint64_t aFreed) { return aSum.amount < aFreed; });
  if (aAmount == 0) {
    return 0;
  }
  if (last == this->sums.end()) {
    return std::numeric_limits<double>::infinity();
  }
  // A part of the last victim would be enough.
  const Sum before = last == this->sums.begin() ? Sum{} : *std::prev(last);
  const double part = static_cast<double>(aAmount - before.amount) /
                      static_cast<double>(last->amount - before.amount);
  return before.cost + part * (last->cost - before.cost);
}

void
Dispatcher::State::CollectPreemptibleTasks(Pool& aPool)
{
  auto& tasks = aPool.preemptibleTasks.emplace();
  for (auto& [id, job] : this->jobs) {
    if (this->guaranteedJobs.contains(id)) {
      continue;
    }
    for (auto& [key, step] : job.steps) {
      const job::StepSpec& spec = job.spec->steps[key.second];
      for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
        const Task& task = step.tasks[i];
        if (task.phase != Phase::Ordered && task.phase != Phase::Running) {
          continue;
        }
        const auto found = std::lower_bound(
          aPool.workers.begin(),
          aPool.workers.end(),
          task.agent,
          [](const PoolWorker& aWorker, const base::AgentId& aAgent) {
            return aWorker.worker->agent < aAgent;
          });
        if (found != aPool.workers.end() &&
            found->worker->agent == task.agent) {
          tasks.push_back(
            { &job,
              &step,
              i,
              static_cast<std::uint32_t>(found - aPool.workers.begin()),
              RequiredResources(spec),
              WorkLostByStop(spec, this->callTime.now - task.startedAt) });
        }
      }
    }
  }
}

const VictimList&
Dispatcher::State::FindVictims(const Candidate& aCandidate,
                               const UsableWorkers& aUsable)
{
  Pool& pool = *aCandidate.pool;
  if (pool.victims && pool.victims->isGuaranteed == aCandidate.isGuaranteed &&
      pool.victims->workers == aUsable.indices) {
    return *pool.victims;
  }
  if (!pool.preemptibleTasks) {
    this->CollectPreemptibleTasks(pool);
  }
  constexpr std::uint32_t kUnusable = UINT32_MAX;
  std::vector<std::uint32_t> positions(pool.workers.size(), kUnusable);
  for (std::uint32_t i = 0; i < aUsable.indices.size(); ++i) {
    positions[aUsable.indices[i]] = i;
  }
  VictimList& list = pool.victims.emplace();
  list.workers = aUsable.indices;
  list.isGuaranteed = aCandidate.isGuaranteed;
  for (const PreemptibleTask& each : *pool.preemptibleTasks) {
    const bool isUrgent = each.job->spec->urgency == 0;
    // A task that was preempted before is preempted again only for a
    // guarantee; otherwise its work could be discarded run after run.
    const bool isProtected = each.step->tasks[each.index].preemptions > 0;
    if (positions[each.worker] == kUnusable ||
        (!aCandidate.isGuaranteed && (isUrgent || isProtected))) {
      continue;
    }
    const bool isSameGang = !list.tasks.empty() &&
                            list.tasks.back().task->step == each.step &&
                            each.job->spec->steps[each.step->id.step].isGang;
    if (!isSameGang) {
      list.victims.push_back({ list.tasks.size(), list.tasks.size(), 0 });
    }
    list.tasks.push_back({ &each, positions[each.worker] });
    list.victims.back().end = list.tasks.size();
    list.victims.back().cost += each.cost;
  }
  std::sort(list.victims.begin(),
            list.victims.end(),
            [](const Victim& aLeft, const Victim& aRight) {
              return aLeft.cost < aRight.cost;
            });
  list.accelerators = MakeFreeingCosts(list, AcceleratorsOf);
  list.milliCores = MakeFreeingCosts(list, MilliCoresOf);
  return list;
}

bool
Dispatcher::State::FitsInTime(const Candidate& aCandidate,
                              const UsableWorkers& aUsable,
                              const RackedRequest& aRequest)
{
  std::vector<PackingWorker> available = aUsable.packing;
  for (std::size_t i = 0; i < available.size(); ++i) {
    for (const PoolRun& run :
         this->RunsOn(*aCandidate.pool, aUsable.indices[i])) {
      if (run.isMeasured && *run.remaining + kStartMargin <= aCandidate.slack) {
        available[i].free += run.need;
      }
    }
  }
  return !this->Pack(available, aRequest).empty();
}

bool
Dispatcher::State::Preempt(const Candidate& aCandidate,
                           const UsableWorkers& aUsable,
                           std::uint32_t aCount)
{
  Pool& pool = *aCandidate.pool;
  // Resources of tasks that are already stopping count as available.
  std::vector<fleet::TaskResources> ending(aUsable.indices.size());
  std::vector<PackingWorker> available = aUsable.packing;
  for (std::size_t i = 0; i < available.size(); ++i) {
    for (const PoolRun& run : this->RunsOn(pool, aUsable.indices[i])) {
      if (run.isEnding) {
        ending[i] += run.need;
      }
    }
    available[i].free = pool.workers[aUsable.indices[i]].worker->Free();
    available[i].free += ending[i];
  }
  const auto pack = [&](std::vector<PackingWorker> aWorkers,
                        const RackedRequest& aRequest) {
    for (std::size_t i = 0; i < aWorkers.size(); ++i) {
      aWorkers[i].free = aUsable.Unreserved(i, aWorkers[i].free);
    }
    return this->Pack(aWorkers, aRequest);
  };
  const RackedRequest request = this->MakeRequest(aCandidate, aUsable, aCount);
  // Load: urgent gangs arrive while the pool is full of less urgent work, some
  // of which is nearly done.
  if (this->runTimes != nullptr && !aCandidate.isGuaranteed &&
      this->FitsInTime(aCandidate, aUsable, request)) {
    return false;
  }
  const double wasteLimit =
    aCandidate.isGuaranteed
      ? std::numeric_limits<double>::infinity()
      : kWasteLimit *
          WorkOf(aCandidate.Spec(),
                 this->ExpectedRunTime(*aCandidate.job->spec,
                                       aCandidate.step->id.step)) *
          aCount;
  const VictimList& list = this->FindVictims(aCandidate, aUsable);
  const double minWaste = std::max(
    MinWaste(list.accelerators, available, request.request, AcceleratorsOf),
    MinWaste(list.milliCores, available, request.request, MilliCoresOf));
  if (minWaste > wasteLimit * (1 + kRoundingTolerance)) {
    return false;
  }
  const auto& tasks = list.tasks;
  // The last of the chosen victims is always needed, so that none may exceed
  // the limit by itself.
  std::span<const Victim> victims(
    list.victims.begin(),
    std::upper_bound(list.victims.begin(),
                     list.victims.end(),
                     wasteLimit,
                     [](double aLimit, const Victim& aVictim) {
                       return aLimit < aVictim.cost;
                     }));
  const auto release = [&](std::vector<PackingWorker>& aWorkers,
                           const Victim& aVictim) {
    for (std::size_t i = aVictim.first; i < aVictim.end; ++i) {
      aWorkers[tasks[i].position].free += tasks[i].task->need;
    }
  };
  const auto withhold = [&](std::vector<PackingWorker>& aWorkers,
                            const Victim& aVictim) {
    for (std::size_t i = aVictim.first; i < aVictim.end; ++i) {
      aWorkers[tasks[i].position].free -= tasks[i].task->need;
    }
  };
  // The shortest sufficient prefix of the victims, found by bisection.
  std::vector<PackingWorker> freed = available;
  for (const Victim& victim : victims) {
    release(freed, victim);
  }
  auto chosen = pack(freed, request);
  if (chosen.empty()) {
    return false;
  }
  std::size_t count = 0;
  for (std::size_t end = victims.size(); count < end;) {
    const std::size_t middle = count + (end - count) / 2;
    freed = available;
    for (std::size_t i = 0; i < middle; ++i) {
      release(freed, victims[i]);
    }
    if (auto packed = pack(freed, request); !packed.empty()) {
      end = middle;
      chosen = std::move(packed);
    } else {
      count = middle + 1;
    }
  }
  victims = victims.first(count);
  freed = available;
  for (const Victim& victim : victims) {
    release(freed, victim);
  }
  // Drops victims that turn out to be unnecessary, most expensive first. The
  // last one is needed, or a shorter prefix would have been sufficient.
  std::vector<Victim> needed;
  double waste = 0;
  for (std::size_t undecided = count; undecided > 0;) {
    const Victim& victim = victims[--undecided];
    needed.push_back(victim);
    waste += victim.cost;
    if (waste > wasteLimit) {
      return false;
    }
    // Drops as many of the next victims as possible: tries 1, 2, 4, ... of
    // them at once, and half as many after the first failure.
    std::size_t step = 1;
    for (bool isGrowing = true; step > 0 && undecided > 0;) {
      step = std::min(step, std::bit_floor(undecided));
      std::vector<PackingWorker> reduced = freed;
      for (std::size_t i = undecided - step; i < undecided; ++i) {
        withhold(reduced, victims[i]);
      }
      if (auto packed = pack(reduced, request); !packed.empty()) {
        undecided -= step;
        freed = std::move(reduced);
        chosen = std::move(packed);
      } else {
        isGrowing = false;
      }
      step = isGrowing ? step * 2 : step / 2;
    }
  }
  std::vector<fleet::TaskResources> released = std::move(ending);
  for (const Victim& victim : needed) {
    for (std::size_t i = victim.first; i < victim.end; ++i) {
      released[tasks[i].position] += tasks[i].task->need;
    }
  }
  AddReservation(
    aCandidate,
    aUsable,
    chosen,
    released,
    { .from = this->callTime.now, .need = {}, .released = {}, .isFirm = true });
  for (auto victim = needed.rbegin(); victim != needed.rend(); ++victim) {
    for (std::size_t i = victim->first; i < victim->end; ++i) {
      const PreemptibleTask& task = *tasks[i].task;
      ++task.step->tasks[task.index].preemptions;
      this->RequestStop(*task.step,
                        task.index,
                        aCandidate.isGuaranteed ? "reclaimed for a guarantee"
                                                : "preempted by urgent work");
    }
  }
  if (!needed.empty()) {
    pool.runs.reset();
    pool.preemptibleTasks.reset();
    pool.victims.reset();
  }
  return true;
}

} // namespace amaranthwind::dispatch
