#include "amaranthwind/scheduling/PlacementPolicy.h"

#include "SchedulerFixture.h"

#include "amaranthwind/base/Random.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

using namespace amaranthwind;
using namespace amaranthwind::scheduling;
using fleet::Adjacency;
using fleet::WorkerIndex;

namespace {

/**
 * Index of workers with eight accelerators each, three per rack, and the given
 * number of available accelerators.
 */
struct IndexFixture
{
  explicit IndexFixture(std::span<const std::uint32_t> aAvailable)
  {
    for (std::size_t at = 0; at < aAvailable.size(); ++at) {
      const fleet::Target target = MakeWorker(static_cast<int>(at));
      const WorkerIndex worker = this->cell.Put(target);
      fleet::Resources available = target.resources;
      available.accelerators = aAvailable[at];
      this->index.Set(worker,
                      this->cell.Worker(worker).rackPosition,
                      target.resources,
                      available);
    }
  }
  std::vector<WorkerIndex> Place(const PlacementPolicy& aPolicy,
                                 const fleet::Shape& aShape)
  {
    std::vector<WorkerIndex> workers;
    aPolicy.Place(this->index, { aShape, {}, nullptr }, workers);
    return workers;
  }
  fleet::CellTable cell;
  CapacityIndex index;
};

} // namespace

// Guards against fragmentation: small jobs placed on idle workers or in idle
// racks although partly used ones have capacity.
TEST_CASE("the fragmentation-aware policy keeps workers and racks idle")
{
  struct Case
  {
    std::vector<std::uint32_t> available;
    fleet::Shape shape;
    std::vector<WorkerIndex> expected;
  };
  const Case cases[] = {
    // A partly used worker before an idle one, the fullest first.
    { { 8, 8, 8, 8, 6, 3 }, MakeShape(1, 2), { 5 } },
    // An idle worker of a partly used rack before one of an idle rack.
    { { 8, 8, 8, 8, 0, 8 }, MakeShape(1, 8), { 3 } },
    // The rack with the fewest idle workers.
    { { 8, 8, 8, 8, 8, 2 }, MakeShape(2, 8, Adjacency::SameRack), { 3, 4 } },
    { { 8, 8, 8, 2, 2, 2 }, MakeShape(3, 2, Adjacency::SameRack), { 3, 4, 5 } },
    { { 8, 8, 8, 4, 4, 4 }, MakeShape(2, 4, Adjacency::SameWorker), { 0, 0 } },
  };
  const auto policy = MakeFragmentationAwarePolicy();
  for (const Case& test : cases) {
    IndexFixture cell(test.available);
    CHECK(cell.Place(*policy, test.shape) == test.expected);
  }
}

// Guards against a policy that misses a placement that exists, or returns one
// that does not fit.
TEST_CASE("all policies agree on whether a shape fits")
{
  base::RandomEngine random(1);
  const auto draw = [&random](std::uint32_t aLow, std::uint32_t aHigh) {
    return std::uniform_int_distribution<std::uint32_t>(aLow, aHigh)(random);
  };
  const std::unique_ptr<PlacementPolicy> policies[] = {
    MakeFragmentationAwarePolicy(), MakeFirstFitPolicy(), MakeBestFitPolicy()
  };
  for (int round = 0; round < 2000; ++round) {
    std::vector<std::uint32_t> available(11);
    for (std::uint32_t& one : available) {
      one = draw(0, 8);
    }
    const fleet::Shape shape =
      MakeShape(draw(1, 4), draw(0, 8), static_cast<Adjacency>(draw(0, 2)));
    IndexFixture cell(available);
    const bool fits = !cell.Place(*policies[1], shape).empty();
    for (const auto& policy : policies) {
      std::vector<WorkerIndex> workers = cell.Place(*policy, shape);
      CHECK(workers.empty() == !fits);
      std::vector<std::uint32_t> left = available;
      std::set<WorkerIndex> racks;
      for (const WorkerIndex worker : workers) {
        REQUIRE(left[worker] >= shape.perMember.accelerators);
        left[worker] -= shape.perMember.accelerators;
        racks.insert(worker / 3);
      }
      const std::set<WorkerIndex> distinct(workers.begin(), workers.end());
      CHECK((shape.adjacency != Adjacency::SameWorker || distinct.size() <= 1));
      CHECK((shape.adjacency != Adjacency::SameRack || racks.size() <= 1));
    }
  }
}
