#include "amaranthwind/base/ManualClock.h"
#include "amaranthwind/membership/TargetRegistry.h"

#include <benchmark/benchmark.h>

#include <malloc.h>

#include <cstdint>
#include <string>
#include <vector>

using namespace amaranthwind;
using namespace amaranthwind::membership;

namespace {

constexpr base::Incarnation kIncarnation(1);

std::size_t
HeapBytes()
{
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

std::vector<base::TargetId>
MakeIds(std::int64_t aCount)
{
  std::vector<base::TargetId> ids;
  for (std::int64_t i = 0; i < aCount; ++i) {
    ids.emplace_back("zone-1/rack-" + std::to_string(i / 3) + "/worker-" +
                     std::to_string(i));
  }
  return ids;
}

void
Announce(TargetRegistry& aRegistry,
         const std::vector<base::TargetId>& aIds,
         base::TimePoint aNow)
{
  for (const base::TargetId& id : aIds) {
    aRegistry.OnHello(id, kIncarnation, false, aNow);
  }
  // The first heartbeat also sends the interval for the final target count.
  for (const base::TargetId& id : aIds) {
    aRegistry.OnHeartbeat(id, kIncarnation, false, aNow);
  }
}

/** Handles one heartbeat. Argument: number of targets. */
void
HandleHeartbeat(benchmark::State& aState)
{
  const base::ManualClock clock;
  const auto ids = MakeIds(aState.range(0));
  const std::size_t before = HeapBytes();
  TargetRegistry registry;
  Announce(registry, ids, clock.Now());
  const std::size_t bytes = HeapBytes() - before;
  std::size_t next = 0;
  for (auto _ : aState) {
    benchmark::DoNotOptimize(
      registry.OnHeartbeat(ids[next], kIncarnation, false, clock.Now()));
    next = next + 1 == ids.size() ? 0 : next + 1;
  }
  aState.counters["bytes_per_target"] =
    static_cast<double>(bytes) / static_cast<double>(ids.size());
}

/** Checks the deadlines of all targets once. */
void
HandleTick(benchmark::State& aState)
{
  const base::ManualClock clock;
  TargetRegistry registry;
  Announce(registry, MakeIds(aState.range(0)), clock.Now());
  for (auto _ : aState) {
    benchmark::DoNotOptimize(registry.OnTick(clock.Now()));
  }
}

BENCHMARK(HandleHeartbeat)->Arg(11)->Arg(100)->Arg(775)->Arg(3'000);
BENCHMARK(HandleTick)->Arg(11)->Arg(100)->Arg(775)->Arg(3'000);

} // namespace

BENCHMARK_MAIN();
