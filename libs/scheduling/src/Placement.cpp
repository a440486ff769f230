#include "amaranthwind/scheduling/PlacementPolicy.h"

#include "ResourceMath.h"

#include <algorithm>
#include <bit>
#include <limits>
#include <tuple>

namespace amaranthwind::scheduling {
namespace {

using fleet::Adjacency;
using fleet::RackIndex;
using fleet::Resources;
using fleet::WorkerIndex;

/** Maximum number of feasible racks that are compared to find the best one. */
constexpr std::uint32_t kMaxComparedRacks = 16;

/** Calls aVisit with the index of each set bit until it returns false. */
template<typename Visit>
bool
ForEachBit(std::uint64_t aWord, Visit&& aVisit)
{
  while (aWord != 0) {
    if (!aVisit(static_cast<std::uint32_t>(std::countr_zero(aWord)))) {
      return false;
    }
    aWord &= aWord - 1;
  }
  return true;
}

/** Calls aVisit with each rack that is in both sets until it returns false. */
template<typename Visit>
bool
ForEachRack(std::span<const std::uint64_t> aLeft,
            std::span<const std::uint64_t> aRight,
            Visit&& aVisit)
{
  for (std::size_t word = 0; word < aLeft.size(); ++word) {
    const bool shouldContinue =
      ForEachBit(aLeft[word] & aRight[word], [&](std::uint32_t aBit) {
        return aVisit(static_cast<RackIndex>(word * 64 + aBit));
      });
    if (!shouldContinue) {
      return false;
    }
  }
  return true;
}

/** Assigns members to workers in the order in which the workers are offered. */
class MemberCollector
{
public:
  MemberCollector(const CapacityIndex& aCapacity,
                  const PlacementRequest& aRequest,
                  const Resources& aNeed,
                  std::uint32_t aMembers,
                  std::vector<WorkerIndex>& aWorkers)
    : capacity(aCapacity)
    , request(aRequest)
    , need(aNeed)
    , remaining(aMembers)
    , workers(aWorkers)
  {
  }

  /** Returns false once all members are placed. */
  bool Offer(WorkerIndex aWorker)
  {
    if (std::find(this->request.avoid.begin(),
                  this->request.avoid.end(),
                  aWorker) != this->request.avoid.end()) {
      return true;
    }
    std::uint32_t count = CountFitting(
      this->capacity.Available(aWorker), this->need, this->remaining);
    if (this->request.requiredCapacity != nullptr) {
      count = CountFitting(
        this->request.requiredCapacity->Available(aWorker), this->need, count);
    }
    this->workers.insert(this->workers.end(), count, aWorker);
    this->remaining -= count;
    return this->remaining != 0;
  }
  /** Offers all workers of a rack at the given level. */
  bool Offer(bool aIsIdle, std::uint32_t aLevel, RackIndex aRack)
  {
    std::uint64_t positions = this->capacity.Positions(aIsIdle, aLevel, aRack);
    if (this->request.requiredCapacity != nullptr &&
        this->need.accelerators != 0) {
      positions &=
        this->request.requiredCapacity->PositionsWithAccelerators(aRack);
    }
    return ForEachBit(positions, [&](std::uint32_t aPosition) {
      return this->Offer(this->capacity.WorkerAt(aRack, aPosition));
    });
  }
  bool IsDone() const noexcept { return this->remaining == 0; }

private:
  const CapacityIndex& capacity;
  const PlacementRequest& request;
  const Resources& need;
  std::uint32_t remaining;
  std::vector<WorkerIndex>& workers;
};

std::uint32_t
LowestLevel(const Resources& aNeed)
{
  return std::min(aNeed.accelerators, CapacityIndex::kLevels - 1);
}

/** Implements the steps that all policies share. */
class SearchPolicy : public PlacementPolicy
{
public:
  bool Place(const CapacityIndex& aCapacity,
             const PlacementRequest& aRequest,
             std::vector<WorkerIndex>& aWorkers) const final
  {
    aWorkers.clear();
    const fleet::Shape& shape = aRequest.shape;
    if (shape.members == 0 ||
        shape.TotalAccelerators() > aCapacity.Accelerators()) {
      return false;
    }
    bool isPlaced = false;
    if (shape.members == 1 || shape.adjacency == Adjacency::SameWorker) {
      const Resources need = Multiply(shape.perMember, shape.members);
      MemberCollector collector(aCapacity, aRequest, need, 1, aWorkers);
      this->OfferAll(aCapacity, need, collector);
      isPlaced = collector.IsDone();
      if (isPlaced) {
        aWorkers.resize(shape.members, aWorkers.front());
      }
    } else if (shape.adjacency == Adjacency::SameRack) {
      isPlaced = this->PlaceInRack(aCapacity, aRequest, aWorkers);
    } else {
      MemberCollector collector(
        aCapacity, aRequest, shape.perMember, shape.members, aWorkers);
      this->OfferAll(aCapacity, shape.perMember, collector);
      isPlaced = collector.IsDone();
    }
    if (!isPlaced) {
      aWorkers.clear();
    }
    return isPlaced;
  }

protected:
  /** Offers the workers in order of preference. */
  virtual void OfferAll(const CapacityIndex& aCapacity,
                        const Resources& aNeed,
                        MemberCollector& aCollector) const = 0;
  virtual bool PlaceInRack(const CapacityIndex& aCapacity,
                           const PlacementRequest& aRequest,
                           std::vector<WorkerIndex>& aWorkers) const = 0;

  static bool CanHold(const CapacityIndex& aCapacity,
                      const PlacementRequest& aRequest,
                      RackIndex aRack)
  {
    return aCapacity.RackAccelerators(aRack) >=
           aRequest.shape.TotalAccelerators();
  }
};

class FirstFitPolicy final : public SearchPolicy
{
protected:
  void OfferAll(const CapacityIndex& aCapacity,
                const Resources& aNeed,
                MemberCollector& aCollector) const override
  {
    for (WorkerIndex worker = 0; worker < aCapacity.WorkerCount(); ++worker) {
      if (aCapacity.Available(worker).Covers(aNeed) &&
          !aCollector.Offer(worker)) {
        return;
      }
    }
  }

  bool PlaceInRack(const CapacityIndex& aCapacity,
                   const PlacementRequest& aRequest,
                   std::vector<WorkerIndex>& aWorkers) const override
  {
    const fleet::Shape& shape = aRequest.shape;
    for (RackIndex rack = 0; rack < aCapacity.RackCount(); ++rack) {
      if (!this->CanHold(aCapacity, aRequest, rack)) {
        continue;
      }
      aWorkers.clear();
      MemberCollector collector(
        aCapacity, aRequest, shape.perMember, shape.members, aWorkers);
      std::uint64_t positions = 0;
      for (std::uint32_t level = LowestLevel(shape.perMember);
           level < CapacityIndex::kLevels;
           ++level) {
        positions |= aCapacity.Positions(false, level, rack) |
                     aCapacity.Positions(true, level, rack);
      }
      ForEachBit(positions, [&](std::uint32_t aPosition) {
        return collector.Offer(aCapacity.WorkerAt(rack, aPosition));
      });
      if (collector.IsDone()) {
        return true;
      }
    }
    return false;
  }
};

class BestFitPolicy final : public SearchPolicy
{
protected:
  void OfferAll(const CapacityIndex& aCapacity,
                const Resources& aNeed,
                MemberCollector& aCollector) const override
  {
    for (std::uint32_t level = LowestLevel(aNeed);
         level < CapacityIndex::kLevels;
         ++level) {
      for (const bool isIdle : { false, true }) {
        const auto racks = aCapacity.RacksAt(isIdle, level);
        const bool shouldContinue =
          ForEachRack(racks, racks, [&](RackIndex aRack) {
            return aCollector.Offer(isIdle, level, aRack);
          });
        if (!shouldContinue) {
          return;
        }
      }
    }
  }

  bool PlaceInRack(const CapacityIndex& aCapacity,
                   const PlacementRequest& aRequest,
                   std::vector<WorkerIndex>& aWorkers) const override
  {
    const fleet::Shape& shape = aRequest.shape;
    std::vector<WorkerIndex> candidate;
    std::uint32_t least = std::numeric_limits<std::uint32_t>::max();
    for (RackIndex rack = 0; rack < aCapacity.RackCount(); ++rack) {
      if (!this->CanHold(aCapacity, aRequest, rack) ||
          aCapacity.RackAccelerators(rack) >= least) {
        continue;
      }
      candidate.clear();
      MemberCollector collector(
        aCapacity, aRequest, shape.perMember, shape.members, candidate);
      for (std::uint32_t level = LowestLevel(shape.perMember);
           level < CapacityIndex::kLevels && !collector.IsDone();
           ++level) {
        collector.Offer(false, level, rack) &&
          collector.Offer(true, level, rack);
      }
      if (collector.IsDone()) {
        least = aCapacity.RackAccelerators(rack);
        aWorkers.swap(candidate);
      }
    }
    return !aWorkers.empty();
  }
};

class FragmentationAwarePolicy final : public SearchPolicy
{
protected:
  void OfferAll(const CapacityIndex& aCapacity,
                const Resources& aNeed,
                MemberCollector& aCollector) const override
  {
    // First partly used workers, the fullest first.
    for (std::uint32_t level = LowestLevel(aNeed);
         level < CapacityIndex::kLevels;
         ++level) {
      const auto racks = aCapacity.RacksAt(false, level);
      if (!ForEachRack(racks, racks, [&](RackIndex aRack) {
            return aCollector.Offer(false, level, aRack);
          })) {
        return;
      }
    }
    // Then idle workers: the smallest first, in the racks with the fewest idle
    // workers.
    for (std::uint32_t level = LowestLevel(aNeed);
         level < CapacityIndex::kLevels;
         ++level) {
      const auto racks = aCapacity.RacksAt(true, level);
      if (std::all_of(racks.begin(), racks.end(), [](std::uint64_t aWord) {
            return aWord == 0;
          })) {
        continue;
      }
      for (std::uint32_t group = 0; group < CapacityIndex::kRackGroups;
           ++group) {
        if (!ForEachRack(
              racks, aCapacity.RacksInGroup(group), [&](RackIndex aRack) {
                return aCollector.Offer(true, level, aRack);
              })) {
          return;
        }
      }
    }
  }

  bool PlaceInRack(const CapacityIndex& aCapacity,
                   const PlacementRequest& aRequest,
                   std::vector<WorkerIndex>& aWorkers) const override
  {
    const fleet::Shape& shape = aRequest.shape;
    using Cost = std::tuple<std::uint32_t, bool, std::uint32_t>;
    Cost least{ std::numeric_limits<std::uint32_t>::max(), true, 0 };
    std::vector<WorkerIndex> candidate;
    std::uint32_t compared = 0;
    const auto consider = [&](RackIndex aRack) {
      if (!this->CanHold(aCapacity, aRequest, aRack)) {
        return true;
      }
      candidate.clear();
      MemberCollector collector(
        aCapacity, aRequest, shape.perMember, shape.members, candidate);
      std::uint32_t idleUsed = 0;
      for (const bool isIdle : { false, true }) {
        const std::size_t before = candidate.size();
        for (std::uint32_t level = LowestLevel(shape.perMember);
             level < CapacityIndex::kLevels && !collector.IsDone();
             ++level) {
          collector.Offer(isIdle, level, aRack);
        }
        if (isIdle) {
          // Members on the same worker are adjacent in the list.
          for (std::size_t at = before; at < candidate.size(); ++at) {
            idleUsed +=
              at == before || candidate[at] != candidate[at - 1] ? 1 : 0;
          }
        }
      }
      if (!collector.IsDone()) {
        return true;
      }
      const Cost cost{ idleUsed,
                       aCapacity.IsIdleRack(aRack),
                       aCapacity.RackAccelerators(aRack) };
      if (cost < least) {
        least = cost;
        aWorkers = candidate;
      }
      return ++compared < kMaxComparedRacks;
    };
    for (std::uint32_t group = 0; group < CapacityIndex::kRackGroups; ++group) {
      const auto racks = aCapacity.RacksInGroup(group);
      if (!ForEachRack(racks, racks, consider)) {
        break;
      }
    }
    return !aWorkers.empty();
  }
};

} // namespace

std::unique_ptr<PlacementPolicy>
MakeFragmentationAwarePolicy()
{
  return std::make_unique<FragmentationAwarePolicy>();
}

std::unique_ptr<PlacementPolicy>
MakeFirstFitPolicy()
{
  return std::make_unique<FirstFitPolicy>();
}

std::unique_ptr<PlacementPolicy>
MakeBestFitPolicy()
{
  return std::make_unique<BestFitPolicy>();
}

} // namespace amaranthwind::scheduling
