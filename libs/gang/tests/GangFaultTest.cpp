#include "GangSimulation.h"

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
  std::function<void(GangSimulation&)> inject;
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
OnNthEffect(GangSimulation& aSimulation,
            std::size_t aCount,
            const std::function<void()>& aAction)
{
  aSimulation.coordinatorFilter = [aCount, aAction, matches = std::size_t{ 0 }](
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
  return [aCount](GangSimulation& aSimulation) {
    OnNthEffect<T>(aSimulation, aCount, [&] { aSimulation.KillCoordinator(); });
  };
}

auto
StopAt(base::Duration aTime, StopReason aReason, base::Duration aGrace)
{
  return [=](GangSimulation& aSimulation) {
    aSimulation.Schedule(kStart + aTime, [&aSimulation, aReason, aGrace] {
      aSimulation.DeliverToCoordinator(StopRequested{ kKey, aReason, aGrace });
    });
  };
}

auto
CancelAt(base::Duration aTime)
{
  return StopAt(aTime, StopReason::Cancelled, 0s);
}

auto
Schedule(base::Duration aTime,
         const std::function<void(GangSimulation&)>& aAction)
{
  return [=](GangSimulation& aSimulation) {
    aSimulation.Schedule(kStart + aTime,
                         [&aSimulation, aAction] { aAction(aSimulation); });
  };
}

auto
LogDownBetween(base::Duration aFrom, base::Duration aUntil)
{
  return [=](GangSimulation& aSimulation) {
    Schedule(aFrom, [](GangSimulation& aLater) { aLater.isLogUp = false; })(
      aSimulation);
    Schedule(aUntil, [](GangSimulation& aLater) { aLater.isLogUp = true; })(
      aSimulation);
  };
}

/** Kills worker 1 permanently after it has sent a T. */
template<typename T>
void
KillMemberAfter(GangSimulation& aSimulation)
{
  aSimulation.memberFilter = [&aSimulation](std::size_t aWorker,
                                            const MemberEffect& aEffect) {
    if (aWorker == 1 && Unpack<T>(aEffect) != nullptr) {
      aSimulation.Schedule(aSimulation.now,
                           [&aSimulation] { aSimulation.KillWorker(1); });
    }
    return true;
  };
}

// Guards against a single fault that loses a gang, starts only a part of it,
// runs it twice or reports a wrong outcome. With maxDelay 0, all messages up to
// the Commits are delivered at 0 ms and the tasks are running within 200 ms.
const std::vector<Case> kCases = {
  { "no fault", [](GangSimulation&) {}, Outcome::Succeeded, 3, {} },

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
    Schedule(
      2s,
      [](GangSimulation& aSimulation) { aSimulation.KillCoordinator(); }),
    Outcome::Succeeded,
    3,
    {} },
  { "coordinator lost before the end is in the log",
    KillCoordinatorAt<AttemptEnded>(1),
    Outcome::Succeeded,
    3,
    {} },

  { "coordinator paused past its lease, then a late commit",
    [](GangSimulation& aSimulation) {
      OnNthEffect<AttemptWaitingForLog>(aSimulation, 1, [&aSimulation] {
        aSimulation.lostAnswerChance = 0;
        aSimulation.PauseCoordinator(10s);
        Schedule(3s, [](GangSimulation& aLater) { aLater.AddCoordinator(); })(
          aSimulation);
      });
      aSimulation.lostAnswerChance = 1;
    },
    Outcome::Succeeded,
    3,
    {} },
  { "coordinator paused before the decision",
    [](GangSimulation& aSimulation) {
      aSimulation.maxDelay = 1ms;
      Schedule(0s, [](GangSimulation& aLater) {
        aLater.PauseCoordinator(10s);
      })(aSimulation);
      Schedule(3s, [](GangSimulation& aLater) { aLater.AddCoordinator(); })(
        aSimulation);
    },
    kVoided,
    0,
    {} },

  { "append answers lost for 3 s",
    [](GangSimulation& aSimulation) {
      aSimulation.lostAnswerChance = 1;
      Schedule(3s, [](GangSimulation& aLater) { aLater.lostAnswerChance = 0; })(
        aSimulation);
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
    [](GangSimulation& aSimulation) {
      LogDownBetween(1s, 20s)(aSimulation);
      Schedule(2s, [](GangSimulation& aLater) { aLater.KillCoordinator(); })(
        aSimulation);
    },
    Outcome::Succeeded,
    3,
    {} },

  { "a promise lost, and the log down for the abort",
    [](GangSimulation& aSimulation) {
      LogDownBetween(0s, 20s)(aSimulation);
      aSimulation.memberFilter = [](std::size_t aWorker,
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
    Schedule(2s,
             [](GangSimulation& aSimulation) { aSimulation.KillWorker(1); }),
    Outcome::Failed,
    3,
    1 },
  { "first rank lost while it runs",
    Schedule(2s,
             [](GangSimulation& aSimulation) { aSimulation.KillWorker(0); }),
    Outcome::Failed,
    3,
    0 },
  { "member paused for 3 s while it runs",
    Schedule(
      2s,
      [](GangSimulation& aSimulation) { aSimulation.PauseDaemon(1, 3s); }),
    Outcome::Failed,
    3,
    1 },
  { "member paused for 1 s while it runs",
    Schedule(
      2s,
      [](GangSimulation& aSimulation) { aSimulation.PauseDaemon(1, 1s); }),
    Outcome::Succeeded,
    3,
    {} },
  { "member's daemon restarted at once",
    Schedule(2s,
             [](GangSimulation& aSimulation) { aSimulation.RestartDaemon(1); }),
    Outcome::Succeeded,
    3,
    {} },
  { "first rank's daemon restarted at once",
    Schedule(2s,
             [](GangSimulation& aSimulation) { aSimulation.RestartDaemon(0); }),
    Outcome::Succeeded,
    3,
    {} },
  { "first rank's daemon handed over within 2 s",
    [](GangSimulation& aSimulation) {
      Schedule(2s, [](GangSimulation& aLater) { aLater.HandOverDaemon(0); })(
        aSimulation);
      Schedule(4s, [](GangSimulation& aLater) { aLater.RestartDaemon(0); })(
        aSimulation);
    },
    Outcome::Succeeded,
    3,
    {} },
  { "a task fails",
    [](GangSimulation& aSimulation) { aSimulation.taskFailureChance = 1; },
    Outcome::Failed,
    3,
    {} },

  { "messages duplicated and reordered",
    [](GangSimulation& aSimulation) {
      aSimulation.duplicateChance = 1;
      aSimulation.maxDelay = 300ms;
    },
    Outcome::Succeeded,
    3,
    {} },

  { "cancelled while preparing",
    [](GangSimulation& aSimulation) {
      aSimulation.maxDelay = 1s;
      CancelAt(1ms)(aSimulation);
    },
    Outcome::NotRun,
    0,
    {} },
  { "cancelled while the log is down",
    [](GangSimulation& aSimulation) {
      LogDownBetween(0s, 10s)(aSimulation);
      CancelAt(5s)(aSimulation);
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
    GangSimulation simulation(7, 4);
    simulation.maxDelay = 0s;
    test.inject(simulation);
    REQUIRE(simulation.StartJob(1, { 0, 1, 2 }) == kKey);
    for (int step = 0; step < 25; ++step) {
      simulation.RunFor(3s);
      if (!simulation.HasCoordinator()) {
        simulation.AddCoordinator();
      }
    }
    CHECK(simulation.StartedTasks(kKey) == test.startedTasks);
    const auto end = simulation.EndOf(kKey);
    CHECK(end.has_value() == test.outcome.has_value());
    if (end && test.outcome) {
      CHECK(end->outcome == *test.outcome);
      if (test.rankAtFault) {
        CHECK(end->rankAtFault == test.rankAtFault);
      }
    } else {
      CHECK(simulation.LogState(kKey) == AttemptState::Aborted);
    }
    CHECK(simulation.IsSettled());
    CHECK(simulation.Violations().empty());
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
    GangSimulation simulation(11, 3);
    simulation.StartJob(1, { 0, 1, 2 }, 1h);
    simulation.RunFor(10s + step / 3 * 50ms);
    REQUIRE(simulation.RunningTasks(kKey) == 3);
    // Drops all stop orders, so that each member must detect the loss itself.
    simulation.memberFilter = [](std::size_t, const MemberEffect& aEffect) {
      return Unpack<StopGang>(aEffect) == nullptr;
    };
    simulation.KillWorker(std::size_t(step % 3));
    simulation.RunFor(5s);
    CHECK(simulation.RunningTasks(kKey) == 0);
  }
}

// Guards against a promise for a void plan that blocks or joins the next
// coordinator's plan with the same attempt number.
TEST_CASE("of two coordinators' plans of one attempt only the newer one runs")
{
  GangSimulation simulation(13, 4);
  const AttemptKey older = simulation.StartJob(1, { 0, 1, 2 });
  simulation.AddCoordinator();
  const AttemptKey newer = simulation.StartJob(1, { 1, 2, 3 });
  CHECK(older.gang == newer.gang);
  simulation.RunFor(30s);
  CHECK(simulation.StartedTasks(older) == 0);
  CHECK(simulation.LogState(older) == AttemptState::Aborted);
  REQUIRE(simulation.EndOf(newer).has_value());
  CHECK(simulation.EndOf(newer)->outcome == Outcome::Succeeded);
  CHECK(simulation.IsSettled());
  CHECK(simulation.Violations().empty());
}

// Guards against a committed gang that cannot start because no entry is
// coordinator.
TEST_CASE("members learn a commit from the log when no coordinator is left")
{
  GangSimulation simulation(17, 3);
  KillCoordinatorAt<Commit>(1)(simulation);
  simulation.StartJob(1, { 0, 1, 2 });
  simulation.RunFor(4s);
  CHECK(simulation.ReservedAccelerators() == 12);
  simulation.RunFor(6s);
  CHECK(simulation.RunningTasks(kKey) == 3);
}

// Guards against releasing reservations while the log may hold a commit.
TEST_CASE(
  "an attempt keeps its promises and reports the wait while the log is down")
{
  GangSimulation simulation(19, 3);
  simulation.isLogUp = false;
  std::size_t waits = 0;
  simulation.coordinatorFilter = [&](const CoordinatorEffect& aEffect) {
    waits += std::holds_alternative<AttemptWaitingForLog>(aEffect) ? 1 : 0;
    return true;
  };
  simulation.StartJob(1, { 0, 1, 2 });
  simulation.RunFor(2h);
  CHECK(waits > 1000);
  CHECK(simulation.ReservedAccelerators() == 12);
  CHECK(simulation.StartedTasks(kKey) == 0);
}
