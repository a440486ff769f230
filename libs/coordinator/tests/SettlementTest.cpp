#include "Fleet.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace amaranthwind;
using namespace amaranthwind::coordinator;
using namespace amaranthwind::coordinator::testing;
using namespace std::chrono_literals;

namespace {

/** What a leader that resigns now says about the grants of earlier ones. */
bool
ResignsSettled(Fleet& aFleet, EntryProcess& aLeader)
{
  REQUIRE(aFleet.Holder() == aLeader.name);
  aLeader.coordinator->Resign();
  aFleet.Run(300ms);
  // Another entry may have claimed since then.
  const auto claims = aFleet.Claims();
  const auto found =
    std::find_if(claims.rbegin(), claims.rend(), [](const auto& aClaim) {
      return aClaim.isResigned;
    });
  REQUIRE(found != claims.rend());
  REQUIRE(found->holder.View() == aLeader.name);
  return found->isSettled;
}

/**
 * The first leader is cut off, so that its grants may run on for 15.4 s, and
 * the second has just replaced it.
 */
struct UnsettledTerm
{
  UnsettledTerm()
  {
    this->fleet.Run(3s);
    REQUIRE(this->fleet.Holder() == "first");
    this->second = &this->fleet.Start("second");
    this->fleet.Run(2s);
    this->first.Cut();
    this->fleet.Run(3s);
    REQUIRE(this->fleet.Holder() == "second");
  }

  Fleet fleet;
  EntryProcess& first = fleet.Start("first");
  EntryProcess* second = nullptr;
};

} // namespace

TEST_CASE("the grants of a predecessor that confirms are bounded")
{
  Fleet fleet;
  EntryProcess& first = fleet.Start("first");
  fleet.Run(3s);
  EntryProcess& second = fleet.Start("second");
  fleet.Run(2s);
  first.Freeze();
  fleet.Run(3s);
  REQUIRE(fleet.Holder() == "second");
  first.Thaw();
  fleet.Run(2s);
  CHECK(ResignsSettled(fleet, second));
}

TEST_CASE("a leader whose predecessor is cut off is not settled")
{
  UnsettledTerm term;
  CHECK_FALSE(ResignsSettled(term.fleet, *term.second));
}

// Guards against two runs of a task: the leader after next waits too briefly
// for grants of the first.
TEST_CASE(
  "an unsettled predecessor that confirms does not settle its successor")
{
  UnsettledTerm term;
  Fleet& fleet = term.fleet;
  EntryProcess& second = *term.second;
  EntryProcess& third = fleet.Start("third");
  fleet.Run(1s);
  second.Freeze();
  SUBCASE("when it learns from the notice that it has been replaced")
  {
    fleet.Run(3s);
    second.Thaw();
  }
  SUBCASE("when it learns from the log that it has been replaced")
  {
    fleet.network.isCut[second.address] = true;
    fleet.Run(3s);
    second.Thaw();
    fleet.Run(700ms);
    fleet.network.isCut[second.address] = false;
  }
  SUBCASE("when it resigns")
  {
    second.Thaw();
    second.coordinator->Resign();
  }
  fleet.Run(1500ms);
  CHECK_FALSE(ResignsSettled(fleet, third));
}

// Guards against two runs of a task after an unsettled leader has restarted.
TEST_CASE("a restart does not settle the term of an unsettled leader")
{
  UnsettledTerm term;
  Fleet& fleet = term.fleet;
  SUBCASE("and the restarted leader claims again")
  {
    term.second->Kill();
    EntryProcess& restarted = fleet.Start("second", 2);
    fleet.Run(1s);
    CHECK_FALSE(ResignsSettled(fleet, restarted));
  }
  SUBCASE("and another claims, to whom the restarted one confirms")
  {
    EntryProcess& third = fleet.Start("third");
    fleet.Run(1s);
    term.second->Kill();
    fleet.Run(3s);
    REQUIRE(fleet.Holder() == "third");
    fleet.Start("second", 2);
    fleet.Run(2s);
    CHECK_FALSE(ResignsSettled(fleet, third));
  }
}

TEST_CASE("a restart keeps the term of a settled leader settled")
{
  Fleet fleet;
  EntryProcess& first = fleet.Start("first");
  fleet.Run(3s);
  first.Kill();
  EntryProcess& restarted = fleet.Start("first", 2);
  fleet.Run(1s);
  CHECK(ResignsSettled(fleet, restarted));
}

// Guards against a new wait of 15.4 s at each change of the leader.
TEST_CASE("a leader is settled once no earlier grant can still be running")
{
  UnsettledTerm term;
  Fleet& fleet = term.fleet;
  SUBCASE("and says so when it resigns")
  {
    fleet.Run(15s);
    CHECK(ResignsSettled(fleet, *term.second));
  }
  SUBCASE("and its confirmation settles its successor")
  {
    EntryProcess& third = fleet.Start("third");
    fleet.Run(16s);
    term.second->Freeze();
    fleet.Run(3s);
    REQUIRE(fleet.Holder() == "third");
    term.second->Thaw();
    fleet.Run(2s);
    CHECK(ResignsSettled(fleet, third));
  }
  SUBCASE("but not before")
  {
    fleet.Run(11s);
    CHECK_FALSE(ResignsSettled(fleet, *term.second));
  }
}

// Guards against connections to a VM that is gone, twice a second for as
// long as the leader leads.
TEST_CASE("a settled leader does not look for its predecessor any more")
{
  UnsettledTerm term;
  term.fleet.Run(5s);
  CHECK(term.fleet.network.attempts[term.first.address] > 5);
  term.fleet.Run(12s);
  const int attempts = term.fleet.network.attempts[term.first.address];
  term.fleet.Run(10s);
  CHECK(term.fleet.network.attempts[term.first.address] == attempts);
}
