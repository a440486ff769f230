#pragma once

#include "amaranthwind/base/Clock.h"

#include <cstdint>

namespace amaranthwind::admission {

/** What one target did since the previous update. */
struct LimiterSample
{
  /** Mean latency of the requests that succeeded. */
  base::Duration latency{};
  /**
   * Mean latency that requests of the same kinds have on an idle target. Zero
   * if unknown: the lowest latency seen is used, which is too low when the
   * mix of kinds changes.
   */
  base::Duration expected{};
  std::uint32_t peakInFlight = 0;
  std::uint32_t completed = 0;
  /** Requests that the target refused for want of a slot, or timed out. */
  std::uint32_t overloaded = 0;
};

/**
 * Chooses how many requests an entry keeps in flight on one target. Used by
 * one thread, outside the path of a request.
 */
class ConcurrencyLimiter
{
public:
  virtual ~ConcurrencyLimiter() = default;
  /** The limit from now on; at least 1. */
  virtual std::uint32_t Update(const LimiterSample& aSample) = 0;
  virtual std::uint32_t Limit() const = 0;
};

/** Always the same limit, for comparison. */
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
  /** The slots of the target. */
  std::uint32_t max = 8;
  /**
   * Latency, relative to the expected one, that counts as queueing. With 1.5
   * the spread of the service times alone lowered the limit: at 90% load the
   * p99 in pick_driver was 646 ms, with 2.0 it is 482 ms.
   */
  double tolerance = 2.0;
};

/**
 * Raises the limit by one while it is used up and latency is near the expected
 * one; lowers it in proportion when latency grows, and by a quarter when the
 * target refuses work. Several entries share the slots of a target without
 * talking to each other: each sees the others' load as latency.
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
  base::Duration lowest{};
};

} // namespace amaranthwind::admission
