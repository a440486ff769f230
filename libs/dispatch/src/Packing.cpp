#include "amaranthwind/dispatch/Packing.h"

#include <algorithm>
#include <tuple>

namespace amaranthwind::dispatch {

namespace {

/** Number of tasks of the given size that fit on the worker. */
std::uint32_t
MaxTasksOn(const PackingWorker& aWorker, const fleet::TaskResources& aNeed)
{
  if (!aWorker.free.Covers(aNeed)) {
    return 0; // Saves the divisions for most workers of a full pool.
  }
  std::uint32_t count = aWorker.remainingTaskLimit;
  if (aNeed.accelerators > 0) {
    count = std::min(count, aWorker.free.accelerators / aNeed.accelerators);
  }
  if (aNeed.milliCores > 0) {
    count = std::min(count, aWorker.free.milliCores / aNeed.milliCores);
  }
  if (aNeed.memoryMiB > 0) {
    count = static_cast<std::uint32_t>(
      std::min<std::uint64_t>(count, aWorker.free.memoryMiB / aNeed.memoryMiB));
  }
  return count;
}

/** A worker that at least one task of the request fits on. */
struct FittingWorker
{
  std::uint32_t accelerators = 0;
  std::uint32_t milliCores = 0;
  std::uint32_t index = 0;
  std::uint32_t tasks = 0;

  /** Fewest free accelerators first, then fewest cores, then lowest index. */
  bool operator<(const FittingWorker& aOther) const noexcept
  {
    return std::tuple(this->accelerators, this->milliCores, this->index) <
           std::tuple(aOther.accelerators, aOther.milliCores, aOther.index);
  }
};

/** Free capacity of a rack. */
struct RackCapacity
{
  /** Number of tasks of the request that fit. */
  std::uint64_t tasks = 0;
  std::uint64_t accelerators = 0;
};

/** The rack with the fewest free accelerators in which the request fits. */
std::optional<std::uint32_t>
FindRack(std::span<const PackingWorker> aWorkers,
         const PackingRequest& aRequest)
{
  std::vector<RackCapacity> racks;
  for (const PackingWorker& worker : aWorkers) {
    if (aRequest.rack && worker.rack != *aRequest.rack) {
      continue;
    }
    if (worker.rack >= racks.size()) {
      racks.resize(worker.rack + 1);
    }
    racks[worker.rack].tasks += MaxTasksOn(worker, aRequest.need);
    racks[worker.rack].accelerators += worker.free.accelerators;
  }
  std::optional<std::uint32_t> best;
  for (std::uint32_t rack = 0; rack < racks.size(); ++rack) {
    if (racks[rack].tasks >= aRequest.count &&
        (!best || racks[rack].accelerators < racks[*best].accelerators)) {
      best = rack;
    }
  }
  return best;
}

} // namespace

std::vector<std::uint32_t>
BestFitPacking::Pack(std::span<const PackingWorker> aWorkers,
                     const PackingRequest& aRequest) const
{
  std::optional<std::uint32_t> rack = aRequest.rack;
  if (aRequest.requiresOneRack) {
    rack = FindRack(aWorkers, aRequest);
    if (!rack) {
      return {};
    }
  }
  std::vector<FittingWorker> fitting;
  std::uint64_t tasks = 0;
  for (std::uint32_t index = 0; index < aWorkers.size(); ++index) {
    const PackingWorker& worker = aWorkers[index];
    if (rack && worker.rack != *rack) {
      continue;
    }
    if (const std::uint32_t count = MaxTasksOn(worker, aRequest.need);
        count > 0) {
      fitting.push_back(
        { worker.free.accelerators, worker.free.milliCores, index, count });
      tasks += count;
    }
  }
  if (tasks < aRequest.count) {
    return {};
  }
  std::vector<std::uint32_t> chosen;
  chosen.reserve(aRequest.count);
  if (aRequest.count == 1) {
    chosen.push_back(std::min_element(fitting.begin(), fitting.end())->index);
    return chosen;
  }
  std::sort(fitting.begin(), fitting.end());
  for (const FittingWorker& worker : fitting) {
    const auto left =
      aRequest.count - static_cast<std::uint32_t>(chosen.size());
    chosen.insert(chosen.end(), std::min(worker.tasks, left), worker.index);
  }
  return chosen;
}

} // namespace amaranthwind::dispatch
