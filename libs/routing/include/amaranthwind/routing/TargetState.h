#pragma once

#include "amaranthwind/base/Clock.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace amaranthwind::routing {

/**
 * Two lines of 64 bytes, which x86 processors fetch together. With 64, threads
 * that wrote to neighbouring stripes slowed each other down by a fifth.
 */
inline constexpr std::size_t kCacheLine = 128;
/** Threads beyond this number share a stripe, which costs speed only. */
inline constexpr std::size_t kStripes = 8;

/** Place of a target in its table, and which use of that place is meant. */
struct TargetHandle
{
  std::uint32_t index = 0;
  /** 0 is never in use. */
  std::uint32_t generation = 0;

  auto operator<=>(const TargetHandle&) const = default;
};

/** Limits of outlier ejection and of the slow start after joining. */
struct HealthOptions
{
  /** Failures in a row after which a target is ejected. */
  std::uint32_t failuresToEject = 5;
  /** Doubled with every ejection in a row, up to the maximum. */
  base::Duration ejectionTime = std::chrono::seconds(2);
  base::Duration maxEjectionTime = std::chrono::seconds(60);
  /** Requests at the same time on a target that is on probation. */
  std::uint32_t probationLimit = 1;
  /** Successes in a row that end the probation. */
  std::uint32_t successesToReturn = 3;
  /** The limit of a new target grows from 1 to its full value in this time. */
  base::Duration slowStart = std::chrono::seconds(10);
  /** At most this part of the serving targets is out of service at a time. */
  std::uint32_t maxOutOfServicePercent = 50;
};

enum class Health : std::uint8_t
{
  Healthy,
  Ejected,   // Gets no request until its ejection time is over.
  Probation, // Gets few trial requests.
  Departed,
};

/** How a request on a target ended, as far as the target's health goes. */
enum class Outcome : std::uint8_t
{
  Success,
  Failure,
  /** Says nothing about the target, for example a cancelled request. */
  Neutral,
};

/**
 * Counters that all targets of one table share. Targets that are ejected or on
 * probation are out of service and count against the same limit: otherwise a
 * fault of all targets would put the whole fleet on probation in turns.
 */
struct alignas(kCacheLine) TableCounters
{
  std::atomic<std::uint32_t> outOfService{ 0 };
  std::atomic<std::uint32_t> maxOutOfService{ 0 };

  /** Counts one more target out of service if the limit allows it. */
  bool TryTakeOut() noexcept;
};

/**
 * Live counters of one target. Owned by the TargetTable; outlives snapshots.
 * All functions are thread-safe and take no lock.
 *
 * The free part of the limit is held as credits. Each thread keeps at most one
 * returned credit on a cache line of its own, where it finds it for its next
 * request; other threads take it only if no other credit is left. So threads
 * write to a shared cache line only when they hold several requests on the
 * target, and the limit still holds for all threads together.
 */
class alignas(kCacheLine) TargetState
{
public:
  TargetState(const HealthOptions& aOptions, TableCounters& aCounters)
    : options(aOptions)
    , counters(aCounters)
  {
  }

  /** Counts one request up if the limit and the health allow it. */
  bool TryAcquire(base::TimePoint aNow) noexcept;
  /** Counts one request down and learns from how it ended. */
  void Release(Outcome aOutcome,
               base::Duration aLatency,
               base::TimePoint aNow) noexcept;

  /** Requests that it may hold now; 0 while it is ejected. */
  std::uint32_t EffectiveLimit(base::TimePoint aNow) const noexcept;
  /** Exact while no other thread acquires or releases. */
  std::uint32_t InFlight() const noexcept;
  /**
   * For the comparison of two targets: counts the credits that other threads
   * keep as in flight, and so reads no cache line that they write often.
   */
  std::uint32_t ApproximateInFlight() const noexcept;
  std::uint32_t Limit() const noexcept { return this->limit.load(); }
  Health CurrentHealth() const noexcept { return this->health.load(); }
  /** Smoothed latency of successful requests; 0 before the first one. */
  std::chrono::microseconds Latency() const noexcept;
  std::uint64_t Successes() const noexcept;
  std::uint64_t Failures() const noexcept { return this->failures.load(); }

private:
  friend class TargetTable;
  friend class RoutingSnapshot;

  /** What the requests of one thread write. */
  struct alignas(kCacheLine) Stripe
  {
    std::atomic<std::int32_t> credits{ 0 };
    std::atomic<std::uint32_t> latencyMicros{ 0 };
    std::atomic<std::uint64_t> successes{ 0 };
  };

  /** Adds or withdraws credits when the effective limit has changed. */
  void AdjustCredits(std::uint32_t aAllowed) noexcept;
  bool TakeCredit() noexcept;
  void ReturnCredit() noexcept;
  void OnFailure(base::TimePoint aNow) noexcept;
  void OnSuccess(base::Duration aLatency) noexcept;
  void Eject(Health aFrom, base::TimePoint aNow) noexcept;
  /** The target has departed; outstanding permits still count down. */
  void Retire() noexcept;
  /** Forgets everything about the previous target or incarnation. */
  void Reset(std::uint32_t aLimit, base::TimePoint aNow) noexcept;

  // Read by every request, written rarely.
  std::atomic<std::uint32_t> limit{ 0 };
  /** Credits that exist: free, kept by a thread or held by a request. */
  std::atomic<std::uint32_t> allowed{ 0 };
  std::atomic<Health> health{ Health::Healthy };
  std::atomic<std::uint32_t> failuresInRow{ 0 };
  std::atomic<std::uint32_t> successesInRow{ 0 };
  std::atomic<std::uint32_t> ejectionsInRow{ 0 };
  std::atomic<base::Duration::rep> ejectedUntil{ 0 };
  std::atomic<base::Duration::rep> joinedAt{ 0 };
  const HealthOptions& options;
  TableCounters& counters;

  /** Negative after the limit was lowered below the requests in flight. */
  alignas(kCacheLine) std::atomic<std::int32_t> freeCredits{ 0 };
  std::atomic<std::uint64_t> failures{ 0 };
  /** Snapshots that name this target. */
  std::atomic<std::uint32_t> pins{ 0 };

  std::array<Stripe, kStripes> stripes;
};

} // namespace amaranthwind::routing
