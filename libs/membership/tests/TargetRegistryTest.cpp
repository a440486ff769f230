#include "amaranthwind/membership/TargetRegistry.h"

#include "amaranthwind/base/ManualClock.h"

#include <doctest/doctest.h>

#include <string>

using namespace amaranthwind;
using namespace amaranthwind::membership;
using namespace std::chrono_literals;

namespace {

const base::TargetId kTarget("t1");
constexpr base::Incarnation kFirst(1);
constexpr base::Incarnation kSecond(2);

enum class Step
{
  Hello,
  HelloAsSecond, // The target has restarted.
  Heartbeat,
  DrainingHeartbeat,
  Close,
  Wait750ms,
  Wait1s,
};

/** A registry that is ticked at the interval of the role runtime. */
struct Fixture
{
  base::ManualClock clock;
  TargetRegistry registry;
  TargetEffects recordedEffects;

  void Record(TargetEffects aEffects)
  {
    std::erase_if(aEffects, [](const TargetEffect& aEffect) {
      return std::holds_alternative<SendInterval>(aEffect);
    });
    this->recordedEffects.insert(
      this->recordedEffects.end(), aEffects.begin(), aEffects.end());
  }
  void AdvanceTime(base::Duration aTime)
  {
    for (base::Duration passed{}; passed < aTime; passed += kTickInterval) {
      this->clock.Advance(kTickInterval);
      this->Record(this->registry.OnTick(this->clock.Now()));
    }
  }
  void Apply(Step aStep)
  {
    const base::TimePoint now = this->clock.Now();
    TargetRegistry& targets = this->registry;
    switch (aStep) {
      case Step::Hello:
        return this->Record(targets.OnHello(kTarget, kFirst, false, now));
      case Step::HelloAsSecond:
        return this->Record(targets.OnHello(kTarget, kSecond, false, now));
      case Step::Heartbeat:
        return this->Record(targets.OnHeartbeat(kTarget, kFirst, false, now));
      case Step::DrainingHeartbeat:
        return this->Record(targets.OnHeartbeat(kTarget, kFirst, true, now));
      case Step::Close:
        return this->Record(targets.OnConnectionClosed(kTarget, kFirst, now));
      case Step::Wait750ms:
        return this->AdvanceTime(750ms);
      case Step::Wait1s:
        return this->AdvanceTime(1s);
    }
  }
};

} // namespace

// Guards against new work for a target that has left, crashed, restarted or
// stopped sending heartbeats, and against declaring a healthy target lost.
TEST_CASE("each event leads to the state and the effects of the table")
{
  using enum Step;
  using enum TargetState;
  const BecameUsable usable{ kTarget, kFirst };
  const BecameSuspect suspect{ kTarget, kFirst };
  const SuspicionCleared cleared{ kTarget, kFirst };
  const StopNewWork stop{ kTarget, kFirst };
  const TargetLeft left{ kTarget, kFirst };
  const TargetLost closed{ kTarget, kFirst, LossReason::Closed };
  const TargetLost silent{ kTarget, kFirst, LossReason::Silent };
  const TargetLost restarted{ kTarget, kFirst, LossReason::Restarted };
  struct Case
  {
    const char* name;
    std::vector<Step> steps;
    TargetState state;
    TargetEffects effects;
  };
  // Each case starts with a Hello; the heartbeat interval is one second.
  const std::vector<Case> cases{
    { "announced", {}, Announced, {} },
    { "active", { Heartbeat }, Active, { usable } },
    { "regular",
      { Heartbeat, Wait1s, Heartbeat, Wait1s, Heartbeat },
      Active,
      { usable } },
    { "late heartbeat",
      { Heartbeat, Wait1s, Wait750ms, Heartbeat },
      Active,
      { usable, suspect, cleared } },
    { "silence",
      { Heartbeat, Wait1s, Wait1s },
      Lost,
      { usable, suspect, silent } },
    { "silence from the start", { Wait1s, Wait1s }, Lost, { silent } },
    { "crash", { Heartbeat, Close }, Lost, { usable, closed } },
    { "crash while suspect",
      { Heartbeat, Wait1s, Wait750ms, Close },
      Lost,
      { usable, suspect, closed } },
    { "drain, then close",
      { Heartbeat, DrainingHeartbeat, DrainingHeartbeat, Heartbeat, Close },
      Left,
      { usable, stop, left } },
    { "drain, then silence",
      { Heartbeat, DrainingHeartbeat, Wait1s, Wait1s },
      Lost,
      { usable, stop, silent } },
    { "drains from the start", { DrainingHeartbeat }, Draining, {} },
    { "restart",
      { Heartbeat, HelloAsSecond, Close, Heartbeat, Hello },
      Announced,
      { usable, restarted } },
    { "heartbeat when lost", { Close, Heartbeat }, Lost, { closed } },
    { "connects again",
      { Close, Hello, Heartbeat },
      Active,
      { closed, usable } },
    { "left stays left",
      { DrainingHeartbeat, Close, Hello, Heartbeat },
      Left,
      { left } },
    { "left, restarted",
      { DrainingHeartbeat, Close, HelloAsSecond },
      Announced,
      { left } },
    { "second connection", { Heartbeat, Hello }, Active, { usable } },
  };
  for (const Case& each : cases) {
    CAPTURE(each.name);
    Fixture fixture;
    fixture.Apply(Hello);
    for (const Step step : each.steps) {
      fixture.Apply(step);
    }
    CHECK(fixture.registry.StateOf(kTarget) == each.state);
    CHECK(fixture.recordedEffects == each.effects);
  }
}

// Guards against a receiver that declares every target lost after its own
// pause, and against one that then treats a failed target as alive.
TEST_CASE("a pause of the receiver does not expire its targets")
{
  Fixture fixture;
  fixture.Apply(Step::Hello);
  fixture.Apply(Step::Heartbeat);
  fixture.AdvanceTime(500ms);
  fixture.clock.Advance(1h);
  fixture.Record(fixture.registry.OnTick(fixture.clock.Now()));
  CHECK(fixture.registry.StateOf(kTarget) == TargetState::Active);
  fixture.AdvanceTime(2s);
  CHECK(fixture.registry.StateOf(kTarget) == TargetState::Lost);
}

// Guards against heartbeat traffic above 10 KB/s, and against a target that is
// declared lost because it was assigned a longer interval.
TEST_CASE("the interval scales with the number of targets and is sent to them")
{
  CHECK(HeartbeatInterval(11) == 1s);
  CHECK(HeartbeatInterval(775) == 4650ms);
  CHECK(HeartbeatInterval(3000) == 18s);

  Fixture fixture;
  fixture.Apply(Step::Hello);
  fixture.Apply(Step::Heartbeat);
  for (int i = 0; i < 774; ++i) {
    const base::TargetId other("other" + std::to_string(i));
    const auto effects =
      fixture.registry.OnHello(other, kFirst, false, fixture.clock.Now());
    CHECK(effects.back() ==
          TargetEffect(SendInterval{ other, fixture.registry.Interval() }));
  }
  fixture.AdvanceTime(1s);
  const auto effects =
    fixture.registry.OnHeartbeat(kTarget, kFirst, false, fixture.clock.Now());
  CHECK(effects == TargetEffects{ SendInterval{ kTarget, 4650ms } });
  fixture.AdvanceTime(9s);
  CHECK(fixture.registry.StateOf(kTarget) == TargetState::Suspect);
  fixture.AdvanceTime(500ms);
  CHECK(fixture.registry.StateOf(kTarget) == TargetState::Lost);
  CHECK(fixture.registry.PresentCount() == 0);

  // Guards against memory that grows with every target ever seen.
  fixture.AdvanceTime(11min);
  CHECK(!fixture.registry.StateOf(kTarget));
}

// Guards against declaring a target lost before it has received the shorter
// interval that resulted from its second Hello.
TEST_CASE("a shorter interval takes effect only with the next heartbeat")
{
  Fixture fixture;
  const base::TimePoint now = fixture.clock.Now();
  std::vector<base::TargetId> others;
  for (int i = 0; i < 774; ++i) {
    others.emplace_back("other" + std::to_string(i));
    fixture.registry.OnHello(others.back(), kFirst, false, now);
  }
  fixture.Apply(Step::Hello);
  fixture.Apply(Step::Heartbeat);
  for (const base::TargetId& other : others) {
    fixture.registry.OnConnectionClosed(other, kFirst, now);
  }
  fixture.Apply(Step::Hello);
  fixture.AdvanceTime(4500ms);
  CHECK(fixture.registry.StateOf(kTarget) == TargetState::Active);
  fixture.Apply(Step::Heartbeat);
  fixture.AdvanceTime(4500ms);
  CHECK(fixture.registry.StateOf(kTarget) == TargetState::Lost);
}
