#include "amaranthwind/scheduling/CapacityIndex.h"

#include <algorithm>

namespace amaranthwind::scheduling {
namespace {

constexpr std::uint32_t kWordBits = 64;

void
SetBit(std::vector<std::uint64_t>& aSet, std::uint32_t aBit, bool aValue)
{
  const std::uint64_t mask = std::uint64_t{ 1 } << (aBit % kWordBits);
  std::uint64_t& word = aSet[aBit / kWordBits];
  word = aValue ? word | mask : word & ~mask;
}

} // namespace

void
CapacityIndex::Set(fleet::WorkerIndex aWorker,
                   const fleet::RackPlace& aPlace,
                   const fleet::Resources& aTotal,
                   const fleet::Resources& aAvailable)
{
  this->Grow(aWorker, aPlace.rack);
  const std::uint32_t place =
    aPlace.rack * fleet::kWorkersPerRackRow + aPlace.position;
  const bool isOffered = aTotal != fleet::Resources{};
  const std::uint32_t level =
    std::min(aAvailable.accelerators, this->kLevels - 1);
  const bool isWhole =
    aTotal.accelerators != 0 && aAvailable.accelerators == aTotal.accelerators;
  const auto filing =
    isOffered ? static_cast<std::uint8_t>(level * 2 + isWhole) : this->kUnfiled;
  if (filing == this->filed[aWorker] && place == this->places[aWorker]) {
    const std::uint32_t before = this->available[aWorker].accelerators;
    this->available[aWorker] = isOffered ? aAvailable : fleet::Resources{};
    if (isOffered) {
      this->racks[aPlace.rack].accelerators += aAvailable.accelerators - before;
      this->accelerators += aAvailable.accelerators;
      this->accelerators -= before;
    }
    return;
  }
  this->Unfile(aWorker);
  this->places[aWorker] = place;
  if (!isOffered) {
    return;
  }
  Rack& rack = this->racks[aPlace.rack];
  Level& filedAt = this->levels[isWhole ? 1 : 0][level];
  filedAt.positions[aPlace.rack] |= std::uint64_t{ 1 } << aPlace.position;
  SetBit(filedAt.racks, aPlace.rack, true);
  this->filed[aWorker] = filing;
  this->available[aWorker] = aAvailable;
  rack.workers[aPlace.position] = aWorker;
  if (level != 0) {
    rack.positions |= std::uint64_t{ 1 } << aPlace.position;
  }
  rack.accelerators += aAvailable.accelerators;
  rack.whole += isWhole ? 1 : 0;
  ++rack.offered;
  this->accelerators += aAvailable.accelerators;
  this->Regroup(aPlace.rack);
}

void
CapacityIndex::Grow(fleet::WorkerIndex aWorker, fleet::RackIndex aRack)
{
  if (aWorker >= this->available.size()) {
    this->available.resize(aWorker + 1);
    this->places.resize(aWorker + 1);
    this->filed.resize(aWorker + 1, this->kUnfiled);
  }
  if (aRack < this->racks.size()) {
    return;
  }
  const std::size_t first = this->racks.size();
  this->racks.resize(aRack + 1);
  const std::size_t words = (this->racks.size() + kWordBits - 1) / kWordBits;
  for (auto& kind : this->levels) {
    for (Level& level : kind) {
      level.positions.resize(this->racks.size());
      level.racks.resize(words);
    }
  }
  for (RackSet& group : this->groups) {
    group.resize(words);
  }
  for (std::size_t rack = first; rack < this->racks.size(); ++rack) {
    SetBit(this->groups[0], static_cast<std::uint32_t>(rack), true);
  }
}

void
CapacityIndex::Unfile(fleet::WorkerIndex aWorker)
{
  if (this->filed[aWorker] == this->kUnfiled) {
    return;
  }
  const fleet::RackIndex rackIndex = this->RackOf(aWorker);
  const std::uint32_t position =
    this->places[aWorker] % fleet::kWorkersPerRackRow;
  const bool isWhole = this->filed[aWorker] % 2 == 1;
  Level& level = this->levels[isWhole ? 1 : 0][this->filed[aWorker] / 2];
  level.positions[rackIndex] &= ~(std::uint64_t{ 1 } << position);
  if (level.positions[rackIndex] == 0) {
    SetBit(level.racks, rackIndex, false);
  }
  Rack& rack = this->racks[rackIndex];
  rack.accelerators -= this->available[aWorker].accelerators;
  rack.positions &= ~(std::uint64_t{ 1 } << position);
  rack.whole -= isWhole ? 1 : 0;
  --rack.offered;
  this->accelerators -= this->available[aWorker].accelerators;
  this->available[aWorker] = {};
  this->filed[aWorker] = this->kUnfiled;
  this->Regroup(rackIndex);
}

void
CapacityIndex::Regroup(fleet::RackIndex aRack)
{
  Rack& rack = this->racks[aRack];
  const std::uint32_t group =
    rack.whole +
    (rack.whole != 0 && rack.whole == rack.offered ? this->kRackGroups / 2 : 0);
  if (group != rack.group) {
    SetBit(this->groups[rack.group], aRack, false);
    SetBit(this->groups[group], aRack, true);
    rack.group = group;
  }
}

} // namespace amaranthwind::scheduling
