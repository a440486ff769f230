#pragma once

#include "amaranthwind/fleet/TaskResources.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace amaranthwind::dispatch {

/** A worker that may take tasks of the request. */
struct PackingWorker
{
  fleet::TaskResources free;
  std::uint32_t rack = 0;
  /** Further tasks of the step that it may take by their spread. */
  std::uint32_t remainingTaskLimit = UINT32_MAX;
};

struct PackingRequest
{
  fleet::TaskResources need;
  std::uint32_t count = 1;
  /** All tasks in one rack. */
  bool requiresOneRack = false;
  /** Only in this rack. */
  std::optional<std::uint32_t> rack;
};

/** Chooses workers for tasks that start together. */
class Packing
{
public:
  virtual ~Packing() = default;
  /**
   * Index of a worker for each of the request's tasks; empty if they do not
   * all fit.
   */
  virtual std::vector<std::uint32_t> Pack(
    std::span<const PackingWorker> aWorkers,
    const PackingRequest& aRequest) const = 0;
};

/**
 * Fills the workers with the least free accelerators first, and takes the rack
 * that has the least left afterwards, so that whole workers and racks stay free
 * for large gangs.
 */
class BestFitPacking final : public Packing
{
public:
  std::vector<std::uint32_t> Pack(
    std::span<const PackingWorker> aWorkers,
    const PackingRequest& aRequest) const override;
};

} // namespace amaranthwind::dispatch
