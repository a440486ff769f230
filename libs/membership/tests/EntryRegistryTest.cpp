#include "amaranthwind/membership/EntryRegistry.h"

#include "amaranthwind/base/ManualClock.h"

#include <doctest/doctest.h>

using namespace amaranthwind;
using namespace amaranthwind::membership;
using namespace std::chrono_literals;

namespace {

EntryInfo
Info(std::string_view aId, std::uint64_t aIncarnation = 1)
{
  return { base::EntryId(aId), base::Incarnation(aIncarnation), "127.0.0.1:1" };
}

constexpr base::LogOffset kThree(3);
constexpr base::LogOffset kFive(5);

} // namespace

// Guards against an entry that serves an older note than its peers, and against
// one that is never ready because its peers read the log slightly earlier.
TEST_CASE("an entry is ready when it is not behind a live peer")
{
  base::ManualClock clock;
  EntryRegistry registry(Info("e1"));
  CHECK(!registry.IsReady(clock.Now()));
  CHECK(registry.OnSeen(Info("e2"), kFive, clock.Now()) ==
        EntryEffects{ EntryJoined{ Info("e2") },
                      FetchPolicyFrom{ base::EntryId("e2"), kFive } });
  registry.OnOwnOffset(kThree, clock.Now());
  CHECK(!registry.IsReady(clock.Now()));
  registry.OnOwnOffset(kFive, clock.Now());
  registry.OnOwnOffset(kThree, clock.Now());
  CHECK(registry.IsReady(clock.Now()));

  registry.OnSeen(Info("e2"), base::LogOffset(6), clock.Now());
  CHECK(registry.IsReady(clock.Now()));
  clock.Advance(2s);
  registry.OnSeen(Info("e2"), base::LogOffset(6), clock.Now());
  CHECK(!registry.IsReady(clock.Now()));
  registry.OnOwnOffset(base::LogOffset(6), clock.Now());
  CHECK(registry.IsReady(clock.Now()));
}

// Guards against an outage in which no entry is ready because the only peer
// with a newer note has failed.
TEST_CASE("only live peers affect readiness and are reported as live")
{
  base::ManualClock clock;
  EntryRegistry registry(Info("e1"));
  registry.OnOwnOffset(kThree, clock.Now());
  registry.OnSeen(Info("e2"), kFive, clock.Now());
  registry.OnSeen(Info("e3"), kThree, clock.Now());
  CHECK(registry.Live().size() == 3);
  // A late event of an earlier incarnation is ignored.
  registry.OnSeen(Info("e2", 2), kFive, clock.Now());
  CHECK(registry.OnGone(base::EntryId("e2"), base::Incarnation(1)).empty());
  CHECK(registry.OnGone(base::EntryId("e2"), base::Incarnation(2)) ==
        EntryEffects{ EntryRemoved{ base::EntryId("e2") } });
  registry.OnTick(clock.Now());
  CHECK(registry.IsReady(clock.Now()));
  for (int i = 0; i < 8; ++i) {
    clock.Advance(250ms);
    registry.OnTick(clock.Now());
  }
  CHECK(registry.LiveIds() == std::vector{ base::EntryId("e1") });
}
