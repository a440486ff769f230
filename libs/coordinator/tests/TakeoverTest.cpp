#include "Fleet.h"

#include <doctest/doctest.h>

using namespace amaranthwind;
using namespace amaranthwind::coordinator;
using namespace amaranthwind::coordinator::testing;
using namespace std::chrono_literals;

namespace {

/** A leader and an entry that is ready to replace it. */
struct Pair
{
  Pair()
  {
    this->fleet.Run(3s);
    REQUIRE(this->fleet.Holder() == "leader");
    this->other = &this->fleet.Start("other");
    this->fleet.Run(2s);
  }
  /** Runs until another entry leads, and returns the time that it took. */
  base::Duration RunUntilReplaced(base::Duration aLimit)
  {
    const base::TimePoint start = this->fleet.clock.Now();
    while (this->fleet.Holder() == "leader" &&
           this->fleet.clock.Now() - start < aLimit) {
      this->fleet.Run(100ms);
    }
    return this->fleet.clock.Now() - start;
  }
  /** Fills the thread of an entry until its tasks wait for so long. */
  void MakeBusy(EntryProcess& aProcess, base::Duration aLateness)
  {
    constexpr base::Duration kStep = 50ms;
    while (aProcess.decisionThread.lateness < aLateness) {
      aProcess.decisionThread.lateness += kStep;
      this->RunBusy(aProcess, 100ms);
    }
  }
  /** Advances the time while the thread of an entry runs task after task. */
  void RunBusy(EntryProcess& aProcess, base::Duration aTime)
  {
    for (base::Duration done{}; done < aTime; done += 100ms) {
      aProcess.decisions.Post([] {});
      this->fleet.Run(100ms);
    }
  }

  Fleet fleet;
  EntryProcess& leader = fleet.Start("leader");
  EntryProcess* other = nullptr;
};

/** Silence that is tolerated, one check interval, and one step of the test. */
constexpr base::Duration kReplacementTime = 1700ms + 400ms + 100ms;

} // namespace

// Guards against a leadership that changes every 2 s under load: heartbeats
// waited behind the messages of agents.
TEST_CASE("a leader whose queue is long but moves is not replaced")
{
  Pair pair;
  pair.MakeBusy(pair.leader, 3s);
  pair.RunBusy(pair.leader, 20s);
  CHECK(pair.fleet.Holder() == "leader");
}

// Guards against a busy entry that replaces a healthy leader: heartbeats that
// it has received wait in its own queue.
TEST_CASE("a follower whose queue is long does not replace a healthy leader")
{
  for (const auto lateness : { 500ms, 1000ms, 1500ms, 1800ms, 2500ms }) {
    CAPTURE(lateness.count());
    Pair pair;
    pair.MakeBusy(*pair.other, lateness);
    pair.RunBusy(*pair.other, 20s);
    CHECK(pair.fleet.Holder() == "leader");
  }
}

// Guards against a takeover by an entry whose thread was held up: a check for
// silence runs before the heartbeats that have been received meanwhile.
TEST_CASE("a follower that was held up does not replace a healthy leader")
{
  for (int phase = 0; phase < 20; ++phase) {
    CAPTURE(phase);
    Pair pair;
    pair.fleet.Run(phase * 100ms);
    pair.other->decisionThread.Freeze();
    pair.fleet.Run(1800ms);
    pair.other->decisionThread.Thaw();
    pair.fleet.Run(3s);
    CHECK(pair.fleet.Holder() == "leader");
  }
}

TEST_CASE("a leader that has failed is replaced in time")
{
  Pair pair;
  SUBCASE("killed")
  {
    pair.leader.Kill();
  }
  SUBCASE("cut off")
  {
    pair.leader.Cut();
  }
  SUBCASE("frozen")
  {
    pair.leader.Freeze();
  }
  SUBCASE("stuck, although its other threads run")
  {
    pair.leader.decisionThread.Freeze();
  }
  SUBCASE("stuck behind a long queue")
  {
    pair.MakeBusy(pair.leader, 3s);
    pair.leader.decisionThread.Freeze();
  }
  CHECK(pair.RunUntilReplaced(10s) <= kReplacementTime);
}
