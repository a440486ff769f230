#pragma once

#include "amaranthwind/base/Clock.h"

#include <cstdint>

namespace amaranthwind::admission {

/** Measurements of one target since the previous update. */
struct LimiterSample
{
  /** Mean latency of successful requests. */
  base::Duration latency{};
  /**
   * Mean latency of the same kinds of requests on an idle target. Zero if
   * unknown; the lowest latency observed is used instead, which is too low when
   * the mix of kinds changes.
   */
  base::Duration expected{};
  std::uint32_t peakInFlight = 0;
  std::uint32_t completed = 0;
  /** Requests that timed out, or were refused for lack of a free slot. */
  std::uint32_t overloaded = 0;
};

/**
 * Determines how many requests an entry keeps in flight on one target. Used by
 * a single thread, off the request path.
 */
class ConcurrencyLimiter
{
public:
  virtual ~ConcurrencyLimiter() = default;
  /** Returns the new limit, which is at least 1. */
  virtual std::uint32_t Update(const LimiterSample& aSample) = 0;
  virtual std::uint32_t Limit() const = 0;
};

/** Constant limit, used as a baseline. */
class FixedLimiter final : public ConcurrencyLimiter
{
public:
  explicit FixedLimiter(std::uint32_t aLimit)
    : limit(aLimit)
  {
  }
  std::uint32_t Update(const LimiterSample& /*aSample*/) override
  {
    return this->limit;
  }
  std::uint32_t Limit() const override { return this->limit; }

private:
  const std::uint32_t limit;
};

struct AdaptiveLimiterOptions
{
  std::uint32_t initial = 4;
  std::uint32_t min = 1;
  /** Number of slots of the target. */
  std::uint32_t max = 8;
  /**
   * Ratio of measured to expected latency above which requests are considered
   * queued. At 1.5 the variance of service times alone reduces the limit: at
   * 90% load the simulated p99 is 646 ms, compared with 482 ms at 2.0.
   */
  double tolerance = 2.0;
};

/**
 * Increases the limit by one while it is fully used and latency is close to the
 * expected value. Decreases it in proportion to a rise in latency, and by a
 * quarter when the target refuses work. Entries that share a target need no
 * coordination, because each observes the others' load as latency.
 */
class AdaptiveLimiter final : public ConcurrencyLimiter
{
public:
  explicit AdaptiveLimiter(AdaptiveLimiterOptions aOptions);
  std::uint32_t Update(const LimiterSample& aSample) override;
  std::uint32_t Limit() const override;

private:
  base::Duration Expected(const LimiterSample& aSample);

  const AdaptiveLimiterOptions options;
  double limit;
  base::Duration lowestLatency{};
};

} // namespace amaranthwind::admission
