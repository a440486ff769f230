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

/** Row of a worker in the table of its cell. */
using WorkerIndex = std::uint32_t;
/** Row of a rack in the table of its cell. */
using RackIndex = std::uint32_t;

inline constexpr WorkerIndex kNoWorker = ~WorkerIndex{ 0 };
/**
 * Workers in one rack row, so that a set of workers of a rack is one machine
 * word. A rack with more workers takes several rows of the same id.
 */
inline constexpr std::uint32_t kWorkersPerRackRow = 64;

enum class WorkerPresence : std::uint8_t
{
  Present,
  Draining, // Gets no new work.
  Lost,     // Known from before; counts for "can it ever fit".
};

/** Where a worker stands. */
struct RackPosition
{
  RackIndex rack = 0;
  /** Position in the rack row, below kWorkersPerRackRow. */
  std::uint32_t position = 0;

  bool operator==(const RackPosition&) const = default;
};

struct WorkerRow
{
  Target target;
  RackPosition rackPosition;
  WorkerPresence presence = WorkerPresence::Lost;
  base::TimePoint lostAt{};
  /** False once the row has been forgotten and waits to be used again. */
  bool isInUse = false;
};

struct RackRow
{
  base::RackId id;
  /** Bit n is set when position n has a worker. */
  std::uint64_t occupied = 0;
  std::array<WorkerIndex, kWorkersPerRackRow> workers{};
};

/**
 * The racks and workers of one cell in contiguous tables. Indices stay valid
 * until the worker is forgotten. Not thread-safe.
 */
class CellTable
{
public:
  /** Adds the worker, or updates it. Its presence becomes Present. */
  WorkerIndex Put(const Target& aTarget);
  /** Adds a worker of which only the name is known; it counts as lost. */
  WorkerIndex FindOrAddLost(const base::TargetId& aId, base::TimePoint aNow);
  void SetPresence(WorkerIndex aWorker,
                   WorkerPresence aPresence,
                   base::TimePoint aNow);
  /** Frees the row for another worker. */
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
