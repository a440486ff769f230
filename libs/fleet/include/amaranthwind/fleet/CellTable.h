#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Ids.h"
#include "amaranthwind/fleet/Target.h"

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace amaranthwind::fleet {

/** Index of a worker's row in the CellTable of its cell. */
using WorkerIndex = std::uint32_t;
/** Index of a rack row in the CellTable of its cell. */
using RackIndex = std::uint32_t;

inline constexpr WorkerIndex kNoWorker = ~WorkerIndex{ 0 };
/**
 * Capacity of one rack row. With 64, a set of workers of a rack fits into one
 * machine word. A rack with more workers spans several rows with the same id.
 */
inline constexpr std::uint32_t kWorkersPerRackRow = 64;

enum class WorkerPresence : std::uint8_t
{
  Present,
  Draining, // Finishes its tasks and accepts no new ones.
  Lost,     // Known but not connected; counts in feasibility checks.
};

/** Position of a worker within the rack rows of its cell. */
struct RackPosition
{
  RackIndex rack = 0;
  /** Index within the rack row; less than kWorkersPerRackRow. */
  std::uint32_t position = 0;

  bool operator==(const RackPosition&) const = default;
};

struct WorkerRow
{
  Target target;
  RackPosition rackPosition;
  WorkerPresence presence = WorkerPresence::Lost;
  base::TimePoint lostAt{};
  /** False if the worker was removed and the row can be reused. */
  bool isInUse = false;
};

struct RackRow
{
  base::RackId id;
  /** Bit n is set if position n is assigned to a worker. */
  std::uint64_t occupied = 0;
  std::array<WorkerIndex, kWorkersPerRackRow> workers{};
};

/**
 * Stores the racks and workers of one cell in contiguous tables. An index stays
 * valid until its worker is removed. Not thread-safe.
 */
class CellTable
{
public:
  /** Adds or updates a worker and marks it as present. */
  WorkerIndex Put(const Target& aTarget);
  /**
   * Returns the worker with this id. If there is none, adds a row that holds
   * only the id and is marked as lost.
   */
  WorkerIndex FindOrAddLost(const base::TargetId& aId, base::TimePoint aNow);
  void SetPresence(WorkerIndex aWorker,
                   WorkerPresence aPresence,
                   base::TimePoint aNow);
  /** Removes the worker so that its row and rack position can be reused. */
  void Remove(WorkerIndex aWorker);

  std::optional<WorkerIndex> Find(const base::TargetId& aId) const;
  const WorkerRow& Worker(WorkerIndex aWorker) const;
  std::span<const WorkerRow> Workers() const noexcept;
  std::span<const RackRow> Racks() const noexcept;

private:
  WorkerIndex AddRow(const base::TargetId& aId);
  void AddToRack(WorkerIndex aWorker, const base::RackId& aRack);
  void RemoveFromRack(WorkerIndex aWorker);

  std::vector<WorkerRow> workers;
  std::vector<RackRow> racks;
  std::vector<WorkerIndex> freeRows;
  std::unordered_map<base::TargetId, WorkerIndex> byId;
  std::unordered_multimap<base::RackId, RackIndex> racksById;
};

} // namespace amaranthwind::fleet
