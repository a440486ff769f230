#pragma once

#include "amaranthwind/fleet/Shape.h"
#include "amaranthwind/scheduling/CapacityIndex.h"

#include <memory>
#include <span>
#include <vector>

namespace amaranthwind::scheduling {

struct PlacementRequest
{
  fleet::Shape shape;
  /** Workers to exclude, for example because the job failed on them. */
  std::span<const fleet::WorkerIndex> avoid;
  /**
   * If set, the members must fit into this index as well. The order of
   * preference still follows the index passed to Place().
   */
  const CapacityIndex* requiredCapacity = nullptr;
};

/**
 * Strategy that selects workers for a gang from the available resources.
 * Stateless.
 */
class PlacementPolicy
{
public:
  virtual ~PlacementPolicy() = default;

  /**
   * Writes the worker of each member to aWorkers. If the shape does not fit,
   * and only then, returns false and leaves aWorkers empty.
   */
  virtual bool Place(const CapacityIndex& aCapacity,
                     const PlacementRequest& aRequest,
                     std::vector<fleet::WorkerIndex>& aWorkers) const = 0;
};

/** Keeps as many workers idle as possible, then as many racks. */
std::unique_ptr<PlacementPolicy>
MakeFragmentationAwarePolicy();

/** Selects the first workers that fit, in index order. Used as a baseline. */
std::unique_ptr<PlacementPolicy>
MakeFirstFitPolicy();

/**
 * Selects the worker with the fewest resources left over for each member. Used
 * as a baseline.
 */
std::unique_ptr<PlacementPolicy>
MakeBestFitPolicy();

} // namespace amaranthwind::scheduling
