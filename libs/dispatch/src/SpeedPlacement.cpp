// Choice of workers by their speed.
//
// Load: a pool whose workers differ in speed by a factor of two. Best fit alone
// puts a member of most gangs on a slow worker, and the gang runs at its pace.

#include "DispatchState.h"

#include <algorithm>
#include <array>

namespace amaranthwind::dispatch {

namespace {

/**
 * Upper bounds of the slowness of workers that count as alike. A gang uses the
 * first class that has room for all of it.
 */
constexpr std::array kSlownessClasses{ 1.15, 1.5 };
/**
 * Part of the time that a gang would lose on slower workers for which it waits
 * for room on faster ones.
 */
constexpr double kMaxWaitPart = 0.5;
/** Longest such wait, however long the gang runs. */
constexpr std::chrono::duration<double> kMaxSpeedWait = std::chrono::seconds(5);
/** For tasks whose run time is not known, as a divisor. */
constexpr base::Duration kMinRunTime = std::chrono::milliseconds(1);

/** The workers without room for those that are slower or faster. */
std::vector<PackingWorker>
LimitSlowness(const UsableWorkers& aUsable, double aMin, double aMax)
{
  std::vector<PackingWorker> limited = aUsable.packing;
  for (std::size_t i = 0; i < limited.size(); ++i) {
    if (aUsable.slowness[i] < aMin || aUsable.slowness[i] > aMax) {
      limited[i].remainingTaskLimit = 0;
    }
  }
  return limited;
}

} // namespace

std::vector<std::uint32_t>
Dispatcher::State::PackGang(const Candidate& aCandidate,
                            const UsableWorkers& aUsable,
                            const RackedRequest& aRequest) const
{
  if (aUsable.slowness.empty()) {
    return this->Pack(aUsable.packing, aRequest);
  }
  for (const double maxSlowness : kSlownessClasses) {
    auto chosen = this->Pack(LimitSlowness(aUsable, 0, maxSlowness), aRequest);
    if (!chosen.empty()) {
      return chosen;
    }
  }
  auto chosen = this->Pack(aUsable.packing, aRequest);
  double slowest = 0;
  for (const std::uint32_t position : chosen) {
    slowest = std::max(slowest, aUsable.slowness[position]);
  }
  const auto lost = std::chrono::duration<double>(this->ExpectedRunTime(
                      *aCandidate.job->spec, aCandidate.step->id.step)) *
                    (slowest - 1);
  // A guaranteed gang is owed its room now, and a lasting one never makes up
  // for its wait.
  const bool mayWait =
    !aCandidate.isGuaranteed && !aCandidate.Spec().isLongRunning &&
    this->WaitedTime(aCandidate) < std::min<std::chrono::duration<double>>(
                                     lost * kMaxWaitPart, kMaxSpeedWait) &&
    this->FitsFasterWorkers(aCandidate, aUsable, aRequest, slowest);
  return mayWait ? std::vector<std::uint32_t>() : chosen;
}

bool
Dispatcher::State::FitsFasterWorkers(const Candidate& aCandidate,
                                     const UsableWorkers& aUsable,
                                     const RackedRequest& aRequest,
                                     double aSlowness) const
{
  std::vector<PackingWorker> faster =
    LimitSlowness(aUsable, 0, kSlownessClasses.back());
  for (std::size_t i = 0; i < faster.size(); ++i) {
    faster[i].free =
      aCandidate.pool->workers[aUsable.indices[i]].worker->info->capacity;
  }
  return aSlowness > kSlownessClasses.back() &&
         !this->Pack(faster, aRequest).empty();
}

std::vector<std::uint32_t>
Dispatcher::State::PackTask(const Candidate& aCandidate,
                            const UsableWorkers& aUsable,
                            const RackedRequest& aRequest) const
{
  if (aUsable.slowness.empty()) {
    return this->Pack(aUsable.packing, aRequest);
  }
  // Slow workers are left to tasks that are in time there, so that the fast
  // ones stay free for gangs.
  const base::Duration runTime = std::max<base::Duration>(
    this->ExpectedRunTime(*aCandidate.job->spec, aCandidate.step->id.step),
    kMinRunTime);
  const double affordable =
    1 + std::chrono::duration<double>(aCandidate.slack) /
          std::chrono::duration<double>(runTime);
  for (auto bound = kSlownessClasses.rbegin(); bound != kSlownessClasses.rend();
       ++bound) {
    auto chosen =
      this->Pack(LimitSlowness(aUsable, *bound, affordable), aRequest);
    if (!chosen.empty()) {
      return chosen;
    }
  }
  return this->Pack(aUsable.packing, aRequest);
}

} // namespace amaranthwind::dispatch
