// Measures the cost of the gate on the request path and the cost of the queue
// per queued request.
#include "amaranthwind/admission/AdmissionQueue.h"

#include <benchmark/benchmark.h>

#include <string>

using namespace amaranthwind;
using namespace amaranthwind::admission;

namespace {

constexpr base::TimePoint kStart{ std::chrono::hours(1) };

policy::Policy
MakePolicy(std::size_t aAccounts, std::size_t aKinds)
{
  policy::Policy policy;
  policy.accounts.reserve(aAccounts);
  for (std::size_t i = 0; i < aAccounts; ++i) {
    policy.accounts.push_back(
      { .id = base::AccountId("account-" + std::to_string(1000 + i)),
        .guarantees = {} });
  }
  policy.kinds.reserve(aKinds);
  for (std::size_t i = 0; i < aKinds; ++i) {
    policy.kinds.push_back(
      { .id = base::WorkKindId("kind-" + std::to_string(1000 + i)),
        .urgency = static_cast<std::uint32_t>(i),
        .floorPercent = 5 });
  }
  return policy;
}

void
AdmitAndRelease(benchmark::State& aState)
{
  static CapacityGate gate(88);
  static ShareTable table;
  static const auto shares = table.Build(MakePolicy(4, 3));
  for (auto _ : aState) {
    auto slot = gate.TryAdmit(*shares->FindAccount("account-1002"),
                              *shares->FindKind("kind-1001"));
    benchmark::DoNotOptimize(slot);
  }
  aState.SetItemsProcessed(aState.iterations());
}

/**
 * Submits and dispatches one request with 1000 queued. Arguments: number of
 * accounts, number of kinds.
 */
void
SubmitAndDispatch(benchmark::State& aState)
{
  const auto accounts = static_cast<std::size_t>(aState.range(0));
  const auto kinds = static_cast<std::size_t>(aState.range(1));
  const policy::Policy policy = MakePolicy(accounts, kinds);
  ShareTable table;
  CapacityGate gate(29);
  AdmissionQueue queue(
    gate,
    table.Build(policy),
    // Prevents refusals, so that the number of queued requests stays constant.
    { .maxWaiting = 10'000'000,
      .assumedService = std::chrono::nanoseconds(1) });
  std::uint64_t id = 0;
  auto submit = [&] {
    ++id;
    return queue.Submit(
      { .id = RequestId(id),
        .account = policy.accounts[id % accounts].id,
        .kind = policy.kinds[id / accounts % kinds].id,
        .caller = base::CallerId("caller-" + std::to_string(id % 20)),
        .arrival = kStart,
        .deadline = kStart + std::chrono::seconds(10) },
      kStart);
  };
  Effects running;
  for (int i = 0; i < 1029; ++i) {
    for (Effect& effect : submit()) {
      running.push_back(std::move(effect));
    }
  }
  std::size_t oldest = 0;
  for (auto _ : aState) {
    benchmark::DoNotOptimize(submit());
    std::get<Dispatch>(running[oldest]).slot.Release();
    for (Effect& effect : queue.Complete(kStart)) {
      running[oldest] = std::move(effect);
    }
    oldest = (oldest + 1) % running.size();
  }
  aState.counters["waiting"] = static_cast<double>(queue.Waiting());
}

} // namespace

BENCHMARK(AdmitAndRelease)->Threads(1)->Threads(4)->UseRealTime();
BENCHMARK(SubmitAndDispatch)->Args({ 4, 3 })->Args({ 150, 10 });

BENCHMARK_MAIN();
