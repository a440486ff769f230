#include "amaranthwind/membership/TargetRegistry.h"

#include "amaranthwind/base/ManualClock.h"

#include <doctest/doctest.h>

#include <functional>
#include <string>
#include <utility>

using namespace amaranthwind;
using namespace amaranthwind::membership;
using namespace std::chrono_literals;

namespace {

const base::TargetId kTarget("t1");
constexpr base::Incarnation kFirst(1);
constexpr base::Incarnation kSecond(2);

/** A registry whose clock ticks as often as the role runtime's would. */
struct Fixture
{
  base::ManualClock clock;
  TargetRegistry registry;
  TargetEffects seen;

  void Take(TargetEffects aEffects)
  {
    for (TargetEffect& effect : aEffects) {
      if (!std::holds_alternative<SendInterval>(effect)) {
        this->seen.push_back(std::move(effect));
      }
    }
  }
  void Hello(base::Incarnation aIncarnation = kFirst, bool aIsDraining = false)
  {
    this->Take(this->registry.OnHello(
      kTarget, aIncarnation, aIsDraining, this->clock.Now()));
  }
  void Beat(base::Incarnation aIncarnation = kFirst, bool aIsDraining = false)
  {
    this->Take(this->registry.OnHeartbeat(
      kTarget, aIncarnation, aIsDraining, this->clock.Now()));
  }
  void Close(base::Incarnation aIncarnation = kFirst)
  {
    this->Take(this->registry.OnConnectionClosed(
      kTarget, aIncarnation, this->clock.Now()));
  }
  void Pass(base::Duration aTime)
  {
    for (base::Duration passed{}; passed < aTime; passed += kTickInterval) {
      this->clock.Advance(kTickInterval);
      this->Take(this->registry.OnTick(this->clock.Now()));
    }
  }
};

} // namespace

// Guards against new work for a target that has left, crashed, fallen silent or
// restarted, and against one that is taken for lost without cause.
TEST_CASE("each event leads to the state and the effects of the table")
{
  const BecameUsable usable{ kTarget, kFirst };
  const BecameSuspect suspect{ kTarget, kFirst };
  const StopNewWork stop{ kTarget, kFirst };
  const TargetLeft left{ kTarget, kFirst };
  const auto lost = [](LossReason aReason) {
    return TargetLost{ kTarget, kFirst, aReason };
  };
  struct Case
  {
    const char* name;
    std::function<void(Fixture&)> events;
    TargetState state;
    TargetEffects effects;
  };
  const std::vector<Case> cases{
    { "announced", [](Fixture&) {}, TargetState::Announced, {} },
    { "active",
      [](Fixture& aFixture) { aFixture.Beat(); },
      TargetState::Active,
      { usable } },
    { "heartbeats go on",
      [](Fixture& aFixture) {
        for (int i = 0; i < 5; ++i) {
          aFixture.Beat();
          aFixture.Pass(1s);
        }
      },
      TargetState::Active,
      { usable } },
    { "late heartbeat",
      [](Fixture& aFixture) {
        aFixture.Beat();
        aFixture.Pass(1750ms);
        aFixture.Beat();
      },
      TargetState::Active,
      { usable, suspect, SuspicionCleared{ kTarget, kFirst } } },
    { "silence",
      [](Fixture& aFixture) {
        aFixture.Beat();
        aFixture.Pass(2s);
      },
      TargetState::Lost,
      { usable, suspect, lost(LossReason::Silent) } },
    { "silence before the first heartbeat",
      [](Fixture& aFixture) { aFixture.Pass(2s); },
      TargetState::Lost,
      { lost(LossReason::Silent) } },
    { "crash",
      [](Fixture& aFixture) {
        aFixture.Beat();
        aFixture.Close();
      },
      TargetState::Lost,
      { usable, lost(LossReason::Closed) } },
    { "drain, then close",
      [](Fixture& aFixture) {
        aFixture.Beat();
        aFixture.Beat(kFirst, true);
        aFixture.Beat(kFirst, true);
        aFixture.Beat(kFirst, false);
        aFixture.Close();
      },
      TargetState::Left,
      { usable, stop, left } },
    { "drain, then silence",
      [](Fixture& aFixture) {
        aFixture.Beat();
        aFixture.Beat(kFirst, true);
        aFixture.Pass(3s);
      },
      TargetState::Lost,
      { usable, stop, lost(LossReason::Silent) } },
    { "starts in draining",
      [](Fixture& aFixture) { aFixture.Beat(kFirst, true); },
      TargetState::Draining,
      {} },
    { "restart",
      [](Fixture& aFixture) {
        aFixture.Beat();
        aFixture.Hello(kSecond);
        aFixture.Close(kFirst);
        aFixture.Beat(kFirst);
        aFixture.Hello(kFirst);
      },
      TargetState::Announced,
      { usable, lost(LossReason::Restarted) } },
    { "heartbeat of a lost target",
      [](Fixture& aFixture) {
        aFixture.Close();
        aFixture.Beat();
      },
      TargetState::Lost,
      { lost(LossReason::Closed) } },
    { "connects again",
      [](Fixture& aFixture) {
        aFixture.Close();
        aFixture.Hello();
        aFixture.Beat();
      },
      TargetState::Active,
      { lost(LossReason::Closed), usable } },
    { "left comes back only restarted",
      [](Fixture& aFixture) {
        aFixture.Hello(kFirst, true);
        aFixture.Close();
        aFixture.Hello();
        aFixture.Beat();
      },
      TargetState::Left,
      { left } },
    { "second connection while active",
      [](Fixture& aFixture) {
        aFixture.Beat();
        aFixture.Hello();
      },
      TargetState::Active,
      { usable } },
  };
  for (const Case& each : cases) {
    CAPTURE(each.name);
    Fixture fixture;
    fixture.Hello();
    each.events(fixture);
    CHECK(fixture.registry.StateOf(kTarget) == each.state);
    CHECK(fixture.seen == each.effects);
  }
}

// Guards against a receiver whose own pause makes it drop every target, and
// against one that then takes a dead target for alive.
TEST_CASE("a pause of the receiver is not the silence of its targets")
{
  Fixture fixture;
  fixture.Hello();
  fixture.Beat();
  fixture.Pass(500ms);
  fixture.clock.Advance(1h);
  fixture.Take(fixture.registry.OnTick(fixture.clock.Now()));
  CHECK(fixture.registry.StateOf(kTarget) == TargetState::Active);
  fixture.Pass(2s);
  CHECK(fixture.registry.StateOf(kTarget) == TargetState::Lost);
}

// Guards against heartbeats that take more than 10 KB/s, and against a target
// that is lost because it was told a longer interval.
TEST_CASE("the interval follows the number of targets and is told to them")
{
  CHECK(HeartbeatInterval(11) == 1s);
  CHECK(HeartbeatInterval(775) == 4650ms);
  CHECK(HeartbeatInterval(3000) == 18s);

  Fixture fixture;
  fixture.Hello();
  fixture.Beat();
  for (int i = 0; i < 774; ++i) {
    const base::TargetId other("other" + std::to_string(i));
    const auto effects =
      fixture.registry.OnHello(other, kFirst, false, fixture.clock.Now());
    CHECK(effects.back() ==
          TargetEffect(SendInterval{ other, fixture.registry.Interval() }));
  }
  fixture.Pass(1s);
  const auto effects =
    fixture.registry.OnHeartbeat(kTarget, kFirst, false, fixture.clock.Now());
  CHECK(effects == TargetEffects{ SendInterval{ kTarget, 4650ms } });
  fixture.Pass(9s);
  CHECK(fixture.registry.StateOf(kTarget) == TargetState::Suspect);
  fixture.Pass(500ms);
  CHECK(fixture.registry.StateOf(kTarget) == TargetState::Lost);
  CHECK(fixture.registry.PresentCount() == 0);

  // Guards against memory that grows with every target that ever came.
  fixture.Pass(11min);
  CHECK(!fixture.registry.StateOf(kTarget));
}

// Guards against a target that is lost since it has not heard yet of the
// shorter interval that its second Hello brought about.
TEST_CASE("a shorter interval counts only from the next heartbeat on")
{
  Fixture fixture;
  const auto others = [&](const auto& aCall) {
    for (int i = 0; i < 774; ++i) {
      aCall(base::TargetId("other" + std::to_string(i)));
    }
  };
  others([&](const base::TargetId& aId) {
    fixture.registry.OnHello(aId, kFirst, false, fixture.clock.Now());
  });
  fixture.Hello();
  fixture.Beat();
  others([&](const base::TargetId& aId) {
    fixture.registry.OnConnectionClosed(aId, kFirst, fixture.clock.Now());
  });
  fixture.Hello();
  fixture.Pass(4500ms);
  CHECK(fixture.registry.StateOf(kTarget) == TargetState::Active);
  fixture.Beat();
  fixture.Pass(4500ms);
  CHECK(fixture.registry.StateOf(kTarget) == TargetState::Lost);
}
