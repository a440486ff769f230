#include "amaranthwind/base/Random.h"

#include <doctest/doctest.h>

#include <utility>

using namespace amaranthwind::base;

namespace {

std::pair<std::uint64_t, std::uint64_t>
MakeTwoSeeds(std::uint64_t aSeed)
{
  const ScopedSeeds seeds(aSeed);
  const std::uint64_t first = MakeSeed();
  return { first, MakeSeed() };
}

} // namespace

// Guards against simulations that cannot be repeated with their seed.
TEST_CASE("scoped seeds are repeatable and end with their scope")
{
  const auto seeds = MakeTwoSeeds(7);
  CHECK(seeds == MakeTwoSeeds(7));
  CHECK(seeds != MakeTwoSeeds(8));
  CHECK(seeds.first != seeds.second);
  CHECK(MakeSeed() != MakeSeed());
}
