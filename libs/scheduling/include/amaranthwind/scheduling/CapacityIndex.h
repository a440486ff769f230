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
 * Index of the resources available on each worker of a cell, used for
 * placement.
 *
 * For each number of available accelerators, every rack has one word with a bit
 * per worker, and there is a set of the racks whose word is not zero. A lookup
 * therefore costs the number of hits plus one bit per rack, instead of one step
 * per worker. Idle workers, whose accelerators are all available, are indexed
 * separately from partly used ones. Racks are grouped by their number of idle
 * workers.
 */
class CapacityIndex
{
public:
  /**
   * Number of levels. Workers with kLevels - 1 or more accelerators available
   * share the last level.
   */
  static constexpr std::uint32_t kLevels = 17;
  /**
   * Number of rack groups. The first half holds partly used racks by their
   * number of idle workers; the second half holds idle racks in the same order.
   */
  static constexpr std::uint32_t kRackGroups =
    2 * (fleet::kWorkersPerRackRow + 1);

  using RackSet = std::vector<std::uint64_t>;

  /**
   * Sets the total and the available resources of aWorker. A worker whose total
   * is empty is left out of the index.
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

  /**
   * Returns a mask of the rack positions at the given level, either of idle or
   * of partly used workers.
   */
  std::uint64_t Positions(bool aIsIdle,
                          std::uint32_t aLevel,
                          fleet::RackIndex aRack) const noexcept
  {
    return this->levels[aIsIdle ? 1 : 0][aLevel].positions[aRack];
  }
  /** Returns the set of racks for which Positions() is not zero. */
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

  /**
   * Returns a mask of the rack positions with at least one available
   * accelerator.
   */
  std::uint64_t PositionsWithAccelerators(fleet::RackIndex aRack) const noexcept
  {
    return aRack < this->racks.size() ? this->racks[aRack].positions : 0;
  }
  /** Returns the number of available accelerators in the rack. */
  std::uint32_t RackAccelerators(fleet::RackIndex aRack) const noexcept
  {
    return this->racks[aRack].accelerators;
  }
  std::uint32_t IdleWorkers(fleet::RackIndex aRack) const noexcept
  {
    return this->racks[aRack].idle;
  }
  /** Returns true if all indexed workers of the rack are idle. */
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
  /** Bucket of a worker that is not in the index. */
  static constexpr std::uint8_t kNoBucket = 255;

  void Grow(fleet::WorkerIndex aWorker, fleet::RackIndex aRack);
  void RemoveFromBucket(fleet::WorkerIndex aWorker);
  void UpdateGroup(fleet::RackIndex aRack);

  std::vector<fleet::Resources> available;
  /** Rack position of each worker, as rack * kWorkersPerRackRow + position. */
  std::vector<std::uint32_t> packedPositions;
  /** Bucket of each worker: level * 2, plus 1 if it is idle. */
  std::vector<std::uint8_t> buckets;
  std::vector<Rack> racks;
  std::array<std::array<Level, kLevels>, 2> levels;
  std::array<RackSet, kRackGroups> groups;
  std::uint64_t accelerators = 0;
};

} // namespace amaranthwind::scheduling
