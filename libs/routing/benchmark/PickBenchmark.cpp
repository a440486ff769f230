// Measures a routing decision: read the snapshot, pick a target, acquire and
// release the permit. Reports allocations per decision.
#include "BaselinePickers.h"

#include "amaranthwind/base/RcuCell.h"
#include "amaranthwind/routing/TargetTable.h"

#include <benchmark/benchmark.h>

#include <array>
#include <cstdlib>
#include <new>
#include <string>

namespace {

thread_local std::uint64_t allocations = 0;

} // namespace

// Not inlined, because g++ 12 otherwise reports a mismatched new/delete pair.
[[gnu::noinline]] void*
operator new(std::size_t aSize)
{
  ++allocations;
  if (void* memory = std::malloc(aSize)) {
    return memory;
  }
  throw std::bad_alloc();
}

[[gnu::noinline]] void
operator delete(void* aMemory) noexcept
{
  std::free(aMemory);
}

[[gnu::noinline]] void
operator delete(void* aMemory, std::size_t /*aSize*/) noexcept
{
  std::free(aMemory);
}

using namespace amaranthwind;
using namespace amaranthwind::routing;

namespace {

constexpr base::TimePoint kStart{ std::chrono::hours(1) };

/** Targets of one entry; the first benchmark argument is their number. */
struct Targets
{
  explicit Targets(int aCount)
    : table(kStart)
  {
    for (int i = 0; i < aCount; ++i) {
      this->table.Put(base::TargetId("executor-" + std::to_string(i)),
                      base::Incarnation(1),
                      8,
                      kStart - std::chrono::minutes(1));
    }
    this->cell.Publish(this->table.Build(kStart));
  }

  TargetTable table;
  base::RcuCell<RoutingSnapshot> cell{ table.Build(kStart) };
};

template<typename Picker>
void
PickAndFinish(benchmark::State& aState)
{
  static Targets today(11);
  static Targets planned(775);
  static const Picker picker;
  Targets& targets = aState.range(0) == 11 ? today : planned;
  const TargetPicker& basePicker = picker;
  base::RandomEngine random(static_cast<std::uint64_t>(aState.thread_index()));
  std::uint64_t refused = 0;
  const std::uint64_t before = allocations;
  for (auto _ : aState) {
    auto snapshot = targets.cell.Read();
    if (auto permit = basePicker.Pick(*snapshot, kStart, random)) {
      permit->Finish(Outcome::Success, kStart + std::chrono::milliseconds(1));
    } else {
      ++refused;
    }
  }
  const auto count = static_cast<double>(aState.iterations());
  aState.counters["allocations"] =
    benchmark::Counter(static_cast<double>(allocations - before) / count,
                       benchmark::Counter::kAvgThreads);
  aState.counters["refused"] = benchmark::Counter(
    static_cast<double>(refused) / count, benchmark::Counter::kAvgThreads);
  aState.SetItemsProcessed(aState.iterations());
}

/** Baseline with one table per thread; shows how far the machine scales. */
void
PickAndFinishUnshared(benchmark::State& aState)
{
  Targets targets(static_cast<int>(aState.range(0)));
  const PowerOfTwoPicker picker;
  const TargetPicker& basePicker = picker;
  base::RandomEngine random(static_cast<std::uint64_t>(aState.thread_index()));
  for (auto _ : aState) {
    auto snapshot = targets.cell.Read();
    auto permit = basePicker.Pick(*snapshot, kStart, random);
    permit->Finish(Outcome::Success, kStart + std::chrono::milliseconds(1));
  }
  aState.SetItemsProcessed(aState.iterations());
}

void
Rank(benchmark::State& aState)
{
  Targets targets(static_cast<int>(aState.range(0)));
  std::array<const RoutingEntry*, 2> order{};
  for (auto _ : aState) {
    auto snapshot = targets.cell.Read();
    benchmark::DoNotOptimize(
      snapshot->Rank("idempotency-key-of-32-characters", order));
  }
}

} // namespace

BENCHMARK_TEMPLATE(PickAndFinish, PowerOfTwoPicker)
  ->Arg(11)
  ->Arg(775)
  ->Threads(1)
  ->Threads(2)
  ->Threads(4)
  ->UseRealTime();
BENCHMARK(PickAndFinishUnshared)
  ->Arg(11)
  ->Threads(1)
  ->Threads(2)
  ->Threads(4)
  ->UseRealTime();
BENCHMARK_TEMPLATE(PickAndFinish, RoundRobinPicker)
  ->Arg(11)
  ->Threads(1)
  ->Threads(4)
  ->UseRealTime();
BENCHMARK_TEMPLATE(PickAndFinish, LeastLoadedPicker)
  ->Arg(11)
  ->Threads(1)
  ->Threads(4)
  ->UseRealTime();
BENCHMARK(Rank)->Arg(11)->Arg(775);

BENCHMARK_MAIN();
