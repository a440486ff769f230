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
  /** Workers that must not be used, for example since the job failed there. */
  std::span<const fleet::WorkerIndex> avoid;
  /** If given, the members must be available in this index too; the order of
   * preference is that of the first. */
  const CapacityIndex* requiredCapacity = nullptr;
};

/** Chooses workers for a gang among what is available. Stateless. */
class PlacementPolicy
{
public:
  virtual ~PlacementPolicy() = default;

  /**
   * Writes the worker of each member to aWorkers. Returns false, with aWorkers
   * empty, exactly when the shape does not fit.
   */
  virtual bool Place(const CapacityIndex& aCapacity,
                     const PlacementRequest& aRequest,
                     std::vector<fleet::WorkerIndex>& aWorkers) const = 0;
};

/** Leaves the most whole workers free, then the most whole racks. */
std::unique_ptr<PlacementPolicy>
MakeFragmentationAwarePolicy();

/** The first workers in order of index that fit; a baseline. */
std::unique_ptr<PlacementPolicy>
MakeFirstFitPolicy();

/** For each member the worker with the least left over; a baseline. */
std::unique_ptr<PlacementPolicy>
MakeBestFitPolicy();

} // namespace amaranthwind::scheduling
