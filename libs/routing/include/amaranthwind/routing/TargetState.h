#pragma once

#include "amaranthwind/base/Clock.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace amaranthwind::routing {

/**
 * Two 64-byte cache lines, because x86 processors prefetch lines in pairs. With
 * 64, false sharing between adjacent stripes slowed threads down by 20%.
 */
inline constexpr std::size_t kCacheLine = 128;
/** Additional threads share a stripe, which affects only performance. */
inline constexpr std::size_t kStripes = 8;

/** Index of a target's state in its table, with a generation against reuse. */
struct TargetHandle
{
  std::uint32_t index = 0;
  /** 0 marks an invalid handle. */
  std::uint32_t generation = 0;

  auto operator<=>(const TargetHandle&) const = default;
};

/** Parameters of outlier ejection and of the slow start of new targets. */
struct HealthOptions
{
  /** Consecutive failures after which a target is ejected. */
  std::uint32_t failuresToEject = 5;
  /** Doubled with each consecutive ejection, up to maxEjectionTime. */
  base::Duration ejectionTime = std::chrono::seconds(2);
  base::Duration maxEjectionTime = std::chrono::seconds(60);
  /** Maximum concurrent requests on a target on probation. */
  std::uint32_t probationLimit = 1;
  /** Consecutive successes that end the probation. */
  std::uint32_t successesToReturn = 3;
  /** Time in which the limit of a new target rises from 1 to its full value. */
  base::Duration slowStart = std::chrono::seconds(10);
  /** Maximum percentage of serving targets out of service at the same time. */
  std::uint32_t maxOutOfServicePercent = 50;
};

enum class Health : std::uint8_t
{
  Healthy,
  Ejected,   // Receives no requests until its ejection time has elapsed.
  Probation, // Receives a limited number of trial requests.
  Departed,
};

/** Outcome of a request with respect to the health of its target. */
enum class Outcome : std::uint8_t
{
  Success,
  Failure,
  /** Gives no information about the target, e.g. a cancelled request. */
  Neutral,
};

/**
 * Counters shared by all targets of one table. Both ejected targets and targets
 * on probation are out of service and count against the same limit. Otherwise a
 * fault common to all targets would put the whole fleet on probation in turns.
 */
struct alignas(kCacheLine) TableCounters
{
  std::atomic<std::uint32_t> outOfService{ 0 };
  std::atomic<std::uint32_t> maxOutOfService{ 0 };

  /** Counts one more target as out of service if the limit permits. */
  bool TryTakeOutOfService() noexcept;
};

/**
 * Load and health of one target. Owned by the TargetTable and outlives its
 * snapshots. All functions are thread-safe and lock-free.
 *
 * The unused part of the limit is held as credits. Each thread caches at most
 * one returned credit on a cache line of its own and reuses it for its next
 * request; other threads take it only if no other credit is left. Threads thus
 * write to a shared cache line only while they hold several requests on the
 * target, and the limit still applies to all threads together.
 */
class alignas(kCacheLine) TargetState
{
public:
  TargetState(const HealthOptions& aOptions, TableCounters& aCounters)
    : options(aOptions)
    , counters(aCounters)
  {
  }

  /** Acquires a credit for one request if limit and health permit. */
  bool TryAcquire(base::TimePoint aNow) noexcept;
  /** Returns the credit and updates health and latency from the outcome. */
  void Release(Outcome aOutcome,
               base::Duration aLatency,
               base::TimePoint aNow) noexcept;

  /** Limit in force at aNow, with health and slow start; 0 while ejected. */
  std::uint32_t EffectiveLimit(base::TimePoint aNow) const noexcept;
  /** Requests in flight; exact unless other threads acquire or release. */
  std::uint32_t InFlight() const noexcept;
  /**
   * Approximation for comparing two targets. Counts credits cached by other
   * threads as in flight, to avoid reading cache lines that they write often.
   */
  std::uint32_t ApproximateInFlight() const noexcept;
  std::uint32_t Limit() const noexcept { return this->limit.load(); }
  Health CurrentHealth() const noexcept { return this->health.load(); }
  /** Smoothed latency of successful requests; 0 before the first sample. */
  std::chrono::microseconds Latency() const noexcept;
  std::uint64_t Successes() const noexcept;
  std::uint64_t Failures() const noexcept { return this->failures.load(); }

private:
  friend class TargetTable;
  friend class RoutingSnapshot;

  /** Counters written by one thread. */
  struct alignas(kCacheLine) Stripe
  {
    std::atomic<std::int32_t> credits{ 0 };
    std::atomic<std::uint32_t> latencyMicros{ 0 };
    std::atomic<std::uint64_t> successes{ 0 };
  };

  /** Adds or removes credits after a change of the effective limit. */
  void AdjustCredits(std::uint32_t aAllowed) noexcept;
  bool AcquireCredit() noexcept;
  void ReturnCredit() noexcept;
  void OnFailure(base::TimePoint aNow) noexcept;
  void OnSuccess(base::Duration aLatency) noexcept;
  void Eject(Health aFrom, base::TimePoint aNow) noexcept;
  /** Marks the target as departed; outstanding permits can still finish. */
  void Retire() noexcept;
  /** Clears all state of the previous target or incarnation. */
  void Reset(std::uint32_t aLimit, base::TimePoint aNow) noexcept;

  // Read by every request, rarely written.
  std::atomic<std::uint32_t> limit{ 0 };
  /** Total credits: free, cached by a thread or held by a request. */
  std::atomic<std::uint32_t> allowed{ 0 };
  std::atomic<Health> health{ Health::Healthy };
  std::atomic<std::uint32_t> consecutiveFailures{ 0 };
  std::atomic<std::uint32_t> consecutiveSuccesses{ 0 };
  std::atomic<std::uint32_t> consecutiveEjections{ 0 };
  std::atomic<base::Duration::rep> ejectedUntil{ 0 };
  std::atomic<base::Duration::rep> joinedAt{ 0 };
  const HealthOptions& options;
  TableCounters& counters;

  /** Negative if the limit was reduced below the requests in flight. */
  alignas(kCacheLine) std::atomic<std::int32_t> freeCredits{ 0 };
  std::atomic<std::uint64_t> failures{ 0 };
  /** Number of snapshots that refer to this target. */
  std::atomic<std::uint32_t> pinCount{ 0 };

  std::array<Stripe, kStripes> stripes;
};

} // namespace amaranthwind::routing
