#include "GangNetwork.h"

#include <doctest/doctest.h>

using namespace amaranthwind;
using namespace amaranthwind::gang;
using namespace amaranthwind::gang::testing;
using namespace std::chrono_literals;

namespace {

using Outcome = AttemptOutcome;

const AttemptKey kKey = KeyOf(*MakePlan(3, 1));
constexpr base::TimePoint kStart{ 1h };
/** How an attempt ends that a newer epoch voids. */
constexpr std::optional<Outcome> kVoid;

/** One fault in the life of a gang of three that would run for 5 s. */
struct Case
{
  std::string name;
  std::function<void(GangNetwork&)> cause;
  std::optional<Outcome> outcome;
  std::size_t startedTasks;
  std::optional<Rank> rankAtFault;
};

/** Acts when the coordinator gives the aCount-th effect or message T. */
template<typename T>
void
OnEffect(GangNetwork& aNetwork,
         std::size_t aCount,
         const std::function<void()>& aAction)
{
  aNetwork.coordinatorFilter = [aCount, aAction, seen = std::size_t{ 0 }](
                                 const CoordinatorEffect& aEffect) mutable {
    if (Unpack<T>(aEffect) == nullptr || ++seen != aCount) {
      return true;
    }
    aAction();
    return false;
  };
}

/** The coordinator is lost at its aCount-th T, which it does not send. */
template<typename T>
auto
LoseCoordinatorAt(std::size_t aCount)
{
  return [aCount](GangNetwork& aNetwork) {
    OnEffect<T>(aNetwork, aCount, [&] { aNetwork.KillCoordinator(); });
  };
}

auto
StopAt(base::Duration aTime, StopReason aReason, base::Duration aGrace)
{
  return [=](GangNetwork& aNetwork) {
    aNetwork.At(kStart + aTime, [&aNetwork, aReason, aGrace] {
      aNetwork.GiveCoordinator(StopRequested{ kKey, aReason, aGrace });
    });
  };
}

auto
CancelAt(base::Duration aTime)
{
  return StopAt(aTime, StopReason::Cancelled, 0s);
}

auto
At(base::Duration aTime, const std::function<void(GangNetwork&)>& aAction)
{
  return [=](GangNetwork& aNetwork) {
    aNetwork.At(kStart + aTime, [&aNetwork, aAction] { aAction(aNetwork); });
  };
}

auto
LogDown(base::Duration aFrom, base::Duration aUntil)
{
  return [=](GangNetwork& aNetwork) {
    At(aFrom, [](GangNetwork& aIn) { aIn.isLogUp = false; })(aNetwork);
    At(aUntil, [](GangNetwork& aIn) { aIn.isLogUp = true; })(aNetwork);
  };
}

/** Worker 1 is lost for good when it has sent its T. */
template<typename T>
void
LoseMemberAfter(GangNetwork& aNetwork)
{
  aNetwork.memberFilter = [&aNetwork](std::size_t aWorker,
                                      const MemberEffect& aEffect) {
    if (aWorker == 1 && Unpack<T>(aEffect) != nullptr) {
      aNetwork.At(aNetwork.now, [&aNetwork] { aNetwork.KillWorker(1); });
    }
    return true;
  };
}

// Guards against each single fault that loses a gang, starts a part of it, runs
// it twice or tells its end wrongly. With maxDelay 0, all messages up to the
// Commits are delivered at 0 ms and the tasks run within 200 ms.
const std::vector<Case> kCases = {
  { "no fault", [](GangNetwork&) {}, Outcome::Succeeded, 3, {} },

  { "coordinator lost before prepare",
    LoseCoordinatorAt<Prepare>(1),
    kVoid,
    0,
    {} },
  { "coordinator lost between prepares",
    LoseCoordinatorAt<Prepare>(2),
    kVoid,
    0,
    {} },
  { "coordinator lost before the decision",
    LoseCoordinatorAt<WriteDecision>(1),
    kVoid,
    0,
    {} },
  { "coordinator lost after the decision, before any commit",
    LoseCoordinatorAt<Commit>(1),
    Outcome::Succeeded,
    3,
    {} },
  { "coordinator lost after some commits",
    LoseCoordinatorAt<Commit>(2),
    Outcome::Succeeded,
    3,
    {} },
  { "coordinator lost while the gang runs",
    At(2s, [](GangNetwork& aIn) { aIn.KillCoordinator(); }),
    Outcome::Succeeded,
    3,
    {} },
  { "coordinator lost before the end is in the log",
    LoseCoordinatorAt<AttemptEnded>(1),
    Outcome::Succeeded,
    3,
    {} },

  { "coordinator paused past its lease, then a late commit",
    [](GangNetwork& aIn) {
      OnEffect<AttemptWaits>(aIn, 1, [&aIn] {
        aIn.lostAnswerChance = 0;
        aIn.PauseCoordinator(10s);
        At(3s, [](GangNetwork& aLater) { aLater.AddCoordinator(); })(aIn);
      });
      aIn.lostAnswerChance = 1;
    },
    Outcome::Succeeded,
    3,
    {} },
  { "coordinator paused before the decision",
    [](GangNetwork& aIn) {
      aIn.maxDelay = 1ms;
      At(0s, [](GangNetwork& aNow) { aNow.PauseCoordinator(10s); })(aIn);
      At(3s, [](GangNetwork& aLater) { aLater.AddCoordinator(); })(aIn);
    },
    kVoid,
    0,
    {} },

  { "append answers lost for 3 s",
    [](GangNetwork& aIn) {
      aIn.lostAnswerChance = 1;
      At(3s, [](GangNetwork& aLater) { aLater.lostAnswerChance = 0; })(aIn);
    },
    Outcome::Succeeded,
    3,
    {} },
  { "log down before the decision",
    LogDown(0s, 20s),
    Outcome::Succeeded,
    3,
    {} },
  { "log down while the gang runs",
    LogDown(1s, 20s),
    Outcome::Succeeded,
    3,
    {} },
  { "log down, and the coordinator lost while the gang runs",
    [](GangNetwork& aIn) {
      LogDown(1s, 20s)(aIn);
      At(2s, [](GangNetwork& aLater) { aLater.KillCoordinator(); })(aIn);
    },
    Outcome::Succeeded,
    3,
    {} },

  { "a promise lost, and the log down for the abort",
    [](GangNetwork& aIn) {
      LogDown(0s, 20s)(aIn);
      aIn.memberFilter = [](std::size_t aWorker, const MemberEffect& aEffect) {
        return aWorker != 1 || Unpack<Promise>(aEffect) == nullptr;
      };
    },
    Outcome::NotRun,
    0,
    1 },

  { "member lost after its promise",
    LoseMemberAfter<Promise>,
    Outcome::NotRun,
    0,
    1 },
  { "member lost after it committed",
    LoseMemberAfter<Committed>,
    Outcome::Failed,
    2,
    1 },
  { "member lost while it runs",
    At(2s, [](GangNetwork& aIn) { aIn.KillWorker(1); }),
    Outcome::Failed,
    3,
    1 },
  { "first rank lost while it runs",
    At(2s, [](GangNetwork& aIn) { aIn.KillWorker(0); }),
    Outcome::Failed,
    3,
    0 },
  { "member paused for 3 s while it runs",
    At(2s, [](GangNetwork& aIn) { aIn.PauseDaemon(1, 3s); }),
    Outcome::Failed,
    3,
    1 },
  { "member paused for 1 s while it runs",
    At(2s, [](GangNetwork& aIn) { aIn.PauseDaemon(1, 1s); }),
    Outcome::Succeeded,
    3,
    {} },
  { "member's daemon restarted at once",
    At(2s, [](GangNetwork& aIn) { aIn.RestartDaemon(1); }),
    Outcome::Succeeded,
    3,
    {} },
  { "first rank's daemon restarted at once",
    At(2s, [](GangNetwork& aIn) { aIn.RestartDaemon(0); }),
    Outcome::Succeeded,
    3,
    {} },
  { "first rank's daemon handed over within 2 s",
    [](GangNetwork& aIn) {
      At(2s, [](GangNetwork& aNow) { aNow.HandOverDaemon(0); })(aIn);
      At(4s, [](GangNetwork& aLater) { aLater.RestartDaemon(0); })(aIn);
    },
    Outcome::Succeeded,
    3,
    {} },
  { "a task fails",
    [](GangNetwork& aIn) { aIn.taskFailureChance = 1; },
    Outcome::Failed,
    3,
    {} },

  { "messages duplicated and reordered",
    [](GangNetwork& aIn) {
      aIn.duplicateChance = 1;
      aIn.maxDelay = 300ms;
    },
    Outcome::Succeeded,
    3,
    {} },

  { "cancelled while preparing",
    [](GangNetwork& aIn) {
      aIn.maxDelay = 1s;
      CancelAt(1ms)(aIn);
    },
    Outcome::NotRun,
    0,
    {} },
  { "cancelled while the log is down",
    [](GangNetwork& aIn) {
      LogDown(0s, 10s)(aIn);
      CancelAt(5s)(aIn);
    },
    Outcome::NotRun,
    0,
    {} },
  { "cancelled while starting", CancelAt(1ms), Outcome::Preempted, 3, {} },
  { "cancelled while running", CancelAt(2s), Outcome::Preempted, 3, {} },
  { "cancelled after the end", CancelAt(7s), Outcome::Succeeded, 3, {} },
  { "preempted with a checkpoint",
    StopAt(2s, StopReason::Preempted, 2s),
    Outcome::Preempted,
    3,
    {} },
};

} // namespace

TEST_CASE("a gang of three survives a fault or ends with the right outcome")
{
  for (const Case& test : kCases) {
    CAPTURE(test.name);
    GangNetwork network(7, 4);
    network.maxDelay = 0s;
    test.cause(network);
    REQUIRE(network.StartJob(1, { 0, 1, 2 }) == kKey);
    for (int step = 0; step < 25; ++step) {
      network.RunFor(3s);
      if (!network.HasCoordinator()) {
        network.AddCoordinator();
      }
    }
    CHECK(network.StartedTasks(kKey) == test.startedTasks);
    const auto end = network.EndOf(kKey);
    CHECK(end.has_value() == test.outcome.has_value());
    if (end && test.outcome) {
      CHECK(end->outcome == *test.outcome);
      if (test.rankAtFault) {
        CHECK(end->rankAtFault == test.rankAtFault);
      }
    } else {
      CHECK(network.LogState(kKey) == AttemptState::Aborted);
    }
    CHECK(network.IsSettled());
    CHECK(network.Violations().empty());
  }
}

// Guards against a gang that stops later than promised: P2, 5 s.
TEST_CASE("all members stop within 5 s after one is lost")
{
  // Over one heartbeat interval, since it matters when the last proof was.
  for (int step = 0; step < 30; ++step) {
    CAPTURE(step);
    GangNetwork network(11, 3);
    network.StartJob(1, { 0, 1, 2 }, 1h);
    network.RunFor(10s + step / 3 * 50ms);
    REQUIRE(network.RunningTasks(kKey) == 3);
    // Nobody is told to stop: each member must notice.
    network.memberFilter = [](std::size_t, const MemberEffect& aEffect) {
      return Unpack<StopGang>(aEffect) == nullptr;
    };
    network.KillWorker(std::size_t(step % 3));
    network.RunFor(5s);
    CHECK(network.RunningTasks(kKey) == 0);
  }
}

// Guards against a promise of a void plan that blocks, or takes part in, the
// next coordinator's plan of the same attempt number.
TEST_CASE("of two coordinators' plans of one attempt only the newer one runs")
{
  GangNetwork network(13, 4);
  const AttemptKey older = network.StartJob(1, { 0, 1, 2 });
  network.AddCoordinator();
  const AttemptKey newer = network.StartJob(1, { 1, 2, 3 });
  CHECK(older.gang == newer.gang);
  network.RunFor(30s);
  CHECK(network.StartedTasks(older) == 0);
  CHECK(network.LogState(older) == AttemptState::Aborted);
  REQUIRE(network.EndOf(newer).has_value());
  CHECK(network.EndOf(newer)->outcome == Outcome::Succeeded);
  CHECK(network.IsSettled());
  CHECK(network.Violations().empty());
}

// Guards against a committed gang that cannot start while no entry coordinates.
TEST_CASE("members learn a commit from the log when no coordinator is left")
{
  GangNetwork network(17, 3);
  LoseCoordinatorAt<Commit>(1)(network);
  network.StartJob(1, { 0, 1, 2 });
  network.RunFor(4s);
  CHECK(network.ReservedAccelerators() == 12);
  network.RunFor(6s);
  CHECK(network.RunningTasks(kKey) == 3);
}

// Guards against reservations given up while the log may hold the decision.
TEST_CASE("an attempt keeps its promises and says so while the log is down")
{
  GangNetwork network(19, 3);
  network.isLogUp = false;
  std::size_t waits = 0;
  network.coordinatorFilter = [&](const CoordinatorEffect& aEffect) {
    waits += std::holds_alternative<AttemptWaits>(aEffect) ? 1 : 0;
    return true;
  };
  network.StartJob(1, { 0, 1, 2 });
  network.RunFor(2h);
  CHECK(waits > 1000);
  CHECK(network.ReservedAccelerators() == 12);
  CHECK(network.StartedTasks(kKey) == 0);
}
