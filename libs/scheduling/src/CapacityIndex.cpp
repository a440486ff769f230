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
                   const fleet::RackPosition& aRackPosition,
                   const fleet::Resources& aTotal,
                   const fleet::Resources& aAvailable)
{
  this->Grow(aWorker, aRackPosition.rack);
  const std::uint32_t packedPosition =
    aRackPosition.rack * fleet::kWorkersPerRackRow + aRackPosition.position;
  const bool isOffered = aTotal != fleet::Resources{};
  const std::uint32_t level =
    std::min(aAvailable.accelerators, this->kLevels - 1);
  const bool isIdle =
    aTotal.accelerators != 0 && aAvailable.accelerators == aTotal.accelerators;
  const auto bucket =
    isOffered ? static_cast<std::uint8_t>(level * 2 + isIdle) : this->kNoBucket;
  if (bucket == this->buckets[aWorker] &&
      packedPosition == this->packedPositions[aWorker]) {
    const std::uint32_t before = this->available[aWorker].accelerators;
    this->available[aWorker] = isOffered ? aAvailable : fleet::Resources{};
    if (isOffered) {
      this->racks[aRackPosition.rack].accelerators +=
        aAvailable.accelerators - before;
      this->accelerators += aAvailable.accelerators;
      this->accelerators -= before;
    }
    return;
  }
  this->RemoveFromBucket(aWorker);
  this->packedPositions[aWorker] = packedPosition;
  if (!isOffered) {
    return;
  }
  Rack& rack = this->racks[aRackPosition.rack];
  Level& bucketLevel = this->levels[isIdle ? 1 : 0][level];
  bucketLevel.positions[aRackPosition.rack] |= std::uint64_t{ 1 }
                                               << aRackPosition.position;
  SetBit(bucketLevel.racks, aRackPosition.rack, true);
  this->buckets[aWorker] = bucket;
  this->available[aWorker] = aAvailable;
  rack.workers[aRackPosition.position] = aWorker;
  if (level != 0) {
    rack.positions |= std::uint64_t{ 1 } << aRackPosition.position;
  }
  rack.accelerators += aAvailable.accelerators;
  rack.idle += isIdle ? 1 : 0;
  ++rack.offered;
  this->accelerators += aAvailable.accelerators;
  this->UpdateGroup(aRackPosition.rack);
}

void
CapacityIndex::Grow(fleet::WorkerIndex aWorker, fleet::RackIndex aRack)
{
  if (aWorker >= this->available.size()) {
    this->available.resize(aWorker + 1);
    this->packedPositions.resize(aWorker + 1);
    this->buckets.resize(aWorker + 1, this->kNoBucket);
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
CapacityIndex::RemoveFromBucket(fleet::WorkerIndex aWorker)
{
  if (this->buckets[aWorker] == this->kNoBucket) {
    return;
  }
  const fleet::RackIndex rackIndex = this->RackOf(aWorker);
  const std::uint32_t position =
    this->packedPositions[aWorker] % fleet::kWorkersPerRackRow;
  const bool isIdle = this->buckets[aWorker] % 2 == 1;
  Level& level = this->levels[isIdle ? 1 : 0][this->buckets[aWorker] / 2];
  level.positions[rackIndex] &= ~(std::uint64_t{ 1 } << position);
  if (level.positions[rackIndex] == 0) {
    SetBit(level.racks, rackIndex, false);
  }
  Rack& rack = this->racks[rackIndex];
  rack.accelerators -= this->available[aWorker].accelerators;
  rack.positions &= ~(std::uint64_t{ 1 } << position);
  rack.idle -= isIdle ? 1 : 0;
  --rack.offered;
  this->accelerators -= this->available[aWorker].accelerators;
  this->available[aWorker] = {};
  this->buckets[aWorker] = this->kNoBucket;
  this->UpdateGroup(rackIndex);
}

void
CapacityIndex::UpdateGroup(fleet::RackIndex aRack)
{
  Rack& rack = this->racks[aRack];
  const std::uint32_t group =
    rack.idle +
    (rack.idle != 0 && rack.idle == rack.offered ? this->kRackGroups / 2 : 0);
  if (group != rack.group) {
    SetBit(this->groups[rack.group], aRack, false);
    SetBit(this->groups[group], aRack, true);
    rack.group = group;
  }
}

} // namespace amaranthwind::scheduling
