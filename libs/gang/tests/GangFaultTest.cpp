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
/** Expected outcome of an attempt that a newer epoch voids: no end record. */
constexpr std::optional<Outcome> kVoided;

/** A single fault during a gang of three members that runs for 5 s. */
struct Case
{
  std::string name;
  std::function<void(GangNetwork&)> inject;
  std::optional<Outcome> outcome;
  std::size_t startedTasks;
  std::optional<Rank> rankAtFault;
};

/**
 * Runs aAction instead of the coordinator's aCount-th effect or message of type
 * T.
 */
template<typename T>
void
OnNthEffect(GangNetwork& aNetwork,
            std::size_t aCount,
            const std::function<void()>& aAction)
{
  aNetwork.coordinatorFilter = [aCount, aAction, matches = std::size_t{ 0 }](
                                 const CoordinatorEffect& aEffect) mutable {
    if (Unpack<T>(aEffect) == nullptr || ++matches != aCount) {
      return true;
    }
    aAction();
    return false;
  };
}

/** Kills the coordinator just before it sends its aCount-th T. */
template<typename T>
auto
KillCoordinatorAt(std::size_t aCount)
{
  return [aCount](GangNetwork& aNetwork) {
    OnNthEffect<T>(aNetwork, aCount, [&] { aNetwork.KillCoordinator(); });
  };
}

auto
StopAt(base::Duration aTime, StopReason aReason, base::Duration aGrace)
{
  return [=](GangNetwork& aNetwork) {
    aNetwork.Schedule(kStart + aTime, [&aNetwork, aReason, aGrace] {
      aNetwork.DeliverToCoordinator(StopRequested{ kKey, aReason, aGrace });
    });
  };
}

auto
CancelAt(base::Duration aTime)
{
  return StopAt(aTime, StopReason::Cancelled, 0s);
}

auto
Schedule(base::Duration aTime, const std::function<void(GangNetwork&)>& aAction)
{
  return [=](GangNetwork& aNetwork) {
    aNetwork.Schedule(kStart + aTime,
                      [&aNetwork, aAction] { aAction(aNetwork); });
  };
}

auto
LogDownBetween(base::Duration aFrom, base::Duration aUntil)
{
  return [=](GangNetwork& aNetwork) {
    Schedule(aFrom,
             [](GangNetwork& aLater) { aLater.isLogUp = false; })(aNetwork);
    Schedule(aUntil,
             [](GangNetwork& aLater) { aLater.isLogUp = true; })(aNetwork);
  };
}

/** Kills worker 1 permanently after it has sent a T. */
template<typename T>
void
KillMemberAfter(GangNetwork& aNetwork)
{
  aNetwork.memberFilter = [&aNetwork](std::size_t aWorker,
                                      const MemberEffect& aEffect) {
    if (aWorker == 1 && Unpack<T>(aEffect) != nullptr) {
      aNetwork.Schedule(aNetwork.now, [&aNetwork] { aNetwork.KillWorker(1); });
    }
    return true;
  };
}

// Guards against a single fault that loses a gang, starts only a part of it,
// runs it twice or reports a wrong outcome. With maxDelay 0, all messages up to
// the Commits are delivered at 0 ms and the tasks are running within 200 ms.
const std::vector<Case> kCases = {
  { "no fault", [](GangNetwork&) {}, Outcome::Succeeded, 3, {} },

  { "coordinator lost before prepare",
    KillCoordinatorAt<Prepare>(1),
    kVoided,
    0,
    {} },
  { "coordinator lost between prepares",
    KillCoordinatorAt<Prepare>(2),
    kVoided,
    0,
    {} },
  { "coordinator lost before the decision",
    KillCoordinatorAt<WriteDecision>(1),
    kVoided,
    0,
    {} },
  { "coordinator lost after the decision, before any commit",
    KillCoordinatorAt<Commit>(1),
    Outcome::Succeeded,
    3,
    {} },
  { "coordinator lost after some commits",
    KillCoordinatorAt<Commit>(2),
    Outcome::Succeeded,
    3,
    {} },
  { "coordinator lost while the gang runs",
    Schedule(2s, [](GangNetwork& aNetwork) { aNetwork.KillCoordinator(); }),
    Outcome::Succeeded,
    3,
    {} },
  { "coordinator lost before the end is in the log",
    KillCoordinatorAt<AttemptEnded>(1),
    Outcome::Succeeded,
    3,
    {} },

  { "coordinator paused past its lease, then a late commit",
    [](GangNetwork& aNetwork) {
      OnNthEffect<AttemptWaitingForLog>(aNetwork, 1, [&aNetwork] {
        aNetwork.lostAnswerChance = 0;
        aNetwork.PauseCoordinator(10s);
        Schedule(3s, [](GangNetwork& aLater) { aLater.AddCoordinator(); })(
          aNetwork);
      });
      aNetwork.lostAnswerChance = 1;
    },
    Outcome::Succeeded,
    3,
    {} },
  { "coordinator paused before the decision",
    [](GangNetwork& aNetwork) {
      aNetwork.maxDelay = 1ms;
      Schedule(0s, [](GangNetwork& aLater) { aLater.PauseCoordinator(10s); })(
        aNetwork);
      Schedule(3s,
               [](GangNetwork& aLater) { aLater.AddCoordinator(); })(aNetwork);
    },
    kVoided,
    0,
    {} },

  { "append answers lost for 3 s",
    [](GangNetwork& aNetwork) {
      aNetwork.lostAnswerChance = 1;
      Schedule(3s, [](GangNetwork& aLater) { aLater.lostAnswerChance = 0; })(
        aNetwork);
    },
    Outcome::Succeeded,
    3,
    {} },
  { "log down before the decision",
    LogDownBetween(0s, 20s),
    Outcome::Succeeded,
    3,
    {} },
  { "log down while the gang runs",
    LogDownBetween(1s, 20s),
    Outcome::Succeeded,
    3,
    {} },
  { "log down, and the coordinator lost while the gang runs",
    [](GangNetwork& aNetwork) {
      LogDownBetween(1s, 20s)(aNetwork);
      Schedule(2s,
               [](GangNetwork& aLater) { aLater.KillCoordinator(); })(aNetwork);
    },
    Outcome::Succeeded,
    3,
    {} },

  { "a promise lost, and the log down for the abort",
    [](GangNetwork& aNetwork) {
      LogDownBetween(0s, 20s)(aNetwork);
      aNetwork.memberFilter = [](std::size_t aWorker,
                                 const MemberEffect& aEffect) {
        return aWorker != 1 || Unpack<Promise>(aEffect) == nullptr;
      };
    },
    Outcome::NotRun,
    0,
    1 },

  { "member lost after its promise",
    KillMemberAfter<Promise>,
    Outcome::NotRun,
    0,
    1 },
  { "member lost after it committed",
    KillMemberAfter<Committed>,
    Outcome::Failed,
    2,
    1 },
  { "member lost while it runs",
    Schedule(2s, [](GangNetwork& aNetwork) { aNetwork.KillWorker(1); }),
    Outcome::Failed,
    3,
    1 },
  { "first rank lost while it runs",
    Schedule(2s, [](GangNetwork& aNetwork) { aNetwork.KillWorker(0); }),
    Outcome::Failed,
    3,
    0 },
  { "member paused for 3 s while it runs",
    Schedule(2s, [](GangNetwork& aNetwork) { aNetwork.PauseDaemon(1, 3s); }),
    Outcome::Failed,
    3,
    1 },
  { "member paused for 1 s while it runs",
    Schedule(2s, [](GangNetwork& aNetwork) { aNetwork.PauseDaemon(1, 1s); }),
    Outcome::Succeeded,
    3,
    {} },
  { "member's daemon restarted at once",
    Schedule(2s, [](GangNetwork& aNetwork) { aNetwork.RestartDaemon(1); }),
    Outcome::Succeeded,
    3,
    {} },
  { "first rank's daemon restarted at once",
    Schedule(2s, [](GangNetwork& aNetwork) { aNetwork.RestartDaemon(0); }),
    Outcome::Succeeded,
    3,
    {} },
  { "first rank's daemon handed over within 2 s",
    [](GangNetwork& aNetwork) {
      Schedule(2s,
               [](GangNetwork& aLater) { aLater.HandOverDaemon(0); })(aNetwork);
      Schedule(4s,
               [](GangNetwork& aLater) { aLater.RestartDaemon(0); })(aNetwork);
    },
    Outcome::Succeeded,
    3,
    {} },
  { "a task fails",
    [](GangNetwork& aNetwork) { aNetwork.taskFailureChance = 1; },
    Outcome::Failed,
    3,
    {} },

  { "messages duplicated and reordered",
    [](GangNetwork& aNetwork) {
      aNetwork.duplicateChance = 1;
      aNetwork.maxDelay = 300ms;
    },
    Outcome::Succeeded,
    3,
    {} },

  { "cancelled while preparing",
    [](GangNetwork& aNetwork) {
      aNetwork.maxDelay = 1s;
      CancelAt(1ms)(aNetwork);
    },
    Outcome::NotRun,
    0,
    {} },
  { "cancelled while the log is down",
    [](GangNetwork& aNetwork) {
      LogDownBetween(0s, 10s)(aNetwork);
      CancelAt(5s)(aNetwork);
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
    test.inject(network);
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

// Guards against a gang that takes longer than 5 s to stop: no part of a gang
// runs unless the whole gang runs.
TEST_CASE("all members stop within 5 s after one is lost")
{
  // Covers one heartbeat interval, since the detection time depends on the age
  // of the last proof of liveness.
  for (int step = 0; step < 30; ++step) {
    CAPTURE(step);
    GangNetwork network(11, 3);
    network.StartJob(1, { 0, 1, 2 }, 1h);
    network.RunFor(10s + step / 3 * 50ms);
    REQUIRE(network.RunningTasks(kKey) == 3);
    // Drops all stop orders, so that each member must detect the loss itself.
    network.memberFilter = [](std::size_t, const MemberEffect& aEffect) {
      return Unpack<StopGang>(aEffect) == nullptr;
    };
    network.KillWorker(std::size_t(step % 3));
    network.RunFor(5s);
    CHECK(network.RunningTasks(kKey) == 0);
  }
}

// Guards against a promise for a void plan that blocks or joins the next
// coordinator's plan with the same attempt number.
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

// Guards against a committed gang that cannot start because no entry is
// coordinator.
TEST_CASE("members learn a commit from the log when no coordinator is left")
{
  GangNetwork network(17, 3);
  KillCoordinatorAt<Commit>(1)(network);
  network.StartJob(1, { 0, 1, 2 });
  network.RunFor(4s);
  CHECK(network.ReservedAccelerators() == 12);
  network.RunFor(6s);
  CHECK(network.RunningTasks(kKey) == 3);
}

// Guards against releasing reservations while the log may hold a commit.
TEST_CASE(
  "an attempt keeps its promises and reports the wait while the log is down")
{
  GangNetwork network(19, 3);
  network.isLogUp = false;
  std::size_t waits = 0;
  network.coordinatorFilter = [&](const CoordinatorEffect& aEffect) {
    waits += std::holds_alternative<AttemptWaitingForLog>(aEffect) ? 1 : 0;
    return true;
  };
  network.StartJob(1, { 0, 1, 2 });
  network.RunFor(2h);
  CHECK(waits > 1000);
  CHECK(network.ReservedAccelerators() == 12);
  CHECK(network.StartedTasks(kKey) == 0);
}
