#include "SchedulerFixture.h"

#include <doctest/doctest.h>

using namespace amaranthwind;
using namespace amaranthwind::scheduling;
using base::ErrorCode;
using fleet::Adjacency;
using std::chrono::minutes;
using std::chrono::seconds;
using Names = std::vector<std::string>;

namespace {

const JobOptions kBorrower{ .account = "b",
                            .maxRuns = 5,
                            .isPreemptible = true };

} // namespace

// Guards against starting part of a gang when not all members fit, and against
// incomplete or wrong gang plans.
TEST_CASE("a gang starts only when all of its members fit")
{
  SchedulerFixture cell(2);
  cell.Submit("j", MakeShape(3, 5));
  CHECK(cell.Started().empty());
  cell.Send(WorkerJoined{ MakeWorker(2) });
  const auto starts = cell.All<StartGang>();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].plan.members.size() == 3);
  CHECK(starts[0].plan.token == base::FencingToken(7));
  CHECK(starts[0].plan.gang.attempt == base::Attempt(1));
  CHECK(starts[0].plan.members[0].worker != starts[0].plan.members[1].worker);
}

// Guards against placements that ignore the adjacency of the shape.
TEST_CASE("placements satisfy the adjacency of the shape")
{
  struct Case
  {
    fleet::Shape shape;
    bool isStarted;
  };
  const Case cases[] = {
    { MakeShape(2, 4, Adjacency::SameWorker), true },
    { MakeShape(2, 8, Adjacency::SameWorker), false },
    { MakeShape(3, 8, Adjacency::SameRack), true },
    { MakeShape(4, 8, Adjacency::SameRack), false },
    { MakeShape(4, 8, Adjacency::SameZone), true },
    { MakeShape(5, 8, Adjacency::SameZone), false },
  };
  for (const Case& test : cases) {
    CAPTURE(test.shape.members);
    SchedulerFixture cell(4);
    cell.Submit("j", test.shape);
    CHECK(cell.Started().size() == (test.isStarted ? 1 : 0));
  }
}

// Guards against refusing a job that does not fit only because workers are
// temporarily lost or not yet known.
TEST_CASE("a job is refused only if no known worker could ever take it")
{
  SchedulerFixture cell(3);
  cell.Submit("large", MakeShape(1, 16));
  CHECK(cell.All<RefuseJob>().empty()); // The fleet may not be known yet.
  cell.Wait(seconds(61));
  REQUIRE(cell.All<RefuseJob>().size() == 1);
  CHECK(cell.All<RefuseJob>()[0].error.code == ErrorCode::NeverFits);

  cell.Send(WorkerLost{ WorkerName(0) });
  cell.Submit("rack", MakeShape(3, 8, Adjacency::SameRack));
  CHECK(cell.All<RefuseJob>().empty());
  CHECK(cell.Started().empty());
  cell.Wait(minutes(59));
  CHECK(cell.All<RefuseJob>().empty());
  cell.Wait(minutes(2));
  CHECK(cell.All<RefuseJob>().size() == 1);
}

// Guards against borrowers or non-preemptible work holding a guarantee beyond
// the reclaim time.
TEST_CASE("borrowers are stopped when an account claims its guarantee")
{
  SchedulerFixture cell(3);
  cell.Send(PolicyChanged{
    { MakeAccount("a", 1, MakeShape(3, 8, Adjacency::SameRack)) } });
  cell.Submit("non-preemptible",
              MakeShape(1, 1, Adjacency::SameZone),
              { .account = "b" });
  CHECK(cell.Started().empty());
  CHECK(
    cell.scheduler.ExplainWait(cell.clock.Now(), base::JobId("non-preemptible"))
      .value()
      .reason == WaitReason::UntilGuaranteeReturns);
  for (const char* name : { "b1", "b2", "b3" }) {
    cell.Submit(name, MakeShape(1, 8), kBorrower);
    REQUIRE(cell.Started() == Names{ name });
    CHECK(cell.All<StartGang>()[0].allocation == AllocationType::Borrowed);
  }
  cell.Submit("own", MakeShape(2, 8, Adjacency::SameRack));
  const auto stops = cell.All<PreemptGang>();
  REQUIRE(stops.size() == 2);
  CHECK(stops[0].deadline == cell.clock.Now() + seconds(30));
  CHECK(cell.scheduler.ExplainWait(cell.clock.Now(), base::JobId("own"))
          .value()
          .reason == WaitReason::ReclaimPending);
  cell.End(stops[0].gang.job.View(), AttemptOutcome::Preempted);
  CHECK(cell.Started().empty());
  cell.End(stops[1].gang.job.View(), AttemptOutcome::Preempted);
  CHECK(cell.Started() == Names{ "own" });
  CHECK(cell.All<StartGang>()[0].allocation == AllocationType::Guaranteed);
  // The preempted jobs resume when capacity is free again.
  cell.End("own");
  CHECK(cell.Started().size() == 2);
}

// Guards against preempting a job that has no run left to finish in.
TEST_CASE("a job without a further run does not borrow")
{
  SchedulerFixture cell(1);
  cell.Send(PolicyChanged{ { MakeAccount("a", 1, MakeShape(1, 8)) } });
  cell.Submit("last",
              MakeShape(1, 4),
              { .account = "b", .maxRuns = 1, .isPreemptible = true });
  CHECK(cell.Started().empty());
}

// Guards against a cancelled job that keeps running or stays queued.
TEST_CASE("a cancelled job leaves the queue or is stopped")
{
  SchedulerFixture cell(1);
  cell.Submit("runs", MakeShape(1, 8));
  cell.Submit("waits", MakeShape(1, 8));
  cell.Send(JobCancelled{ base::JobId("waits") });
  REQUIRE(cell.All<EndJob>().size() == 1);
  CHECK(cell.All<EndJob>()[0].error->code == ErrorCode::Cancelled);
  cell.Send(JobCancelled{ base::JobId("runs") });
  REQUIRE(cell.All<PreemptGang>().size() == 1);
  CHECK(cell.All<PreemptGang>()[0].reason == StopReason::Cancelled);
  cell.End("runs", AttemptOutcome::Preempted);
  REQUIRE(cell.All<EndJob>().size() == 1);
  CHECK(cell.All<EndJob>()[0].error->code == ErrorCode::Cancelled);
}

// Guards against counting attempts that did not run, or not counting those that
// did, so that a job runs too few or too many times.
TEST_CASE("an attempt that did not run does not count as a run")
{
  SchedulerFixture cell(2);
  cell.Submit("j", MakeShape(1, 8));
  cell.End("j", AttemptOutcome::NotRun, 1, 0);
  CHECK(cell.All<EndJob>().empty());
  cell.Wait(seconds(2));
  REQUIRE(cell.Started() == Names{ "j" });
  CHECK(cell.All<StartGang>()[0].plan.gang.attempt == base::Attempt(2));
  CHECK(cell.All<StartGang>()[0].plan.members[0].worker == WorkerName(1));
  cell.End("j", AttemptOutcome::Failed, 2);
  REQUIRE(cell.All<EndJob>().size() == 1);
  CHECK(cell.All<EndJob>()[0].error->code == ErrorCode::TargetFailed);
}

// Guards against assigning an accelerator twice after a coordinator change,
// when a worker registers after the job that it runs was restored.
TEST_CASE("a restored job holds its workers before they register")
{
  SchedulerFixture cell;
  cell.Send(PolicyChanged{ { MakeAccount("a", 1, MakeShape(1, 8)) } });
  cell.Send(JobRestored{ SchedulerFixture::MakeSpec("old", MakeShape(1, 8)),
                         0,
                         base::Attempt(2),
                         1,
                         { WorkerName(0) } });
  cell.Submit("new", MakeShape(1, 1), { .account = "b" });
  cell.Send(WorkerJoined{ MakeWorker(0) });
  CHECK(cell.Started().empty());
  CHECK(cell.scheduler.Usage().guaranteed == 8);
  cell.End("old", AttemptOutcome::Succeeded, 2);
  CHECK(cell.All<EndJob>().size() == 1);
  cell.Send(WorkerJoined{ MakeWorker(1) });
  CHECK(cell.Started() == Names{ "new" });
}

// Guards against counting a restored gang once per member on a worker: the stop
// of "two" would seem to free 12 accelerators, and "one" would block the claim.
TEST_CASE("a claim stops all borrowers in its way after a coordinator change")
{
  SchedulerFixture cell;
  cell.Send(PolicyChanged{ { MakeAccount("a", 1, MakeShape(1, 8)) } });
  cell.Send(
    JobRestored{ SchedulerFixture::MakeSpec(
                   "two", MakeShape(2, 3, Adjacency::SameWorker), kBorrower),
                 0,
                 base::Attempt(1),
                 1,
                 { WorkerName(0), WorkerName(0) } });
  cell.Send(
    JobRestored{ SchedulerFixture::MakeSpec("one", MakeShape(1, 2), kBorrower),
                 0,
                 base::Attempt(1),
                 1,
                 { WorkerName(0) } });
  cell.Send(WorkerJoined{ MakeWorker(0) });
  REQUIRE(cell.scheduler.Usage().borrowed == 8);
  cell.Send(JobCancelled{ base::JobId("two") });
  REQUIRE(cell.All<PreemptGang>().size() == 1);

  cell.Submit("owner", MakeShape(1, 8));
  const auto stops = cell.All<PreemptGang>();
  REQUIRE(stops.size() == 1);
  CHECK(stops[0].gang.job == base::JobId("one"));
  CHECK(stops[0].reason == StopReason::GuaranteeClaimed);
  cell.End("two", AttemptOutcome::Preempted);
  CHECK(cell.Started().empty());
  cell.End("one", AttemptOutcome::Preempted);
  CHECK(cell.Started() == Names{ "owner" });
}

// Guards against guarantees that silently no longer fit after workers were
// lost, and against new non-preemptible work that delays their recovery.
TEST_CASE(
  "a shortfall is reported and restored before non-preemptible work starts")
{
  SchedulerFixture cell(2);
  cell.Send(PolicyChanged{ { MakeAccount("a", 2, MakeShape(1, 8)) } });
  cell.Send(WorkerLost{ WorkerName(0) });
  REQUIRE(cell.All<ReportShortfall>().size() == 1);
  CHECK(cell.All<ReportShortfall>()[0].units == 1);
  CHECK(cell.All<ReportShortfall>()[0].accelerators == 8);
  cell.Submit("non-preemptible", MakeShape(1, 8), { .account = "b" });
  cell.Send(WorkerJoined{ MakeWorker(2) });
  CHECK(cell.Started().empty());
  REQUIRE(cell.All<ReportShortfall>().size() == 1);
  CHECK(cell.All<ReportShortfall>()[0].units == 0);
  cell.Send(WorkerJoined{ MakeWorker(3) });
  CHECK(cell.Started() == Names{ "non-preemptible" });
}
