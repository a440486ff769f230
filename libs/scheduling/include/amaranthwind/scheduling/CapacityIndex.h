#pragma once

#include "amaranthwind/fleet/CellTable.h"
#include "amaranthwind/fleet/Resources.h"

#include <array>
#include <bit>
#include <cstdint>
#include <span>
#include <vector>

namespace amaranthwind::scheduling {

/**
 * What is available on each worker of a cell, indexed for placement.
 *
 * For every number of available accelerators, each rack has one word with a
 * bit per worker, and a set of the racks whose word is not zero. Finding a
 * worker costs the number of hits and one bit per rack, not one step per
 * worker. Workers that are untouched ("whole") are kept apart from partly used
 * ones. Racks are grouped by how many whole workers they have left.
 */
class CapacityIndex
{
public:
  /** Workers with more accelerators available share the last level. */
  static constexpr std::uint32_t kLevels = 17;
  /** Racks that have lost a worker by number of whole ones, then whole racks.
   */
  static constexpr std::uint32_t kRackGroups =
    2 * (fleet::kWorkersPerRackRow + 1);

  using RackSet = std::vector<std::uint64_t>;

  /**
   * Sets what aWorker has in all and what of it is available. A worker without
   * any resources is not offered.
   */
  void Set(fleet::WorkerIndex aWorker,
           const fleet::RackPosition& aRackPosition,
           const fleet::Resources& aTotal,
           const fleet::Resources& aAvailable);

  const fleet::Resources& Available(fleet::WorkerIndex aWorker) const noexcept
  {
    return this->available[aWorker];
  }
  std::size_t WorkerCount() const noexcept { return this->available.size(); }
  std::uint32_t RackCount() const noexcept
  {
    return static_cast<std::uint32_t>(this->racks.size());
  }
  fleet::RackIndex RackOf(fleet::WorkerIndex aWorker) const noexcept
  {
    return this->packedPositions[aWorker] / fleet::kWorkersPerRackRow;
  }
  fleet::WorkerIndex WorkerAt(fleet::RackIndex aRack,
                              std::uint32_t aPosition) const noexcept
  {
    return this->racks[aRack].workers[aPosition];
  }

  /** Positions in the rack with the given level; whole workers or the rest. */
  std::uint64_t Positions(bool aIsIdle,
                          std::uint32_t aLevel,
                          fleet::RackIndex aRack) const noexcept
  {
    return this->levels[aIsIdle ? 1 : 0][aLevel].positions[aRack];
  }
  /** Racks where Positions() is not zero. */
  std::span<const std::uint64_t> RacksAt(bool aIsIdle,
                                         std::uint32_t aLevel) const noexcept
  {
    return this->levels[aIsIdle ? 1 : 0][aLevel].racks;
  }
  std::span<const std::uint64_t> RacksInGroup(
    std::uint32_t aGroup) const noexcept
  {
    return this->groups[aGroup];
  }

  /** Positions in the rack with any accelerator available. */
  std::uint64_t PositionsWithAccelerators(fleet::RackIndex aRack) const noexcept
  {
    return aRack < this->racks.size() ? this->racks[aRack].positions : 0;
  }
  /** Available accelerators of the rack. */
  std::uint32_t RackAccelerators(fleet::RackIndex aRack) const noexcept
  {
    return this->racks[aRack].accelerators;
  }
  std::uint32_t IdleWorkers(fleet::RackIndex aRack) const noexcept
  {
    return this->racks[aRack].idle;
  }
  /** True if no worker of the rack is in use. */
  bool IsIdleRack(fleet::RackIndex aRack) const noexcept
  {
    return this->racks[aRack].idle == this->racks[aRack].offered;
  }
  std::uint64_t Accelerators() const noexcept { return this->accelerators; }

private:
  struct Level
  {
    std::vector<std::uint64_t> positions;
    RackSet racks;
  };
  struct Rack
  {
    std::uint32_t accelerators = 0;
    std::uint32_t idle = 0;
    std::uint32_t offered = 0;
    std::uint32_t group = 0;
    std::uint64_t positions = 0;
    std::array<fleet::WorkerIndex, fleet::kWorkersPerRackRow> workers{};
  };
  /** Where a worker is filed; kNoBucket when it is not offered. */
  static constexpr std::uint8_t kNoBucket = 255;

  void Grow(fleet::WorkerIndex aWorker, fleet::RackIndex aRack);
  void RemoveFromBucket(fleet::WorkerIndex aWorker);
  void UpdateGroup(fleet::RackIndex aRack);

  std::vector<fleet::Resources> available;
  /** Rack times kWorkersPerRackRow plus position. */
  std::vector<std::uint32_t> packedPositions;
  /** Level times 2, plus 1 if whole. */
  std::vector<std::uint8_t> buckets;
  std::vector<Rack> racks;
  std::array<std::array<Level, kLevels>, 2> levels;
  std::array<RackSet, kRackGroups> groups;
  std::uint64_t accelerators = 0;
};

} // namespace amaranthwind::scheduling
