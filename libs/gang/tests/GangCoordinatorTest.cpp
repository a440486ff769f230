#include "amaranthwind/gang/GangCoordinator.h"

#include "GangFixtures.h"

#include <doctest/doctest.h>

using namespace amaranthwind;
using namespace amaranthwind::gang;
using namespace amaranthwind::gang::testing;
using namespace std::chrono_literals;

namespace {

struct CoordinatorFixture
{
  std::vector<CoordinatorEffect> Handle(const CoordinatorEvent& aEvent)
  {
    return this->coordinator.Handle(this->now, aEvent);
  }

  std::vector<CoordinatorEffect> AdvanceTime(base::Duration aTime)
  {
    this->now += aTime;
    return this->Handle(Tick{});
  }

  std::vector<CoordinatorEffect> PromiseAll()
  {
    std::vector<CoordinatorEffect> effects;
    for (Rank rank = 0; rank < this->plan->members.size(); ++rank) {
      effects = this->Handle(Promise{ this->key, rank, std::nullopt });
    }
    return effects;
  }

  void Run()
  {
    this->Handle(StartGang{ this->plan });
    this->PromiseAll();
    this->Handle(DecisionConfirmed{ this->key });
    this->Handle(GangStarted{ this->key });
  }

  std::shared_ptr<const job::GangPlan> plan = MakePlan(3);
  AttemptKey key = KeyOf(*plan);
  GangCoordinator coordinator{ kFence };
  base::TimePoint now{ 1h };
};

} // namespace

// Guards against a commit without the promises of all members: no part of a
// gang runs unless the whole gang runs.
TEST_CASE("commits are sent only after all promises and a confirmed record")
{
  CoordinatorFixture fixture;
  CHECK(Count<Prepare>(fixture.Handle(StartGang{ fixture.plan })) == 3);
  CHECK(fixture.Handle(Promise{ fixture.key, 0, std::nullopt }).empty());
  CHECK(fixture.Handle(Promise{ fixture.key, 0, std::nullopt }).empty());
  CHECK(fixture.Handle(Promise{ fixture.key, 1, std::nullopt }).empty());
  CHECK(fixture.Handle(DecisionConfirmed{ fixture.key }).empty());
  const auto decided = fixture.Handle(Promise{ fixture.key, 2, std::nullopt });
  REQUIRE(Find<WriteDecision>(decided) != nullptr);
  CHECK(Find<WriteDecision>(decided)->decision == Decision::Commit);
  CHECK(Find<WriteDecision>(decided)->members.size() == 3);
  CHECK(fixture.coordinator.StateOf(fixture.key) == AttemptState::Undecided);
  CHECK(Count<Commit>(fixture.Handle(DecisionConfirmed{ fixture.key })) == 3);
  CHECK(fixture.coordinator.StateOf(fixture.key) == AttemptState::Committed);
  CHECK(fixture.Handle(DecisionConfirmed{ fixture.key }).empty());
  CHECK(Has<AttemptStarted>(fixture.Handle(GangStarted{ fixture.key })));
}

// Guards against a gang that keeps accelerators reserved although it cannot
// start.
TEST_CASE("a failed prepare leads to an abort")
{
  struct Case
  {
    const char* name;
    CoordinatorEvent event;
    base::Duration wait;
    std::optional<Rank> rankAtFault;
  };
  CoordinatorFixture fixture;
  const std::vector<Case> cases = {
    { "refused",
      Promise{ fixture.key, 2, base::Error{ base::ErrorCode::NoTarget, "" } },
      0s,
      2 },
    { "timed out", Tick{}, 3s, 1 },
    { "member lost", WorkerLost{ WorkerId(1) }, 0s, 1 },
    { "cancelled",
      StopRequested{ fixture.key, StopReason::Cancelled, 0s },
      0s,
      std::nullopt },
  };
  for (const Case& test : cases) {
    CAPTURE(test.name);
    CoordinatorFixture run;
    run.Handle(StartGang{ run.plan });
    run.Handle(Promise{ run.key, 0, std::nullopt });
    run.now += test.wait;
    const auto failed = run.Handle(test.event);
    REQUIRE(Find<WriteDecision>(failed) != nullptr);
    CHECK(Find<WriteDecision>(failed)->decision == Decision::Abort);
    CHECK_FALSE(Has<WriteDecision>(run.PromiseAll()));
    const auto aborted = run.Handle(DecisionConfirmed{ run.key });
    CHECK(Count<Abort>(aborted) == 3);
    REQUIRE(Find<AttemptEnded>(aborted) != nullptr);
    CHECK(Find<AttemptEnded>(aborted)->outcome == AttemptOutcome::NotRun);
    CHECK(Find<AttemptEnded>(aborted)->rankAtFault == test.rankAtFault);
    CHECK(run.coordinator.AttemptCount() == 0);
  }
}

// Guards against two different decisions on one attempt when a reply of the log
// is lost or the log is down.
TEST_CASE("while the log is down an attempt waits and keeps its decision")
{
  CoordinatorFixture fixture;
  fixture.Handle(StartGang{ fixture.plan });
  fixture.PromiseAll();
  for (int tries = 0; tries < 100; ++tries) {
    CHECK(Has<AttemptWaitingForLog>(
      fixture.Handle(DecisionUnconfirmed{ fixture.key })));
    CHECK(fixture.AdvanceTime(900ms).empty());
    const auto retried = fixture.AdvanceTime(100ms);
    REQUIRE(Find<WriteDecision>(retried) != nullptr);
    CHECK(Find<WriteDecision>(retried)->decision == Decision::Commit);
  }
  SUBCASE("then commits")
  {
    CHECK(Count<Commit>(fixture.Handle(DecisionConfirmed{ fixture.key })) == 3);
  }
  SUBCASE(
    "then stops an attempt that was cancelled meanwhile, without starting it")
  {
    fixture.Handle(StopRequested{ fixture.key, StopReason::Cancelled, 0s });
    const auto effects = fixture.Handle(DecisionConfirmed{ fixture.key });
    CHECK_FALSE(Has<Commit>(effects));
    CHECK(Count<StopGang>(effects) == 3);
  }
}

// Guards against orders from a coordinator that has been replaced.
TEST_CASE("a coordinator that lost its token sends nothing more")
{
  CoordinatorFixture fixture;
  fixture.Handle(StartGang{ fixture.plan });
  fixture.PromiseAll();
  SUBCASE("reported by the log")
  {
    CHECK(Has<CoordinatorSuperseded>(fixture.Handle(TokenLost{})));
  }
  SUBCASE("reported by a member for its own order, not another coordinator's")
  {
    const base::Error stale{ base::ErrorCode::StaleToken, "" };
    CHECK(
      fixture
        .Handle(CommitRefused{ fixture.key, 1, base::FencingToken(9), stale })
        .empty());
    CHECK(Has<CoordinatorSuperseded>(
      fixture.Handle(CommitRefused{ fixture.key, 1, kFence.token, stale })));
  }
  CHECK(fixture.Handle(DecisionConfirmed{ fixture.key }).empty());
  CHECK(fixture.AdvanceTime(1h).empty());
}

// Guards against a wrong outcome, especially an incorrect "not run": a request
// refused as "not run" did not run.
TEST_CASE("the outcome of an attempt follows the first rank's report")
{
  using R = MemberResult;
  struct Case
  {
    const char* name;
    std::optional<StopReason> requested;
    GangEnded report;
    AttemptOutcome outcome;
  };
  const AttemptKey key = CoordinatorFixture{}.key;
  const std::vector<R> good(3, R::Succeeded);
  const std::vector<R> stopped(3, R::Stopped);
  const std::vector<Case> cases = {
    { "all succeeded",
      {},
      { key, true, good, {}, {} },
      AttemptOutcome::Succeeded },
    { "one failed",
      {},
      { key,
        true,
        { R::Stopped, R::Failed, R::Stopped },
        StopReason::MemberFailed,
        1 },
      AttemptOutcome::Failed },
    { "never released",
      {},
      { key,
        false,
        std::vector<R>(3, R::NotStarted),
        StopReason::StartTimeout,
        2 },
      AttemptOutcome::NotRun },
    { "preempted",
      StopReason::Preempted,
      { key, true, stopped, StopReason::Preempted, {} },
      AttemptOutcome::Preempted },
    { "succeeded before the preemption",
      StopReason::Preempted,
      { key, true, good, {}, {} },
      AttemptOutcome::Succeeded },
    { "failed before the cancel",
      StopReason::Cancelled,
      { key,
        true,
        { R::Failed, R::Stopped, R::Stopped },
        StopReason::MemberFailed,
        0 },
      AttemptOutcome::Failed },
  };
  for (const Case& test : cases) {
    CAPTURE(test.name);
    CoordinatorFixture fixture;
    fixture.Run();
    if (test.requested) {
      const auto effects =
        fixture.Handle(StopRequested{ key, *test.requested, 30s });
      CHECK(Count<StopGang>(effects) == 1);
    }
    const auto ended = fixture.Handle(test.report);
    REQUIRE(Find<AttemptEnded>(ended) != nullptr);
    CHECK(Find<AttemptEnded>(ended)->outcome == test.outcome);
    CHECK(Find<AttemptEnded>(ended)->rankAtFault == test.report.rankAtFault);
    // No acknowledgement yet: until the end is in the log, the next coordinator
    // may need the report.
    CHECK_FALSE(Has<GangEndedAck>(ended));
    CHECK(fixture.Handle(test.report).empty());
    CHECK(Has<GangEndedAck>(fixture.Handle(EndConfirmed{ key })));
    CHECK(fixture.coordinator.AttemptCount() == 0);
    // A report repeated because the acknowledgement was lost yields no second
    // end.
    const auto again = fixture.Handle(test.report);
    CHECK(again.size() == 1);
    CHECK(Has<GangEndedAck>(again));
  }
}

// Guards against ignoring an end because the report of the start was missed.
TEST_CASE("an attempt may end before its start is reported")
{
  CoordinatorFixture fixture;
  fixture.Handle(StartGang{ fixture.plan });
  fixture.PromiseAll();
  const GangEnded report{
    fixture.key, true, std::vector(3, MemberResult::Succeeded), {}, {}
  };
  // The members learned the decision from the log before the coordinator did,
  // so the first rank has to repeat its report.
  CHECK(fixture.Handle(report).empty());
  fixture.Handle(DecisionConfirmed{ fixture.key });
  const auto ended = fixture.Handle(report);
  REQUIRE(Find<AttemptEnded>(ended) != nullptr);
  CHECK(Find<AttemptEnded>(ended)->outcome == AttemptOutcome::Succeeded);
}

// Guards against an attempt that never ends because rank 0 cannot report.
TEST_CASE("without a report from the first rank an attempt counts as run")
{
  CoordinatorFixture fixture;
  fixture.Run();
  SUBCASE("its worker is lost")
  {
    CHECK(Count<StopGang>(fixture.Handle(WorkerLost{ WorkerId(0) })) == 3);
  }
  SUBCASE("its daemon returns without the gang")
  {
    CHECK(fixture.Handle(WorkerReported{ WorkerId(1), {} }).empty());
    CHECK(
      fixture.Handle(WorkerReported{ WorkerId(0), { fixture.key } }).empty());
    CHECK(Count<StopGang>(fixture.Handle(WorkerReported{ WorkerId(0), {} })) ==
          3);
  }
  SUBCASE("a member reports that the first rank is lost")
  {
    const auto effects =
      fixture.Handle(MemberEnded{ fixture.key, 1, MemberResult::Stopped });
    CHECK(Count<StopGang>(effects) == 3);
  }
  SUBCASE("it does not answer a stop")
  {
    fixture.Handle(StopRequested{ fixture.key, StopReason::Preempted, 0s });
    CHECK(Count<StopGang>(fixture.AdvanceTime(12s)) == 3);
  }
  const auto ended = fixture.AdvanceTime(12s);
  REQUIRE(Find<AttemptEnded>(ended) != nullptr);
  CHECK(Find<AttemptEnded>(ended)->outcome == AttemptOutcome::Failed);
  CHECK(Find<AttemptEnded>(ended)->rankAtFault == Rank(0));
}

// Guards against losing committed gangs when the coordinator changes.
TEST_CASE("a new coordinator takes over a committed attempt")
{
  const auto plan = MakePlan(3);
  GangCoordinator successor({ kFence.cell, base::FencingToken(20) });
  base::TimePoint now{ 1h };
  const auto resumed = successor.Handle(now, ResumeGang{ plan });
  REQUIRE(Count<Commit>(resumed) == 3);
  CHECK(Find<Commit>(resumed)->fence.token == base::FencingToken(20));
  CHECK(Find<Commit>(resumed)->key.planToken == plan->token);
  SUBCASE("the attempt runs")
  {
    CHECK(
      Has<AttemptStarted>(successor.Handle(now, GangStarted{ KeyOf(*plan) })));
    CHECK_FALSE(successor.NextDeadline().has_value());
  }
  SUBCASE("no member reports")
  {
    CHECK(Count<StopGang>(successor.Handle(now += 20s, Tick{})) == 3);
    CHECK(Has<AttemptEnded>(successor.Handle(now += 12s, Tick{})));
  }
}

// Guards against losing the end of a gang: if a new coordinator acknowledges it
// before it is in the log, the first rank discards its report.
TEST_CASE("a new coordinator does not acknowledge an end that is not recorded")
{
  const auto plan = MakePlan(2);
  GangCoordinator successor({ kFence.cell, base::FencingToken(20) });
  const base::TimePoint now{ 1h };
  const GangEnded report{ KeyOf(*plan),
                          true,
                          { MemberResult::Succeeded, MemberResult::Succeeded },
                          std::nullopt,
                          std::nullopt };
  successor.Handle(now, DeferEndAck{ plan->gang });
  CHECK(successor.Handle(now, report).empty());
  SUBCASE("it records the end of the attempt that it takes over")
  {
    successor.Handle(now, ResumeGang{ plan });
    const auto effects = successor.Handle(now, report);
    REQUIRE(Find<AttemptEnded>(effects) != nullptr);
    CHECK(Find<AttemptEnded>(effects)->outcome == AttemptOutcome::Succeeded);
  }
  SUBCASE("it acknowledges one whose end is in the log")
  {
    successor.Handle(now, AllowEndAck{ plan->gang });
    CHECK(Count<GangEndedAck>(successor.Handle(now, report)) == 1);
  }
}
