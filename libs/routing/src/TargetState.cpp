#include "amaranthwind/routing/TargetState.h"

#include <algorithm>
#include <bit>
#include <limits>

namespace amaranthwind::routing {

namespace {

// The newest sample has weight 1/8, which tracks a change in about 10 requests.
constexpr std::int64_t kLatencySmoothing = 8;
constexpr std::uint32_t kMaxBackoffShift = 16;

/**
 * Reserves a stripe index for the lifetime of a thread. The thread uses it in
 * every target. Threads in excess of kStripes share stripe 0.
 */
class ThreadStripe
{
public:
  ThreadStripe() noexcept
  {
    std::uint32_t used = usedStripes.load();
    do {
      this->index = static_cast<std::size_t>(std::countr_one(used));
      if (this->index >= kStripes) {
        this->index = 0;
        this->isOwner = false;
        return;
      }
    } while (!usedStripes.compare_exchange_weak(used, used | Bit()));
  }
  ~ThreadStripe()
  {
    if (this->isOwner) {
      usedStripes.fetch_and(~Bit());
    }
  }
  ThreadStripe(const ThreadStripe&) = delete;
  ThreadStripe& operator=(const ThreadStripe&) = delete;

  std::size_t Index() const noexcept { return this->index; }

private:
  std::uint32_t Bit() const noexcept { return 1U << this->index; }

  static inline std::atomic<std::uint32_t> usedStripes{ 0 };
  std::size_t index = 0;
  bool isOwner = true;
};

std::size_t
StripeIndex() noexcept
{
  thread_local const ThreadStripe threadStripe;
  return threadStripe.Index();
}

bool
TryDecrement(std::atomic<std::int32_t>& aCredits) noexcept
{
  std::int32_t left = aCredits.load(std::memory_order_relaxed);
  while (left > 0) {
    if (aCredits.compare_exchange_weak(left,
                                       left - 1,
                                       std::memory_order_acq_rel,
                                       std::memory_order_relaxed)) {
      return true;
    }
  }
  return false;
}

base::Duration::rep
Ticks(base::TimePoint aTime) noexcept
{
  return aTime.time_since_epoch().count();
}

} // namespace

std::uint32_t
TargetState::EffectiveLimit(base::TimePoint aNow) const noexcept
{
  const std::uint32_t full = this->limit.load(std::memory_order_relaxed);
  const Health now = this->health.load(std::memory_order_acquire);
  if (now != Health::Healthy) {
    if (now == Health::Ejected &&
        Ticks(aNow) < this->ejectedUntil.load(std::memory_order_relaxed)) {
      return 0;
    }
    return std::min(full, this->options.probationLimit);
  }
  const base::Duration age(Ticks(aNow) -
                           this->joinedAt.load(std::memory_order_relaxed));
  if (age >= this->options.slowStart || full <= 1) {
    return full;
  }
  const auto grown =
    static_cast<std::uint32_t>(std::max<base::Duration::rep>(age.count(), 0) *
                               (full - 1) / this->options.slowStart.count());
  return 1 + grown;
}

bool
TableCounters::TryTakeOutOfService() noexcept
{
  std::uint32_t out = this->outOfService.load();
  do {
    if (out >= this->maxOutOfService.load()) {
      return false;
    }
  } while (!this->outOfService.compare_exchange_weak(out, out + 1));
  return true;
}

std::uint32_t
TargetState::InFlight() const noexcept
{
  std::int64_t held = this->allowed.load();
  held -= this->freeCredits.load();
  for (const Stripe& stripe : this->stripes) {
    held -= stripe.credits.load();
  }
  return static_cast<std::uint32_t>(std::max<std::int64_t>(held, 0));
}

std::uint32_t
TargetState::ApproximateInFlight() const noexcept
{
  const std::int64_t held =
    std::int64_t{ this->allowed.load(std::memory_order_relaxed) } -
    this->freeCredits.load(std::memory_order_relaxed) -
    this->stripes[StripeIndex()].credits.load(std::memory_order_relaxed);
  return static_cast<std::uint32_t>(std::max<std::int64_t>(held, 0));
}

std::chrono::microseconds
TargetState::Latency() const noexcept
{
  std::uint64_t sum = 0;
  std::uint64_t count = 0;
  for (const Stripe& stripe : this->stripes) {
    const std::uint32_t micros = stripe.latencyMicros.load();
    sum += micros;
    count += micros == 0 ? 0 : 1;
  }
  return std::chrono::microseconds(count == 0 ? 0 : sum / count);
}

std::uint64_t
TargetState::Successes() const noexcept
{
  std::uint64_t sum = 0;
  for (const Stripe& stripe : this->stripes) {
    sum += stripe.successes.load();
  }
  return sum;
}

void
TargetState::AdjustCredits(std::uint32_t aAllowed) noexcept
{
  std::uint32_t before = this->allowed.load(std::memory_order_relaxed);
  if (before != aAllowed &&
      this->allowed.compare_exchange_strong(before, aAllowed)) {
    this->freeCredits.fetch_add(static_cast<std::int32_t>(aAllowed) -
                                static_cast<std::int32_t>(before));
  }
}

bool
TargetState::AcquireCredit() noexcept
{
  const std::size_t own = StripeIndex();
  if (this->freeCredits.load(std::memory_order_acquire) >= 0) {
    if (TryDecrement(this->stripes[own].credits) ||
        TryDecrement(this->freeCredits)) {
      return true;
    }
    for (Stripe& other : this->stripes) {
      if (TryDecrement(other.credits)) {
        return true;
      }
    }
    return false;
  }
  // More requests are in flight than the reduced limit permits, so cached
  // credits are returned.
  for (Stripe& stripe : this->stripes) {
    if (TryDecrement(stripe.credits)) {
      this->freeCredits.fetch_add(1);
    }
  }
  return TryDecrement(this->freeCredits);
}

void
TargetState::ReturnCredit() noexcept
{
  std::atomic<std::int32_t>& own = this->stripes[StripeIndex()].credits;
  if (own.load(std::memory_order_relaxed) == 0 &&
      this->freeCredits.load(std::memory_order_relaxed) >= 0) {
    own.fetch_add(1, std::memory_order_acq_rel);
  } else {
    this->freeCredits.fetch_add(1, std::memory_order_acq_rel);
  }
}

bool
TargetState::TryAcquire(base::TimePoint aNow) noexcept
{
  const std::uint32_t now = this->EffectiveLimit(aNow);
  if (now == 0) {
    return false;
  }
  this->AdjustCredits(now);
  if (!this->AcquireCredit()) {
    return false;
  }
  Health expected = Health::Ejected;
  if (this->health.load(std::memory_order_relaxed) == Health::Ejected) {
    this->health.compare_exchange_strong(expected, Health::Probation);
  }
  return true;
}

void
TargetState::Release(Outcome aOutcome,
                     base::Duration aLatency,
                     base::TimePoint aNow) noexcept
{
  if (aOutcome == Outcome::Success) {
    this->OnSuccess(aLatency);
  } else if (aOutcome == Outcome::Failure) {
    this->OnFailure(aNow);
  }
  this->ReturnCredit();
}

void
TargetState::OnSuccess(base::Duration aLatency) noexcept
{
  Stripe& stripe = this->stripes[StripeIndex()];
  stripe.successes.fetch_add(1, std::memory_order_relaxed);
  if (this->consecutiveFailures.load(std::memory_order_relaxed) != 0) {
    this->consecutiveFailures.store(0, std::memory_order_relaxed);
  }
  // A race between two threads loses one sample, which is harmless.
  const std::int64_t sample = std::clamp<std::int64_t>(
    std::chrono::duration_cast<std::chrono::microseconds>(aLatency).count(),
    1,
    std::numeric_limits<std::uint32_t>::max());
  const std::int64_t old = stripe.latencyMicros.load(std::memory_order_relaxed);
  const std::int64_t next =
    old == 0 ? sample : old + (sample - old) / kLatencySmoothing;
  stripe.latencyMicros.store(static_cast<std::uint32_t>(next),
                             std::memory_order_relaxed);
  if (this->health.load(std::memory_order_relaxed) == Health::Probation &&
      this->consecutiveSuccesses.fetch_add(1) + 1 >=
        this->options.successesToReturn) {
    Health expected = Health::Probation;
    if (this->health.compare_exchange_strong(expected, Health::Healthy)) {
      this->consecutiveEjections.store(0);
      this->counters.outOfService.fetch_sub(1);
    }
  }
}

void
TargetState::OnFailure(base::TimePoint aNow) noexcept
{
  this->failures.fetch_add(1, std::memory_order_relaxed);
  const std::uint32_t inRow = this->consecutiveFailures.fetch_add(1) + 1;
  const Health now = this->health.load();
  if (now == Health::Probation ||
      (now == Health::Healthy && inRow >= this->options.failuresToEject)) {
    this->Eject(now, aNow);
  }
}

void
TargetState::Eject(Health aFrom, base::TimePoint aNow) noexcept
{
  const bool isNew = aFrom == Health::Healthy;
  if (isNew && !this->counters.TryTakeOutOfService()) {
    return;
  }
  const std::uint32_t shift =
    std::min(this->consecutiveEjections.load(), kMaxBackoffShift);
  const base::Duration time =
    std::min(this->options.ejectionTime * (std::int64_t{ 1 } << shift),
             this->options.maxEjectionTime);
  this->consecutiveSuccesses.store(0);
  this->ejectedUntil.store(Ticks(aNow + time));
  if (this->health.compare_exchange_strong(aFrom, Health::Ejected)) {
    this->consecutiveEjections.fetch_add(1);
  } else if (isNew) {
    // Another thread ejected the target concurrently, or it has departed.
    this->counters.outOfService.fetch_sub(1);
  }
}

void
TargetState::Retire() noexcept
{
  this->limit.store(0);
  if (this->health.exchange(Health::Departed) != Health::Healthy) {
    this->counters.outOfService.fetch_sub(1);
  }
}

void
TargetState::Reset(std::uint32_t aLimit, base::TimePoint aNow) noexcept
{
  this->limit.store(aLimit);
  this->allowed.store(0);
  this->freeCredits.store(0);
  for (Stripe& stripe : this->stripes) {
    stripe.credits.store(0);
    stripe.latencyMicros.store(0);
  }
  this->consecutiveFailures.store(0);
  this->consecutiveSuccesses.store(0);
  this->consecutiveEjections.store(0);
  this->joinedAt.store(Ticks(aNow));
  this->health.store(Health::Healthy);
}

} // namespace amaranthwind::routing
