#include "amaranthwind/gang/GangMember.h"

#include "GangFixtures.h"

#include <doctest/doctest.h>

using namespace amaranthwind;
using namespace amaranthwind::gang;
using namespace amaranthwind::gang::testing;
using namespace std::chrono_literals;

namespace {

/** One daemon under test at rank aRank of a gang of aSize. */
struct MemberBench
{
  explicit MemberBench(Rank aRank, std::uint32_t aSize = 2)
    : plan(MakePlan(aSize))
    , rank(aRank)
    , member(WorkerId(aRank), { 8, 64, 1024 })
  {
  }

  std::vector<MemberEffect> Give(const MemberEvent& aEvent)
  {
    return this->member.Handle(this->now, aEvent);
  }

  std::vector<MemberEffect> Wait(base::Duration aTime)
  {
    this->now += aTime;
    return this->Give(Tick{});
  }

  AttemptKey Key() const { return KeyOf(*this->plan); }
  Prepare MakePrepare() const { return { kFence, this->plan, this->rank }; }
  Commit MakeCommit() const { return { kFence, this->Key(), this->rank }; }

  std::optional<MemberPhase> Phase() const
  {
    const auto status = this->member.Status();
    return status.empty() ? std::nullopt : std::optional(status.front().phase);
  }

  /** Takes the member to a running task. */
  void Run()
  {
    this->Give(this->MakePrepare());
    this->Give(this->MakeCommit());
    if (this->rank == 0) {
      for (Rank peer = 1; peer < this->plan->members.size(); ++peer) {
        this->Give(Committed{ this->Key(), peer });
        this->Give(this->Alive(peer, MemberPhase::Running));
      }
    } else {
      this->Give(Release{ this->Key() });
    }
    this->Give(TaskStarted{ this->Key() });
  }

  MemberAlive Alive(Rank aFrom, MemberPhase aPhase)
  {
    // As if it answered a message sent just now.
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

// Guards against a reservation that is freed while the log may hold a commit.
TEST_CASE("a promise outlasts any time and asks for its outcome")
{
  MemberBench bench(1);
  CHECK(Has<Promise>(bench.Give(bench.MakePrepare())));
  const auto first = bench.Wait(5s);
  REQUIRE(Find<QueryOutcome>(first) != nullptr);
  CHECK_FALSE(Find<QueryOutcome>(first)->askAnyEntry);
  const auto second = bench.Wait(2s);
  REQUIRE(Find<QueryOutcome>(second) != nullptr);
  CHECK(Find<QueryOutcome>(second)->askAnyEntry);
  for (int hour = 0; hour < 48; ++hour) {
    bench.Wait(1h);
  }
  bench.Give(OutcomeReply{ bench.Key(), AttemptState::Undecided });
  CHECK(bench.Phase() == MemberPhase::Promised);
  CHECK(bench.member.Reserved().accelerators == 4);

  SUBCASE("an abort frees it")
  {
    bench.Give(OutcomeReply{ bench.Key(), AttemptState::Aborted });
    CHECK(bench.member.Reserved().accelerators == 0);
  }
  SUBCASE("a commit from the log commits it")
  {
    const auto effects =
      bench.Give(OutcomeReply{ bench.Key(), AttemptState::Committed });
    CHECK(Has<Committed>(effects));
  }
}

// Guards against accelerators promised twice.
TEST_CASE("a promise that does not fit is refused")
{
  MemberBench bench(0);
  bench.Give(bench.MakePrepare());
  bench.Give(bench.MakePrepare()); // Repeated: no second reservation.
  CHECK(bench.member.Reserved().accelerators == 4);
  for (std::uint32_t job = 2; job <= 3; ++job) {
    const auto effects =
      bench.Give(Prepare{ kFence, MakePlan(1, 10, 1, job), 0 });
    const bool fits = job == 2;
    REQUIRE(Find<Promise>(effects) != nullptr);
    CHECK(Find<Promise>(effects)->refusal.has_value() == !fits);
  }
  CHECK(bench.member.Reserved().accelerators == 8);
}

// Guards against orders of a coordinator that was paused past its lease.
TEST_CASE("a lower token than the highest seen is refused")
{
  MemberBench bench(1);
  bench.Give(bench.MakePrepare());
  bench.Give(Abort{ { kFence.cell, base::FencingToken(11) }, {} });
  const auto effects = bench.Give(bench.MakeCommit());
  REQUIRE(Find<CommitRefused>(effects) != nullptr);
  CHECK(Find<CommitRefused>(effects)->error.code ==
        base::ErrorCode::StaleToken);
  CHECK(bench.Phase() == MemberPhase::Promised);
  const auto prepared = bench.Give(Prepare{ kFence, MakePlan(1, 10, 1, 2), 0 });
  REQUIRE(Find<Promise>(prepared) != nullptr);
  CHECK(Find<Promise>(prepared)->refusal->code == base::ErrorCode::StaleToken);
}

// Guards against a void promise that blocks the accelerators it holds.
TEST_CASE("a newer plan of the same attempt replaces an older promise")
{
  MemberBench bench(1);
  bench.Give(bench.MakePrepare());
  const Fence newer{ kFence.cell, base::FencingToken(11) };
  CHECK(Has<Promise>(bench.Give(Prepare{ newer, MakePlan(2, 11), 1 })));
  CHECK(bench.member.Reserved().accelerators == 4);
  bench.Give(OutcomeReply{ bench.Key(), AttemptState::Committed });
  CHECK(bench.Phase() == MemberPhase::Promised);
}

// Guards against defaults under which a part of a gang runs on for 5 s.
TEST_CASE("the default timeouts leave time to stop within 5 s")
{
  const MemberSettings settings;
  const base::Duration limit = 5s - 100ms; // For the worker to kill a task.
  CHECK(2 * settings.peerTimeout <= limit);
  CHECK(settings.releaseTimeout + settings.peerTimeout <= limit);
}

// Guards against starting an attempt that was aborted or never promised here.
TEST_CASE("a commit without a promise is refused")
{
  MemberBench bench(1);
  SUBCASE("unknown") {}
  SUBCASE("aborted")
  {
    bench.Give(bench.MakePrepare());
    bench.Give(Abort{ kFence, bench.Key() });
  }
  SUBCASE("aborted before its prepare arrived")
  {
    bench.Give(Abort{ kFence, bench.Key() });
    const auto effects = bench.Give(bench.MakePrepare());
    CHECK(Find<Promise>(effects)->refusal.has_value());
  }
  CHECK(Has<CommitRefused>(bench.Give(bench.MakeCommit())));
  CHECK_FALSE(Has<StartTask>(bench.Give(Release{ bench.Key() })));
  CHECK(bench.member.Reserved() == fleet::Resources{});
}

// Guards against members that run on while the gang is incomplete.
TEST_CASE("a member stops when the first rank falls silent")
{
  MemberBench bench(1);
  bench.Run();
  bench.Give(bench.Alive(0, MemberPhase::Running));
  CHECK_FALSE(Has<StopTask>(bench.Wait(2300ms)));
  CHECK(Has<StopTask>(bench.Wait(100ms)));
  const auto ended = bench.Give(TaskEnded{ bench.Key() });
  REQUIRE(Find<MemberEnded>(ended) != nullptr);
  CHECK(Find<MemberEnded>(ended)->result == MemberResult::Stopped);
  CHECK(bench.member.Reserved() == fleet::Resources{});
}

// Guards against a heartbeat that is read long after it was sent, after a pause
// or from a slow connection, and is taken for a sign of life.
TEST_CASE("a delayed heartbeat proves only what it echoes")
{
  MemberBench bench(1);
  bench.Run();
  const MemberAlive late = bench.Alive(0, MemberPhase::Running);
  bench.now += 2300ms;
  const auto reply = bench.Give(late);
  REQUIRE(Find<RenewLease>(reply) != nullptr);
  CHECK(Find<RenewLease>(reply)->lease == 100ms);
  CHECK(Has<StopTask>(bench.Wait(100ms)));
}

// Guards against a gang that runs on without one of its members.
TEST_CASE("the first rank stops all when a member falls silent")
{
  MemberBench bench(0, 3);
  bench.Run();
  bench.now += 2300ms;
  bench.Give(bench.Alive(1, MemberPhase::Running));
  const auto effects = bench.Wait(100ms);
  CHECK(Has<StopTask>(effects));
  CHECK(Count<StopGang>(effects) == 2);
  bench.Give(TaskEnded{ bench.Key() });
  const auto reported = bench.Wait(5s);
  REQUIRE(Find<GangEnded>(reported) != nullptr);
  CHECK(Find<GangEnded>(reported)->rankAtFault == Rank(2));
  CHECK(Find<GangEnded>(reported)->wasReleased);
}

// Guards against a false "not run": P4.
TEST_CASE("the first rank attests that it never sent Release")
{
  MemberBench bench(0, 3);
  bench.Give(bench.MakePrepare());
  bench.Give(bench.MakeCommit());
  bench.Give(Committed{ bench.Key(), 1 });
  CHECK(Count<StopGang>(bench.Wait(10s)) == 2);
  // Complete too late: the stop must not be undone.
  CHECK_FALSE(Has<Release>(bench.Give(Committed{ bench.Key(), 2 })));
  const auto effects = bench.Wait(5s);
  REQUIRE(Find<GangEnded>(effects) != nullptr);
  CHECK_FALSE(Find<GangEnded>(effects)->wasReleased);
  SUBCASE("again until it is acknowledged")
  {
    CHECK(Has<GangEnded>(bench.Wait(2s)));
    bench.Give(GangEndedAck{ bench.Key() });
    CHECK_FALSE(Has<GangEnded>(bench.Wait(2s)));
    CHECK(Has<GangEnded>(bench.Give(bench.MakeCommit())));
  }
}

// Guards against a gang that is stopped because its daemon was restarted.
TEST_CASE("a new daemon adopts the task that the old one handed over")
{
  MemberBench bench(1);
  bench.Run();
  const auto effects = bench.Give(HandOver{});
  REQUIRE(Find<RenewLease>(effects) != nullptr);
  CHECK(Find<RenewLease>(effects)->lease == 5s);
  CHECK(Find<MemberAlive>(effects)->allowance == 5s);
  CHECK(bench.Wait(1s).empty());

  GangMember successor(WorkerId(1), { 8, 64, 1024 });
  const auto adopted =
    successor.Handle(bench.now, AdoptTask{ kFence.cell, bench.plan, 1, 4s });
  REQUIRE(Find<MemberAlive>(adopted) != nullptr);
  CHECK(Find<MemberAlive>(adopted)->phase == MemberPhase::Running);
  CHECK(successor.Reserved().accelerators == 4);
}

// Guards against new work on a daemon that is to exit: P6.
TEST_CASE("a draining daemon promises nothing and keeps its gangs")
{
  MemberBench bench(1);
  bench.Run();
  bench.Give(Drain{});
  const auto effects = bench.Give(Prepare{ kFence, MakePlan(2, 10, 1, 2), 1 });
  CHECK(Find<Promise>(effects)->refusal->code == base::ErrorCode::Draining);
  CHECK_FALSE(bench.member.IsIdle());
  bench.Give(TaskEnded{ bench.Key(), MemberResult::Succeeded });
  CHECK(bench.member.IsIdle());
}

// Guards against a checkpoint that is cut off or that takes for ever.
TEST_CASE("a stop with grace checkpoints first and kills at the end of it")
{
  MemberBench bench(1);
  bench.Run();
  const auto stop =
    bench.Give(StopGang{ bench.Key(), {}, StopReason::Preempted, 30s });
  CHECK(Find<StopTask>(stop)->grace == 30s);
  const auto beat = bench.Wait(20s);
  REQUIRE(Find<RenewLease>(beat) != nullptr);
  CHECK(Find<RenewLease>(beat)->lease == 10s);
  bench.Wait(9s);
  // The same order again does not extend the time.
  bench.Give(StopGang{ bench.Key(), {}, StopReason::Preempted, 30s });
  const auto kill = bench.Wait(1s);
  REQUIRE(Find<StopTask>(kill) != nullptr);
  CHECK(Find<StopTask>(kill)->grace == 0s);
  CHECK_FALSE(Has<RenewLease>(bench.Wait(1s)));
}
