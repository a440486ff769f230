#include "amaranthwind/admission/ConcurrencyLimiter.h"

#include <algorithm>

namespace amaranthwind::admission {

namespace {

constexpr double kRefusalFactor = 0.75;
// Bounds the decrease, so that one noisy sample at most halves the limit.
constexpr double kMinFactor = 0.5;
// The lowest latency rises by 1% per update, so that the limit recovers on a
// target that has become permanently slower.
constexpr std::int64_t kDecayDivisor = 100;

} // namespace

AdaptiveLimiter::AdaptiveLimiter(AdaptiveLimiterOptions aOptions)
  : options(aOptions)
  , limit(std::clamp(aOptions.initial, aOptions.min, aOptions.max))
{
}

base::Duration
AdaptiveLimiter::Expected(const LimiterSample& aSample)
{
  if (aSample.expected > base::Duration::zero()) {
    return aSample.expected;
  }
  if (this->lowestLatency == base::Duration::zero() ||
      aSample.latency < this->lowestLatency) {
    this->lowestLatency = aSample.latency;
  } else {
    this->lowestLatency += this->lowestLatency / kDecayDivisor;
  }
  return this->lowestLatency;
}

std::uint32_t
AdaptiveLimiter::Update(const LimiterSample& aSample)
{
  if (aSample.overloaded > 0) {
    this->limit *= kRefusalFactor;
  } else if (aSample.completed > 0) {
    const double ratio = std::chrono::duration<double>(aSample.latency) /
                         std::chrono::duration<double>(std::max(
                           this->Expected(aSample), base::Duration(1)));
    if (ratio > this->options.tolerance) {
      this->limit *= std::max(this->options.tolerance / ratio, kMinFactor);
    } else if (aSample.peakInFlight >= this->Limit()) {
      this->limit += 1;
    }
  }
  this->limit =
    std::clamp<double>(this->limit, this->options.min, this->options.max);
  return this->Limit();
}

std::uint32_t
AdaptiveLimiter::Limit() const
{
  return static_cast<std::uint32_t>(this->limit);
}

} // namespace amaranthwind::admission
