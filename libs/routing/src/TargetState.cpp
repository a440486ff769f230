#include "amaranthwind/routing/TargetState.h"

#include <algorithm>
#include <bit>
#include <limits>

namespace amaranthwind::routing {

namespace {

// Weight 1/8 of the newest sample: follows a change within about ten requests.
constexpr std::int64_t kLatencySmoothing = 8;
constexpr std::uint32_t kMaxBackoffShift = 16;

/**
 * The stripe that a thread uses in every target, until the thread ends. More
 * threads than stripes share stripe 0.
 */
class StripeLease
{
public:
  StripeLease() noexcept
  {
    std::uint32_t used = taken.load();
    do {
      this->index = static_cast<std::size_t>(std::countr_one(used));
      if (this->index >= kStripes) {
        this->index = 0;
        this->isOwner = false;
        return;
      }
    } while (!taken.compare_exchange_weak(used, used | Bit()));
  }
  ~StripeLease()
  {
    if (this->isOwner) {
      taken.fetch_and(~Bit());
    }
  }
  StripeLease(const StripeLease&) = delete;
  StripeLease& operator=(const StripeLease&) = delete;

  std::size_t Index() const noexcept { return this->index; }

private:
  std::uint32_t Bit() const noexcept { return 1U << this->index; }

  static inline std::atomic<std::uint32_t> taken{ 0 };
  std::size_t index = 0;
  bool isOwner = true;
};

std::size_t
StripeIndex() noexcept
{
  thread_local const StripeLease lease;
  return lease.Index();
}

bool
TakeOne(std::atomic<std::int32_t>& aCredits) noexcept
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
TableCounters::TryTakeOut() noexcept
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
TargetState::TakeCredit() noexcept
{
  const std::size_t own = StripeIndex();
  if (this->freeCredits.load(std::memory_order_acquire) >= 0) {
    if (TakeOne(this->stripes[own].credits) || TakeOne(this->freeCredits)) {
      return true;
    }
    for (Stripe& other : this->stripes) {
      if (TakeOne(other.credits)) {
        return true;
      }
    }
    return false;
  }
  // More is in flight than the lowered limit allows: kept credits go back.
  for (Stripe& stripe : this->stripes) {
    if (TakeOne(stripe.credits)) {
      this->freeCredits.fetch_add(1);
    }
  }
  return TakeOne(this->freeCredits);
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
  if (!this->TakeCredit()) {
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
  if (this->failuresInRow.load(std::memory_order_relaxed) != 0) {
    this->failuresInRow.store(0, std::memory_order_relaxed);
  }
  // A lost update between two threads drops one sample, which is harmless.
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
      this->successesInRow.fetch_add(1) + 1 >=
        this->options.successesToReturn) {
    Health expected = Health::Probation;
    if (this->health.compare_exchange_strong(expected, Health::Healthy)) {
      this->ejectionsInRow.store(0);
      this->counters.outOfService.fetch_sub(1);
    }
  }
}

void
TargetState::OnFailure(base::TimePoint aNow) noexcept
{
  this->failures.fetch_add(1, std::memory_order_relaxed);
  const std::uint32_t inRow = this->failuresInRow.fetch_add(1) + 1;
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
  if (isNew && !this->counters.TryTakeOut()) {
    return;
  }
  const std::uint32_t shift =
    std::min(this->ejectionsInRow.load(), kMaxBackoffShift);
  const base::Duration time =
    std::min(this->options.ejectionTime * (std::int64_t{ 1 } << shift),
             this->options.maxEjectionTime);
  this->successesInRow.store(0);
  this->ejectedUntil.store(Ticks(aNow + time));
  if (this->health.compare_exchange_strong(aFrom, Health::Ejected)) {
    this->ejectionsInRow.fetch_add(1);
  } else if (isNew) {
    // Another thread ejected it at the same time, or it has departed.
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
  this->failuresInRow.store(0);
  this->successesInRow.store(0);
  this->ejectionsInRow.store(0);
  this->joinedAt.store(Ticks(aNow));
  this->health.store(Health::Healthy);
}

} // namespace amaranthwind::routing
