#include "amaranthwind/gang/GangCoordinator.h"

#include "GangFixtures.h"

#include <doctest/doctest.h>

using namespace amaranthwind;
using namespace amaranthwind::gang;
using namespace amaranthwind::gang::testing;
using namespace std::chrono_literals;

namespace {

struct CoordinatorBench
{
  std::vector<CoordinatorEffect> Give(const CoordinatorEvent& aEvent)
  {
    return this->coordinator.Handle(this->now, aEvent);
  }

  std::vector<CoordinatorEffect> Wait(base::Duration aTime)
  {
    this->now += aTime;
    return this->Give(Tick{});
  }

  std::vector<CoordinatorEffect> PromiseAll()
  {
    std::vector<CoordinatorEffect> effects;
    for (Rank rank = 0; rank < this->plan->members.size(); ++rank) {
      effects = this->Give(Promise{ this->key, rank, std::nullopt });
    }
    return effects;
  }

  void Run()
  {
    this->Give(StartGang{ this->plan });
    this->PromiseAll();
    this->Give(DecisionConfirmed{ this->key });
    this->Give(GangStarted{ this->key });
  }

  std::shared_ptr<const job::GangPlan> plan = MakePlan(3);
  AttemptKey key = KeyOf(*plan);
  GangCoordinator coordinator{ kFence };
  base::TimePoint now{ 1h };
};

} // namespace

// Guards against a commit that some member has not promised: P2.
TEST_CASE("commits are sent only after all promises and a confirmed record")
{
  CoordinatorBench bench;
  CHECK(Count<Prepare>(bench.Give(StartGang{ bench.plan })) == 3);
  CHECK(bench.Give(Promise{ bench.key, 0, std::nullopt }).empty());
  CHECK(bench.Give(Promise{ bench.key, 0, std::nullopt }).empty());
  CHECK(bench.Give(Promise{ bench.key, 1, std::nullopt }).empty());
  CHECK(bench.Give(DecisionConfirmed{ bench.key }).empty());
  const auto decided = bench.Give(Promise{ bench.key, 2, std::nullopt });
  REQUIRE(Find<WriteDecision>(decided) != nullptr);
  CHECK(Find<WriteDecision>(decided)->decision == Decision::Commit);
  CHECK(Find<WriteDecision>(decided)->members.size() == 3);
  CHECK(bench.coordinator.StateOf(bench.key) == AttemptState::Undecided);
  CHECK(Count<Commit>(bench.Give(DecisionConfirmed{ bench.key })) == 3);
  CHECK(bench.coordinator.StateOf(bench.key) == AttemptState::Committed);
  CHECK(bench.Give(DecisionConfirmed{ bench.key }).empty());
  CHECK(Has<AttemptStarted>(bench.Give(GangStarted{ bench.key })));
}

// Guards against a gang that holds accelerators although it cannot start.
TEST_CASE("a prepare that fails leads to an abort")
{
  struct Case
  {
    const char* name;
    CoordinatorEvent event;
    base::Duration wait;
    std::optional<Rank> rankAtFault;
  };
  CoordinatorBench bench;
  const std::vector<Case> cases = {
    { "refused",
      Promise{ bench.key, 2, base::Error{ base::ErrorCode::NoTarget, "" } },
      0s,
      2 },
    { "timed out", Tick{}, 3s, 1 },
    { "member lost", WorkerLost{ WorkerId(1) }, 0s, 1 },
    { "cancelled",
      StopRequested{ bench.key, StopReason::Cancelled, 0s },
      0s,
      std::nullopt },
  };
  for (const Case& test : cases) {
    CAPTURE(test.name);
    CoordinatorBench run;
    run.Give(StartGang{ run.plan });
    run.Give(Promise{ run.key, 0, std::nullopt });
    run.now += test.wait;
    const auto failed = run.Give(test.event);
    REQUIRE(Find<WriteDecision>(failed) != nullptr);
    CHECK(Find<WriteDecision>(failed)->decision == Decision::Abort);
    CHECK_FALSE(Has<WriteDecision>(run.PromiseAll()));
    const auto aborted = run.Give(DecisionConfirmed{ run.key });
    CHECK(Count<Abort>(aborted) == 3);
    REQUIRE(Find<AttemptEnded>(aborted) != nullptr);
    CHECK(Find<AttemptEnded>(aborted)->outcome == AttemptOutcome::NotRun);
    CHECK(Find<AttemptEnded>(aborted)->rankAtFault == test.rankAtFault);
    CHECK(run.coordinator.AttemptCount() == 0);
  }
}

// Guards against two different decisions on one attempt when an answer of the
// log is lost or the log is down.
TEST_CASE("while the log is down an attempt waits and keeps its decision")
{
  CoordinatorBench bench;
  bench.Give(StartGang{ bench.plan });
  bench.PromiseAll();
  for (int tries = 0; tries < 100; ++tries) {
    CHECK(Has<AttemptWaits>(bench.Give(DecisionUnconfirmed{ bench.key })));
    CHECK(bench.Wait(900ms).empty());
    const auto retried = bench.Wait(100ms);
    REQUIRE(Find<WriteDecision>(retried) != nullptr);
    CHECK(Find<WriteDecision>(retried)->decision == Decision::Commit);
  }
  SUBCASE("then commits")
  {
    CHECK(Count<Commit>(bench.Give(DecisionConfirmed{ bench.key })) == 3);
  }
  SUBCASE("then stops what was cancelled meanwhile, without a start")
  {
    bench.Give(StopRequested{ bench.key, StopReason::Cancelled, 0s });
    const auto effects = bench.Give(DecisionConfirmed{ bench.key });
    CHECK_FALSE(Has<Commit>(effects));
    CHECK(Count<StopGang>(effects) == 3);
  }
}

// Guards against orders of a coordinator that has been replaced.
TEST_CASE("a coordinator that lost its token sends nothing more")
{
  CoordinatorBench bench;
  bench.Give(StartGang{ bench.plan });
  bench.PromiseAll();
  SUBCASE("told by the log")
  {
    CHECK(Has<CoordinatorSuperseded>(bench.Give(TokenLost{})));
  }
  SUBCASE("told by a member, not about another coordinator's order")
  {
    const base::Error stale{ base::ErrorCode::StaleToken, "" };
    CHECK(
      bench.Give(CommitRefused{ bench.key, 1, base::FencingToken(9), stale })
        .empty());
    CHECK(Has<CoordinatorSuperseded>(
      bench.Give(CommitRefused{ bench.key, 1, kFence.token, stale })));
  }
  CHECK(bench.Give(DecisionConfirmed{ bench.key }).empty());
  CHECK(bench.Wait(1h).empty());
}

// Guards against a wrong outcome, above all a false "not run": P4.
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
  const AttemptKey key = CoordinatorBench{}.key;
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
    CoordinatorBench bench;
    bench.Run();
    if (test.requested) {
      const auto effects =
        bench.Give(StopRequested{ key, *test.requested, 30s });
      CHECK(Count<StopGang>(effects) == 1);
    }
    const auto ended = bench.Give(test.report);
    REQUIRE(Find<AttemptEnded>(ended) != nullptr);
    CHECK(Find<AttemptEnded>(ended)->outcome == test.outcome);
    CHECK(Find<AttemptEnded>(ended)->rankAtFault == test.report.rankAtFault);
    // Until the end is in the log, the next coordinator may need the report.
    CHECK_FALSE(Has<GangEndedAck>(ended));
    CHECK(bench.Give(test.report).empty());
    CHECK(Has<GangEndedAck>(bench.Give(EndConfirmed{ key })));
    CHECK(bench.coordinator.AttemptCount() == 0);
    // Repeated because the acknowledgement was lost: no second end.
    const auto again = bench.Give(test.report);
    CHECK(again.size() == 1);
    CHECK(Has<GangEndedAck>(again));
  }
}

// Guards against an end that is not understood because the start was missed.
TEST_CASE("an attempt may end before its start is reported")
{
  CoordinatorBench bench;
  bench.Give(StartGang{ bench.plan });
  bench.PromiseAll();
  const GangEnded report{
    bench.key, true, std::vector(3, MemberResult::Succeeded), {}, {}
  };
  // The members learned the decision from the log before the coordinator did:
  // the first rank has to repeat its report.
  CHECK(bench.Give(report).empty());
  bench.Give(DecisionConfirmed{ bench.key });
  const auto ended = bench.Give(report);
  REQUIRE(Find<AttemptEnded>(ended) != nullptr);
  CHECK(Find<AttemptEnded>(ended)->outcome == AttemptOutcome::Succeeded);
}

// Guards against an attempt that never ends because rank 0 cannot report.
TEST_CASE("without a report of the first rank an attempt counts as run")
{
  CoordinatorBench bench;
  bench.Run();
  SUBCASE("its worker is lost")
  {
    CHECK(Count<StopGang>(bench.Give(WorkerLost{ WorkerId(0) })) == 3);
  }
  SUBCASE("its daemon returns without the gang")
  {
    CHECK(bench.Give(WorkerReported{ WorkerId(1), {} }).empty());
    CHECK(bench.Give(WorkerReported{ WorkerId(0), { bench.key } }).empty());
    CHECK(Count<StopGang>(bench.Give(WorkerReported{ WorkerId(0), {} })) == 3);
  }
  SUBCASE("a member reports that the first rank is silent")
  {
    const auto effects =
      bench.Give(MemberEnded{ bench.key, 1, MemberResult::Stopped });
    CHECK(Count<StopGang>(effects) == 3);
  }
  SUBCASE("it does not answer a stop")
  {
    bench.Give(StopRequested{ bench.key, StopReason::Preempted, 0s });
    CHECK(Count<StopGang>(bench.Wait(12s)) == 3);
  }
  const auto ended = bench.Wait(12s);
  REQUIRE(Find<AttemptEnded>(ended) != nullptr);
  CHECK(Find<AttemptEnded>(ended)->outcome == AttemptOutcome::Failed);
  CHECK(Find<AttemptEnded>(ended)->rankAtFault == Rank(0));
}

// Guards against committed gangs that are forgotten when coordinators change.
TEST_CASE("a new coordinator takes a committed attempt over")
{
  const auto plan = MakePlan(3);
  GangCoordinator successor({ kFence.cell, base::FencingToken(20) });
  base::TimePoint now{ 1h };
  const auto resumed = successor.Handle(now, ResumeGang{ plan });
  REQUIRE(Count<Commit>(resumed) == 3);
  CHECK(Find<Commit>(resumed)->fence.token == base::FencingToken(20));
  CHECK(Find<Commit>(resumed)->key.planToken == plan->token);
  SUBCASE("which runs")
  {
    CHECK(
      Has<AttemptStarted>(successor.Handle(now, GangStarted{ KeyOf(*plan) })));
    CHECK_FALSE(successor.NextDeadline().has_value());
  }
  SUBCASE("of which nothing is heard")
  {
    CHECK(Count<StopGang>(successor.Handle(now += 20s, Tick{})) == 3);
    CHECK(Has<AttemptEnded>(successor.Handle(now += 12s, Tick{})));
  }
}

// Guards against the end of a gang that its first rank forgets because a new
// coordinator acknowledges it before it is in the log.
TEST_CASE("a new coordinator does not acknowledge an end that nobody recorded")
{
  const auto plan = MakePlan(2);
  GangCoordinator successor({ kFence.cell, base::FencingToken(20) });
  const base::TimePoint now{ 1h };
  const GangEnded report{ KeyOf(*plan),
                          true,
                          { MemberResult::Succeeded, MemberResult::Succeeded },
                          std::nullopt,
                          std::nullopt };
  successor.Handle(now, AwaitGang{ plan->gang });
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
    successor.Handle(now, AwaitOver{ plan->gang });
    CHECK(Count<GangEndedAck>(successor.Handle(now, report)) == 1);
  }
}
