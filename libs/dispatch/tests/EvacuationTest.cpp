#include "DispatcherHarness.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace amaranthwind;
using namespace amaranthwind::dispatch;
using namespace std::chrono_literals;

namespace {

constexpr auto kMaxEvacuationAge = 4600ms;

base::ZoneId
ZoneOf(std::uint32_t aNumber)
{
  return base::ZoneId("zone-" + std::to_string(aNumber));
}

/** Two workers in each of two zones, vm-0 and vm-1 in the first. */
struct ZonedHarness : DispatcherHarness
{
  ZonedHarness()
    : DispatcherHarness(4)
  {
    this->options.maxEvacuationAge = kMaxEvacuationAge;
    for (std::uint32_t i = 0; i < 4; ++i) {
      this->agents.at("vm-" + std::to_string(i)).info.zone = ZoneOf(i / 2);
    }
    this->TakeOver();
  }

  bool IsIn(std::uint32_t aZone, const job::TaskRun& aRun) const
  {
    return this->agents.at(this->AgentOf(aRun)).info.zone == ZoneOf(aZone);
  }
  /** Number of the job's tasks on workers of the zone. */
  std::ptrdiff_t CountIn(std::uint32_t aZone, const std::string& aJob) const
  {
    const auto runs = this->Running(aJob);
    return std::count_if(runs.begin(), runs.end(), [&](const auto& aRun) {
      return this->IsIn(aZone, aRun);
    });
  }
};

} // namespace

// Guards against starts in a zone that the operator empties, and against
// stopping what runs there.
TEST_CASE("an evacuated zone gets no task and its tasks run on")
{
  ZonedHarness harness;
  harness.Submit(DispatcherHarness::MakeJob("before", 4, 8));
  REQUIRE(harness.CountIn(0, "before") == 2);
  harness.Evacuate({ ZoneOf(0) });
  CHECK(harness.CountIn(0, "before") == 2);
  CHECK(harness.stops.empty());
  harness.EndAll("before", EndKind::Done);
  harness.Submit(DispatcherHarness::MakeJob("after", 4, 8));
  harness.Run(2s);
  CHECK(harness.CountIn(0, "after") == 0);
  CHECK(harness.CountIn(1, "after") == 2);
  harness.Evacuate({});
  harness.Run(1s);
  CHECK(harness.CountIn(0, "after") == 2);
}

// Guards against a failed task that is started again in the evacuated zone.
TEST_CASE("a task that fails in an evacuated zone is placed elsewhere")
{
  ZonedHarness harness;
  harness.Submit(DispatcherHarness::MakeJob("j", 3, 8));
  harness.Evacuate({ ZoneOf(0) });
  harness.EndAll("j", EndKind::Failed);
  harness.Run(20s);
  CHECK(harness.CountIn(0, "j") == 0);
  CHECK(harness.CountIn(1, "j") == 2);
}

// Guards against a start whose placement became durable after the request.
TEST_CASE("placements in an evacuated zone that are not ordered are withdrawn")
{
  ZonedHarness harness;
  harness.persistsImmediately = false;
  auto job = DispatcherHarness::MakeJob("j", 3, 8);
  SUBCASE("of independent tasks") {}
  SUBCASE("of a gang, all members of which are placed again together")
  {
    job.steps[0].isGang = true;
    job.steps[0].count = 2;
  }
  SUBCASE("of a gang that no longer fits and waits")
  {
    job.steps[0].isGang = true;
  }
  harness.Submit(job);
  REQUIRE(harness.PendingWrites() > 0);
  harness.Evacuate({ ZoneOf(0) });
  harness.persistsImmediately = true;
  harness.Persist();
  harness.Run(2s);
  CHECK_FALSE(harness.withdrawn.empty());
  for (const StartTask& start : harness.starts) {
    CHECK(harness.agents.at(start.agent.Text()).info.zone == ZoneOf(1));
  }
  const bool isWaitingGang = job.steps[0].isGang && job.steps[0].count == 3;
  CHECK(harness.Running("j").size() == (isWaitingGang ? 0 : 2));
}

// Guards against an order that arrives, or is tried again, after the time by
// which the zone has to be left alone.
TEST_CASE("a start is valid for no longer than the evacuations are known")
{
  ZonedHarness harness;
  harness.options.maxStartAge = 60s;
  harness.TakeOver();
  harness.areEvacuationsConfirmed = false;
  harness.now.now += 1500ms;
  for (const auto& [name, agent] : harness.agents) {
    harness.Report(name);
  }
  harness.Submit(DispatcherHarness::MakeJob("j", 1, 1));
  REQUIRE(harness.starts.size() == 1);
  CHECK(harness.starts[0].validFor == kMaxEvacuationAge - 1500ms);
}

// Guards against a coordinator that was paused or lost the log and starts tasks
// although a zone may be evacuated meanwhile.
TEST_CASE("nothing is placed or ordered while the evacuations are not known")
{
  ZonedHarness harness;
  harness.areEvacuationsConfirmed = false;
  SUBCASE("for too long")
  {
    harness.Run(kMaxEvacuationAge);
  }
  SUBCASE("by a successor that has not read them")
  {
    harness.TakeOver();
  }
  harness.Submit(DispatcherHarness::MakeJob("j", 1, 1));
  CHECK(harness.starts.empty());
  CHECK(harness.PendingWrites() == 0);
  harness.areEvacuationsConfirmed = true;
  harness.Run(1s);
  CHECK(harness.starts.size() == 1);
}

// Guards against repeating a lost order in a zone that is evacuated meanwhile.
TEST_CASE("a start order that was lost is not repeated in an evacuated zone")
{
  ZonedHarness harness;
  for (auto& [name, agent] : harness.agents) {
    agent.delaysOrders = true;
  }
  harness.Submit(DispatcherHarness::MakeJob("j", 2, 8));
  REQUIRE(harness.starts.size() == 2);
  harness.Evacuate({ ZoneOf(0), ZoneOf(1) });
  for (auto& [name, agent] : harness.agents) {
    harness.Reconnect(name); // The orders are lost.
    agent.delaysOrders = false;
  }
  harness.Run(3s);
  CHECK(harness.starts.size() == 2);
  harness.Evacuate({ ZoneOf(0) });
  harness.Run(3s);
  CHECK(harness.CountIn(1, "j") == 2);
}

// Guards against waiting for the rack of the data while its zone is emptied.
TEST_CASE("a step whose data is in an evacuated zone is placed at once")
{
  ZonedHarness harness;
  for (auto& [name, agent] : harness.agents) {
    agent.info.rack = base::RackId(agent.info.zone.View());
  }
  harness.TakeOver();
  harness.Evacuate({ ZoneOf(0) });
  auto job = DispatcherHarness::MakeJob("j", 2, 8);
  job.steps[0].dataRack = base::RackId(ZoneOf(0).View());
  harness.Submit(job);
  CHECK(harness.CountIn(1, "j") == 2);
}

// Guards against losing jobs while no zone takes tasks.
TEST_CASE("jobs wait while all zones are evacuated and start afterwards")
{
  ZonedHarness harness;
  harness.Evacuate({ ZoneOf(0), ZoneOf(1) });
  harness.Submit(DispatcherHarness::MakeJob("j", 4, 8));
  harness.Run(5s);
  CHECK(harness.starts.empty());
  CHECK(harness.Phase("j") == ledger::JobPhase::Pending);
  harness.Evacuate({ ZoneOf(1) });
  harness.Evacuate({ ZoneOf(0), ZoneOf(1) }); // Revoked for a moment.
  harness.Evacuate({});
  harness.Run(1s);
  CHECK(harness.Running("j").size() == 4);
}

// Guards against a change for deployments that know no evacuations.
TEST_CASE("evacuations are ignored unless they are enabled")
{
  ZonedHarness harness;
  harness.options.maxEvacuationAge.reset();
  harness.areEvacuationsConfirmed = false;
  harness.TakeOver();
  harness.Evacuate({ ZoneOf(0), ZoneOf(1) });
  harness.areEvacuationsConfirmed = true;
  harness.Submit(DispatcherHarness::MakeJob("j", 4, 8));
  CHECK(harness.Running("j").size() == 4);
}

// Guards against a placement that waits forever, neither ordered nor withdrawn,
// since only a change of the evacuated zones withdrew placements.
TEST_CASE("placements are withdrawn when their worker states an evacuated zone")
{
  ZonedHarness harness;
  harness.Evacuate({ ZoneOf(0) });
  harness.persistsImmediately = false;
  auto job = DispatcherHarness::MakeJob("j", 1, 8);
  job.steps[0].isGang = true;
  harness.Submit(job);
  REQUIRE(harness.PendingWrites() == 1);
  harness.agents.at("vm-2").info.zone = ZoneOf(0);
  harness.agents.at("vm-3").info.zone = ZoneOf(0);
  harness.Report("vm-2");
  harness.Report("vm-3");
  harness.agents.at("vm-0").info.zone = ZoneOf(1);
  harness.Report("vm-0");
  harness.persistsImmediately = true;
  harness.Persist();
  harness.Run(2s);
  // From vm-2 to vm-3, which moves next, and then to vm-0.
  CHECK(harness.withdrawn.size() == 2);
  REQUIRE(harness.Running("j").size() == 1);
  CHECK(harness.AgentOf(harness.Running("j")[0]) == "vm-0");
}
