#include "amaranthwind/gang/GangMember.h"

#include "GangFixtures.h"

#include <doctest/doctest.h>

using namespace amaranthwind;
using namespace amaranthwind::gang;
using namespace amaranthwind::gang::testing;
using namespace std::chrono_literals;

namespace {

/** The daemon under test, at rank aRank of a gang with aSize members. */
struct MemberFixture
{
  explicit MemberFixture(Rank aRank, std::uint32_t aSize = 2)
    : plan(MakePlan(aSize))
    , rank(aRank)
    , member(WorkerId(aRank), { 8, 64, 1024 })
  {
  }

  std::vector<MemberEffect> Handle(const MemberEvent& aEvent)
  {
    return this->member.Handle(this->now, aEvent);
  }

  std::vector<MemberEffect> AdvanceTime(base::Duration aTime)
  {
    this->now += aTime;
    return this->Handle(Tick{});
  }

  AttemptKey Key() const { return KeyOf(*this->plan); }
  Prepare MakePrepare() const { return { kFence, this->plan, this->rank }; }
  Commit MakeCommit() const { return { kFence, this->Key(), this->rank }; }

  std::optional<MemberPhase> Phase() const
  {
    const auto status = this->member.Status();
    return status.empty() ? std::nullopt : std::optional(status.front().phase);
  }

  /** Brings the member to phase Running. */
  void Run()
  {
    this->Handle(this->MakePrepare());
    this->Handle(this->MakeCommit());
    if (this->rank == 0) {
      for (Rank peer = 1; peer < this->plan->members.size(); ++peer) {
        this->Handle(Committed{ this->Key(), peer });
        this->Handle(this->MakeHeartbeat(peer, MemberPhase::Running));
      }
    } else {
      this->Handle(Release{ this->Key() });
    }
    this->Handle(TaskStarted{ this->Key() });
  }

  MemberHeartbeat MakeHeartbeat(Rank aFrom, MemberPhase aPhase)
  {
    // Echoes the current time, as if replying to a message sent just now.
    const auto echo =
      static_cast<std::uint64_t>(this->now.time_since_epoch().count());
    return { this->Key(),        aFrom, ++this->sequence, echo, aPhase,
             MemberResult::None, 2400ms };
  }

  std::shared_ptr<const job::GangPlan> plan;
  Rank rank;
  GangMember member;
  base::TimePoint now{ 1h };
  std::uint64_t sequence = 0;
};

} // namespace

// Guards against freeing a reservation while the log may hold a commit.
TEST_CASE("a promise never times out and its outcome is queried")
{
  MemberFixture fixture(1);
  CHECK(Has<Promise>(fixture.Handle(fixture.MakePrepare())));
  const auto first = fixture.AdvanceTime(5s);
  REQUIRE(Find<QueryOutcome>(first) != nullptr);
  CHECK_FALSE(Find<QueryOutcome>(first)->askAnyEntry);
  const auto second = fixture.AdvanceTime(2s);
  REQUIRE(Find<QueryOutcome>(second) != nullptr);
  CHECK(Find<QueryOutcome>(second)->askAnyEntry);
  for (int hour = 0; hour < 48; ++hour) {
    fixture.AdvanceTime(1h);
  }
  fixture.Handle(OutcomeReply{ fixture.Key(), AttemptState::Undecided });
  CHECK(fixture.Phase() == MemberPhase::Promised);
  CHECK(fixture.member.Reserved().accelerators == 4);

  SUBCASE("an abort frees it")
  {
    fixture.Handle(OutcomeReply{ fixture.Key(), AttemptState::Aborted });
    CHECK(fixture.member.Reserved().accelerators == 0);
  }
  SUBCASE("a commit from the log commits it")
  {
    const auto effects =
      fixture.Handle(OutcomeReply{ fixture.Key(), AttemptState::Committed });
    CHECK(Has<Committed>(effects));
  }
}

// Guards against promising the same accelerators twice.
TEST_CASE("a promise that does not fit is refused")
{
  MemberFixture fixture(0);
  fixture.Handle(fixture.MakePrepare());
  fixture.Handle(fixture.MakePrepare()); // A repetition reserves nothing more.
  CHECK(fixture.member.Reserved().accelerators == 4);
  for (std::uint32_t job = 2; job <= 3; ++job) {
    const auto effects =
      fixture.Handle(Prepare{ kFence, MakePlan(1, 10, 1, job), 0 });
    const bool fits = job == 2;
    REQUIRE(Find<Promise>(effects) != nullptr);
    CHECK(Find<Promise>(effects)->refusal.has_value() == !fits);
  }
  CHECK(fixture.member.Reserved().accelerators == 8);
}

// Guards against orders from a coordinator that was paused beyond its lease.
TEST_CASE("a lower token than the highest seen is refused")
{
  MemberFixture fixture(1);
  fixture.Handle(fixture.MakePrepare());
  fixture.Handle(Abort{ { kFence.cell, base::FencingToken(11) }, {} });
  const auto effects = fixture.Handle(fixture.MakeCommit());
  REQUIRE(Find<CommitRefused>(effects) != nullptr);
  CHECK(Find<CommitRefused>(effects)->error.code ==
        base::ErrorCode::StaleToken);
  CHECK(fixture.Phase() == MemberPhase::Promised);
  const auto prepared =
    fixture.Handle(Prepare{ kFence, MakePlan(1, 10, 1, 2), 0 });
  REQUIRE(Find<Promise>(prepared) != nullptr);
  CHECK(Find<Promise>(prepared)->refusal->code == base::ErrorCode::StaleToken);
}

// Guards against a void promise that keeps accelerators reserved.
TEST_CASE("a newer plan of the same attempt replaces an older promise")
{
  MemberFixture fixture(1);
  fixture.Handle(fixture.MakePrepare());
  const Fence newer{ kFence.cell, base::FencingToken(11) };
  CHECK(Has<Promise>(fixture.Handle(Prepare{ newer, MakePlan(2, 11), 1 })));
  CHECK(fixture.member.Reserved().accelerators == 4);
  fixture.Handle(OutcomeReply{ fixture.Key(), AttemptState::Committed });
  CHECK(fixture.Phase() == MemberPhase::Promised);
}

// Guards against default timeouts that let a part of a gang run for more than
// 5 s.
TEST_CASE("the default timeouts leave time to stop within 5 s")
{
  const MemberSettings settings;
  const base::Duration limit = 5s - 100ms; // For the worker to kill a task.
  CHECK(2 * settings.peerTimeout <= limit);
  CHECK(settings.releaseTimeout + settings.peerTimeout <= limit);
}

// Guards against starting an attempt that was aborted or never promised.
TEST_CASE("a commit without a promise is refused")
{
  MemberFixture fixture(1);
  SUBCASE("unknown") {}
  SUBCASE("aborted")
  {
    fixture.Handle(fixture.MakePrepare());
    fixture.Handle(Abort{ kFence, fixture.Key() });
  }
  SUBCASE("aborted before its prepare arrived")
  {
    fixture.Handle(Abort{ kFence, fixture.Key() });
    const auto effects = fixture.Handle(fixture.MakePrepare());
    CHECK(Find<Promise>(effects)->refusal.has_value());
  }
  CHECK(Has<CommitRefused>(fixture.Handle(fixture.MakeCommit())));
  CHECK_FALSE(Has<StartTask>(fixture.Handle(Release{ fixture.Key() })));
  CHECK(fixture.member.Reserved() == fleet::Resources{});
}

// Guards against members that keep running while the gang is incomplete.
TEST_CASE("a member stops when the first rank sends no more heartbeats")
{
  MemberFixture fixture(1);
  fixture.Run();
  fixture.Handle(fixture.MakeHeartbeat(0, MemberPhase::Running));
  CHECK_FALSE(Has<StopTask>(fixture.AdvanceTime(2300ms)));
  CHECK(Has<StopTask>(fixture.AdvanceTime(100ms)));
  const auto ended = fixture.Handle(TaskEnded{ fixture.Key() });
  REQUIRE(Find<MemberEnded>(ended) != nullptr);
  CHECK(Find<MemberEnded>(ended)->result == MemberResult::Stopped);
  CHECK(fixture.member.Reserved() == fleet::Resources{});
}

// Guards against treating a delayed heartbeat as proof of liveness. A heartbeat
// may be read long after it was sent, after a pause or from a slow connection.
TEST_CASE("a delayed heartbeat proves only what it echoes")
{
  MemberFixture fixture(1);
  fixture.Run();
  const MemberHeartbeat late = fixture.MakeHeartbeat(0, MemberPhase::Running);
  fixture.now += 2300ms;
  const auto reply = fixture.Handle(late);
  REQUIRE(Find<RenewLease>(reply) != nullptr);
  CHECK(Find<RenewLease>(reply)->lease == 100ms);
  CHECK(Has<StopTask>(fixture.AdvanceTime(100ms)));
}

// Guards against a gang that keeps running without one of its members.
TEST_CASE(
  "the first rank stops the gang when a member sends no more heartbeats")
{
  MemberFixture fixture(0, 3);
  fixture.Run();
  fixture.now += 2300ms;
  fixture.Handle(fixture.MakeHeartbeat(1, MemberPhase::Running));
  const auto effects = fixture.AdvanceTime(100ms);
  CHECK(Has<StopTask>(effects));
  CHECK(Count<StopGang>(effects) == 2);
  fixture.Handle(TaskEnded{ fixture.Key() });
  const auto reported = fixture.AdvanceTime(5s);
  REQUIRE(Find<GangEnded>(reported) != nullptr);
  CHECK(Find<GangEnded>(reported)->rankAtFault == Rank(2));
  CHECK(Find<GangEnded>(reported)->wasReleased);
}

// Guards against reporting "not run" for a gang that ran: a request refused as
// "not run" did not run.
TEST_CASE("the first rank reports that it never sent Release")
{
  MemberFixture fixture(0, 3);
  fixture.Handle(fixture.MakePrepare());
  fixture.Handle(fixture.MakeCommit());
  fixture.Handle(Committed{ fixture.Key(), 1 });
  CHECK(Count<StopGang>(fixture.AdvanceTime(10s)) == 2);
  // The last member commits too late; the stop must not be undone.
  CHECK_FALSE(Has<Release>(fixture.Handle(Committed{ fixture.Key(), 2 })));
  const auto effects = fixture.AdvanceTime(5s);
  REQUIRE(Find<GangEnded>(effects) != nullptr);
  CHECK_FALSE(Find<GangEnded>(effects)->wasReleased);
  SUBCASE("the report is repeated until it is acknowledged")
  {
    CHECK(Has<GangEnded>(fixture.AdvanceTime(2s)));
    fixture.Handle(GangEndedAck{ fixture.Key() });
    CHECK_FALSE(Has<GangEnded>(fixture.AdvanceTime(2s)));
    CHECK(Has<GangEnded>(fixture.Handle(fixture.MakeCommit())));
  }
}

// Guards against stopping a gang because a daemon was restarted.
TEST_CASE("a new daemon adopts the task that the old one handed over")
{
  MemberFixture fixture(1);
  fixture.Run();
  const auto effects = fixture.Handle(HandOver{});
  REQUIRE(Find<RenewLease>(effects) != nullptr);
  CHECK(Find<RenewLease>(effects)->lease == 5s);
  CHECK(Find<MemberHeartbeat>(effects)->livenessTimeout == 5s);
  CHECK(fixture.AdvanceTime(1s).empty());

  GangMember successor(WorkerId(1), { 8, 64, 1024 });
  const auto adopted = successor.Handle(
    fixture.now, AdoptTask{ kFence.cell, fixture.plan, 1, 4s });
  REQUIRE(Find<MemberHeartbeat>(adopted) != nullptr);
  CHECK(Find<MemberHeartbeat>(adopted)->phase == MemberPhase::Running);
  CHECK(successor.Reserved().accelerators == 4);
}

// Guards against new work on a daemon that is about to exit: a departing target
// gets no new work.
TEST_CASE("a draining daemon promises nothing and keeps its gangs")
{
  MemberFixture fixture(1);
  fixture.Run();
  fixture.Handle(Drain{});
  const auto effects =
    fixture.Handle(Prepare{ kFence, MakePlan(2, 10, 1, 2), 1 });
  CHECK(Find<Promise>(effects)->refusal->code == base::ErrorCode::Draining);
  CHECK_FALSE(fixture.member.IsIdle());
  fixture.Handle(TaskEnded{ fixture.Key(), MemberResult::Succeeded });
  CHECK(fixture.member.IsIdle());
}

// Guards against a checkpoint that is cut short or never ends.
TEST_CASE(
  "a stop with grace writes a checkpoint and kills the task after the grace")
{
  MemberFixture fixture(1);
  fixture.Run();
  const auto stop =
    fixture.Handle(StopGang{ fixture.Key(), {}, StopReason::Preempted, 30s });
  CHECK(Find<StopTask>(stop)->grace == 30s);
  const auto heartbeat = fixture.AdvanceTime(20s);
  REQUIRE(Find<RenewLease>(heartbeat) != nullptr);
  CHECK(Find<RenewLease>(heartbeat)->lease == 10s);
  fixture.AdvanceTime(9s);
  // Repeating the order does not extend the grace period.
  fixture.Handle(StopGang{ fixture.Key(), {}, StopReason::Preempted, 30s });
  const auto kill = fixture.AdvanceTime(1s);
  REQUIRE(Find<StopTask>(kill) != nullptr);
  CHECK(Find<StopTask>(kill)->grace == 0s);
  CHECK_FALSE(Has<RenewLease>(fixture.AdvanceTime(1s)));
}
