#include "DispatcherHarness.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace amaranthwind;
using namespace amaranthwind::dispatch;
using namespace std::chrono_literals;

namespace {

/** A job with one task, whose start order reached its agent only. */
struct UnansweredStart
{
  UnansweredStart()
  {
    for (auto& [name, each] : this->harness.agents) {
      each.ignoresOrders = true;
    }
    this->harness.Submit(DispatcherHarness::MakeJob("j", 1, 8));
    REQUIRE(this->harness.starts.size() == 1);
    this->run = this->harness.starts[0].run;
    this->name = this->harness.starts[0].agent.Text();
    this->Agent().isReporting = false;
    for (auto& [name, each] : this->harness.agents) {
      each.ignoresOrders = false;
    }
  }
  DispatcherHarness::Agent& Agent()
  {
    return this->harness.agents.at(this->name);
  }
  /** The agent reports again, with nothing on its worker. */
  void ComeBack()
  {
    this->harness.stopOrders.clear();
    this->Agent().isReporting = true;
    this->Agent().ignoresOrders = true;
    this->harness.RestartAgent(this->name);
    this->harness.Report(this->name);
  }
  /** Stop orders for the run. */
  std::ptrdiff_t Stops() const
  {
    const auto& stops = this->harness.stopOrders;
    return std::count_if(
      stops.begin(), stops.end(), [this](const StopTask& aStop) {
        return aStop.run == this->run && aStop.agent.Text() == this->name;
      });
  }

  DispatcherHarness harness{ 2 };
  job::TaskRun run;
  std::string name;
};

} // namespace

// Guards against a late start that begins a run beside a later one, or after it
// has completed: the lease of the worker is renewed, and nobody knows the
// start.
TEST_CASE("the start of a run that was given up is stopped on its worker")
{
  UnansweredStart start;
  auto& harness = start.harness;
  SUBCASE("that was silent")
  {
    harness.Run(10s);
  }
  SUBCASE("that was silent through a takeover")
  {
    harness.TakeOver();
    harness.Run(20s);
  }
  SUBCASE("that has restarted under its id")
  {
    harness.Run(10s);
    ++start.Agent().info.life.born;
  }
  REQUIRE(harness.Running("j").size() == 1);
  CHECK(harness.Running("j")[0].run == start.run.run + 1);
  start.ComeBack();
  CHECK(start.Stops() == 1);
  // Its room stays taken, and the stop is repeated, until it has an outcome.
  harness.Submit(DispatcherHarness::MakeJob("k", 1, 8));
  CHECK(harness.starts.back().run.task.step.job.View() == "j");
  harness.RestartAgent(start.name);
  harness.Report(start.name);
  CHECK(start.Stops() == 2);
  start.Agent().ignoresOrders = false;
  harness.Outcome(start.name, start.run, OrderOutcome::Absent);
  harness.Report(start.name);
  CHECK(start.Stops() == 2);
  CHECK(harness.starts.back().run.task.step.job.View() == "k");
}

// Guards against orders for starts that cannot arrive any more.
TEST_CASE("the start of a run that was given up long ago is not stopped")
{
  UnansweredStart start;
  start.harness.Run(60s);
  start.ComeBack();
  CHECK(start.Stops() == 0);
}

TEST_CASE("a run that was given up is not stopped once its end is listed")
{
  UnansweredStart start;
  start.Agent().running[start.run] = { start.run, {}, 0, true };
  start.harness.Run(10s);
  start.harness.End(start.run, EndKind::Lapsed);
  start.ComeBack();
  CHECK(start.Stops() == 0);
}

// Guards against an attempt to start the run that got no answer, while a later
// one did: it may begin the run again on the next life of the worker.
TEST_CASE("the start of a completed run is stopped on the worker's next life")
{
  DispatcherHarness harness(1);
  harness.Submit(DispatcherHarness::MakeJob("j", 1, 8));
  REQUIRE(harness.Running("j").size() == 1);
  const job::TaskRun run = harness.Running("j")[0];
  harness.EndAll("j", EndKind::Done);
  CHECK(harness.Phase("j") == ledger::JobPhase::Completed);
  harness.stopOrders.clear();
  SUBCASE("which begins soon")
  {
    harness.Restart("vm-0");
    harness.Report("vm-0");
    REQUIRE(harness.stopOrders.size() == 1);
    CHECK(harness.stopOrders[0].run == run);
  }
  SUBCASE("but not on the same life")
  {
    harness.Report("vm-0");
    CHECK(harness.stopOrders.empty());
  }
  SUBCASE("but not when it can no longer arrive")
  {
    harness.Run(60s);
    harness.Restart("vm-0");
    harness.Report("vm-0");
    CHECK(harness.stopOrders.empty());
  }
}
