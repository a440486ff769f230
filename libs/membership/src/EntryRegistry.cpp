#include "amaranthwind/membership/EntryRegistry.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace amaranthwind::membership {

EntryRegistry::EntryRegistry(const EntryInfo& aSelf)
  : live{ aSelf }
  , peerStates(1)
{
}

EntryEffects
EntryRegistry::OnSeen(const EntryInfo& aPeer,
                      base::LogOffset aNoteOffset,
                      base::TimePoint aNow)
{
  EntryEffects effects;
  std::size_t index = this->IndexOf(aPeer.id);
  if (index == 0) {
    return effects;
  }
  if (index < this->live.size() &&
      aPeer.incarnation < this->live[index].incarnation) {
    return effects;
  }
  if (index < this->live.size() && this->live[index] != aPeer) {
    this->Remove(index, effects);
    index = this->live.size();
  }
  if (index == this->live.size()) {
    this->live.push_back(aPeer);
    this->peerStates.emplace_back();
    effects.emplace_back(EntryJoined{ aPeer });
  }
  PeerState& peerState = this->peerStates[index];
  peerState.lastSeen = aNow;
  peerState.offset = std::max(peerState.offset, aNoteOffset);
  if (aNoteOffset > this->ownOffset) {
    effects.emplace_back(FetchPolicyFrom{ aPeer.id, aNoteOffset });
  }
  this->UpdateLag(aNow);
  return effects;
}

EntryEffects
EntryRegistry::OnGone(const base::EntryId& aPeer,
                      base::Incarnation aIncarnation)
{
  EntryEffects effects;
  const std::size_t index = this->IndexOf(aPeer);
  if (index > 0 && index < this->live.size() &&
      this->live[index].incarnation == aIncarnation) {
    this->Remove(index, effects);
  }
  return effects;
}

EntryEffects
EntryRegistry::OnTick(base::TimePoint aNow)
{
  EntryEffects effects;
  // As for targets, a pause of this process must not count as peer silence.
  const base::Duration gap =
    this->lastTick ? aNow - *this->lastTick : base::Duration{};
  this->lastTick = aNow;
  for (std::size_t index = this->live.size() - 1; index > 0; --index) {
    PeerState& peerState = this->peerStates[index];
    if (gap >= kEntryHeartbeatTimeout / 2) {
      peerState.lastSeen = std::min(peerState.lastSeen + gap, aNow);
    }
    if (aNow - peerState.lastSeen >= kEntryHeartbeatTimeout) {
      this->Remove(index, effects);
    }
  }
  this->UpdateLag(aNow);
  return effects;
}

void
EntryRegistry::OnOwnOffset(base::LogOffset aNoteOffset, base::TimePoint aNow)
{
  this->hasPolicy = true;
  this->ownOffset = std::max(this->ownOffset, aNoteOffset);
  this->UpdateLag(aNow);
}

bool
EntryRegistry::IsReady(base::TimePoint aNow) const noexcept
{
  const bool isLaggingTooLong =
    this->laggingSince && aNow - *this->laggingSince >= kLagTolerance;
  return this->wasReady && !isLaggingTooLong;
}

std::vector<base::EntryId>
EntryRegistry::LiveIds() const
{
  std::vector<base::EntryId> ids;
  ids.reserve(this->live.size());
  std::transform(this->live.begin(),
                 this->live.end(),
                 std::back_inserter(ids),
                 [](const EntryInfo& aEntry) { return aEntry.id; });
  return ids;
}

base::LogOffset
EntryRegistry::HighestPeerOffset() const noexcept
{
  base::LogOffset highest;
  for (std::size_t index = 1; index < this->live.size(); ++index) {
    highest = std::max(highest, this->peerStates[index].offset);
  }
  return highest;
}

void
EntryRegistry::UpdateLag(base::TimePoint aNow)
{
  if (this->HighestPeerOffset() > this->ownOffset) {
    if (!this->laggingSince) {
      this->laggingSince = aNow;
    } else if (aNow - *this->laggingSince >= kLagTolerance) {
      this->wasReady = false;
    }
  } else {
    this->laggingSince.reset();
    this->wasReady = this->hasPolicy;
  }
}

void
EntryRegistry::Remove(std::size_t aIndex, EntryEffects& aEffects)
{
  aEffects.emplace_back(EntryRemoved{ this->live[aIndex].id });
  this->live.erase(std::next(this->live.begin(), static_cast<long>(aIndex)));
  this->peerStates.erase(
    std::next(this->peerStates.begin(), static_cast<long>(aIndex)));
}

/** Returns the size of live if unknown, and 0 for this entry itself. */
std::size_t
EntryRegistry::IndexOf(const base::EntryId& aPeer) const noexcept
{
  const auto found =
    std::find_if(this->live.begin(),
                 this->live.end(),
                 [&](const EntryInfo& aEntry) { return aEntry.id == aPeer; });
  return static_cast<std::size_t>(std::distance(this->live.begin(), found));
}

} // namespace amaranthwind::membership
