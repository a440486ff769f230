#include "amaranthwind/membership/InheritedGrants.h"

#include <doctest/doctest.h>

using namespace amaranthwind;
using namespace amaranthwind::membership;
using namespace std::chrono_literals;

namespace {

const base::EntryId kSelf("entry-1");
const base::EntryId kOther("entry-2");
constexpr base::Duration kMaxDuration = 15s;
constexpr base::TimePoint kStart{ 1h };

LeaderTerm
TermOf(const base::EntryId& aHolder, std::uint64_t aToken)
{
  return { { aHolder, base::Incarnation(1), "a:1", false, false },
           base::FencingToken(aToken) };
}

LeaderTerm
ResignedTermOf(const base::EntryId& aHolder,
               std::uint64_t aToken,
               bool aIsSettled)
{
  LeaderTerm term = TermOf(aHolder, aToken);
  term.claim.isResigned = true;
  term.claim.isSettled = aIsSettled;
  return term;
}

} // namespace

// Guards against a second run of a task: the former leader has stopped, but
// grants of the one before it run on.
TEST_CASE(
  "a term is settled once the former leader has stopped and was settled")
{
  InheritedGrants grants(kSelf, kMaxDuration);
  grants.OnElected(TermOf(kOther, 5), kStart);
  CHECK_FALSE(grants.IsSettled(kStart));
  SUBCASE("it stops first")
  {
    grants.OnFormerStopped();
    CHECK_FALSE(grants.IsSettled(kStart));
    grants.OnTermSettled(base::FencingToken(4));
    CHECK_FALSE(grants.IsSettled(kStart));
    grants.OnTermSettled(base::FencingToken(5));
  }
  SUBCASE("it was settled first")
  {
    grants.OnTermSettled(base::FencingToken(5));
    CHECK_FALSE(grants.IsSettled(kStart));
    grants.OnFormerStopped();
  }
  CHECK(grants.IsSettled(kStart));
}

TEST_CASE("a term is settled after the longest time of earlier grants")
{
  InheritedGrants grants(kSelf, kMaxDuration);
  grants.OnElected(TermOf(kOther, 5), kStart);
  CHECK_FALSE(grants.IsSettled(kStart + kMaxDuration - 1ms));
  CHECK(grants.IsSettled(kStart + kMaxDuration));
}

// Guards against taking over the state of a leader that resigned before its own
// predecessors' grants had ended.
TEST_CASE("a resignation tells whether the former term was settled")
{
  InheritedGrants grants(kSelf, kMaxDuration);
  bool isSettled = false;
  SUBCASE("settled")
  {
    isSettled = true;
  }
  SUBCASE("not settled") {}
  grants.OnElected(ResignedTermOf(kOther, 5, isSettled), kStart);
  CHECK_FALSE(grants.IsFormerActive());
  CHECK(grants.IsSettled(kStart) == isSettled);
}

// Guards against forgetting the grants of other leaders because the former
// process of this entry has led meanwhile, as after a loss of power.
TEST_CASE("a restarted entry waits for the leaders before its former process")
{
  InheritedGrants grants(kSelf, kMaxDuration);
  grants.OnElected(TermOf(kSelf, 5), kStart);
  CHECK_FALSE(grants.IsFormerActive());
  CHECK_FALSE(grants.IsSettled(kStart));
  SUBCASE("unless its term was settled")
  {
    grants.OnTermSettled(base::FencingToken(5));
    CHECK(grants.IsSettled(kStart));
  }
  SUBCASE("until their grants have ended")
  {
    CHECK_FALSE(grants.IsSettled(kStart + kMaxDuration - 1ms));
    CHECK(grants.IsSettled(kStart + kMaxDuration));
  }
}

// Guards against a process that is elected several times within one grant and
// takes its own earlier term for a bound of the grants of others.
TEST_CASE("an entry that is elected again is not settled by that")
{
  InheritedGrants grants(kSelf, kMaxDuration);
  grants.OnElected(TermOf(kOther, 5), kStart);
  SUBCASE("without another leader between")
  {
    grants.OnElected(TermOf(kOther, 5), kStart + 3s);
    CHECK(grants.IsFormerActive());
  }
  SUBCASE("after another leader that resigned unsettled")
  {
    grants.OnElected(ResignedTermOf(kOther, 7, false), kStart + 3s);
    CHECK_FALSE(grants.IsFormerActive());
  }
  CHECK_FALSE(grants.IsSettled(kStart + 3s + kMaxDuration - 1ms));
  CHECK(grants.IsSettled(kStart + 3s + kMaxDuration));
}

TEST_CASE("an entry that was settled stays so if it alone has led since")
{
  InheritedGrants grants(kSelf, kMaxDuration);
  grants.OnElected(TermOf(kOther, 5), kStart);
  grants.OnElected(TermOf(kOther, 5), kStart + kMaxDuration);
  CHECK(grants.IsSettled(kStart + kMaxDuration));
  grants.OnElected(TermOf(kOther, 9), kStart + kMaxDuration + 1s);
  CHECK_FALSE(grants.IsSettled(kStart + kMaxDuration + 1s));
}
