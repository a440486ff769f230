#include "amaranthwind/membership/LeaderElection.h"

#include <doctest/doctest.h>

using namespace amaranthwind;
using namespace amaranthwind::membership;
using namespace std::chrono_literals;

namespace {

const base::EntryId kSelf("entry-1");
const base::EntryId kOther("entry-2");

LeaderElection
MakeElection()
{
  return LeaderElection({ .self = kSelf, .incarnation = base::Incarnation(7) });
}

LeaderClaim
ClaimOf(const base::EntryId& aHolder, std::uint64_t aIncarnation)
{
  return { aHolder, base::Incarnation(aIncarnation), "a:1", false, false };
}

constexpr base::FencingToken kToken(3);

} // namespace

TEST_CASE("an entry claims when it knows that there is no claim")
{
  auto election = MakeElection();
  base::TimePoint now{ 1h };
  CHECK_FALSE(election.ShouldClaim(now));
  election.OnCurrent(now, now);
  CHECK(election.ShouldClaim(now));
  CHECK(election.OnClaimed(kToken, now));
  CHECK(election.IsLeader());
  CHECK_FALSE(election.ShouldClaim(now));
}

// Guards against a failed leader that is never replaced: the reply to a
// long-poll read only proves a view as old as the wait of the read.
TEST_CASE(
  "a leader without pulses is replaced although the view is slightly stale")
{
  constexpr base::Duration kWait = 600ms;
  auto election = MakeElection();
  base::TimePoint now{ 1h };
  election.OnClaim(ClaimOf(kOther, 1), kToken, now);
  election.OnCurrent(now, now);
  const base::TimePoint end = now + 5s;
  while (now < end && !election.ShouldClaim(now)) {
    now += kWait;
    election.OnCurrent(now - kWait, now);
  }
  CHECK(now < base::TimePoint{ 1h } + 3s);
}

TEST_CASE("a leader that writes pulses is not replaced")
{
  auto election = MakeElection();
  base::TimePoint now{ 1h };
  election.OnClaim(ClaimOf(kOther, 1), kToken, now);
  for (int i = 0; i < 20; ++i) {
    now += 500ms;
    election.OnPulse({ kToken }, now);
    election.OnCurrent(now, now);
    CHECK_FALSE(election.ShouldClaim(now));
  }
  SUBCASE("pulses of a former leader are ignored")
  {
    for (int i = 0; i < 5; ++i) {
      now += 500ms;
      election.OnPulse({ base::FencingToken(2) }, now);
      election.OnCurrent(now, now);
    }
    CHECK(election.ShouldClaim(now));
  }
}

// Guards against replacing a healthy leader after every outage of the log.
TEST_CASE("pulses missed during an outage of the log do not count")
{
  auto election = MakeElection();
  base::TimePoint now{ 1h };
  election.OnClaim(ClaimOf(kOther, 1), kToken, now);
  election.OnCurrent(now, now);
  now += 10s;
  CHECK_FALSE(election.ShouldClaim(now));
  election.OnCurrent(now, now);
  CHECK_FALSE(election.ShouldClaim(now));
  now += 600ms;
  election.OnPulse({ kToken }, now);
  election.OnCurrent(now, now);
  CHECK_FALSE(election.ShouldClaim(now));
}

TEST_CASE("a claim that was resigned or made before a restart is replaced")
{
  auto election = MakeElection();
  const base::TimePoint now{ 1h };
  SUBCASE("resigned")
  {
    LeaderClaim claim = ClaimOf(kOther, 1);
    claim.isResigned = true;
    election.OnClaim(claim, kToken, now);
  }
  SUBCASE("of an earlier incarnation of this entry")
  {
    election.OnClaim(ClaimOf(kSelf, 6), kToken, now);
  }
  election.OnCurrent(now, now);
  CHECK(election.ShouldClaim(now));
}

TEST_CASE("a newer claim ends the leadership, an older one does not")
{
  auto election = MakeElection();
  const base::TimePoint now{ 1h };
  election.OnCurrent(now, now);
  REQUIRE(election.OnClaimed(kToken, now));
  election.OnClaim(ClaimOf(kOther, 1), base::FencingToken(2), now);
  CHECK(election.IsLeader());
  election.OnClaim(ClaimOf(kOther, 1), base::FencingToken(4), now);
  CHECK_FALSE(election.IsLeader());
  CHECK_FALSE(election.OnClaimed(kToken, now));
}
