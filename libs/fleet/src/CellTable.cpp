#include "amaranthwind/fleet/CellTable.h"

#include <bit>

namespace amaranthwind::fleet {

WorkerIndex
CellTable::Put(const Target& aTarget)
{
  const auto known = this->Find(aTarget.id);
  const WorkerIndex index = known ? *known : this->AddRow(aTarget.id);
  if (!known) {
    this->AddToRack(index, aTarget.rack);
  } else if (this->workers[index].target.rack != aTarget.rack) {
    this->RemoveFromRack(index);
    this->AddToRack(index, aTarget.rack);
  }
  this->workers[index].target = aTarget;
  this->workers[index].presence = WorkerPresence::Present;
  return index;
}

WorkerIndex
CellTable::FindOrAddLost(const base::TargetId& aId, base::TimePoint aNow)
{
  if (const auto known = this->Find(aId)) {
    return *known;
  }
  const WorkerIndex index = this->AddRow(aId);
  this->AddToRack(index, base::RackId{});
  this->workers[index].target.id = aId;
  this->workers[index].target.kind = TargetKind::Worker;
  this->workers[index].lostAt = aNow;
  return index;
}

void
CellTable::SetPresence(WorkerIndex aWorker,
                       WorkerPresence aPresence,
                       base::TimePoint aNow)
{
  WorkerRow& row = this->workers[aWorker];
  if (aPresence == WorkerPresence::Lost &&
      row.presence != WorkerPresence::Lost) {
    row.lostAt = aNow;
  }
  row.presence = aPresence;
}

void
CellTable::Remove(WorkerIndex aWorker)
{
  this->RemoveFromRack(aWorker);
  this->byId.erase(this->workers[aWorker].target.id);
  this->workers[aWorker] = WorkerRow{};
  this->freeRows.push_back(aWorker);
}

std::optional<WorkerIndex>
CellTable::Find(const base::TargetId& aId) const
{
  const auto found = this->byId.find(aId);
  return found == this->byId.end() ? std::nullopt
                                   : std::optional(found->second);
}

const WorkerRow&
CellTable::Worker(WorkerIndex aWorker) const
{
  return this->workers[aWorker];
}

std::span<const WorkerRow>
CellTable::Workers() const noexcept
{
  return this->workers;
}

std::span<const RackRow>
CellTable::Racks() const noexcept
{
  return this->racks;
}

WorkerIndex
CellTable::AddRow(const base::TargetId& aId)
{
  WorkerIndex index = 0;
  if (this->freeRows.empty()) {
    index = static_cast<WorkerIndex>(this->workers.size());
    this->workers.emplace_back();
  } else {
    index = this->freeRows.back();
    this->freeRows.pop_back();
  }
  this->workers[index].isInUse = true;
  this->byId.emplace(aId, index);
  return index;
}

void
CellTable::AddToRack(WorkerIndex aWorker, const base::RackId& aRack)
{
  RackIndex rack = static_cast<RackIndex>(this->racks.size());
  const auto [first, last] = this->racksById.equal_range(aRack);
  for (auto row = first; row != last; ++row) {
    if (this->racks[row->second].occupied != ~std::uint64_t{ 0 }) {
      rack = row->second;
    }
  }
  if (rack == this->racks.size()) {
    this->racks.emplace_back();
    this->racks.back().id = aRack;
    this->racksById.emplace(aRack, rack);
  }
  RackRow& row = this->racks[rack];
  const auto position =
    static_cast<std::uint32_t>(std::countr_one(row.occupied));
  row.occupied |= std::uint64_t{ 1 } << position;
  row.workers[position] = aWorker;
  this->workers[aWorker].rackPosition = RackPosition{ rack, position };
}

void
CellTable::RemoveFromRack(WorkerIndex aWorker)
{
  const RackPosition& rackPosition = this->workers[aWorker].rackPosition;
  this->racks[rackPosition.rack].occupied &=
    ~(std::uint64_t{ 1 } << rackPosition.position);
}

} // namespace amaranthwind::fleet
