// Workers that are cold: shortly after their zone was taken back, for example,
// tasks take longer to start on them.

#include "DispatchState.h"

#include <algorithm>

namespace amaranthwind::dispatch {

namespace {

/**
 * A cold worker gets at most so many times the starts of the average warm
 * worker of its pool, and so many more, so that load returns to it gradually.
 */
constexpr double kColdStartFactor = 1.5;
constexpr std::uint32_t kExtraColdStarts = 5;
/**
 * A worker whose reports differ by less than this in when it is warm again has
 * not become cold anew, which would allow it further starts.
 */
constexpr base::Duration kColdAnewAfter = std::chrono::seconds(1);

} // namespace

UsableWorkers
UsableWorkers::WithoutCold() const
{
  UsableWorkers warm = *this;
  for (std::size_t i = 0; i < warm.isCold.size(); ++i) {
    if (warm.isCold[i]) {
      warm.packing[i].remainingTaskLimit = 0;
    }
  }
  return warm;
}

bool
Dispatcher::State::IsCold(const Worker& aWorker) const
{
  return this->callTime.now < aWorker.coldUntil;
}

void
Dispatcher::State::UpdateColdness(Worker& aWorker)
{
  if (aWorker.info->coldFor <= std::chrono::milliseconds::zero()) {
    aWorker.coldUntil = std::min(aWorker.coldUntil, this->callTime.now);
    return;
  }
  if (this->callTime.now - aWorker.coldUntil > kColdAnewAfter) {
    // What a previous coordinator has placed on it is known in part only.
    aWorker.coldStarts = static_cast<std::uint32_t>(aWorker.allocations.size());
    aWorker.warmStartsBefore = this->warmStarts[aWorker.info->pool];
  }
  aWorker.coldUntil = aWorker.reportedAt + aWorker.info->coldFor;
}

std::uint32_t
Dispatcher::State::RemainingColdStarts(const Pool& aPool,
                                       const Worker& aWorker) const
{
  if (aPool.warmWorkers == 0) {
    return UINT32_MAX; // There is no other worker to prefer.
  }
  const auto warm = this->warmStarts.find(aWorker.info->pool);
  const double average = warm == this->warmStarts.end()
                           ? 0.0
                           : warm->second - aWorker.warmStartsBefore;
  const auto limit =
    static_cast<std::uint32_t>(std::max(average, 0.0) * kColdStartFactor) +
    kExtraColdStarts;
  return limit - std::min(limit, aWorker.coldStarts);
}

void
Dispatcher::State::CountPlacement(const Pool& aPool, Worker& aWorker)
{
  if (this->IsCold(aWorker)) {
    ++aWorker.coldStarts;
  } else if (aPool.warmWorkers > 0) {
    this->warmStarts[aWorker.info->pool] += 1.0 / aPool.warmWorkers;
  }
}

std::vector<std::uint32_t>
Dispatcher::State::PackGangWarmFirst(const Candidate& aCandidate,
                                     const UsableWorkers& aUsable,
                                     const RackedRequest& aRequest) const
{
  if (!aUsable.isCold.empty()) {
    const UsableWorkers warm = aUsable.WithoutCold();
    auto chosen = this->PackGang(aCandidate, warm, aRequest);
    // It may fit on warm workers and yet wait for faster ones.
    if (!chosen.empty() || !this->Pack(warm.packing, aRequest).empty()) {
      return chosen;
    }
  }
  return this->PackGang(aCandidate, aUsable, aRequest);
}

std::vector<std::uint32_t>
Dispatcher::State::PackTaskWarmFirst(const Candidate& aCandidate,
                                     const UsableWorkers& aUsable,
                                     const RackedRequest& aRequest) const
{
  if (!aUsable.isCold.empty()) {
    auto chosen = this->PackTask(aCandidate, aUsable.WithoutCold(), aRequest);
    if (!chosen.empty()) {
      return chosen;
    }
  }
  return this->PackTask(aCandidate, aUsable, aRequest);
}

} // namespace amaranthwind::dispatch
