#include "amaranthwind/membership/EntryRegistry.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace amaranthwind::membership {

EntryRegistry::EntryRegistry(const EntryInfo& aSelf)
  : live{ aSelf }
  , signs(1)
{
}

EntryEffects
EntryRegistry::OnSeen(const EntryInfo& aPeer,
                      base::LogOffset aNoteOffset,
                      base::TimePoint aNow)
{
  EntryEffects effects;
  std::size_t place = this->PlaceOf(aPeer.id);
  if (place == 0) {
    return effects;
  }
  if (place < this->live.size() &&
      aPeer.incarnation < this->live[place].incarnation) {
    return effects;
  }
  if (place < this->live.size() && this->live[place] != aPeer) {
    this->Remove(place, effects);
    place = this->live.size();
  }
  if (place == this->live.size()) {
    this->live.push_back(aPeer);
    this->signs.emplace_back();
    effects.emplace_back(EntryJoined{ aPeer });
  }
  Sign& sign = this->signs[place];
  sign.lastSeen = aNow;
  sign.offset = std::max(sign.offset, aNoteOffset);
  if (aNoteOffset > this->ownOffset) {
    effects.emplace_back(FetchPolicyFrom{ aPeer.id, aNoteOffset });
  }
  this->UpdateBehind(aNow);
  return effects;
}

EntryEffects
EntryRegistry::OnGone(const base::EntryId& aPeer,
                      base::Incarnation aIncarnation)
{
  EntryEffects effects;
  const std::size_t place = this->PlaceOf(aPeer);
  if (place > 0 && place < this->live.size() &&
      this->live[place].incarnation == aIncarnation) {
    this->Remove(place, effects);
  }
  return effects;
}

EntryEffects
EntryRegistry::OnTick(base::TimePoint aNow)
{
  EntryEffects effects;
  // As for targets: a pause of this process is not the silence of its peers.
  const base::Duration gap =
    this->lastTick ? aNow - *this->lastTick : base::Duration{};
  this->lastTick = aNow;
  for (std::size_t place = this->live.size() - 1; place > 0; --place) {
    Sign& sign = this->signs[place];
    if (gap >= kEntrySilenceLimit / 2) {
      sign.lastSeen = std::min(sign.lastSeen + gap, aNow);
    }
    if (aNow - sign.lastSeen >= kEntrySilenceLimit) {
      this->Remove(place, effects);
    }
  }
  this->UpdateBehind(aNow);
  return effects;
}

void
EntryRegistry::OnOwnOffset(base::LogOffset aNoteOffset, base::TimePoint aNow)
{
  this->hasPolicy = true;
  this->ownOffset = std::max(this->ownOffset, aNoteOffset);
  this->UpdateBehind(aNow);
}

bool
EntryRegistry::IsReady(base::TimePoint aNow) const noexcept
{
  const bool isTooFarBehind =
    this->behindSince && aNow - *this->behindSince >= kBehindTolerance;
  return this->wasReady && !isTooFarBehind;
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
  for (std::size_t place = 1; place < this->live.size(); ++place) {
    highest = std::max(highest, this->signs[place].offset);
  }
  return highest;
}

void
EntryRegistry::UpdateBehind(base::TimePoint aNow)
{
  if (this->HighestPeerOffset() > this->ownOffset) {
    if (!this->behindSince) {
      this->behindSince = aNow;
    } else if (aNow - *this->behindSince >= kBehindTolerance) {
      this->wasReady = false;
    }
  } else {
    this->behindSince.reset();
    this->wasReady = this->hasPolicy;
  }
}

void
EntryRegistry::Remove(std::size_t aPlace, EntryEffects& aEffects)
{
  aEffects.emplace_back(EntryGone{ this->live[aPlace].id });
  this->live.erase(std::next(this->live.begin(), static_cast<long>(aPlace)));
  this->signs.erase(std::next(this->signs.begin(), static_cast<long>(aPlace)));
}

/** The size of live if not known; 0 for this entry itself. */
std::size_t
EntryRegistry::PlaceOf(const base::EntryId& aPeer) const noexcept
{
  const auto found =
    std::find_if(this->live.begin(),
                 this->live.end(),
                 [&](const EntryInfo& aEntry) { return aEntry.id == aPeer; });
  return static_cast<std::size_t>(std::distance(this->live.begin(), found));
}

} // namespace amaranthwind::membership
