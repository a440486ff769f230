#include "SchedulerFixture.h"

#include "amaranthwind/scheduling/RunTimeModel.h"

#include <doctest/doctest.h>

using namespace amaranthwind;
using namespace amaranthwind::scheduling;
using fleet::Adjacency;
using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;
using Names = std::vector<std::string>;

// Guards against a large gang that starves because later small jobs keep
// occupying the capacity that it waits for.
TEST_CASE("later jobs do not delay a large gang with a reservation")
{
  SchedulerFixture cell(3);
  cell.Submit("first", MakeShape(1, 8), { .declared = minutes(60) });
  cell.Submit("gang", MakeShape(3, 8), { .declared = minutes(60) });
  CHECK(cell.Started().empty());
  // Ten times its declared run time ends after the reserved start.
  cell.Submit(
    "long", MakeShape(1, 8), { .account = "b", .declared = hours(2) });
  CHECK(cell.Started().empty());
  const auto report =
    cell.scheduler.ExplainWait(cell.clock.Now(), base::JobId("long"));
  CHECK(report.value().reason == WaitReason::BehindReservation);
  const auto owner =
    cell.scheduler.ExplainWait(cell.clock.Now(), base::JobId("gang"));
  CHECK(owner.value().reason == WaitReason::CannotFitNow);
  CHECK(owner.value().missing.members == 1);
  CHECK(owner.value().expectedStart == cell.clock.Now() + hours(10));
  // A job that ends before the reserved start is backfilled.
  cell.Submit("short", MakeShape(1, 8), { .declared = minutes(10) });
  CHECK(cell.Started() == Names{ "short" });
  cell.End("short");
  CHECK(cell.Started().empty());
  cell.End("first");
  CHECK(cell.Started() == Names{ "gang" });
}

// Guards against workers that are withheld for ever because the run that the
// gang waits for takes longer than was expected.
TEST_CASE(
  "longer jobs pass a gang the longer the run that it waits for is late")
{
  SchedulerFixture cell(3);
  cell.Submit("first", MakeShape(1, 8), { .declared = minutes(60) });
  cell.Submit("gang", MakeShape(3, 8), { .declared = minutes(60) });
  cell.Submit(
    "long", MakeShape(1, 8), { .account = "b", .declared = hours(2) });
  cell.Wait(hours(11));
  CHECK(cell.Started().empty());
  const auto report =
    cell.scheduler.ExplainWait(cell.clock.Now(), base::JobId("gang"));
  CHECK(report.value().expectedStart == cell.clock.Now() + minutes(330));
  // Ten times the declared run time of the other job is 20 hours.
  cell.Wait(hours(31));
  CHECK(cell.Started() == Names{ "long" });
  cell.End("long");
  cell.End("first");
  CHECK(cell.Started() == Names{ "gang" });
}

// Guards against an urgent gang that waits although preempting less urgent
// borrowers would free enough capacity.
TEST_CASE("less urgent borrowers are stopped for a more urgent gang")
{
  struct Case
  {
    std::uint32_t urgency;
    std::size_t stops;
  };
  for (const Case& test : { Case{ 0, 2 }, Case{ 1, 0 }, Case{ 2, 0 } }) {
    SchedulerFixture cell(3);
    const JobOptions slow{ .maxRuns = 5, .isPreemptible = true, .urgency = 1 };
    for (const char* name : { "s1", "s2", "s3" }) {
      cell.Submit(name, MakeShape(1, 8), slow);
    }
    cell.Submit("gang",
                MakeShape(2, 8, Adjacency::SameRack),
                { .urgency = test.urgency });
    const auto stops = cell.All<PreemptGang>();
    CHECK(stops.size() == test.stops);
    for (const PreemptGang& stop : stops) {
      CHECK(stop.reason == StopReason::UrgentWork);
      cell.End(stop.gang.job.View(), AttemptOutcome::Preempted);
    }
    CHECK(cell.Started() == (test.stops != 0 ? Names{ "gang" } : Names{}));
  }
}

// Guards against a claim that waits forever because a stop request was lost.
TEST_CASE("an overdue stop is repeated")
{
  SchedulerFixture cell(1);
  cell.Send(PolicyChanged{ { MakeAccount("a", 1, MakeShape(1, 8)) } });
  cell.Submit("b1",
              MakeShape(1, 8),
              { .account = "b", .maxRuns = 5, .isPreemptible = true });
  cell.Submit("own", MakeShape(1, 8));
  CHECK(cell.All<PreemptGang>().size() == 1);
  cell.Wait(seconds(29));
  CHECK(cell.All<PreemptGang>().empty());
  cell.Wait(seconds(1));
  CHECK(cell.All<PreemptGang>().size() == 1);
}

// Guards against a borrower that keeps resources after a guarantee was raised
// to include them.
TEST_CASE("a guarantee raised while it is borrowed is reclaimed")
{
  SchedulerFixture cell(2);
  cell.Submit("b1",
              MakeShape(2, 8),
              { .account = "b", .maxRuns = 5, .isPreemptible = true });
  REQUIRE(cell.Started() == Names{ "b1" });
  cell.Send(PolicyChanged{ { MakeAccount("a", 1, MakeShape(1, 8)) } });
  CHECK(cell.All<ReportShortfall>().empty());
  cell.Submit("own", MakeShape(1, 8));
  REQUIRE(cell.All<PreemptGang>().size() == 1); // The entire gang.
  cell.End("b1", AttemptOutcome::Preempted);
  CHECK(cell.Started() == Names{ "own" });
}

// Guards against reservations that rely on declared run times although observed
// ones exist.
TEST_CASE("run times are learned for each account and kind")
{
  RunTimeModel model;
  const auto row = model.Find(base::AccountId("a"), base::WorkKindId("k"));
  const auto other = model.Find(base::AccountId("b"), base::WorkKindId("k"));
  CHECK(row != other);
  CHECK(model.Estimate(row, minutes(10)).median == minutes(10));
  CHECK(model.Estimate(row, minutes(10)).high == minutes(100));
  for (int run = 1; run <= 40; ++run) {
    model.Add(row, minutes(run <= 8 ? 999 : 20 + run % 10));
  }
  // The first runs are no longer in the sample window.
  CHECK(model.Estimate(row, hours(9)).median == minutes(25));
  CHECK(model.Estimate(row, hours(9)).high == minutes(29));
  CHECK(model.Estimate(other, minutes(1)).median == minutes(1));
}
