#include "DispatcherHarness.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace amaranthwind;
using namespace amaranthwind::dispatch;
using namespace std::chrono_literals;
using ledger::JobPhase;
using LateCompletions = std::vector<std::pair<std::uint32_t, std::uint32_t>>;

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

TEST_CASE("a job is placed, runs and completes")
{
  DispatcherHarness harness;
  harness.Submit(DispatcherHarness::MakeJob("j", 3, 4));
  CHECK(harness.Running("j").size() == 3);
  CHECK(harness.Phase("j") == JobPhase::Running);
  harness.EndAll("j", EndKind::Done);
  CHECK(harness.Phase("j") == JobPhase::Completed);
  CHECK(harness.starts.size() == 3);
}

// Guards against a job that is shown as running, and not counted as waiting,
// because it was placed once: its worker refuses or never answers the start.
TEST_CASE("a job is pending until a task is known to have begun")
{
  DispatcherHarness harness(1);
  auto& agent = harness.agents.at("vm-0");
  SUBCASE("its start is refused")
  {
    agent.refusesStarts = true;
  }
  SUBCASE("its start has no answer, and the agent tries")
  {
    agent.ignoresOrders = true;
  }
  harness.Submit(DispatcherHarness::MakeJob("j", 2, 1));
  harness.Run(1s);
  REQUIRE_FALSE(harness.starts.empty());
  CHECK(harness.Phase("j") == JobPhase::Pending);
  harness.TakeOver();
  harness.Run(1s);
  CHECK(harness.Phase("j") == JobPhase::Pending);
  agent.refusesStarts = false;
  agent.ignoresOrders = false;
  harness.Reconnect("vm-0");
  harness.Run(30s);
  CHECK(harness.Phase("j") == JobPhase::Running);
}

// Guards against a job that is taken for pending for good: the answer to its
// start was lost, or the coordinator changed before it was recorded.
TEST_CASE("a job is running once a report or an end shows that it has begun")
{
  DispatcherHarness harness;
  for (auto& [name, agent] : harness.agents) {
    agent.losesOutcomes = true;
  }
  harness.Submit(DispatcherHarness::MakeJob("j", 1, 1));
  REQUIRE(harness.Running("j").size() == 1);
  CHECK(harness.Phase("j") == JobPhase::Pending);
  SUBCASE("a report of its worker")
  {
    harness.Run(600ms);
  }
  SUBCASE("the end of its run")
  {
    harness.EndAll("j", EndKind::Lapsed);
  }
  SUBCASE("a report to the next coordinator")
  {
    harness.TakeOver();
    harness.Run(600ms);
  }
  CHECK(harness.Phase("j") == JobPhase::Running);
  // What becomes of its runs later does not matter.
  harness.Restart(harness.agents.begin()->first);
  harness.TakeOver();
  harness.Run(10s);
  CHECK(harness.Phase("j") == JobPhase::Running);
  CHECK(harness.begins == 1);
}

// Guards against a duplicate run after a takeover: the next coordinator does
// not know of an order that was sent before its placement was durable.
TEST_CASE("the start order is sent only after the placement is durable")
{
  DispatcherHarness harness;
  harness.persistsImmediately = false;
  harness.Submit(DispatcherHarness::MakeJob("j", 1, 1));
  harness.Run(3s);
  CHECK(harness.starts.empty());
  harness.Persist();
  CHECK(harness.starts.size() == 1);
}

// Guards against starting a run long after its job was cancelled: a slow
// coordinator has not read the cancellation yet.
TEST_CASE("no task is placed while the jobs may have changed")
{
  DispatcherHarness harness;
  harness.areJobsConfirmed = false;
  harness.now.now += 1500ms;
  harness.Submit(DispatcherHarness::MakeJob("j", 1, 1));
  harness.Run(1s);
  CHECK(harness.durable.empty());
  harness.areJobsConfirmed = true;
  harness.Run(500ms);
  REQUIRE(harness.starts.size() == 1);
  CHECK(harness.starts.front().validFor == 2600ms);
}

// Guards against starting a run long after its job was cancelled: the record of
// its placement became durable late.
TEST_CASE("no start is ordered while the jobs may have changed")
{
  DispatcherHarness harness;
  const auto job = DispatcherHarness::MakeJob("j", 1, 1);
  harness.persistsImmediately = false;
  harness.Submit(job);
  harness.areJobsConfirmed = false;
  harness.Run(2s);
  harness.Persist();
  CHECK(harness.durable.size() == 1);
  CHECK(harness.starts.empty());
  harness.areJobsConfirmed = true;
  harness.persistsImmediately = true;
  SUBCASE("and the job still exists")
  {
    harness.Run(500ms);
    CHECK(harness.starts.size() == 1);
  }
  SUBCASE("and the job was cancelled")
  {
    harness.Cancel(job);
    harness.Run(2s);
    CHECK(harness.starts.empty());
  }
}

// Guards against gangs that wait for a member whose agent refuses the order as
// too old: its reports come late, so that the order refers to an old one.
TEST_CASE("the members of a gang are ordered once all agents can start in time")
{
  DispatcherHarness harness(2);
  auto job = DispatcherHarness::MakeJob("j", 2, 8);
  job.steps.front().isGang = true;
  harness.agents.at("vm-1").isReporting = false;
  harness.persistsImmediately = false;
  harness.Submit(job);
  harness.Run(2500ms);
  harness.Persist();
  harness.Run(500ms);
  CHECK(harness.starts.empty());
  harness.agents.at("vm-1").isReporting = true;
  harness.Run(500ms);
  CHECK(harness.starts.size() == 2);
}

// Guards against losing an end: the worker discards it once acknowledged.
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

// Guards against orders that wait for records of other steps, and against
// orders that do not wait for their own.
TEST_CASE("each start is ordered once the record of its own step is durable")
{
  DispatcherHarness harness;
  harness.persistsImmediately = false;
  for (const char* id : { "c", "a", "b" }) {
    harness.areJobsConfirmed = false;
    harness.Submit(DispatcherHarness::MakeJob(id, 2, 1));
  }
  harness.areJobsConfirmed = true;
  harness.Tick();
  REQUIRE(harness.PendingWrites() == 3);
  for (std::size_t written = 1; written <= 3; ++written) {
    harness.Persist(1);
    REQUIRE(harness.starts.size() == 2 * written);
    CHECK(harness.durable.contains(harness.starts.back().run.task.step));
  }
}

// Guards against a worker that gets more starts than the queues on their way
// hold, refuses them, and gets them again.
TEST_CASE("a worker gets a limited number of starts until it has answered")
{
  constexpr std::uint32_t kTasks = 1000;
  DispatcherHarness harness(1);
  DispatcherHarness::Agent& agent = harness.agents.at("vm-0");
  auto job = DispatcherHarness::MakeJob("j", kTasks, 0);
  job.steps[0].need = { 10, 10, 0 };
  std::size_t limit = 256;
  SUBCASE("small orders") {}
  SUBCASE("large orders")
  {
    job.payload = std::string(16UL * 1024, 'x');
    limit = 64;
  }
  agent.delaysOrders = true;
  harness.Submit(job);
  harness.Run(2s);
  CHECK(harness.starts.size() == limit);
  auto gang = MakeGang("gang", 2, 1);
  gang.steps[0].need = { 10, 10, 1 };
  harness.Submit(gang);
  harness.DeliverOrders("vm-0");
  // The gang is not held up by the tasks that wait.
  REQUIRE(harness.starts.size() >= limit * 2);
  CHECK(harness.starts[limit].run.task.step.job.View() == "gang");
  CHECK(harness.starts[limit + 1].run.task.step.job.View() == "gang");
  SUBCASE("all outcomes arrive") {}
  SUBCASE("outcomes are lost with their connection")
  {
    agent.losesOutcomes = true;
    harness.DeliverOrders("vm-0");
    harness.Reconnect("vm-0");
    agent.losesOutcomes = false;
  }
  for (int i = 0; i < 20; ++i) {
    harness.Run(500ms);
    CHECK(agent.delayed.size() <= limit + 2);
    harness.DeliverOrders("vm-0");
  }
  CHECK(harness.Running("j").size() == kTasks);
  CHECK(harness.starts.size() == kTasks + 2);
}

TEST_CASE("an end is acknowledged after the last record that it changed")
{
  DispatcherHarness harness(1);
  harness.Submit(DispatcherHarness::MakeJob("a", 1, 1));
  harness.Submit(DispatcherHarness::MakeJob("b", 1, 1));
  harness.persistsImmediately = false;
  harness.End(harness.Running("a").at(0), EndKind::Done);
  harness.End(harness.Running("b").at(0), EndKind::Done);
  harness.Report("vm-0");
  REQUIRE(harness.PendingWrites() == 2);
  harness.Persist(1);
  CHECK(harness.agents.at("vm-0").acknowledged == 0);
  harness.Persist(1);
  CHECK(harness.agents.at("vm-0").acknowledged == 2);
}

// Guards against a second run of a task that has ended, but whose end its
// worker has not listed yet.
TEST_CASE("no run is missing from a report that lists only some of the ends")
{
  DispatcherHarness harness(1);
  harness.Submit(DispatcherHarness::MakeJob("j", 2, 1));
  auto report = harness.MakeReport("vm-0");
  REQUIRE(report.running.size() == 2);
  report.running.clear();
  report.mayHaveMoreEnds = true;
  harness.Handle(report, harness.agents.at("vm-0").session);
  CHECK(harness.stops.empty());
  report.mayHaveMoreEnds = false;
  harness.Handle(report, harness.agents.at("vm-0").session);
  CHECK(harness.stops.size() == 2);
}

// Guards against a successor that has read only the first of the records of one
// decision: it must neither run a task twice nor lose one.
TEST_CASE("a takeover between the records of one decision repeats no run")
{
  for (std::size_t written = 0; written <= 9; ++written) {
    CAPTURE(written);
    DispatcherHarness harness(3);
    for (int i = 0; i < 3; ++i) {
      auto job = DispatcherHarness::MakeJob("chain-" + std::to_string(i), 2, 1);
      job.steps.push_back(job.steps[0]);
      job.steps[1].dependsOn = { 0 };
      harness.Submit(job);
    }
    auto gang = MakeGang("gang", 3, 8);
    harness.Submit(gang);
    REQUIRE(harness.starts.size() == 6);
    // In one decision, three steps end, the next ones start, and so does a gang
    // that needs the room of what has ended.
    harness.persistsImmediately = false;
    harness.areJobsConfirmed = false;
    for (int i = 0; i < 3; ++i) {
      for (const auto& run : harness.Running("chain-" + std::to_string(i))) {
        harness.End(run, EndKind::Done);
      }
    }
    for (const auto& [name, agent] : harness.agents) {
      harness.Report(name);
    }
    harness.areJobsConfirmed = true;
    harness.Tick();
    harness.Persist(written);
    // The rest is lost with the coordinator.
    harness.persistsImmediately = true;
    harness.TakeOver();
    std::map<job::TaskId, int> done;
    for (int i = 0; i < 40; ++i) {
      harness.Run(1s);
      std::set<job::TaskId> running;
      for (const char* job : { "chain-0", "chain-1", "chain-2", "gang" }) {
        for (const auto& run : harness.Running(job)) {
          CHECK(running.insert(run.task).second);
          CHECK(done[run.task] == 0);
          if (i % 3 == 2) {
            ++done[run.task];
            harness.End(run, EndKind::Done);
          }
        }
      }
    }
    for (const char* job : { "chain-0", "chain-1", "chain-2", "gang" }) {
      CHECK(harness.Phase(job) == JobPhase::Completed);
    }
    std::set<job::TaskRun> started;
    for (const auto& start : harness.starts) {
      CHECK(started.insert(start.run).second);
    }
  }
}

// Guards against records that stay in the log for ever: the deletion of a job
// was interrupted after the record that had accepted it.
TEST_CASE("a new coordinator deletes the steps that a deleted job left behind")
{
  DispatcherHarness harness;
  const job::StepId left{ base::JobId("deleted"), 0, 1 };
  harness.durable[left] = { left, false, {} };
  harness.Submit(DispatcherHarness::MakeJob("j", 1, 1));
  harness.TakeOver();
  harness.Run(1s);
  REQUIRE(harness.forgotten.size() == 1);
  CHECK(harness.forgotten[0].job == left.job);
  CHECK(harness.forgotten[0].steps == std::vector{ left });
  CHECK(harness.Running("j").size() == 1);
}

TEST_CASE("a placement cancelled before it is durable is never ordered")
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

// Guards against overcommitting a worker: a task that is being stopped still
// uses its resources.
TEST_CASE("resources are released only when the end of the run is reported")
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

TEST_CASE("a step starts after all of its dependencies are done")
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

TEST_CASE("occurrences do not start before their scheduled times")
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

TEST_CASE("a job fails when a task has used up its attempts")
{
  DispatcherHarness harness;
  harness.Submit(DispatcherHarness::MakeJob("j", 2, 1));
  const auto first = harness.Running("j").at(0);
  harness.End(first, EndKind::Failed);
  harness.Run(500ms);
  CHECK(harness.starts.size() == 3);
  CHECK(harness.starts.back().run == job::TaskRun{ first.task, 2 });
  // Another worker is tried, in case the first one caused the failure.
  CHECK(harness.starts.back().agent != harness.starts.front().agent);
  harness.End(harness.starts.back().run, EndKind::Failed);
  harness.Run(1s);
  CHECK(harness.Phase("j") == JobPhase::Failed);
  CHECK(harness.Running("j").empty());
}

// Guards against counting ends as attempts that are not failures of the task.
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

TEST_CASE("the end of one member completes the gang")
{
  DispatcherHarness harness;
  harness.Submit(MakeGang("g", 3, 2));
  harness.End(harness.Running("g").at(0), EndKind::Done);
  harness.Run(500ms);
  CHECK(harness.Phase("g") == JobPhase::Completed);
  // The other members end on their own and get no stop order.
  CHECK(harness.stops.empty());
}

// Guards against a gang using up its attempts in one run because two of its
// members fail.
TEST_CASE("a gang run counts as one failure however many members fail")
{
  DispatcherHarness harness;
  harness.stopsImmediately = false;
  harness.Submit(MakeGang("g", 3, 2));
  harness.EndAll("g", EndKind::Failed);
  harness.Run(1s);
  CHECK(harness.Phase("g") == JobPhase::Running);
  CHECK(harness.Running("g").size() == 3);
}

// Guards against members that wait for a gang that cannot complete, and against
// a new run starting while members of the old one still run.
TEST_CASE("the remaining gang members are stopped before the gang restarts")
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

// Guards against a duplicate run when a worker only lost its connection.
TEST_CASE(
  "tasks of an unresponsive worker run elsewhere after its grant expires")
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

TEST_CASE("tasks of a restarted worker restart immediately")
{
  DispatcherHarness harness;
  harness.Submit(DispatcherHarness::MakeJob("j", 1, 1));
  const std::string agent = harness.AgentOf(harness.Running("j").at(0));
  harness.Restart(agent);
  harness.Report(agent);
  CHECK(harness.starts.size() == 2);
  CHECK(harness.lost == 1);
}

TEST_CASE("a draining worker gets no new tasks")
{
  DispatcherHarness harness(2);
  harness.agents.at("vm-0").info.isDraining = true;
  harness.Report("vm-0");
  harness.Submit(DispatcherHarness::MakeJob("j", 2, 4));
  CHECK(harness.Used("vm-0") == 0);
  CHECK(harness.Used("vm-1") == 8);
}

// Guards against a task that stays placed forever because its agent never
// received the order.
TEST_CASE("a start order without an outcome is revoked on an older agent")
{
  DispatcherHarness harness(1);
  harness.agents.at("vm-0").countsOrders = false;
  harness.agents.at("vm-0").ignoresOrders = true;
  harness.Submit(DispatcherHarness::MakeJob("j", 1, 1));
  harness.Run(1s);
  harness.agents.at("vm-0").ignoresOrders = false;
  harness.Run(4s);
  REQUIRE(harness.starts.size() == 2);
  CHECK(harness.starts[1].run.run == 2);
  CHECK(harness.Running("j").size() == 1);
}

// Guards against stopping a healthy run because a report that its agent sent
// before the start order arrived waits in the queue for seconds.
TEST_CASE("a report that was sent before the start order arrived stops nothing")
{
  DispatcherHarness harness(1);
  harness.agents.at("vm-0").delaysOrders = true;
  harness.Submit(DispatcherHarness::MakeJob("j", 1, 1));
  REQUIRE(harness.starts.size() == 1);
  harness.now.now += 3s;
  harness.Report("vm-0");
  CHECK(harness.stops.empty());
  harness.DeliverOrders("vm-0");
  harness.Run(3s);
  CHECK(harness.stops.empty());
  CHECK(harness.starts.size() == 1);
  CHECK(harness.Running("j").size() == 1);
}

// Guards against ever more stop orders to an agent whose messages are late.
TEST_CASE("a stop order is repeated only after the agent has received it")
{
  DispatcherHarness harness(1);
  harness.stopsImmediately = false;
  auto& agent = harness.agents.at("vm-0");
  SUBCASE("for a task that is no longer wanted")
  {
    const auto job = DispatcherHarness::MakeJob("j", 1, 1);
    harness.Submit(job);
    agent.delaysOrders = true;
    harness.Cancel(job);
  }
  SUBCASE("for an orphaned run")
  {
    const job::TaskRun stray{ { { base::JobId("gone"), 0, 0 }, 0 }, 1 };
    agent.running[stray] = { stray, {}, 0 };
    agent.delaysOrders = true;
    harness.Report("vm-0");
  }
  REQUIRE(harness.stopOrders.size() == 1);
  harness.Run(5s);
  CHECK(harness.stopOrders.size() == 1);
  harness.DeliverOrders("vm-0");
  harness.Run(harness.options.stopRetryInterval + 500ms);
  CHECK(harness.stopOrders.size() == 2);
}

// Guards against a task that stays placed forever because its order was queued
// on a connection that closed.
TEST_CASE("a start order that was lost with its session is sent again")
{
  DispatcherHarness harness(1);
  auto& agent = harness.agents.at("vm-0");
  SUBCASE("sent on the closed connection")
  {
    agent.delaysOrders = true;
    harness.Submit(DispatcherHarness::MakeJob("j", 1, 1));
    SUBCASE("the agent connects again")
    {
      harness.Reconnect("vm-0");
    }
    SUBCASE("the agent is another process")
    {
      harness.RestartAgent("vm-0");
    }
    agent.delaysOrders = false;
  }
  SUBCASE("sent before the first report of the new session")
  {
    harness.Reconnect("vm-0");
    harness.Submit(DispatcherHarness::MakeJob("j", 1, 1));
  }
  REQUIRE(harness.starts.size() == 1);
  CHECK(harness.Running("j").empty());
  harness.Run(3s);
  REQUIRE(harness.starts.size() == 2);
  CHECK(harness.starts[1].run == harness.starts[0].run);
  CHECK(harness.starts[1].number > harness.starts[0].number);
  CHECK(harness.Running("j").size() == 1);
  CHECK(harness.stops.empty());
}

// Guards against a task that is being stopped forever, and against resources
// that are released although the run goes on.
TEST_CASE("a stop order that was lost with its session is sent again")
{
  DispatcherHarness harness(1);
  harness.stopsImmediately = false;
  auto& agent = harness.agents.at("vm-0");
  const auto job = DispatcherHarness::MakeJob("j", 1, 8);
  bool isRunning = true;
  SUBCASE("before the agent received it")
  {
    harness.Submit(job);
    agent.delaysOrders = true;
    harness.Cancel(job);
    harness.Reconnect("vm-0");
  }
  SUBCASE("after the agent received it, and the agent restarted")
  {
    harness.Submit(job);
    harness.Cancel(job);
    harness.RestartAgent("vm-0");
  }
  SUBCASE("together with the start order")
  {
    agent.delaysOrders = true;
    harness.Submit(job);
    harness.Cancel(job);
    harness.Reconnect("vm-0");
    isRunning = false;
  }
  agent.delaysOrders = false;
  harness.Submit(DispatcherHarness::MakeJob("next", 1, 8));
  REQUIRE(harness.stopOrders.size() == 1);
  harness.Report("vm-0");
  CHECK(harness.stopOrders.size() == 2);
  harness.Report("vm-0");
  CHECK(harness.stopOrders.size() == 2);
  CHECK(harness.Running("j").size() == (isRunning ? 1 : 0));
  CHECK(harness.Running("next").size() == (isRunning ? 0 : 1));
  harness.EndAll("j", EndKind::Stopped);
  CHECK(harness.Running("next").size() == 1);
  CHECK(harness.Phase("j") == JobPhase::Cancelled);
}

// Guards against a stop of each task whose agent restarts.
TEST_CASE("tasks keep running when their agent restarts")
{
  DispatcherHarness harness(1);
  harness.Submit(DispatcherHarness::MakeJob("j", 3, 1));
  SUBCASE("and their starts were confirmed") {}
  SUBCASE("and their starts were not confirmed")
  {
    harness.agents.at("vm-0").losesOutcomes = true;
    harness.Submit(DispatcherHarness::MakeJob("k", 1, 1));
    harness.agents.at("vm-0").losesOutcomes = false;
  }
  const auto sent = harness.starts.size();
  harness.RestartAgent("vm-0");
  harness.Run(4s);
  CHECK(harness.starts.size() == sent);
  CHECK(harness.stops.empty());
}

// Guards against two concurrent runs: an agent process passes the start on to
// the worker and ends, the next one refuses the repeated order, and then the
// worker carries out the first one.
TEST_CASE("a refused repetition of a start is ruled out before a new run")
{
  DispatcherHarness harness(2);
  auto& agent = harness.agents.at("vm-0");
  harness.agents.at("vm-1").info.isDraining = true;
  harness.Report("vm-1");
  agent.ignoresOrders = true;
  harness.Submit(DispatcherHarness::MakeJob("j", 1, 8));
  REQUIRE(harness.starts.size() == 1);
  const job::TaskRun first = harness.starts[0].run;
  harness.RestartAgent("vm-0");
  agent.ignoresOrders = false;
  agent.refusesStarts = true;
  harness.agents.at("vm-1").info.isDraining = false;
  harness.Report("vm-1");
  harness.stopsImmediately = false;
  SUBCASE("the first order takes effect")
  {
    agent.delaysOrders = true;
    harness.Report("vm-0");
    REQUIRE(harness.starts.size() == 2);
    agent.running[first] = { first, {}, 0 };
    harness.DeliverOrders("vm-0");
    harness.DeliverOrders("vm-0");
    agent.delaysOrders = false;
    agent.refusesStarts = false;
    harness.Run(1s);
    CHECK(harness.starts.size() == 2);
    harness.EndAll("j", EndKind::Stopped);
  }
  SUBCASE("the first order takes no effect")
  {
    harness.Report("vm-0");
  }
  CHECK(harness.starts[1].run == first);
  REQUIRE(harness.starts.size() == 3);
  CHECK(harness.starts[2].run == job::TaskRun{ first.task, 2 });
  CHECK(harness.Running("j").size() == 1);
}

// Guards against a task that stays placed forever because the refusal of its
// start was queued on a connection that closed.
TEST_CASE("a start whose refusal was lost is revoked")
{
  DispatcherHarness harness(1);
  auto& agent = harness.agents.at("vm-0");
  agent.refusesStarts = true;
  agent.losesOutcomes = true;
  harness.Submit(DispatcherHarness::MakeJob("j", 1, 1));
  REQUIRE(harness.starts.size() == 1);
  harness.Reconnect("vm-0");
  agent.refusesStarts = false;
  agent.losesOutcomes = false;
  harness.Run(1s);
  REQUIRE(harness.starts.size() == 2);
  CHECK(harness.starts[1].run.run == 2);
  CHECK(harness.Running("j").size() == 1);
}

// Guards against a task that is being stopped forever because the answer was
// lost.
TEST_CASE("a stop whose outcome was lost is repeated")
{
  DispatcherHarness harness(1);
  auto& agent = harness.agents.at("vm-0");
  agent.ignoresOrders = true;
  const auto job = DispatcherHarness::MakeJob("j", 1, 1);
  harness.Submit(job);
  agent.ignoresOrders = false;
  agent.losesOutcomes = true;
  harness.Cancel(job);
  harness.Reconnect("vm-0");
  agent.losesOutcomes = false;
  harness.Report("vm-0");
  CHECK(harness.stopOrders.size() == 2);
  CHECK(harness.Phase("j") == JobPhase::Cancelled);
}

// Guards against a stop of a healthy run because a report of a closed
// connection is handled after those of the next one.
TEST_CASE("reports of an earlier session are ignored")
{
  DispatcherHarness harness(1);
  const auto early = harness.MakeReport("vm-0");
  const auto session = harness.agents.at("vm-0").session;
  harness.Reconnect("vm-0");
  harness.Report("vm-0");
  harness.Submit(DispatcherHarness::MakeJob("j", 1, 1));
  harness.Run(500ms);
  harness.Handle(early, session);
  CHECK(harness.stops.empty());
  CHECK(harness.Running("j").size() == 1);
}

// Guards against taking the orders of a previous coordinator for those of the
// new one, which are numbered anew.
TEST_CASE("a new coordinator repeats its lost orders")
{
  DispatcherHarness harness(1);
  harness.Submit(DispatcherHarness::MakeJob("a", 5, 1));
  harness.TakeOver();
  auto& agent = harness.agents.at("vm-0");
  agent.delaysOrders = true;
  harness.Submit(DispatcherHarness::MakeJob("j", 1, 1));
  REQUIRE(harness.starts.size() == 6);
  CHECK(harness.starts[5].number == OrderNumber(1));
  harness.Run(3s);
  CHECK(harness.stops.empty());
  harness.Reconnect("vm-0");
  agent.delaysOrders = false;
  harness.Run(500ms);
  REQUIRE(harness.starts.size() == 7);
  CHECK(harness.starts[6].run == harness.starts[5].run);
  CHECK(harness.Running("j").size() == 1);
}

// Guards against running the task of a lost order on a worker that replaced the
// one that the order names.
TEST_CASE("a lost order is not repeated after the worker was replaced")
{
  DispatcherHarness harness(1);
  auto& agent = harness.agents.at("vm-0");
  agent.delaysOrders = true;
  harness.Submit(DispatcherHarness::MakeJob("j", 1, 1));
  harness.Restart("vm-0");
  harness.RestartAgent("vm-0");
  agent.delaysOrders = false;
  harness.Report("vm-0");
  REQUIRE(harness.starts.size() == 2);
  CHECK(harness.starts[1].run.run == 2);
  CHECK(harness.starts[1].incarnation == agent.info.life);
  CHECK(harness.Running("j").size() == 1);
}

// Guards against overcommitting a worker: one member's end completes its gang
// while another member's report is from before its start.
TEST_CASE("a gang member holds its resources until a report covers its start")
{
  DispatcherHarness harness(2);
  for (auto& [name, agent] : harness.agents) {
    agent.losesOutcomes = true;
  }
  harness.Submit(MakeGang("g", 2, 8));
  REQUIRE(harness.Running("g").size() == 2);
  const auto run = harness.Running("g").at(0);
  const std::string other = harness.AgentOf(harness.Running("g").at(1));
  const std::string agent = harness.AgentOf(run);
  WorkerReport early = harness.MakeReport(other);
  early.running.clear();
  early.receivedOrder = OrderNumber(0);
  harness.End(run, EndKind::Done);
  harness.Report(agent);
  REQUIRE(harness.Phase("g") == JobPhase::Completed);
  harness.agents.at(agent).info.isDraining = true;
  harness.Report(agent);
  harness.agents.at(other).losesOutcomes = false;
  harness.Handle(early, harness.agents.at(other).session);
  harness.Submit(DispatcherHarness::MakeJob("j", 1, 8));
  CHECK(harness.Running("j").empty());
  harness.EndAll("g", EndKind::Broken);
  CHECK(harness.Running("j").size() == 1);
}

// Guards against late starts that are never stopped and use resources that the
// dispatcher considers free.
TEST_CASE("an orphaned run uses resources until it has ended")
{
  DispatcherHarness harness(1);
  harness.stopsImmediately = false;
  const job::TaskRun stray{ { { base::JobId("gone"), 0, 0 }, 0 }, 1 };
  harness.agents.at("vm-0").running[stray] = { stray, {}, 0 };
  harness.Report("vm-0");
  CHECK(harness.stops ==
        std::vector<std::string>{ "gone.0.0.0: orphaned run" });
  harness.Submit(DispatcherHarness::MakeJob("j", 1, 1));
  CHECK(harness.starts.empty());
  harness.End(stray, EndKind::Stopped);
  harness.Report("vm-0");
  CHECK(harness.starts.size() == 1);
}

TEST_CASE("a new coordinator adopts the running tasks")
{
  DispatcherHarness harness;
  harness.Submit(DispatcherHarness::MakeJob("j", 3, 4));
  harness.TakeOver();
  harness.Run(3s);
  CHECK(harness.starts.size() == 3);
  harness.EndAll("j", EndKind::Done);
  CHECK(harness.Phase("j") == JobPhase::Completed);
}

// Guards against a duplicate run while a grant of the previous coordinator may
// still be valid.
TEST_CASE("tasks of a worker that does not report after a takeover wait")
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

// Guards against tasks waiting for grants of the previous coordinator to expire
// after all VMs lost power and new workers have registered on them.
TEST_CASE("tasks of a replaced worker can be placed immediately")
{
  DispatcherHarness harness;
  harness.Submit(DispatcherHarness::MakeJob("j", 1, 8));
  const auto agent = harness.AgentOf(harness.Running("j").at(0));
  harness.Restart(agent);
  SUBCASE("the new worker has a different id")
  {
    harness.agents.at(agent).info.life.id = base::TargetId("w-new");
    harness.TakeOver();
    CHECK(harness.starts.size() == 2);
  }
  SUBCASE("a late order could reach a new worker with the same id")
  {
    harness.TakeOver();
    harness.Run(harness.options.inheritedGrantDuration - 500ms);
    CHECK(harness.starts.size() == 1);
    harness.Run(1s);
    CHECK(harness.starts.size() == 2);
  }
}

// Guards against running a completed task again, which would count it twice.
TEST_CASE("an end reported after its worker was considered lost still counts")
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

// Guards against starting a task again after its completion was acknowledged:
// the run was given up and the task placed again before the end was reported.
TEST_CASE("an earlier run that completed completes the task")
{
  DispatcherHarness harness(2);
  harness.Submit(DispatcherHarness::MakeJob("j", 1, 8));
  const auto first = harness.Running("j").front();
  const std::string agent = harness.AgentOf(first);
  harness.agents.at(agent).isReporting = false;
  std::size_t expectedStarts = 1;
  SUBCASE("while the placement of the next run is written")
  {
    harness.persistsImmediately = false;
  }
  SUBCASE("while the next run is on another worker")
  {
    expectedStarts = 2;
  }
  harness.Run(6s);
  REQUIRE(harness.lost == 1);
  REQUIRE(harness.starts.size() == expectedStarts);
  harness.agents.at(agent).isReporting = true;
  harness.End(first, EndKind::Done);
  harness.Report(agent);
  harness.persistsImmediately = true;
  harness.Run(3s);
  CHECK(harness.agents.at(agent).ended.empty());
  CHECK(harness.Phase("j") == JobPhase::Completed);
  CHECK(harness.Running("j").empty());
  CHECK(harness.starts.size() == expectedStarts);
  CHECK(harness.lateCompletions == LateCompletions{ { 1, 2 } });
  // The resources of both runs are free again.
  harness.Submit(DispatcherHarness::MakeJob("k", 2, 8));
  harness.Run(1s);
  CHECK(harness.Running("k").size() == 2);
}

// Guards against a second run of a task that still runs: a report from before
// the worker was replaced is handled late, also by the next coordinator.
TEST_CASE("a report of an earlier incarnation of the worker is ignored")
{
  DispatcherHarness harness(1);
  DispatcherHarness::Agent& agent = harness.agents.at("vm-0");
  const WorkerInfo earlier = agent.info;
  agent.info.life = { base::TargetId("w-new"), 2 };
  harness.Report("vm-0");
  harness.Submit(DispatcherHarness::MakeJob("j", 1, 1));
  REQUIRE(harness.Running("j").size() == 1);
  const WorkerInfo current = agent.info;
  const auto running = agent.running;
  SUBCASE("in the same term") {}
  SUBCASE("after a takeover")
  {
    agent.isReporting = false;
    harness.TakeOver();
  }
  agent.info = earlier;
  agent.running.clear();
  harness.Report("vm-0");
  agent.info = current;
  agent.running = running;
  harness.Report("vm-0");
  harness.Run(1s);
  CHECK(harness.lost == 0);
  CHECK(harness.starts.size() == 1);
}

// Guards against tasks that stay on a worker that is gone, and against a new
// worker that is ignored for good because the clock of its VM was set back.
TEST_CASE("a worker that was started after its clock was set back is used")
{
  DispatcherHarness harness(1);
  DispatcherHarness::Agent& agent = harness.agents.at("vm-0");
  agent.info.life = { base::TargetId("w-first"), 100 };
  harness.Report("vm-0");
  harness.Submit(DispatcherHarness::MakeJob("j", 1, 1));
  REQUIRE(harness.Running("j").size() == 1);
  agent.info.life = { base::TargetId("w-second"), 50 };
  agent.running.clear();
  harness.RestartAgent("vm-0");
  harness.Run(harness.options.maxGrantDuration + 2s);
  CHECK(harness.lost == 1);
  CHECK(harness.Running("j").size() == 1);
}

// Guards against the same duplicate run when the worker's next incarnation
// executed the order.
TEST_CASE("a run completed by another incarnation of its worker counts")
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

// Guards against starting a task again after its completion was acknowledged.
TEST_CASE("a new coordinator counts a run completed by another incarnation")
{
  bool isGang = false;
  bool isListedBefore = false;
  SUBCASE("of an independent task") {}
  SUBCASE("of an independent task that was listed before")
  {
    isListedBefore = true;
  }
  SUBCASE("of a gang")
  {
    isGang = true;
  }
  SUBCASE("of a gang that was listed before")
  {
    isGang = true;
    isListedBefore = true;
  }
  DispatcherHarness harness;
  harness.stopsImmediately = false;
  harness.Submit(isGang ? MakeGang("j", 3, 8)
                        : DispatcherHarness::MakeJob("j", 1, 8));
  const std::size_t starts = harness.starts.size();
  REQUIRE(starts == (isGang ? 3 : 1));
  const auto run = harness.Running("j").at(0);
  const std::string name = harness.AgentOf(run);
  DispatcherHarness::Agent& agent = harness.agents.at(name);
  harness.Restart(name);
  agent.isReporting = false;
  harness.TakeOver();
  agent.isReporting = true;
  agent.running[run] = { run, {}, 0 };
  if (isListedBefore) {
    harness.Report(name);
  }
  harness.End(run, EndKind::Done);
  harness.Report(name);
  CHECK(agent.ended.empty());
  CHECK(harness.Phase("j") == JobPhase::Completed);
  CHECK(harness.lateCompletions == LateCompletions{ { 1, 1 } });
  harness.EndAll("j", EndKind::Done);
  harness.Run(harness.options.inheritedGrantDuration + 1s);
  CHECK(harness.starts.size() == starts);
}

// Guards against starting a task again after its completion was acknowledged.
TEST_CASE("a completed run completes its task although it was not known")
{
  bool isGang = false;
  bool isEarlierRunKnown = false;
  SUBCASE("of an independent task that is not known") {}
  SUBCASE("of an independent task of which an earlier run is known")
  {
    isEarlierRunKnown = true;
  }
  SUBCASE("of a gang that is not known")
  {
    isGang = true;
  }
  SUBCASE("of a gang of which an earlier run is known")
  {
    isGang = true;
    isEarlierRunKnown = true;
  }
  DispatcherHarness harness;
  harness.Submit(isGang ? MakeGang("j", 3, 8)
                        : DispatcherHarness::MakeJob("j", 1, 8));
  auto known = harness.durable;
  if (isEarlierRunKnown) {
    harness.EndAll("j", EndKind::Failed);
    harness.Run(5s);
  } else {
    known.clear();
  }
  const auto runs = harness.Running("j");
  REQUIRE(runs.size() == (isGang ? 3 : 1));
  REQUIRE(runs[0].run == (isEarlierRunKnown ? 2 : 1));
  const std::size_t starts = harness.starts.size();
  DispatcherHarness::Agent& agent = harness.agents.at(harness.AgentOf(runs[0]));
  const std::uint64_t acknowledged = agent.acknowledged;
  for (const auto& run : runs) {
    harness.End(run, EndKind::Done);
  }
  harness.durable = known;
  harness.persistsImmediately = false;
  harness.TakeOver();
  CHECK(agent.acknowledged == acknowledged);
  harness.persistsImmediately = true;
  harness.Run(harness.options.inheritedGrantDuration + 1s);
  CHECK(agent.acknowledged == acknowledged + 1);
  CHECK(harness.Phase("j") == JobPhase::Completed);
  CHECK(harness.Running("j").empty());
  CHECK(harness.starts.size() == starts);
}

// Guards against a gang that starts again although a member has completed.
TEST_CASE("a gang is completed by a member whose worker was lost")
{
  enum class Moment
  {
    BeforeStops,
    BetweenStops,
    AfterRestart,
  };
  Moment moment = Moment::BeforeStops;
  bool isTakenOver = false;
  SUBCASE("before the others have ended") {}
  SUBCASE("before the others have ended, after a takeover")
  {
    isTakenOver = true;
  }
  SUBCASE("when one of the others has ended")
  {
    moment = Moment::BetweenStops;
  }
  SUBCASE("when one of the others has ended, after a takeover")
  {
    moment = Moment::BetweenStops;
    isTakenOver = true;
  }
  SUBCASE("when the gang has started again")
  {
    moment = Moment::AfterRestart;
  }
  SUBCASE("when the gang has started again, after a takeover")
  {
    moment = Moment::AfterRestart;
    isTakenOver = true;
  }
  DispatcherHarness harness(4);
  harness.stopsImmediately = false;
  harness.Submit(MakeGang("g", 3, 8));
  const auto runs = harness.Running("g");
  REQUIRE(runs.size() == 3);
  const std::string lost = harness.AgentOf(runs[0]);
  DispatcherHarness::Agent& agent = harness.agents.at(lost);
  agent.isReporting = false;
  harness.Run(harness.options.maxGrantDuration + 500ms);
  REQUIRE(harness.lost == 1);
  REQUIRE(harness.stopOrders.size() == 2);
  if (moment != Moment::BeforeStops) {
    harness.End(runs[1], EndKind::Stopped);
  }
  if (moment == Moment::AfterRestart) {
    harness.End(runs[2], EndKind::Broken);
  }
  harness.Run(1s);
  const std::size_t starts = harness.starts.size();
  REQUIRE(starts == (moment == Moment::AfterRestart ? 6 : 3));
  if (isTakenOver) {
    harness.TakeOver();
  }
  harness.End(runs[0], EndKind::Done);
  agent.isReporting = true;
  harness.Report(lost);
  CHECK(agent.ended.empty());
  CHECK(harness.Phase("g") == JobPhase::Completed);
  harness.stopsImmediately = true;
  harness.Run(harness.options.inheritedGrantDuration + 1s);
  CHECK(harness.Phase("g") == JobPhase::Completed);
  CHECK(harness.Running("g").empty());
  CHECK(harness.starts.size() == starts);
}

// Guards against a worker that lists the ends of deleted jobs for good.
TEST_CASE("the completion of a run of a deleted job is acknowledged")
{
  DispatcherHarness harness(1);
  harness.options.retention = 5s;
  harness.TakeOver();
  harness.Submit(DispatcherHarness::MakeJob("j", 1, 8));
  const auto run = harness.Running("j").at(0);
  harness.EndAll("j", EndKind::Done);
  harness.Run(harness.options.retention + 1s);
  REQUIRE(harness.forgotten.size() == 1);
  DispatcherHarness::Agent& agent = harness.agents.at("vm-0");
  agent.running[run] = { run, {}, 0 };
  harness.End(run, EndKind::Done);
  harness.Run(1s);
  CHECK(agent.acknowledged == 2);
  CHECK(harness.starts.size() == 1);
  CHECK(harness.ignoredEnds == std::vector<std::string>{ "unknown job" });
}

// Guards against acknowledged ends that the log does not explain.
TEST_CASE("a done end that changes nothing is reported once with its reason")
{
  DispatcherHarness harness;
  harness.Submit(MakeGang("g", 3, 8));
  const auto runs = harness.Running("g");
  REQUIRE(runs.size() == 3);
  harness.EndAll("g", EndKind::Done);
  CHECK(harness.ignoredEnds.empty());
  CHECK(harness.lateCompletions.empty());
  harness.persistsImmediately = false;
  harness.Submit(DispatcherHarness::MakeJob("j", 1, 1));
  DispatcherHarness::Agent& agent = harness.agents.at("vm-0");
  agent.running[runs[0]] = { runs[0], {}, 0 };
  std::string reason = "already done";
  SUBCASE("of the run that completed the task") {}
  SUBCASE("of another run")
  {
    agent.running.clear();
    job::TaskRun other = runs[0];
    ++other.run;
    agent.running[other] = { other, {}, 0 };
    reason = "completed by another run";
  }
  harness.End(agent.running.begin()->first, EndKind::Done);
  harness.Report("vm-0");
  harness.Report("vm-0");
  CHECK(harness.ignoredEnds == std::vector<std::string>{ reason });
}

// Guards against hundreds of starts per second on a worker that answers none.
TEST_CASE("a worker that did not confirm a start is avoided for a short time")
{
  DispatcherHarness harness(1);
  harness.agents.at("vm-0").ignoresOrders = true;
  harness.Submit(DispatcherHarness::MakeJob("j", 1, 8));
  REQUIRE(harness.starts.size() == 1);
  SUBCASE("the agent reports the run as absent")
  {
    harness.Outcome("vm-0", harness.starts[0].run, OrderOutcome::Absent);
  }
  SUBCASE("the run is reported as stopped")
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

// Guards against gang members that wait for a member whose worker is gone.
TEST_CASE("a gang that lost a member during a takeover is stopped as a whole")
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

// Guards against a duplicate run: the worker executes a start order of the
// previous coordinator after the new one has placed the task elsewhere.
TEST_CASE("an unconfirmed placement is ruled out before a new one")
{
  DispatcherHarness harness;
  SUBCASE("on an agent that counts its orders") {}
  SUBCASE("on an older agent")
  {
    for (auto& [name, agent] : harness.agents) {
      agent.countsOrders = false;
    }
  }
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

// Guards against ends that stay unacknowledged: the only step that changed
// belongs to a job that is deleted in the same call.
TEST_CASE("ends are acknowledged after a job with a lost run was deleted")
{
  DispatcherHarness harness(2);
  harness.stopsImmediately = false;
  harness.options.retention = 5s;
  harness.TakeOver();
  const auto job = DispatcherHarness::MakeJob("j", 1, 8);
  harness.Submit(job);
  REQUIRE(harness.Running("j").size() == 1);
  const job::TaskRun run = harness.Running("j")[0];
  const std::string silent = harness.AgentOf(run);
  harness.Cancel(job);
  harness.Run(harness.options.retention + 1s);
  REQUIRE(harness.forgotten.empty());
  harness.agents.at(silent).isReporting = false;
  harness.Run(harness.options.maxGrantDuration + 1s);
  REQUIRE(harness.forgotten.size() == 1);
  DispatcherHarness::Agent& other =
    harness.agents.at(silent == "vm-0" ? "vm-1" : "vm-0");
  other.lastEnd = 1;
  other.ended[1] = { 1, run, EndKind::Stopped, {} };
  harness.Run(1s);
  CHECK(other.acknowledged == 1);
}

TEST_CASE("an ended job is deleted after its retention time")
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

// Guards against starting a task after its completion was acknowledged.
TEST_CASE("the stop of a withdrawn run is repeated after its agent restarted")
{
  DispatcherHarness harness(2);
  harness.Submit(DispatcherHarness::MakeJob("j", 1, 8));
  const auto first = harness.Running("j").front();
  const std::string agent = harness.AgentOf(first);
  const std::string other = agent == "vm-0" ? "vm-1" : "vm-0";
  harness.agents.at(agent).isReporting = false;
  harness.agents.at(other).delaysOrders = true;
  harness.Run(6s);
  REQUIRE(harness.starts.size() == 2);
  harness.agents.at(agent).isReporting = true;
  harness.End(first, EndKind::Done);
  harness.Report(agent);
  REQUIRE(harness.Phase("j") == JobPhase::Completed);
  const std::size_t stopOrders = harness.stopOrders.size();
  REQUIRE(stopOrders == 1);
  harness.RestartAgent(other);
  harness.Report(other);
  // The worker may still carry out the start.
  CHECK(harness.stopOrders.size() > stopOrders);
  harness.Submit(DispatcherHarness::MakeJob("k", 2, 8));
  CHECK(harness.starts.size() == 3);
}
