#include "amaranthwind/admission/ConcurrencyLimiter.h"

#include <algorithm>

namespace amaranthwind::admission {

namespace {

constexpr double kRefusalFactor = 0.75;
// One noisy sample at most halves the limit.
constexpr double kMinFactor = 0.5;
// The lowest latency is forgotten by 1% per update, so that a target that has
// become slower for good gets its limit back.
constexpr std::int64_t kForgetDivisor = 100;

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
  if (this->lowest == base::Duration::zero() ||
      aSample.latency < this->lowest) {
    this->lowest = aSample.latency;
  } else {
    this->lowest += this->lowest / kForgetDivisor;
  }
  return this->lowest;
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
