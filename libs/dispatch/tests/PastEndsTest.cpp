#include "DispatcherHarness.h"

#include <doctest/doctest.h>

using namespace amaranthwind;
using namespace amaranthwind::dispatch;
using namespace std::chrono_literals;
using ledger::JobPhase;

namespace {

/** The worker of the run restarts after it has listed the run's end. */
struct RestartedWorker
{
  RestartedWorker(DispatcherHarness& aHarness,
                  const job::TaskRun& aRun,
                  EndKind aKind)
    : agent(aHarness.AgentOf(aRun))
    , pastEnd{ aHarness.agents.at(agent).info.life, { 1, aRun, aKind, "" } }
  {
    aHarness.agents.at(this->agent).isReporting = false;
    aHarness.Restart(this->agent);
  }

  /** The first report of the new life. */
  void Report(DispatcherHarness& aHarness) const
  {
    auto report = aHarness.MakeReport(this->agent);
    report.pastEnds = { this->pastEnd };
    aHarness.Handle(report, aHarness.agents.at(this->agent).session);
  }

  bool IsAcknowledged(const DispatcherHarness& aHarness) const
  {
    return aHarness.acknowledgements.size() == 1 &&
           aHarness.acknowledgements[0].incarnation == this->pastEnd.life &&
           aHarness.acknowledgements[0].number == 1;
  }

  std::string agent;
  PastEnd pastEnd;
};

} // namespace

// Guards against running a done task again after its worker has restarted.
TEST_CASE("a completion on an earlier life of the worker counts")
{
  DispatcherHarness harness(2);
  harness.Submit(DispatcherHarness::MakeJob("j", 1, 8));
  REQUIRE(harness.Running("j").size() == 1);
  const RestartedWorker worker(harness, harness.Running("j")[0], EndKind::Done);
  std::size_t starts = 1;
  SUBCASE("whose end is reported with the restart") {}
  SUBCASE("whose task was inherited from the previous coordinator")
  {
    harness.TakeOver();
  }
  SUBCASE("whose worker has left meanwhile")
  {
    auto report = harness.MakeReport(worker.agent);
    report.worker.reset();
    report.pastEnds = { worker.pastEnd };
    harness.Handle(report, harness.agents.at(worker.agent).session);
    CHECK(worker.IsAcknowledged(harness));
    harness.acknowledgements.clear();
  }
  SUBCASE("that the coordinator had given up")
  {
    harness.Run(20s);
    starts = 2;
    REQUIRE(harness.starts.size() == starts);
  }
  worker.Report(harness);
  CHECK(worker.IsAcknowledged(harness));
  harness.Run(2s);
  CHECK(harness.Phase("j") == JobPhase::Completed);
  CHECK(harness.starts.size() == starts);
  CHECK(harness.Running("j").empty());
}

// Guards against the loss of a completion in a failure of the coordinator.
TEST_CASE("an end of an earlier life is acknowledged once it is durable")
{
  DispatcherHarness harness(2);
  harness.Submit(DispatcherHarness::MakeJob("j", 1, 8));
  const RestartedWorker worker(harness, harness.Running("j")[0], EndKind::Done);
  harness.persistsImmediately = false;
  worker.Report(harness);
  REQUIRE(harness.PendingWrites() > 0);
  CHECK(harness.acknowledgements.empty());
  harness.Persist();
  CHECK(worker.IsAcknowledged(harness));
}

// Guards against a task with more failed runs than attempts.
TEST_CASE("a failure on an earlier life of the worker counts as an attempt")
{
  DispatcherHarness harness(3);
  harness.Submit(DispatcherHarness::MakeJob("j", 1, 8));
  const RestartedWorker worker(
    harness, harness.Running("j")[0], EndKind::Failed);
  worker.Report(harness);
  CHECK(worker.IsAcknowledged(harness));
  harness.Run(1s);
  REQUIRE(harness.starts.size() == 2);
  harness.End(harness.Running("j").at(0), EndKind::Failed);
  harness.Run(2s);
  CHECK(harness.Phase("j") == JobPhase::Failed);
}

// Guards against a task with more failed runs than attempts.
TEST_CASE("a failure of an inherited run on an earlier life counts")
{
  DispatcherHarness harness(3);
  harness.Submit(DispatcherHarness::MakeJob("j", 1, 8));
  const RestartedWorker worker(
    harness, harness.Running("j")[0], EndKind::Failed);
  harness.TakeOver();
  worker.Report(harness);
  CHECK(worker.IsAcknowledged(harness));
  harness.Run(20s);
  REQUIRE(harness.starts.size() == 2);
  harness.End(harness.Running("j").at(0), EndKind::Failed);
  harness.Run(2s);
  CHECK(harness.Phase("j") == JobPhase::Failed);
}

// Guards against reading the life of a worker that is not known.
TEST_CASE("a completion on an earlier life counts without a present worker")
{
  DispatcherHarness harness(2);
  harness.Submit(DispatcherHarness::MakeJob("j", 1, 8));
  const RestartedWorker worker(harness, harness.Running("j")[0], EndKind::Done);
  harness.TakeOver();
  auto report = harness.MakeReport(worker.agent);
  report.worker.reset();
  report.pastEnds = { worker.pastEnd };
  harness.Handle(report, harness.agents.at(worker.agent).session);
  CHECK(worker.IsAcknowledged(harness));
  CHECK(harness.Phase("j") == JobPhase::Completed);
}

// Guards against releasing a run that is on the new life of the worker.
TEST_CASE("an end of an earlier life does not end a later run of the task")
{
  DispatcherHarness harness(1);
  harness.Submit(DispatcherHarness::MakeJob("j", 1, 8));
  const RestartedWorker worker(
    harness, harness.Running("j")[0], EndKind::Stopped);
  harness.agents.at(worker.agent).isReporting = true;
  harness.Run(3s);
  REQUIRE(harness.Running("j").size() == 1);
  worker.Report(harness);
  CHECK(worker.IsAcknowledged(harness));
  harness.Run(2s);
  CHECK(harness.starts.size() == 2);
  CHECK(harness.Running("j").size() == 1);
  CHECK(harness.Used(worker.agent) == 8);
}
