#include "DispatcherHarness.h"

#include <doctest/doctest.h>

using namespace amaranthwind;
using namespace amaranthwind::dispatch;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kWorkers = 32;
constexpr std::uint32_t kTasks = kWorkers * 8;
/** More than a bisection needs, and far fewer than one call a task. */
constexpr std::uint64_t kMaxCalls = 40;

/** Runs one task of its own job on each accelerator, started 10 ms apart. */
void
FillWorkers(DispatcherHarness& aHarness)
{
  for (std::uint32_t i = 0; i < kTasks; ++i) {
    aHarness.Submit(
      DispatcherHarness::MakeJob("running-" + std::to_string(i), 1, 1));
    aHarness.now.now += 10ms;
    aHarness.now.wall += 10ms;
  }
  aHarness.Run(1s);
  REQUIRE(aHarness.starts.size() == kTasks);
}

job::WorkflowSpec
MakeGang(const std::string& aId, std::uint32_t aCount)
{
  auto spec = DispatcherHarness::MakeJob(aId, aCount, 8);
  spec.steps[0].isGang = true;
  spec.slack = 60s;
  return spec;
}

std::uint64_t
CallsOfOnePass(DispatcherHarness& aHarness)
{
  aHarness.packCalls = 0;
  aHarness.Tick();
  return aHarness.packCalls;
}

} // namespace

// Guards against passes of seconds: one attempt to pack for each running task.
TEST_CASE("the cost of a reservation does not grow with the running tasks")
{
  DispatcherHarness harness(kWorkers);
  FillWorkers(harness);
  SUBCASE("the gang fits once all tasks have ended")
  {
    harness.Submit(MakeGang("g", kWorkers));
  }
  SUBCASE("the gang never fits")
  {
    harness.Submit(MakeGang("g", kWorkers + 1));
  }
  SUBCASE("independent tasks")
  {
    harness.Submit(DispatcherHarness::MakeJob("j", 2 * kTasks, 1));
  }
  CHECK(CallsOfOnePass(harness) <= kMaxCalls);
}

// Guards against passes of seconds: one attempt to pack for each victim.
TEST_CASE("the cost of a refused preemption does not grow with the victims")
{
  DispatcherHarness harness(kWorkers);
  FillWorkers(harness);
  auto urgent = MakeGang("u", kWorkers);
  urgent.urgency = 0;
  // The work that it would discard is worth more than its own.
  SUBCASE("each victim costs too much")
  {
    urgent.steps[0].estimate = 5ms;
  }
  SUBCASE("a few victims cost too much")
  {
    urgent.steps[0].estimate = 100ms;
  }
  SUBCASE("all victims together cost too much")
  {
    urgent.steps[0].estimate = 4s;
  }
  harness.Submit(urgent);
  CHECK(CallsOfOnePass(harness) <= kMaxCalls);
  CHECK(harness.stops.empty());
}

// Guards against stopping tasks on workers that the guaranteed step does not
// use.
TEST_CASE("a guarantee preempts only the tasks of the worker that it needs")
{
  constexpr std::uint32_t kFew = 4;
  DispatcherHarness harness(kFew);
  harness.guarantees = { { base::AccountId("guaranteed"), 8 } };
  for (auto& [name, agent] : harness.agents) {
    agent.info.labels = { name };
  }
  harness.TakeOver();
  // The cheapest victims are on all workers in turn.
  for (std::uint32_t i = 0; i < 8 * kFew; ++i) {
    auto running =
      DispatcherHarness::MakeJob("running-" + std::to_string(i), 1, 1);
    running.steps[0].requiredLabel = "vm-" + std::to_string(i % kFew);
    harness.Submit(running);
    harness.now.now += 10ms;
    harness.now.wall += 10ms;
  }
  REQUIRE(harness.starts.size() == 8 * kFew);
  auto urgent = MakeGang("u", 1);
  urgent.urgency = 0;
  urgent.account = base::AccountId("guaranteed");
  harness.Submit(urgent);
  CHECK(harness.stops.size() == 8);
  harness.Run(1s);
  CHECK(harness.Running("u").size() == 1);
}
