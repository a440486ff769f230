#include "amaranthwind/routing/TargetTable.h"

#include <algorithm>
#include <utility>

namespace amaranthwind::routing {

using base::ErrorCode;
using base::Fail;

TargetTable::TargetTable(base::TimePoint aNow, HealthOptions aOptions)
  : options(aOptions)
  , historyStart(aNow)
{
}

TargetTable::TargetRecord*
TargetTable::FindPresent(const base::TargetId& aId)
{
  auto found = this->targets.find(aId);
  if (found == this->targets.end() ||
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
  if (TargetRecord* target = this->FindPresent(aId)) {
    if (target->incarnation == aIncarnation) {
      this->statePool[target->handle.index].state.limit.store(aLimit);
      return target->handle;
    }
    // Requests of the previous incarnation still hold permits, so the new
    // incarnation needs a state of its own.
    this->RetireState(target->handle);
  }
  TargetRecord& target = this->targets[aId];
  target = TargetRecord{ .handle = this->AllocateState(aLimit, aNow),
                         .status = TargetStatus::Serving,
                         .incarnation = aIncarnation,
                         .firstSeen = aNow,
                         .departed = {} };
  this->UpdateMaxOutOfService();
  return target.handle;
}

base::Result<void>
TargetTable::Remove(const base::TargetId& aId, base::TimePoint aNow)
{
  TargetRecord* target = this->FindPresent(aId);
  if (target == nullptr) {
    return Fail(ErrorCode::NoTarget, aId.View());
  }
  this->RetireState(target->handle);
  target->status = TargetStatus::Departed;
  target->departed = aNow;
  this->UpdateMaxOutOfService();
  return base::success();
}

base::Result<void>
TargetTable::SetDraining(const base::TargetId& aId)
{
  TargetRecord* target = this->FindPresent(aId);
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
  TargetRecord* target = this->FindPresent(aId);
  if (target == nullptr) {
    return Fail(ErrorCode::NoTarget, aId.View());
  }
  this->statePool[target->handle.index].state.limit.store(aLimit);
  return base::success();
}

std::unique_ptr<const RoutingSnapshot>
TargetTable::Build(base::TimePoint aNow)
{
  std::erase_if(this->targets, [&](const auto& aItem) {
    return aItem.second.status == TargetStatus::Departed &&
           aNow - aItem.second.departed > kIdempotencyKeyWindow;
  });
  std::vector<RoutingEntry> entries;
  entries.reserve(this->targets.size());
  for (const auto& [id, target] : this->targets) {
    TargetState* state = target.status == TargetStatus::Departed
                           ? nullptr
                           : &this->statePool[target.handle.index].state;
    entries.push_back(RoutingEntry{ .id = id,
                                    .handle = target.handle,
                                    .state = state,
                                    .status = target.status,
                                    .incarnation = target.incarnation,
                                    .firstSeen = target.firstSeen,
                                    .idHash = HashTargetId(id) });
  }
  std::stable_sort(entries.begin(),
                   entries.end(),
                   [](const RoutingEntry& aLeft, const RoutingEntry& aRight) {
                     return aLeft.status < aRight.status;
                   });
  return std::make_unique<const RoutingSnapshot>(std::move(entries),
                                                 this->historyStart);
}

const TargetState*
TargetTable::Find(TargetHandle aHandle) const noexcept
{
  if (aHandle.index >= this->statePool.size() ||
      this->statePool[aHandle.index].generation != aHandle.generation) {
    return nullptr;
  }
  return &this->statePool[aHandle.index].state;
}

TargetHandle
TargetTable::AllocateState(std::uint32_t aLimit, base::TimePoint aNow)
{
  // A reader acquires permits only while its snapshot is alive, so no new
  // permit can refer to the state once the pin count is zero.
  auto free = std::find_if(
    this->retired.begin(), this->retired.end(), [&](std::uint32_t aIndex) {
      const TargetState& state = this->statePool[aIndex].state;
      return state.pinCount.load() == 0 && state.InFlight() == 0;
    });
  std::uint32_t index = 0;
  if (free != this->retired.end()) {
    index = *free;
    this->retired.erase(free);
  } else {
    index = static_cast<std::uint32_t>(this->statePool.size());
    this->statePool.emplace_back(this->options, this->counters);
  }
  PooledState& pooled = this->statePool[index];
  pooled.state.Reset(aLimit, aNow);
  return { index, pooled.generation };
}

void
TargetTable::RetireState(TargetHandle aHandle)
{
  PooledState& pooled = this->statePool[aHandle.index];
  ++pooled.generation;
  pooled.state.Retire();
  this->retired.push_back(aHandle.index);
}

void
TargetTable::UpdateMaxOutOfService()
{
  const auto serving = static_cast<std::uint32_t>(std::count_if(
    this->targets.begin(), this->targets.end(), [](const auto& aItem) {
      return aItem.second.status == TargetStatus::Serving;
    }));
  this->counters.maxOutOfService.store(
    serving * this->options.maxOutOfServicePercent / 100);
}

} // namespace amaranthwind::routing
