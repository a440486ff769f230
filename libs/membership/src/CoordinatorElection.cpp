#include "amaranthwind/membership/CoordinatorElection.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace amaranthwind::membership {

namespace {

using base::Duration;
using base::TimePoint;

/** Delay after a failed append; limits an outage to one append per second. */
constexpr Duration kRetryDelay = std::chrono::seconds(1);

/**
 * FNV-1a hash of zone and entry, finalized with the mixing steps of SplitMix64.
 * All processes must compute the same value, which std::hash does not
 * guarantee.
 */
std::uint64_t
Score(const base::ZoneId& aZone, const base::EntryId& aEntry)
{
  constexpr std::uint64_t kOffsetBasis = 0xcbf29ce484222325;
  constexpr std::uint64_t kPrime = 0x100000001b3;
  std::uint64_t hash = kOffsetBasis;
  const auto add = [&](std::string_view aText) {
    for (const char letter : aText) {
      hash = (hash ^ static_cast<unsigned char>(letter)) * kPrime;
    }
    hash = (hash ^ 0xFFU) * kPrime;
  };
  add(aZone.View());
  add(aEntry.View());
  hash = (hash ^ (hash >> 30U)) * 0xbf58476d1ce4e5b9;
  hash = (hash ^ (hash >> 27U)) * 0x94d049bb133111eb;
  return hash ^ (hash >> 31U);
}

} // namespace

std::vector<base::EntryId>
RendezvousOrder(const base::ZoneId& aZone,
                std::span<const base::EntryId> aEntries)
{
  std::vector<std::pair<std::uint64_t, base::EntryId>> scored;
  scored.reserve(aEntries.size());
  for (const base::EntryId& entry : aEntries) {
    scored.emplace_back(Score(aZone, entry), entry);
  }
  std::sort(scored.begin(), scored.end(), std::greater<>());
  std::vector<base::EntryId> order;
  order.reserve(scored.size());
  for (auto& [score, entry] : scored) {
    order.push_back(std::move(entry));
  }
  return order;
}

CoordinatorElection::CoordinatorElection(const base::ZoneId& aZone,
                                         const base::EntryId& aSelf,
                                         TimePoint aNow)
  : zone(aZone)
  , self(aSelf)
  , order{ aSelf }
  , vacantSince(aNow)
  , earliestAppend(aNow)
  , lastTick(aNow)
{
}

ElectionEffects
CoordinatorElection::OnEntries(std::span<const base::EntryId> aLive,
                               TimePoint aNow)
{
  std::vector<base::EntryId> live(aLive.begin(), aLive.end());
  if (std::find(live.begin(), live.end(), this->self) == live.end()) {
    live.push_back(this->self);
  }
  this->order = RendezvousOrder(this->zone, live);
  this->UpdateVacancy(aNow);
  return {};
}

ElectionEffects
CoordinatorElection::OnEpoch(base::FencingToken aToken,
                             const base::EntryId& aWriter,
                             TimePoint aNow)
{
  ElectionEffects effects;
  if (this->newestToken >= aToken) {
    return effects;
  }
  this->newestToken = aToken;
  this->coordinator = aWriter;
  this->isHandedOver = false;
  // The epoch belongs to an earlier process with this id. No delay is needed:
  // no other entry takes over while this one is alive, and the earlier process
  // has ended.
  const bool isOfEarlierProcess =
    aWriter == this->self && !this->ownToken && !this->isAppending;
  this->takeoverDelay = isOfEarlierProcess ? Duration::zero() : kTakeoverDelay;
  if (this->ownToken && *this->ownToken < aToken) {
    this->Stop(StopReason::NewerEpoch, effects);
    this->ownToken.reset();
  }
  this->StartIfNewest(effects);
  // This record ends any earlier vacancy.
  this->vacantSince.reset();
  this->UpdateVacancy(aNow);
  return effects;
}

ElectionEffects
CoordinatorElection::OnCoordinatorReported(base::FencingToken aToken,
                                           const base::EntryId& aCoordinator,
                                           TimePoint aNow)
{
  if (this->newestToken == aToken && this->coordinator.IsEmpty()) {
    this->coordinator = aCoordinator;
    this->UpdateVacancy(aNow);
  }
  return {};
}

ElectionEffects
CoordinatorElection::OnCaughtUp(TimePoint aNow)
{
  ElectionEffects effects;
  this->isCaughtUp = true;
  this->StartIfNewest(effects);
  this->UpdateVacancy(aNow);
  return effects;
}

ElectionEffects
CoordinatorElection::OnEpochAppended(
  const base::Result<base::FencingToken>& aResult,
  TimePoint aNow)
{
  ElectionEffects effects;
  this->isAppending = false;
  if (aResult.has_error()) {
    this->earliestAppend = aNow + kRetryDelay;
  } else if (this->newestToken > aResult.value()) {
    // A later epoch of another entry has already been read.
    this->ownToken.reset();
  } else {
    this->ownToken = aResult.value();
    this->StartIfNewest(effects);
  }
  this->UpdateVacancy(aNow);
  return effects;
}

ElectionEffects
CoordinatorElection::OnHandOver(const base::EntryId& aFrom,
                                base::FencingToken aToken,
                                TimePoint aNow)
{
  if (aFrom == this->coordinator && this->newestToken == aToken &&
      !this->isActing) {
    this->isHandedOver = true;
    this->takeoverDelay = Duration::zero();
    this->vacantSince = aNow;
  }
  return this->OnTick(aNow);
}

ElectionEffects
CoordinatorElection::OnStaleToken(base::FencingToken aToken, TimePoint aNow)
{
  ElectionEffects effects;
  if (this->ownToken == aToken) {
    this->Stop(StopReason::StaleToken, effects);
    this->ownToken.reset();
    this->vacantSince = aNow;
    this->takeoverDelay = kTakeoverDelay;
    this->isCaughtUp = false;
  }
  return effects;
}

ElectionEffects
CoordinatorElection::OnTick(TimePoint aNow)
{
  ElectionEffects effects;
  const Duration gap = aNow - std::exchange(this->lastTick, aNow);
  if (gap >= kTakeoverDelay) {
    // Another entry may have taken over while this process was paused, and the
    // known state of the other entries dates from before the pause.
    this->isCaughtUp = false;
    this->Stop(StopReason::Paused, effects);
    if (this->vacantSince) {
      this->vacantSince = aNow;
    }
  }
  this->UpdateVacancy(aNow);
  if (!this->vacantSince || this->isAppending || this->isShuttingDown ||
      !this->isCaughtUp || aNow < this->earliestAppend ||
      aNow < *this->vacantSince + this->takeoverDelay + this->RankDelay()) {
    return effects;
  }
  this->isAppending = true;
  effects.emplace_back(AppendEpoch{});
  return effects;
}

ElectionEffects
CoordinatorElection::HandOver(TimePoint aNow)
{
  ElectionEffects effects;
  this->isShuttingDown = true;
  this->Stop(StopReason::HandedOver, effects);
  this->UpdateVacancy(aNow);
  return effects;
}

base::EntryId
CoordinatorElection::Successor() const
{
  const auto other = std::find_if(
    this->order.begin(),
    this->order.end(),
    [this](const base::EntryId& aEntry) { return aEntry != this->self; });
  return other == this->order.end() ? base::EntryId() : *other;
}

bool
CoordinatorElection::IsVacant() const
{
  if (this->ownToken > this->newestToken) {
    return false; // This entry's epoch record is in the log but not yet read.
  }
  if (this->isHandedOver || this->coordinator.IsEmpty()) {
    return true;
  }
  if (this->coordinator == this->self) {
    // The record was written by this process or by an earlier one with its id.
    return !this->ownToken || this->ownToken != this->newestToken;
  }
  return std::find(this->order.begin(), this->order.end(), this->coordinator) ==
         this->order.end();
}

void
CoordinatorElection::UpdateVacancy(TimePoint aNow)
{
  if (!this->IsVacant()) {
    this->vacantSince.reset();
    this->takeoverDelay = kTakeoverDelay;
  } else if (!this->vacantSince) {
    this->vacantSince = aNow;
  }
}

/** Delay with which this entry yields to entries of higher precedence. */
Duration
CoordinatorElection::RankDelay() const
{
  int rank = 0;
  for (const base::EntryId& entry : this->order) {
    if (entry == this->self) {
      break;
    }
    // A coordinator that hands over does not take over again.
    rank += entry == this->coordinator ? 0 : 1;
  }
  return rank * kRankDelay;
}

void
CoordinatorElection::Stop(StopReason aReason, ElectionEffects& aEffects)
{
  if (std::exchange(this->isActing, false)) {
    aEffects.emplace_back(StopActing{ *this->ownToken, aReason });
  }
}

void
CoordinatorElection::StartIfNewest(ElectionEffects& aEffects)
{
  if (!this->isActing && !this->isShuttingDown && this->isCaughtUp &&
      this->ownToken && this->ownToken == this->newestToken) {
    this->isActing = true;
    aEffects.emplace_back(BecameCoordinator{ *this->ownToken });
  }
}

} // namespace amaranthwind::membership
