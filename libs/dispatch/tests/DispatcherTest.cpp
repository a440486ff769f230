#include "DispatchBench.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace amaranthwind;
using namespace amaranthwind::dispatch;
using namespace std::chrono_literals;
using ledger::JobPhase;

namespace {

job::WorkflowSpec
MakeGang(const std::string& aId,
         std::uint32_t aCount,
         std::uint32_t aAccelerators)
{
  auto spec = DispatcherHarness::MakeJob(aId, aCount, aAccelerators);
  spec.steps[0].isGang = true;
  return spec;
}

} // namespace

TEST_CASE("a job is placed, runs and is completed")
{
  DispatcherHarness harness;
  harness.Submit(DispatcherHarness::MakeJob("j", 3, 4));
  CHECK(harness.Running("j").size() == 3);
  CHECK(harness.Phase("j") == JobPhase::Running);
  harness.EndAll("j", EndKind::Done);
  CHECK(harness.Phase("j") == JobPhase::Completed);
  CHECK(harness.starts.size() == 3);
}

// Guards against a second run after a takeover: an order that is sent before
// its placement is durable is unknown to the next coordinator.
TEST_CASE("a start is ordered only after its placement is durable")
{
  DispatcherHarness harness;
  harness.persistsImmediately = false;
  harness.Submit(DispatcherHarness::MakeJob("j", 1, 1));
  harness.Run(3s);
  CHECK(harness.starts.empty());
  harness.Persist();
  CHECK(harness.starts.size() == 1);
}

// Guards against an end that the worker forgets before it is durable.
TEST_CASE("an end is acknowledged only after it is durable")
{
  DispatcherHarness harness;
  harness.Submit(DispatcherHarness::MakeJob("j", 1, 1));
  harness.persistsImmediately = false;
  const auto run = harness.Running("j").at(0);
  const std::string agent = harness.AgentOf(run);
  harness.EndAll("j", EndKind::Done);
  CHECK(harness.agents.at(agent).acknowledged == 0);
  harness.Persist();
  CHECK(harness.agents.at(agent).acknowledged == 1);
}

TEST_CASE("a placement that is cancelled before it is durable is not ordered")
{
  DispatcherHarness harness;
  harness.persistsImmediately = false;
  const auto job = DispatcherHarness::MakeJob("j", 2, 1);
  harness.Submit(job);
  harness.Cancel(job);
  harness.persistsImmediately = true;
  harness.Persist();
  harness.Run(2s);
  CHECK(harness.starts.empty());
  CHECK(harness.Phase("j") == JobPhase::Cancelled);
}

// Guards against a worker that gets more than it has: what is being stopped
// still counts.
TEST_CASE("room is free only when the end of what held it is listed")
{
  DispatcherHarness harness(1);
  harness.stopsImmediately = false;
  const auto first = DispatcherHarness::MakeJob("a", 1, 8);
  harness.Submit(first);
  harness.Submit(DispatcherHarness::MakeJob("b", 1, 8));
  harness.Cancel(first);
  harness.Run(1s);
  CHECK(harness.Running("b").empty());
  harness.EndAll("a", EndKind::Stopped);
  CHECK(harness.Running("b").size() == 1);
}

TEST_CASE("a step starts after all that it depends on are done")
{
  DispatcherHarness harness;
  auto job = DispatcherHarness::MakeJob("j", 2, 1);
  job.steps.push_back(job.steps[0]);
  job.steps[1].dependsOn = { 0 };
  harness.Submit(job);
  REQUIRE(harness.Running("j").size() == 2);
  harness.End(harness.Running("j").at(0), EndKind::Done);
  harness.Run(1s);
  CHECK(harness.starts.size() == 2);
  harness.EndAll("j", EndKind::Done);
  CHECK(harness.starts.size() == 4);
  harness.EndAll("j", EndKind::Done);
  CHECK(harness.Phase("j") == JobPhase::Completed);
}

TEST_CASE("occurrences start at their times and not before")
{
  DispatcherHarness harness;
  auto job = DispatcherHarness::MakeJob("j", 1, 1);
  job.repeats = 2;
  job.firstStart = harness.now.wall + 2s;
  job.interval = 3s;
  harness.Submit(job);
  harness.Run(1500ms);
  CHECK(harness.starts.empty());
  harness.Run(500ms);
  CHECK(harness.starts.size() == 1);
  harness.EndAll("j", EndKind::Done);
  harness.Run(2500ms);
  CHECK(harness.starts.size() == 1);
  harness.Run(500ms);
  REQUIRE(harness.starts.size() == 2);
  CHECK(harness.starts[1].run.task.step.occurrence == 1);
}

TEST_CASE("a task that fails as often as it may fails its job")
{
  DispatcherHarness harness;
  harness.Submit(DispatcherHarness::MakeJob("j", 2, 1));
  const auto first = harness.Running("j").at(0);
  harness.End(first, EndKind::Failed);
  harness.Run(500ms);
  CHECK(harness.starts.size() == 3);
  CHECK(harness.starts.back().run == job::TaskRun{ first.task, 2 });
  // Another worker is tried, in case the first one is at fault.
  CHECK(harness.starts.back().agent != harness.starts.front().agent);
  harness.End(harness.starts.back().run, EndKind::Failed);
  harness.Run(1s);
  CHECK(harness.Phase("j") == JobPhase::Failed);
  CHECK(harness.Running("j").empty());
}

// Guards against attempts that are counted for ends that are nobody's fault.
TEST_CASE("only failed runs count as attempts")
{
  for (const EndKind kind :
       { EndKind::Stopped, EndKind::Lapsed, EndKind::Broken, EndKind::Alone }) {
    CAPTURE(static_cast<int>(kind));
    DispatcherHarness harness;
    harness.Submit(DispatcherHarness::MakeJob("j", 1, 1));
    for (int i = 0; i < 4; ++i) {
      harness.EndAll("j", kind);
      harness.Run(500ms);
    }
    CHECK(harness.Phase("j") == JobPhase::Running);
    CHECK(harness.starts.size() == 5);
    CHECK(harness.starts.back().checkpoint == "saved-4");
  }
}

TEST_CASE("the members of a gang start together with one run number")
{
  DispatcherHarness harness;
  harness.Submit(DispatcherHarness::MakeJob("a", 3, 3));
  harness.Submit(MakeGang("g", 3, 6));
  CHECK(harness.Running("g").empty());
  harness.EndAll("a", EndKind::Done);
  CHECK(harness.Running("g").size() == 3);
  harness.EndAll("g", EndKind::Stopped);
  REQUIRE(harness.Running("g").size() == 3);
  for (const auto& run : harness.Running("g")) {
    CHECK(run.run == 2);
  }
}

TEST_CASE("one end of a gang stands for all members")
{
  DispatcherHarness harness;
  harness.Submit(MakeGang("g", 3, 2));
  harness.End(harness.Running("g").at(0), EndKind::Done);
  harness.Run(500ms);
  CHECK(harness.Phase("g") == JobPhase::Completed);
  // The others end by themselves and are not told to stop.
  CHECK(harness.stops.empty());
}

// Guards against a gang that is given up after one run in which two of its
// members fail.
TEST_CASE("a run of a gang counts once, however many members fail")
{
  DispatcherHarness harness;
  harness.stopsImmediately = false;
  harness.Submit(MakeGang("g", 3, 2));
  harness.EndAll("g", EndKind::Failed);
  harness.Run(1s);
  CHECK(harness.Phase("g") == JobPhase::Running);
  CHECK(harness.Running("g").size() == 3);
}

// Guards against members that wait alone and against a new run beside an old
// member.
TEST_CASE("the rest of a gang is stopped before it starts again")
{
  DispatcherHarness harness;
  harness.stopsImmediately = false;
  harness.Submit(MakeGang("g", 2, 2));
  const auto members = harness.Running("g");
  harness.End(members.at(0), EndKind::Stopped);
  harness.Run(1s);
  CHECK(harness.starts.size() == 2);
  harness.End(members.at(1), EndKind::Broken);
  harness.Run(500ms);
  CHECK(harness.starts.size() == 4);
}

// Guards against a second run of a task whose worker only lost its link.
TEST_CASE("a silent worker's tasks start elsewhere after its grant has passed")
{
  DispatcherHarness harness;
  harness.Submit(DispatcherHarness::MakeJob("j", 1, 8));
  const std::string agent = harness.AgentOf(harness.Running("j").at(0));
  harness.agents.at(agent).isReporting = false;
  harness.Run(harness.options.maxGrantDuration - 500ms);
  CHECK(harness.starts.size() == 1);
  harness.Run(1s);
  REQUIRE(harness.starts.size() == 2);
  CHECK(harness.starts[1].agent.View() != agent);
  CHECK(harness.starts[1].run.run == 2);
}

TEST_CASE("the tasks of a worker that restarted start again at once")
{
  DispatcherHarness harness;
  harness.Submit(DispatcherHarness::MakeJob("j", 1, 1));
  const std::string agent = harness.AgentOf(harness.Running("j").at(0));
  harness.Restart(agent);
  harness.Report(agent);
  CHECK(harness.starts.size() == 2);
  CHECK(harness.lost == 1);
}

TEST_CASE("a worker that drains or refuses gets nothing new")
{
  DispatcherHarness harness(2);
  harness.agents.at("vm-0").info.isDraining = true;
  harness.Report("vm-0");
  harness.Submit(DispatcherHarness::MakeJob("j", 2, 4));
  CHECK(harness.Used("vm-0") == 0);
  CHECK(harness.Used("vm-1") == 8);
}

// Guards against a task that is placed for good on a daemon that never got
// the order.
TEST_CASE("an order without an outcome is taken back")
{
  DispatcherHarness harness(1);
  harness.agents.at("vm-0").ignoresOrders = true;
  harness.Submit(DispatcherHarness::MakeJob("j", 1, 1));
  harness.Run(1s);
  harness.agents.at("vm-0").ignoresOrders = false;
  harness.Run(4s);
  REQUIRE(harness.starts.size() == 2);
  CHECK(harness.starts[1].run.run == 2);
  CHECK(harness.Running("j").size() == 1);
}

// Guards against late starts that nobody stops and that use room unseen.
TEST_CASE("a run that nobody placed holds room until it is gone")
{
  DispatcherHarness harness(1);
  harness.stopsImmediately = false;
  const job::TaskRun stray{ { { base::JobId("gone"), 0, 0 }, 0 }, 1 };
  harness.agents.at("vm-0").running[stray] = { stray, {}, 0 };
  harness.Report("vm-0");
  CHECK(harness.stops ==
        std::vector<std::string>{ "gone.0.0.0: run is not wanted" });
  harness.Submit(DispatcherHarness::MakeJob("j", 1, 1));
  CHECK(harness.starts.empty());
  harness.End(stray, EndKind::Stopped);
  harness.Report("vm-0");
  CHECK(harness.starts.size() == 1);
}

TEST_CASE("a new coordinator goes on with what runs")
{
  DispatcherHarness harness;
  harness.Submit(DispatcherHarness::MakeJob("j", 3, 4));
  harness.TakeOver();
  harness.Run(3s);
  CHECK(harness.starts.size() == 3);
  harness.EndAll("j", EndKind::Done);
  CHECK(harness.Phase("j") == JobPhase::Completed);
}

// Guards against a second run while the former coordinator still grants time.
TEST_CASE("tasks of a worker that does not report to the new coordinator wait")
{
  DispatcherHarness harness;
  harness.Submit(DispatcherHarness::MakeJob("j", 1, 8));
  harness.agents.at(harness.AgentOf(harness.Running("j").at(0))).isReporting =
    false;
  harness.TakeOver();
  harness.Run(harness.options.inheritedGrantDuration - 500ms);
  CHECK(harness.starts.size() == 1);
  harness.Run(1s);
  CHECK(harness.starts.size() == 2);
}

// Guards against tasks that wait for the grants of a former coordinator after
// all VMs have lost power and their new workers have registered.
TEST_CASE("tasks of a worker that another one has replaced are free at once")
{
  DispatcherHarness harness;
  harness.Submit(DispatcherHarness::MakeJob("j", 1, 8));
  const auto agent = harness.AgentOf(harness.Running("j").at(0));
  harness.Restart(agent);
  SUBCASE("the new worker has an id of its own")
  {
    harness.agents.at(agent).info.life.id = base::TargetId("w-new");
    harness.TakeOver();
    CHECK(harness.starts.size() == 2);
  }
  SUBCASE("a late order might reach the new worker under the same id")
  {
    harness.TakeOver();
    harness.Run(harness.options.inheritedGrantDuration - 500ms);
    CHECK(harness.starts.size() == 1);
    harness.Run(1s);
    CHECK(harness.starts.size() == 2);
  }
}

// Guards against a second run of a task that is done, which would count twice.
TEST_CASE("an end that is seen after its worker was given up still counts")
{
  DispatcherHarness harness(1);
  harness.Submit(DispatcherHarness::MakeJob("j", 1, 8));
  const auto run = harness.Running("j").at(0);
  harness.agents.at("vm-0").isReporting = false;
  harness.Run(harness.options.maxGrantDuration + 1s);
  REQUIRE(harness.lost == 1);
  harness.End(run, EndKind::Done);
  harness.agents.at("vm-0").isReporting = true;
  harness.Report("vm-0");
  CHECK(harness.Phase("j") == JobPhase::Completed);
  CHECK(harness.starts.size() == 1);
}

// Guards against the same when the next life of the worker has carried the
// order out.
TEST_CASE("a run that another life of its worker has done counts")
{
  DispatcherHarness harness(1);
  harness.Submit(DispatcherHarness::MakeJob("j", 1, 8));
  const auto run = harness.Running("j").at(0);
  harness.Restart("vm-0");
  harness.agents.at("vm-0").running[run] = { run, {}, 0 };
  harness.End(run, EndKind::Done);
  harness.Report("vm-0");
  CHECK(harness.Phase("j") == JobPhase::Completed);
  CHECK(harness.starts.size() == 1);
}

// Guards against hundreds of starts a second on a worker that answers none.
TEST_CASE("a worker that did not confirm a start is left alone for a moment")
{
  DispatcherHarness harness(1);
  harness.agents.at("vm-0").ignoresOrders = true;
  harness.Submit(DispatcherHarness::MakeJob("j", 1, 8));
  REQUIRE(harness.starts.size() == 1);
  SUBCASE("its daemon says that the run is absent")
  {
    harness.Outcome("vm-0", harness.starts[0].run, OrderOutcome::Absent);
  }
  SUBCASE("the run is listed as stopped")
  {
    harness.agents.at("vm-0").running[harness.starts[0].run] = {
      harness.starts[0].run, {}, 0
    };
    harness.End(harness.starts[0].run, EndKind::Stopped);
    harness.Report("vm-0");
  }
  CHECK(harness.starts.size() == 1);
  harness.Run(1s);
  CHECK(harness.starts.size() == 2);
}

// Guards against members of a gang that wait for one whose worker is gone.
TEST_CASE("a gang that lost a member during the takeover is stopped as a whole")
{
  DispatcherHarness harness;
  auto gang = DispatcherHarness::MakeJob("g", 3, 8);
  gang.steps[0].isGang = true;
  harness.Submit(gang);
  harness.Restart("vm-0");
  harness.agents.at("vm-0").info.life.id = base::TargetId("w-new");
  harness.TakeOver();
  CHECK(harness.stops.size() == 2);
  harness.Run(2s);
  CHECK(harness.Running("g").size() == 3);
  CHECK(harness.starts.size() == 6);
}

// Guards against a start that the former coordinator ordered and that the
// worker carries out after the new one has placed the task elsewhere.
TEST_CASE("a placement that nobody knows of is made impossible first")
{
  DispatcherHarness harness;
  harness.agents.at("vm-0").ignoresOrders = true;
  harness.agents.at("vm-1").ignoresOrders = true;
  harness.agents.at("vm-2").ignoresOrders = true;
  harness.Submit(DispatcherHarness::MakeJob("j", 1, 1));
  REQUIRE(harness.starts.size() == 1);
  harness.TakeOver();
  CHECK(harness.starts.size() == 1);
  CHECK(harness.stops.size() == 1);
  const StartTask lostOrder = harness.starts[0];
  for (auto& [name, agent] : harness.agents) {
    agent.ignoresOrders = false;
  }
  harness.Outcome(lostOrder.agent.Text(), lostOrder.run, OrderOutcome::Absent);
  harness.Run(500ms);
  REQUIRE(harness.starts.size() == 2);
  CHECK(harness.starts[1].run.run == 2);
}

TEST_CASE("a job that ended is forgotten after its retention")
{
  DispatcherHarness harness;
  harness.Submit(DispatcherHarness::MakeJob("j", 1, 1));
  harness.EndAll("j", EndKind::Done);
  harness.Run(harness.options.retention - 1s);
  CHECK(harness.forgotten.empty());
  harness.Run(2s);
  REQUIRE(harness.forgotten.size() == 1);
  CHECK(harness.forgotten[0].steps.size() == 1);
}
