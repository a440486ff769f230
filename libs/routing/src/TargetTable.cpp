#include "amaranthwind/routing/TargetTable.h"

#include <algorithm>
#include <utility>

namespace amaranthwind::routing {

using base::ErrorCode;
using base::Fail;

TargetTable::TargetTable(base::TimePoint aNow, HealthOptions aOptions)
  : options(aOptions)
  , knownSince(aNow)
{
}

TargetTable::Known*
TargetTable::FindPresent(const base::TargetId& aId)
{
  auto found = this->known.find(aId);
  if (found == this->known.end() ||
      found->second.status == TargetStatus::Departed) {
    return nullptr;
  }
  return &found->second;
}

TargetHandle
TargetTable::Put(const base::TargetId& aId,
                 base::Incarnation aIncarnation,
                 std::uint32_t aLimit,
                 base::TimePoint aNow)
{
  if (Known* target = this->FindPresent(aId)) {
    if (target->incarnation == aIncarnation) {
      this->places[target->handle.index].state.limit.store(aLimit);
      return target->handle;
    }
    // Requests of the previous incarnation keep their permits, so the new
    // one gets a place of its own.
    this->RetirePlace(target->handle);
  }
  Known& target = this->known[aId];
  target = Known{ .handle = this->TakePlace(aLimit, aNow),
                  .status = TargetStatus::Serving,
                  .incarnation = aIncarnation,
                  .since = aNow,
                  .departed = {} };
  this->UpdateMaxOutOfService();
  return target.handle;
}

base::Result<void>
TargetTable::Remove(const base::TargetId& aId, base::TimePoint aNow)
{
  Known* target = this->FindPresent(aId);
  if (target == nullptr) {
    return Fail(ErrorCode::NoTarget, aId.View());
  }
  this->RetirePlace(target->handle);
  target->status = TargetStatus::Departed;
  target->departed = aNow;
  this->UpdateMaxOutOfService();
  return base::success();
}

base::Result<void>
TargetTable::SetDraining(const base::TargetId& aId)
{
  Known* target = this->FindPresent(aId);
  if (target == nullptr) {
    return Fail(ErrorCode::NoTarget, aId.View());
  }
  target->status = TargetStatus::Draining;
  this->UpdateMaxOutOfService();
  return base::success();
}

base::Result<void>
TargetTable::SetLimit(const base::TargetId& aId, std::uint32_t aLimit)
{
  Known* target = this->FindPresent(aId);
  if (target == nullptr) {
    return Fail(ErrorCode::NoTarget, aId.View());
  }
  this->places[target->handle.index].state.limit.store(aLimit);
  return base::success();
}

std::unique_ptr<const RoutingSnapshot>
TargetTable::Build(base::TimePoint aNow)
{
  std::erase_if(this->known, [&](const auto& aItem) {
    return aItem.second.status == TargetStatus::Departed &&
           aNow - aItem.second.departed > kKeyWindow;
  });
  std::vector<RoutingEntry> entries;
  entries.reserve(this->known.size());
  for (const auto& [id, target] : this->known) {
    TargetState* state = target.status == TargetStatus::Departed
                           ? nullptr
                           : &this->places[target.handle.index].state;
    entries.push_back(RoutingEntry{ .id = id,
                                    .handle = target.handle,
                                    .state = state,
                                    .status = target.status,
                                    .incarnation = target.incarnation,
                                    .since = target.since,
                                    .idHash = HashTargetId(id) });
  }
  std::stable_sort(entries.begin(),
                   entries.end(),
                   [](const RoutingEntry& aLeft, const RoutingEntry& aRight) {
                     return aLeft.status < aRight.status;
                   });
  return std::make_unique<const RoutingSnapshot>(std::move(entries),
                                                 this->knownSince);
}

const TargetState*
TargetTable::Find(TargetHandle aHandle) const noexcept
{
  if (aHandle.index >= this->places.size() ||
      this->places[aHandle.index].generation != aHandle.generation) {
    return nullptr;
  }
  return &this->places[aHandle.index].state;
}

TargetHandle
TargetTable::TakePlace(std::uint32_t aLimit, base::TimePoint aNow)
{
  // The last reader of a snapshot takes its permits before the snapshot is
  // destroyed, so no permit can appear once the pins are gone.
  auto free = std::find_if(
    this->retired.begin(), this->retired.end(), [&](std::uint32_t aIndex) {
      const TargetState& state = this->places[aIndex].state;
      return state.pins.load() == 0 && state.InFlight() == 0;
    });
  std::uint32_t index = 0;
  if (free != this->retired.end()) {
    index = *free;
    this->retired.erase(free);
  } else {
    index = static_cast<std::uint32_t>(this->places.size());
    this->places.emplace_back(this->options, this->counters);
  }
  Place& place = this->places[index];
  place.state.Reset(aLimit, aNow);
  return { index, place.generation };
}

void
TargetTable::RetirePlace(TargetHandle aHandle)
{
  Place& place = this->places[aHandle.index];
  ++place.generation;
  place.state.Retire();
  this->retired.push_back(aHandle.index);
}

void
TargetTable::UpdateMaxOutOfService()
{
  const auto serving = static_cast<std::uint32_t>(std::count_if(
    this->known.begin(), this->known.end(), [](const auto& aItem) {
      return aItem.second.status == TargetStatus::Serving;
    }));
  this->counters.maxOutOfService.store(
    serving * this->options.maxOutOfServicePercent / 100);
}

} // namespace amaranthwind::routing
