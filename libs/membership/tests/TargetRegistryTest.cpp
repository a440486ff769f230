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
  Beat,
  DrainBeat,
  Close,
  Wait750ms,
  Wait1s,
};

/** A registry whose clock ticks as often as the role runtime's would. */
struct Fixture
{
  base::ManualClock clock;
  TargetRegistry registry;
  TargetEffects seen;

  void Take(TargetEffects aEffects)
  {
    std::erase_if(aEffects, [](const TargetEffect& aEffect) {
      return std::holds_alternative<SendInterval>(aEffect);
    });
    this->seen.insert(this->seen.end(), aEffects.begin(), aEffects.end());
  }
  void Pass(base::Duration aTime)
  {
    for (base::Duration passed{}; passed < aTime; passed += kTickInterval) {
      this->clock.Advance(kTickInterval);
      this->Take(this->registry.OnTick(this->clock.Now()));
    }
  }
  void Do(Step aStep)
  {
    const base::TimePoint now = this->clock.Now();
    TargetRegistry& all = this->registry;
    switch (aStep) {
      case Step::Hello:
        return this->Take(all.OnHello(kTarget, kFirst, false, now));
      case Step::HelloAsSecond:
        return this->Take(all.OnHello(kTarget, kSecond, false, now));
      case Step::Beat:
        return this->Take(all.OnHeartbeat(kTarget, kFirst, false, now));
      case Step::DrainBeat:
        return this->Take(all.OnHeartbeat(kTarget, kFirst, true, now));
      case Step::Close:
        return this->Take(all.OnConnectionClosed(kTarget, kFirst, now));
      case Step::Wait750ms:
        return this->Pass(750ms);
      case Step::Wait1s:
        return this->Pass(1s);
    }
  }
};

} // namespace

// Guards against new work for a target that has left, crashed, fallen silent or
// restarted, and against one that is taken for lost without cause.
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
  // Each case starts with a Hello; the interval is one second.
  const std::vector<Case> cases{
    { "announced", {}, Announced, {} },
    { "active", { Beat }, Active, { usable } },
    { "regular", { Beat, Wait1s, Beat, Wait1s, Beat }, Active, { usable } },
    { "late heartbeat",
      { Beat, Wait1s, Wait750ms, Beat },
      Active,
      { usable, suspect, cleared } },
    { "silence", { Beat, Wait1s, Wait1s }, Lost, { usable, suspect, silent } },
    { "silence from the start", { Wait1s, Wait1s }, Lost, { silent } },
    { "crash", { Beat, Close }, Lost, { usable, closed } },
    { "crash while suspect",
      { Beat, Wait1s, Wait750ms, Close },
      Lost,
      { usable, suspect, closed } },
    { "drain, then close",
      { Beat, DrainBeat, DrainBeat, Beat, Close },
      Left,
      { usable, stop, left } },
    { "drain, then silence",
      { Beat, DrainBeat, Wait1s, Wait1s },
      Lost,
      { usable, stop, silent } },
    { "drains from the start", { DrainBeat }, Draining, {} },
    { "restart",
      { Beat, HelloAsSecond, Close, Beat, Hello },
      Announced,
      { usable, restarted } },
    { "heartbeat when lost", { Close, Beat }, Lost, { closed } },
    { "connects again", { Close, Hello, Beat }, Active, { closed, usable } },
    { "left stays left", { DrainBeat, Close, Hello, Beat }, Left, { left } },
    { "left, restarted",
      { DrainBeat, Close, HelloAsSecond },
      Announced,
      { left } },
    { "second connection", { Beat, Hello }, Active, { usable } },
  };
  for (const Case& each : cases) {
    CAPTURE(each.name);
    Fixture fixture;
    fixture.Do(Hello);
    for (const Step step : each.steps) {
      fixture.Do(step);
    }
    CHECK(fixture.registry.StateOf(kTarget) == each.state);
    CHECK(fixture.seen == each.effects);
  }
}

// Guards against a receiver whose own pause makes it drop every target, and
// against one that then takes a dead target for alive.
TEST_CASE("a pause of the receiver is not the silence of its targets")
{
  Fixture fixture;
  fixture.Do(Step::Hello);
  fixture.Do(Step::Beat);
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
  fixture.Do(Step::Hello);
  fixture.Do(Step::Beat);
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
  const base::TimePoint now = fixture.clock.Now();
  std::vector<base::TargetId> others;
  for (int i = 0; i < 774; ++i) {
    others.emplace_back("other" + std::to_string(i));
    fixture.registry.OnHello(others.back(), kFirst, false, now);
  }
  fixture.Do(Step::Hello);
  fixture.Do(Step::Beat);
  for (const base::TargetId& other : others) {
    fixture.registry.OnConnectionClosed(other, kFirst, now);
  }
  fixture.Do(Step::Hello);
  fixture.Pass(4500ms);
  CHECK(fixture.registry.StateOf(kTarget) == TargetState::Active);
  fixture.Do(Step::Beat);
  fixture.Pass(4500ms);
  CHECK(fixture.registry.StateOf(kTarget) == TargetState::Lost);
}
