#include "amaranthwind/base/AdaptiveTimeout.h"

#include <algorithm>

namespace amaranthwind::base {

namespace {

/** The limit is this many times the estimated response time. */
constexpr int kLimitFactor = 3;
/** Share of the estimate that a faster response takes away. */
constexpr int kDecayDivisor = 2;

} // namespace

AdaptiveTimeout::AdaptiveTimeout(Duration aMin, Duration aMax)
  : min(aMin)
  , max(aMax)
{
}

Duration
AdaptiveTimeout::Limit() const noexcept
{
  const Duration response(this->estimate.load(std::memory_order_relaxed));
  return std::clamp(response * kLimitFactor, this->min, this->max);
}

void
AdaptiveTimeout::OnResponse(Duration aTime) noexcept
{
  // Concurrent updates may overwrite each other, since any of them is a valid
  // estimate.
  const auto previous = this->estimate.load(std::memory_order_relaxed);
  const auto decayed = previous - previous / kDecayDivisor;
  this->estimate.store(std::clamp(aTime.count(), decayed, this->max.count()),
                       std::memory_order_relaxed);
}

} // namespace amaranthwind::base
