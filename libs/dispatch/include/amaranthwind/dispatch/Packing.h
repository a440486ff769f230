#pragma once

#include "amaranthwind/fleet/TaskResources.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace amaranthwind::dispatch {

/** A worker that is eligible for tasks of the request. */
struct PackingWorker
{
  fleet::TaskResources free;
  /** Racks are numbered from 0, without large gaps. */
  std::uint32_t rack = 0;
  /** How many more tasks of the step maxPerWorker allows on this worker. */
  std::uint32_t remainingTaskLimit = UINT32_MAX;
};

struct PackingRequest
{
  fleet::TaskResources need;
  std::uint32_t count = 1;
  /** All tasks must be placed in the same rack. */
  bool requiresOneRack = false;
  /** Restricts placement to this rack. */
  std::optional<std::uint32_t> rack;
};

/** Placement strategy: chooses workers for tasks that start together. */
class Packing
{
public:
  virtual ~Packing() = default;
  /**
   * Returns the index of a worker for each task of the request, or an empty
   * vector if not all of them fit. A request that fits also fits if more
   * resources of the same workers are free.
   */
  virtual std::vector<std::uint32_t> Pack(
    std::span<const PackingWorker> aWorkers,
    const PackingRequest& aRequest) const = 0;
};

/**
 * Best-fit placement: prefers the workers, and for a single-rack request the
 * rack, with the fewest free accelerators, so that whole workers and racks stay
 * free for large gangs.
 */
class BestFitPacking final : public Packing
{
public:
  std::vector<std::uint32_t> Pack(
    std::span<const PackingWorker> aWorkers,
    const PackingRequest& aRequest) const override;
};

} // namespace amaranthwind::dispatch
