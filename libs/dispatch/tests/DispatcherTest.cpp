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
  auto spec = DispatchBench::MakeJob(aId, aCount, aAccelerators);
  spec.steps[0].isGang = true;
  return spec;
}

} // namespace

TEST_CASE("a job is placed, runs and is completed")
{
  DispatchBench bench;
  bench.Submit(DispatchBench::MakeJob("j", 3, 4));
  CHECK(bench.Running("j").size() == 3);
  CHECK(bench.Phase("j") == JobPhase::Running);
  bench.EndAll("j", EndKind::Done);
  CHECK(bench.Phase("j") == JobPhase::Completed);
  CHECK(bench.starts.size() == 3);
}

// Guards against a second run after a takeover: an order that is sent before
// its placement is durable is unknown to the next coordinator.
TEST_CASE("a start is ordered only after its placement is durable")
{
  DispatchBench bench;
  bench.persistsAtOnce = false;
  bench.Submit(DispatchBench::MakeJob("j", 1, 1));
  bench.Run(3s);
  CHECK(bench.starts.empty());
  bench.Persist();
  CHECK(bench.starts.size() == 1);
}

// Guards against an end that the worker forgets before it is durable.
TEST_CASE("an end is acknowledged only after it is durable")
{
  DispatchBench bench;
  bench.Submit(DispatchBench::MakeJob("j", 1, 1));
  bench.persistsAtOnce = false;
  const auto run = bench.Running("j").at(0);
  const std::string agent = bench.AgentOf(run);
  bench.EndAll("j", EndKind::Done);
  CHECK(bench.agents.at(agent).acknowledged == 0);
  bench.Persist();
  CHECK(bench.agents.at(agent).acknowledged == 1);
}

TEST_CASE("a placement that is cancelled before it is durable is not ordered")
{
  DispatchBench bench;
  bench.persistsAtOnce = false;
  const auto job = DispatchBench::MakeJob("j", 2, 1);
  bench.Submit(job);
  bench.Cancel(job);
  bench.persistsAtOnce = true;
  bench.Persist();
  bench.Run(2s);
  CHECK(bench.starts.empty());
  CHECK(bench.Phase("j") == JobPhase::Cancelled);
}

// Guards against a worker that gets more than it has: what is being stopped
// still counts.
TEST_CASE("room is free only when the end of what held it is listed")
{
  DispatchBench bench(1);
  bench.stopsAtOnce = false;
  const auto first = DispatchBench::MakeJob("a", 1, 8);
  bench.Submit(first);
  bench.Submit(DispatchBench::MakeJob("b", 1, 8));
  bench.Cancel(first);
  bench.Run(1s);
  CHECK(bench.Running("b").empty());
  bench.EndAll("a", EndKind::Stopped);
  CHECK(bench.Running("b").size() == 1);
}

TEST_CASE("a step starts after all that it depends on are done")
{
  DispatchBench bench;
  auto job = DispatchBench::MakeJob("j", 2, 1);
  job.steps.push_back(job.steps[0]);
  job.steps[1].dependsOn = { 0 };
  bench.Submit(job);
  REQUIRE(bench.Running("j").size() == 2);
  bench.End(bench.Running("j").at(0), EndKind::Done);
  bench.Run(1s);
  CHECK(bench.starts.size() == 2);
  bench.EndAll("j", EndKind::Done);
  CHECK(bench.starts.size() == 4);
  bench.EndAll("j", EndKind::Done);
  CHECK(bench.Phase("j") == JobPhase::Completed);
}

TEST_CASE("occurrences start at their times and not before")
{
  DispatchBench bench;
  auto job = DispatchBench::MakeJob("j", 1, 1);
  job.repeats = 2;
  job.firstStart = bench.now.wall + 2s;
  job.interval = 3s;
  bench.Submit(job);
  bench.Run(1500ms);
  CHECK(bench.starts.empty());
  bench.Run(500ms);
  CHECK(bench.starts.size() == 1);
  bench.EndAll("j", EndKind::Done);
  bench.Run(2500ms);
  CHECK(bench.starts.size() == 1);
  bench.Run(500ms);
  REQUIRE(bench.starts.size() == 2);
  CHECK(bench.starts[1].run.task.step.occurrence == 1);
}

TEST_CASE("a task that fails as often as it may fails its job")
{
  DispatchBench bench;
  bench.Submit(DispatchBench::MakeJob("j", 2, 1));
  const auto first = bench.Running("j").at(0);
  bench.End(first, EndKind::Failed);
  bench.Run(500ms);
  CHECK(bench.starts.size() == 3);
  CHECK(bench.starts.back().run == job::TaskRun{ first.task, 2 });
  // Another worker is tried, in case the first one is at fault.
  CHECK(bench.starts.back().agent != bench.starts.front().agent);
  bench.End(bench.starts.back().run, EndKind::Failed);
  bench.Run(1s);
  CHECK(bench.Phase("j") == JobPhase::Failed);
  CHECK(bench.Running("j").empty());
}

// Guards against attempts that are counted for ends that are nobody's fault.
TEST_CASE("only failed runs count as attempts")
{
  for (const EndKind kind :
       { EndKind::Stopped, EndKind::Lapsed, EndKind::Broken, EndKind::Alone }) {
    CAPTURE(static_cast<int>(kind));
    DispatchBench bench;
    bench.Submit(DispatchBench::MakeJob("j", 1, 1));
    for (int i = 0; i < 4; ++i) {
      bench.EndAll("j", kind);
      bench.Run(500ms);
    }
    CHECK(bench.Phase("j") == JobPhase::Running);
    CHECK(bench.starts.size() == 5);
    CHECK(bench.starts.back().checkpoint == "saved-4");
  }
}

TEST_CASE("the members of a gang start together with one run number")
{
  DispatchBench bench;
  bench.Submit(DispatchBench::MakeJob("a", 3, 3));
  bench.Submit(MakeGang("g", 3, 6));
  CHECK(bench.Running("g").empty());
  bench.EndAll("a", EndKind::Done);
  CHECK(bench.Running("g").size() == 3);
  bench.EndAll("g", EndKind::Stopped);
  REQUIRE(bench.Running("g").size() == 3);
  for (const auto& run : bench.Running("g")) {
    CHECK(run.run == 2);
  }
}

TEST_CASE("one end of a gang stands for all members")
{
  DispatchBench bench;
  bench.Submit(MakeGang("g", 3, 2));
  bench.End(bench.Running("g").at(0), EndKind::Done);
  bench.Run(500ms);
  CHECK(bench.Phase("g") == JobPhase::Completed);
  // The others end by themselves and are not told to stop.
  CHECK(bench.stops.empty());
}

// Guards against a gang that is given up after one run in which two of its
// members fail.
TEST_CASE("a run of a gang counts once, however many members fail")
{
  DispatchBench bench;
  bench.stopsAtOnce = false;
  bench.Submit(MakeGang("g", 3, 2));
  bench.EndAll("g", EndKind::Failed);
  bench.Run(1s);
  CHECK(bench.Phase("g") == JobPhase::Running);
  CHECK(bench.Running("g").size() == 3);
}

// Guards against members that wait alone and against a new run beside an old
// member.
TEST_CASE("the rest of a gang is stopped before it starts again")
{
  DispatchBench bench;
  bench.stopsAtOnce = false;
  bench.Submit(MakeGang("g", 2, 2));
  const auto members = bench.Running("g");
  bench.End(members.at(0), EndKind::Stopped);
  bench.Run(1s);
  CHECK(bench.starts.size() == 2);
  bench.End(members.at(1), EndKind::Broken);
  bench.Run(500ms);
  CHECK(bench.starts.size() == 4);
}

// Guards against a second run of a task whose worker only lost its link.
TEST_CASE("a silent worker's tasks start elsewhere after its grant has passed")
{
  DispatchBench bench;
  bench.Submit(DispatchBench::MakeJob("j", 1, 8));
  const std::string agent = bench.AgentOf(bench.Running("j").at(0));
  bench.agents.at(agent).isReporting = false;
  bench.Run(bench.options.grantBound - 500ms);
  CHECK(bench.starts.size() == 1);
  bench.Run(1s);
  REQUIRE(bench.starts.size() == 2);
  CHECK(bench.starts[1].agent.View() != agent);
  CHECK(bench.starts[1].run.run == 2);
}

TEST_CASE("the tasks of a worker that restarted start again at once")
{
  DispatchBench bench;
  bench.Submit(DispatchBench::MakeJob("j", 1, 1));
  const std::string agent = bench.AgentOf(bench.Running("j").at(0));
  bench.Restart(agent);
  bench.Report(agent);
  CHECK(bench.starts.size() == 2);
  CHECK(bench.lost == 1);
}

TEST_CASE("a worker that drains or refuses gets nothing new")
{
  DispatchBench bench(2);
  bench.agents.at("vm-0").info.isDraining = true;
  bench.Report("vm-0");
  bench.Submit(DispatchBench::MakeJob("j", 2, 4));
  CHECK(bench.Used("vm-0") == 0);
  CHECK(bench.Used("vm-1") == 8);
}

// Guards against a task that is placed for good on a daemon that never got
// the order.
TEST_CASE("an order without an outcome is taken back")
{
  DispatchBench bench(1);
  bench.agents.at("vm-0").isDeaf = true;
  bench.Submit(DispatchBench::MakeJob("j", 1, 1));
  bench.Run(1s);
  bench.agents.at("vm-0").isDeaf = false;
  bench.Run(4s);
  REQUIRE(bench.starts.size() == 2);
  CHECK(bench.starts[1].run.run == 2);
  CHECK(bench.Running("j").size() == 1);
}

// Guards against late starts that nobody stops and that use room unseen.
TEST_CASE("a run that nobody placed holds room until it is gone")
{
  DispatchBench bench(1);
  bench.stopsAtOnce = false;
  const job::TaskRun stray{ { { base::JobId("gone"), 0, 0 }, 0 }, 1 };
  bench.agents.at("vm-0").running[stray] = { stray, {}, 0 };
  bench.Report("vm-0");
  CHECK(bench.stops ==
        std::vector<std::string>{ "gone.0.0.0: run is not wanted" });
  bench.Submit(DispatchBench::MakeJob("j", 1, 1));
  CHECK(bench.starts.empty());
  bench.End(stray, EndKind::Stopped);
  bench.Report("vm-0");
  CHECK(bench.starts.size() == 1);
}

TEST_CASE("a new coordinator goes on with what runs")
{
  DispatchBench bench;
  bench.Submit(DispatchBench::MakeJob("j", 3, 4));
  bench.TakeOver();
  bench.Run(3s);
  CHECK(bench.starts.size() == 3);
  bench.EndAll("j", EndKind::Done);
  CHECK(bench.Phase("j") == JobPhase::Completed);
}

// Guards against a second run while the former coordinator still grants time.
TEST_CASE("tasks of a worker that does not report to the new coordinator wait")
{
  DispatchBench bench;
  bench.Submit(DispatchBench::MakeJob("j", 1, 8));
  bench.agents.at(bench.AgentOf(bench.Running("j").at(0))).isReporting = false;
  bench.TakeOver();
  bench.Run(bench.options.inheritedBound - 500ms);
  CHECK(bench.starts.size() == 1);
  bench.Run(1s);
  CHECK(bench.starts.size() == 2);
}

// Guards against tasks that wait for the grants of a former coordinator after
// all VMs have lost power and their new workers have registered.
TEST_CASE("tasks of a worker that another one has replaced are free at once")
{
  DispatchBench bench;
  bench.Submit(DispatchBench::MakeJob("j", 1, 8));
  const auto agent = bench.AgentOf(bench.Running("j").at(0));
  bench.Restart(agent);
  SUBCASE("the new worker has an id of its own")
  {
    bench.agents.at(agent).info.life.id = base::TargetId("w-new");
    bench.TakeOver();
    CHECK(bench.starts.size() == 2);
  }
  SUBCASE("a late order might reach the new worker under the same id")
  {
    bench.TakeOver();
    bench.Run(bench.options.inheritedBound - 500ms);
    CHECK(bench.starts.size() == 1);
    bench.Run(1s);
    CHECK(bench.starts.size() == 2);
  }
}

// Guards against a second run of a task that is done, which would count twice.
TEST_CASE("an end that is seen after its worker was given up still counts")
{
  DispatchBench bench(1);
  bench.Submit(DispatchBench::MakeJob("j", 1, 8));
  const auto run = bench.Running("j").at(0);
  bench.agents.at("vm-0").isReporting = false;
  bench.Run(bench.options.grantBound + 1s);
  REQUIRE(bench.lost == 1);
  bench.End(run, EndKind::Done);
  bench.agents.at("vm-0").isReporting = true;
  bench.Report("vm-0");
  CHECK(bench.Phase("j") == JobPhase::Completed);
  CHECK(bench.starts.size() == 1);
}

// Guards against the same when the next life of the worker has carried the
// order out.
TEST_CASE("a run that another life of its worker has done counts")
{
  DispatchBench bench(1);
  bench.Submit(DispatchBench::MakeJob("j", 1, 8));
  const auto run = bench.Running("j").at(0);
  bench.Restart("vm-0");
  bench.agents.at("vm-0").running[run] = { run, {}, 0 };
  bench.End(run, EndKind::Done);
  bench.Report("vm-0");
  CHECK(bench.Phase("j") == JobPhase::Completed);
  CHECK(bench.starts.size() == 1);
}

// Guards against hundreds of starts a second on a worker that answers none.
TEST_CASE("a worker that did not confirm a start is left alone for a moment")
{
  DispatchBench bench(1);
  bench.agents.at("vm-0").isDeaf = true;
  bench.Submit(DispatchBench::MakeJob("j", 1, 8));
  REQUIRE(bench.starts.size() == 1);
  SUBCASE("its daemon says that the run is absent")
  {
    bench.Outcome("vm-0", bench.starts[0].run, OrderOutcome::Absent);
  }
  SUBCASE("the run is listed as stopped")
  {
    bench.agents.at("vm-0").running[bench.starts[0].run] = {
      bench.starts[0].run, {}, 0
    };
    bench.End(bench.starts[0].run, EndKind::Stopped);
    bench.Report("vm-0");
  }
  CHECK(bench.starts.size() == 1);
  bench.Run(1s);
  CHECK(bench.starts.size() == 2);
}

// Guards against members of a gang that wait for one whose worker is gone.
TEST_CASE("a gang that lost a member during the takeover is stopped as a whole")
{
  DispatchBench bench;
  auto gang = DispatchBench::MakeJob("g", 3, 8);
  gang.steps[0].isGang = true;
  bench.Submit(gang);
  bench.Restart("vm-0");
  bench.agents.at("vm-0").info.life.id = base::TargetId("w-new");
  bench.TakeOver();
  CHECK(bench.stops.size() == 2);
  bench.Run(2s);
  CHECK(bench.Running("g").size() == 3);
  CHECK(bench.starts.size() == 6);
}

// Guards against a start that the former coordinator ordered and that the
// worker carries out after the new one has placed the task elsewhere.
TEST_CASE("a placement that nobody knows of is made impossible first")
{
  DispatchBench bench;
  bench.agents.at("vm-0").isDeaf = true;
  bench.agents.at("vm-1").isDeaf = true;
  bench.agents.at("vm-2").isDeaf = true;
  bench.Submit(DispatchBench::MakeJob("j", 1, 1));
  REQUIRE(bench.starts.size() == 1);
  bench.TakeOver();
  CHECK(bench.starts.size() == 1);
  CHECK(bench.stops.size() == 1);
  const StartTask lostOrder = bench.starts[0];
  for (auto& [name, agent] : bench.agents) {
    agent.isDeaf = false;
  }
  bench.Outcome(lostOrder.agent.Text(), lostOrder.run, OrderOutcome::Absent);
  bench.Run(500ms);
  REQUIRE(bench.starts.size() == 2);
  CHECK(bench.starts[1].run.run == 2);
}

TEST_CASE("a job that ended is forgotten after its retention")
{
  DispatchBench bench;
  bench.Submit(DispatchBench::MakeJob("j", 1, 1));
  bench.EndAll("j", EndKind::Done);
  bench.Run(bench.options.retention - 1s);
  CHECK(bench.forgotten.empty());
  bench.Run(2s);
  REQUIRE(bench.forgotten.size() == 1);
  CHECK(bench.forgotten[0].steps.size() == 1);
}
