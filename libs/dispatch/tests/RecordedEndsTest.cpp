#include "DispatcherHarness.h"

#include <doctest/doctest.h>

using namespace amaranthwind;
using namespace amaranthwind::dispatch;
using namespace std::chrono_literals;
using ledger::JobPhase;

namespace {

constexpr base::LogOffset kOffset{ 5 };

/** What the agent of the run's worker records of its end. */
EndRecord
MakeRecord(const DispatcherHarness& aHarness,
           const job::TaskRun& aRun,
           EndKind aKind)
{
  EndRecord record;
  record.agent = base::AgentId(aHarness.AgentOf(aRun));
  record.life = aHarness.agents.at(record.agent.Text()).info.life;
  record.ends = { { 1, aRun, aKind, {} } };
  return record;
}

/** A job with one task, which occupies a worker. */
struct RunningJob
{
  explicit RunningJob(std::uint32_t aWorkers = 2)
    : harness(aWorkers)
  {
    this->harness.Submit(DispatcherHarness::MakeJob("j", 1, 8));
    REQUIRE(this->harness.Running("j").size() == 1);
    this->run = this->harness.Running("j")[0];
    this->agent = this->harness.AgentOf(this->run);
  }
  EndRecord Record(EndKind aKind) const
  {
    return MakeRecord(this->harness, this->run, aKind);
  }
  /** The VM of the worker loses power. */
  void LosePower()
  {
    this->harness.agents.at(this->agent).isReporting = false;
    this->harness.agents.at(this->agent).running.clear();
  }

  DispatcherHarness harness;
  job::TaskRun run;
  std::string agent;
};

} // namespace

// Guards against running a done task again: its end was listed, but the
// coordinator had no time to record it before all VMs lost power.
TEST_CASE("a task whose end was recorded by its agent is not started again")
{
  RunningJob job;
  auto& harness = job.harness;
  const EndRecord record = job.Record(EndKind::Done);
  job.LosePower();
  harness.areEndsConfirmed = false;
  harness.TakeOver();
  harness.HandleRecord(record, kOffset);
  harness.areEndsConfirmed = true;
  harness.Run(30s);
  CHECK(harness.Phase("j") == JobPhase::Completed);
  CHECK(harness.starts.size() == 1);
  CHECK(harness.acknowledgements.empty());
}

/** The recorded end is read, if there is one, when the view is confirmed. */
static void
CheckThatLostTaskWaits(bool aIsDone)
{
  RunningJob job;
  auto& harness = job.harness;
  const EndRecord record = job.Record(EndKind::Done);
  harness.areEndsConfirmed = false;
  harness.now.now += 1ms;
  SUBCASE("whose agent is silent")
  {
    job.LosePower();
    harness.Run(20s);
  }
  SUBCASE("that has restarted")
  {
    harness.Restart(job.agent);
    harness.Report(job.agent);
  }
  SUBCASE("that has left")
  {
    auto report = harness.MakeReport(job.agent);
    report.worker.reset();
    report.running.clear();
    harness.Handle(report, harness.agents.at(job.agent).session);
  }
  SUBCASE("on which the run is absent")
  {
    harness.agents.at(job.agent).running.clear();
    harness.Outcome(job.agent, job.run, OrderOutcome::Absent);
  }
  CHECK(harness.endConfirmations == 1);
  harness.Run(1s);
  REQUIRE(harness.starts.size() == 1);
  // A view from before the release may lack the end.
  harness.KnowEnds(harness.now.now - 60s);
  harness.Run(1s);
  REQUIRE(harness.starts.size() == 1);
  if (aIsDone) {
    harness.HandleRecord(record, kOffset);
  }
  harness.KnowEnds(harness.now.now);
  harness.Run(2s);
  CHECK(harness.starts.size() == (aIsDone ? 1 : 2));
  CHECK((harness.Phase("j") == JobPhase::Completed) == aIsDone);
}

// Guards against placing a task whose end is recorded in a part of the log that
// the coordinator has not read yet.
TEST_CASE("a task on a lost worker waits until the recorded ends are known")
{
  CheckThatLostTaskWaits(true);
}

// Guards against a task that waits for good.
TEST_CASE("a task on a lost worker starts again if no end was recorded")
{
  CheckThatLostTaskWaits(false);
}

// Guards against a fleet that waits for the log whenever one worker is lost.
TEST_CASE("other tasks are placed while a lost one waits for recorded ends")
{
  RunningJob job(3);
  auto& harness = job.harness;
  harness.areEndsConfirmed = false;
  job.LosePower();
  harness.Run(20s);
  REQUIRE(harness.starts.size() == 1);
  harness.Submit(DispatcherHarness::MakeJob("other", 1, 8));
  harness.Run(1s);
  CHECK(harness.Running("other").size() == 1);
  CHECK(harness.Running("j").empty());
}

// Guards against a new coordinator that places a task before it has read what
// was recorded of its earlier runs.
TEST_CASE("a new coordinator places no task before the ends are confirmed")
{
  RunningJob job;
  auto& harness = job.harness;
  const EndRecord record = job.Record(EndKind::Done);
  harness.areEndsConfirmed = false;
  harness.now.now += 1ms;
  // The previous coordinator has recorded that the run is over, not its end.
  harness.Restart(job.agent);
  harness.Report(job.agent);
  harness.TakeOver();
  harness.Run(20s);
  CHECK(harness.starts.size() == 1);
  harness.HandleRecord(record, kOffset);
  harness.areEndsConfirmed = true;
  harness.Run(2s);
  CHECK(harness.starts.size() == 1);
  CHECK(harness.Phase("j") == JobPhase::Completed);
}

// Guards against the loss of an end whose record is deleted although a
// successor can only learn of it there.
TEST_CASE("a record of ends is deleted once what it changed is durable")
{
  RunningJob job;
  auto& harness = job.harness;
  const EndRecord record = job.Record(EndKind::Done);
  harness.persistsImmediately = false;
  harness.HandleRecord(record, kOffset);
  REQUIRE(harness.PendingWrites() > 0);
  // A record that changes nothing waits as well for the one that it repeats.
  harness.HandleRecord(record, base::LogOffset(6));
  harness.Run(2s);
  CHECK(harness.deletedEndRecords.empty());
  harness.Persist();
  CHECK(harness.deletedEndRecords ==
        std::vector{ kOffset, base::LogOffset(6) });
  CHECK(harness.Phase("j") == JobPhase::Completed);
}

// Guards against a record that stays in the log for good, and against a log
// line for each end that a new coordinator reads again.
TEST_CASE("a record of ends that are known is deleted at once")
{
  RunningJob job;
  auto& harness = job.harness;
  const EndRecord record = job.Record(EndKind::Done);
  harness.EndAll("j", EndKind::Done);
  REQUIRE(harness.Phase("j") == JobPhase::Completed);
  SUBCASE("to the coordinator that has handled their report") {}
  SUBCASE("to its successor")
  {
    harness.TakeOver();
  }
  harness.HandleRecord(record, kOffset);
  CHECK(harness.deletedEndRecords == std::vector{ kOffset });
  CHECK(harness.ignoredEnds.empty());
}

// Guards against resources that are released twice, or booked again for good,
// since a record and a report of the same end are not ordered.
TEST_CASE("an end that is recorded and reported releases resources once")
{
  RunningJob job(1);
  auto& harness = job.harness;
  const EndRecord record = job.Record(EndKind::Done);
  const WorkerReport early = harness.MakeReport(job.agent);
  const SessionId session = harness.agents.at(job.agent).session;
  harness.End(job.run, EndKind::Done);
  SUBCASE("record first")
  {
    harness.HandleRecord(record, kOffset);
  }
  SUBCASE("record before a report from before the end")
  {
    harness.HandleRecord(record, kOffset);
    harness.Handle(early, session);
    CHECK(harness.stopOrders.empty());
  }
  SUBCASE("report first")
  {
    harness.Report(job.agent);
    harness.HandleRecord(record, kOffset);
  }
  harness.Submit(DispatcherHarness::MakeJob("next", 1, 8));
  CHECK(harness.Running("next").size() == 1);
  harness.Submit(DispatcherHarness::MakeJob("last", 1, 8));
  harness.Run(2s);
  CHECK(harness.Running("last").empty());
  CHECK(harness.Phase("j") == JobPhase::Completed);
  CHECK(harness.ignoredEnds.empty());
  CHECK(harness.acknowledgements.size() == 1);
}

// Guards against a job that fails before its attempts are used up, or has more.
TEST_CASE("a failed end counts once however often it is recorded and reported")
{
  RunningJob job;
  auto& harness = job.harness;
  const EndRecord record = job.Record(EndKind::Failed);
  harness.End(job.run, EndKind::Failed);
  bool isReported = true;
  SUBCASE("record twice, then the report")
  {
    harness.HandleRecord(record, kOffset);
    harness.HandleRecord(record, base::LogOffset(6));
  }
  SUBCASE("report, then the record")
  {
    harness.Report(job.agent);
    harness.HandleRecord(record, kOffset);
  }
  SUBCASE("record before and after a takeover")
  {
    harness.HandleRecord(record, kOffset);
    harness.TakeOver();
    harness.HandleRecord(record, kOffset);
  }
  SUBCASE("record twice after the worker was lost")
  {
    isReported = false;
    harness.areEndsConfirmed = false;
    harness.now.now += 1ms;
    harness.agents.at(job.agent).isReporting = false;
    harness.Run(20s);
    harness.HandleRecord(record, kOffset);
    harness.HandleRecord(record, base::LogOffset(6));
    harness.areEndsConfirmed = true;
  }
  SUBCASE("record after a takeover, the run was released before")
  {
    isReported = false;
    harness.areEndsConfirmed = false;
    harness.now.now += 1ms;
    harness.agents.at(job.agent).isReporting = false;
    harness.Run(20s);
    REQUIRE(harness.Running("j").empty());
    harness.TakeOver();
    harness.HandleRecord(record, kOffset);
    harness.TakeOver();
    harness.HandleRecord(record, kOffset);
    harness.areEndsConfirmed = true;
  }
  SUBCASE("record after a takeover only")
  {
    isReported = false;
    harness.agents.at(job.agent).isReporting = false;
    harness.areEndsConfirmed = false;
    harness.TakeOver();
    harness.HandleRecord(record, kOffset);
    harness.areEndsConfirmed = true;
  }
  harness.Run(isReported ? 2s : 20s);
  REQUIRE(harness.starts.size() == 2);
  CHECK(harness.Phase("j") == JobPhase::Running);
  // The harness gives each job two attempts.
  harness.EndAll("j", EndKind::Failed);
  harness.Run(2s);
  CHECK(harness.Phase("j") == JobPhase::Failed);
  CHECK(harness.starts.size() == 2);
}

// Guards against a successor that takes a released task for placed, and waits
// until the grants of its worker have expired.
TEST_CASE("a release is durable once the recorded ends are known")
{
  RunningJob job(1);
  auto& harness = job.harness;
  harness.areEndsConfirmed = false;
  harness.now.now += 1ms;
  job.LosePower();
  harness.Run(20s);
  const auto phase = [&harness] {
    REQUIRE(harness.durable.size() == 1);
    return harness.durable.begin()->second.tasks.at(0).phase;
  };
  CHECK(phase() == ledger::TaskPhase::Placed);
  harness.KnowEnds(harness.now.now - 60s);
  CHECK(phase() == ledger::TaskPhase::Placed);
  harness.KnowEnds(harness.now.now);
  CHECK(phase() == ledger::TaskPhase::Idle);
  REQUIRE(harness.starts.size() == 1);
}

// Guards against a gang that uses up its attempts in one run, since several of
// its members fail and each end comes in two ways.
TEST_CASE("recorded failures of several members of a gang count once")
{
  DispatcherHarness harness(2);
  job::WorkflowSpec spec = DispatcherHarness::MakeJob("gang", 2, 8);
  spec.steps[0].isGang = true;
  harness.Submit(spec);
  const auto runs = harness.Running("gang");
  REQUIRE(runs.size() == 2);
  const EndRecord first = MakeRecord(harness, runs[0], EndKind::Failed);
  const EndRecord second = MakeRecord(harness, runs[1], EndKind::Failed);
  harness.End(runs[0], EndKind::Failed);
  harness.End(runs[1], EndKind::Failed);
  harness.HandleRecord(first, kOffset);
  harness.HandleRecord(second, base::LogOffset(6));
  harness.Run(3s);
  REQUIRE(harness.starts.size() == 4);
  CHECK(harness.Phase("gang") == JobPhase::Running);
  harness.EndAll("gang", EndKind::Failed);
  harness.Run(3s);
  CHECK(harness.Phase("gang") == JobPhase::Failed);
}

// Guards against a job that fails after one run of its gang, since a successor
// does not know that the failure of the run was counted.
TEST_CASE("the failure of a gang counts once if a takeover divides its ends")
{
  DispatcherHarness harness(2);
  job::WorkflowSpec spec = DispatcherHarness::MakeJob("gang", 2, 8);
  spec.steps[0].isGang = true;
  harness.Submit(spec);
  const auto runs = harness.Running("gang");
  REQUIRE(runs.size() == 2);
  const EndRecord first = MakeRecord(harness, runs[0], EndKind::Failed);
  const EndRecord second = MakeRecord(harness, runs[1], EndKind::Failed);
  for (auto& [name, agent] : harness.agents) {
    agent.isReporting = false;
    agent.ignoresOrders = true;
  }
  harness.End(runs[0], EndKind::Failed);
  harness.End(runs[1], EndKind::Failed);
  harness.HandleRecord(first, kOffset);
  harness.TakeOver();
  SUBCASE("one that reads both records")
  {
    harness.HandleRecord(first, kOffset);
    harness.HandleRecord(second, base::LogOffset(6));
  }
  SUBCASE("one that gets reports") {}
  SUBCASE("a second one")
  {
    harness.TakeOver();
  }
  for (auto& [name, agent] : harness.agents) {
    agent.isReporting = true;
    agent.ignoresOrders = false;
  }
  harness.Run(3s);
  REQUIRE(harness.starts.size() == 4);
  CHECK(harness.Phase("gang") == JobPhase::Running);
  harness.EndAll("gang", EndKind::Failed);
  harness.Run(3s);
  CHECK(harness.Phase("gang") == JobPhase::Failed);
  CHECK(harness.starts.size() == 4);
}

// Guards against other writers, and agents whose record is late, that change
// tasks which are not theirs or take the coordinator down.
TEST_CASE("an odd record of ends changes nothing and is deleted")
{
  RunningJob job;
  auto& harness = job.harness;
  EndRecord record = job.Record(EndKind::Failed);
  auto& end = record.ends[0];
  SUBCASE("of an unknown job")
  {
    end = { 1, { { { base::JobId("none"), 0, 0 }, 0 }, 1 }, EndKind::Done, {} };
  }
  SUBCASE("of an unknown step")
  {
    end.run.task.step.step = 7;
    end.kind = EndKind::Done;
  }
  SUBCASE("of an unknown occurrence")
  {
    end.run.task.step.occurrence = 7;
    end.kind = EndKind::Done;
  }
  SUBCASE("of an unknown task")
  {
    end.run.task.index = UINT32_MAX;
    end.kind = EndKind::Done;
  }
  SUBCASE("of another run")
  {
    end.run.run = 9;
  }
  SUBCASE("of another life of the worker")
  {
    ++record.life.born;
  }
  SUBCASE("of an unknown agent and worker")
  {
    record.agent = base::AgentId("other");
    record.life.id = base::TargetId("other");
  }
  SUBCASE("without ends")
  {
    record.ends.clear();
  }
  harness.HandleRecord(record, kOffset);
  harness.Run(2s);
  CHECK(harness.starts.size() == 1);
  CHECK(harness.Running("j").size() == 1);
  CHECK(harness.stopOrders.empty());
  CHECK(harness.deletedEndRecords == std::vector{ kOffset });
}
