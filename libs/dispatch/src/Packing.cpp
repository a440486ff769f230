#include "amaranthwind/dispatch/Packing.h"

#include <algorithm>
#include <map>

namespace amaranthwind::dispatch {

namespace {

/** Number of tasks of the given size that fit on the worker. */
std::uint32_t
MaxTasksOn(const PackingWorker& aWorker, const fleet::TaskResources& aNeed)
{
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

/** Fills the allowed workers in ascending order of free accelerators. */
std::vector<std::uint32_t>
FillWorkers(std::span<const PackingWorker> aWorkers,
            std::vector<std::uint32_t> aAllowed,
            const PackingRequest& aRequest)
{
  std::stable_sort(aAllowed.begin(),
                   aAllowed.end(),
                   [&](std::uint32_t aLeft, std::uint32_t aRight) {
                     const auto& left = aWorkers[aLeft].free;
                     const auto& right = aWorkers[aRight].free;
                     return std::pair(left.accelerators, left.milliCores) <
                            std::pair(right.accelerators, right.milliCores);
                   });
  std::vector<std::uint32_t> chosen;
  for (const std::uint32_t index : aAllowed) {
    const auto fitting = MaxTasksOn(aWorkers[index], aRequest.need);
    const auto left =
      aRequest.count - static_cast<std::uint32_t>(chosen.size());
    chosen.insert(chosen.end(), std::min(fitting, left), index);
    if (chosen.size() == aRequest.count) {
      return chosen;
    }
  }
  return {};
}

std::uint64_t
FreeAccelerators(std::span<const PackingWorker> aWorkers,
                 std::span<const std::uint32_t> aIndices)
{
  std::uint64_t sum = 0;
  for (const std::uint32_t index : aIndices) {
    sum += aWorkers[index].free.accelerators;
  }
  return sum;
}

} // namespace

std::vector<std::uint32_t>
BestFitPacking::Pack(std::span<const PackingWorker> aWorkers,
                     const PackingRequest& aRequest) const
{
  std::map<std::uint32_t, std::vector<std::uint32_t>> racks;
  std::vector<std::uint32_t> all;
  for (std::uint32_t index = 0; index < aWorkers.size(); ++index) {
    if (!aRequest.rack || aWorkers[index].rack == *aRequest.rack) {
      racks[aWorkers[index].rack].push_back(index);
      all.push_back(index);
    }
  }
  if (!aRequest.requiresOneRack) {
    return FillWorkers(aWorkers, std::move(all), aRequest);
  }
  std::vector<std::uint32_t> best;
  std::uint64_t bestFree = UINT64_MAX;
  for (const auto& [rack, indices] : racks) {
    auto chosen = FillWorkers(aWorkers, indices, aRequest);
    const std::uint64_t free = FreeAccelerators(aWorkers, indices);
    if (!chosen.empty() && free < bestFree) {
      best = std::move(chosen);
      bestFree = free;
    }
  }
  return best;
}

} // namespace amaranthwind::dispatch
