#include "DispatchBench.h"

#include <doctest/doctest.h>

#include <set>

using namespace amaranthwind;
using namespace amaranthwind::dispatch;
using namespace std::chrono_literals;

namespace {

job::WorkflowSpec
MakeGang(const std::string& aId,
         std::uint32_t aCount,
         std::uint32_t aAccelerators)
{
  auto spec = DispatchBench::MakeJob(aId, aCount, aAccelerators);
  spec.steps[0].isGang = true;
  return spec;
}

job::WorkflowSpec
MakeUrgent(const std::string& aId,
           std::uint32_t aCount,
           std::uint32_t aAccelerators)
{
  auto spec = MakeGang(aId, aCount, aAccelerators);
  spec.urgency = 0;
  spec.account = base::AccountId("guaranteed");
  return spec;
}

std::set<base::RackId>
RacksOf(const DispatchBench& aBench, const std::string& aJob)
{
  std::set<base::RackId> racks;
  for (const auto& run : aBench.Running(aJob)) {
    racks.insert(aBench.agents.at(aBench.AgentOf(run)).info.rack);
  }
  return racks;
}

constexpr PackingWorker
WorkerOf(std::uint32_t aFree, std::uint32_t aRack)
{
  return { { 64'000, 262'144, aFree }, aRack, UINT32_MAX };
}

} // namespace

TEST_CASE("packing fills what is fullest and keeps whole racks free")
{
  const BestFitPacking packing;
  const PackingWorker workers[] = {
    WorkerOf(8, 0), WorkerOf(3, 0), WorkerOf(8, 1), WorkerOf(8, 1)
  };
  using Chosen = std::vector<std::uint32_t>;
  const auto pack = [&](std::uint32_t aCount,
                        std::uint32_t aAccelerators,
                        bool aIsOneRack = false) {
    PackingRequest request;
    request.need = { 1000, 1024, aAccelerators };
    request.count = aCount;
    request.isOneRack = aIsOneRack;
    return packing.Pack(workers, request);
  };
  CHECK(pack(1, 2) == Chosen{ 1 });
  CHECK(pack(2, 3) == Chosen{ 1, 0 });
  CHECK(pack(2, 8, true) == Chosen{ 2, 3 });
  CHECK(pack(3, 8) == Chosen{ 0, 2, 3 });
  CHECK(pack(3, 8, true).empty());
  CHECK(pack(4, 8).empty());
}

TEST_CASE("packing heeds every quantity and the spread")
{
  const BestFitPacking packing;
  PackingWorker worker = WorkerOf(8, 0);
  worker.spreadLeft = 2;
  const auto fits = [&](const fleet::TaskResources& aNeed,
                        std::uint32_t aCount) {
    PackingRequest request;
    request.need = aNeed;
    request.count = aCount;
    return !packing.Pack(std::span(&worker, 1), request).empty();
  };
  CHECK(fits({ 1000, 1024, 1 }, 2));
  CHECK_FALSE(fits({ 1000, 1024, 1 }, 3));
  CHECK_FALSE(fits({ 40'000, 1024, 1 }, 2));
  CHECK_FALSE(fits({ 1000, 140'000, 1 }, 2));
  CHECK_FALSE(fits({ 1000, 1024, 5 }, 2));
}

TEST_CASE("a gang that prefers one rack gets one")
{
  DispatchBench bench(6);
  bench.Submit(DispatchBench::MakeJob("a", 1, 8));
  auto gang = MakeGang("g", 3, 8);
  gang.steps[0].prefersOneRack = true;
  bench.Submit(gang);
  CHECK(RacksOf(bench, "g").size() == 1);
}

// Guards against a gang that waits for ever for a rack that is too small.
TEST_CASE("a gang that no rack can hold takes several")
{
  DispatchBench bench(6);
  auto gang = MakeGang("g", 4, 8);
  gang.steps[0].prefersOneRack = true;
  bench.Submit(gang);
  CHECK(RacksOf(bench, "g").size() == 2);
}

// Guards against room that stays unused while a job waits for its rack.
TEST_CASE("a job does not wait long for its rack while much is idle")
{
  DispatchBench bench(6);
  for (auto& [name, agent] : bench.agents) {
    if (agent.info.rack == base::RackId("r0")) {
      agent.info.capacity.accelerators = 4;
    }
  }
  bench.TakeOver();
  auto job = DispatchBench::MakeJob("j", 1, 8);
  job.steps[0].dataRack = base::RackId("r0");
  job.steps[0].estimate = 60s;
  bench.Submit(job);
  CHECK(bench.starts.empty());
  bench.Run(2500ms);
  CHECK(bench.Running("j").size() == 1);
}

TEST_CASE("labels, pools and spread restrict the choice")
{
  DispatchBench bench(3);
  bench.agents.at("vm-1").info.labels = { "b" };
  bench.agents.at("vm-2").info.pool = base::PoolId("other");
  bench.TakeOver();
  auto labelled = DispatchBench::MakeJob("l", 1, 1);
  labelled.steps[0].requiredLabel = "b";
  bench.Submit(labelled);
  CHECK(bench.AgentOf(bench.Running("l").at(0)) == "vm-1");
  auto spread = DispatchBench::MakeJob("s", 3, 1);
  spread.steps[0].maxPerWorker = 1;
  bench.Submit(spread);
  CHECK(bench.Running("s").size() == 2);
  CHECK(bench.agents.at("vm-2").running.empty());
}

// Guards against a large gang that never starts because small jobs fill each
// hole.
TEST_CASE("small jobs do not delay the gang that waits for room")
{
  DispatchBench bench(1);
  bench.Submit(DispatchBench::MakeJob("a", 1, 6));
  bench.Submit(MakeGang("g", 1, 8));
  auto longer = DispatchBench::MakeJob("l", 1, 2);
  longer.steps[0].estimate = 20s;
  bench.Submit(longer);
  CHECK(bench.Running("l").empty());
  auto brief = DispatchBench::MakeJob("s", 1, 2);
  brief.steps[0].estimate = 1s;
  bench.Submit(brief);
  CHECK(bench.Running("s").size() == 1);
  bench.EndAll("s", EndKind::Done);
  bench.EndAll("a", EndKind::Done);
  CHECK(bench.Running("g").size() == 1);
}

// Guards against an overload in which every job waits for those that are late
// already, so that all of them end late.
TEST_CASE("a job that can still be in time goes before a late one of its rank")
{
  DispatchBench bench(1);
  bench.Submit(DispatchBench::MakeJob("busy", 1, 8));
  bench.Submit(DispatchBench::MakeJob("late", 1, 8));
  bench.Run(10s);
  bench.Submit(DispatchBench::MakeJob("new", 1, 8));
  bench.EndAll("busy", EndKind::Done);
  CHECK(bench.Running("new").size() == 1);
  CHECK(bench.Running("late").empty());
  bench.EndAll("new", EndKind::Done);
  CHECK(bench.Running("late").size() == 1);
}

TEST_CASE("a guaranteed job takes back the room that others borrow")
{
  DispatchBench bench(2);
  bench.guarantees = { { base::AccountId("guaranteed"), 8 } };
  bench.TakeOver();
  bench.Submit(DispatchBench::MakeJob("a", 2, 8));
  bench.Submit(MakeUrgent("u", 1, 8));
  bench.Run(1s);
  CHECK(bench.Running("u").size() == 1);
  CHECK(bench.Running("a").size() == 1);
}

// Guards against work that is thrown away for a job that gains less.
TEST_CASE("an urgent job without a guarantee stops only cheap work, in time")
{
  DispatchBench bench(2);
  bench.guarantees = { { base::AccountId("guaranteed"), 8 } };
  bench.TakeOver();
  bench.Submit(DispatchBench::MakeJob("a", 2, 8));
  SUBCASE("cheap work is stopped")
  {
    bench.Submit(MakeUrgent("u", 2, 8));
    bench.Run(1s);
    CHECK(bench.Running("u").size() == 2);
  }
  SUBCASE("dear work goes on")
  {
    bench.Run(3s);
    bench.Submit(MakeUrgent("u", 2, 8));
    bench.Run(1s);
    CHECK(bench.stops.empty());
    CHECK(bench.Running("u").empty());
  }
  SUBCASE("nothing is stopped for a job that is late anyway")
  {
    auto late = MakeUrgent("u", 2, 8);
    late.stretch = 1.0;
    late.slack = 0s;
    bench.Submit(late);
    bench.Run(1s);
    CHECK(bench.stops.empty());
  }
  SUBCASE("urgent work is stopped by no other urgent work")
  {
    bench.EndAll("a", EndKind::Done);
    bench.Submit(MakeUrgent("u", 2, 8));
    REQUIRE(bench.Running("u").size() == 2);
    bench.Submit(MakeUrgent("v", 2, 8));
    bench.Run(1s);
    CHECK(bench.stops.empty());
  }
}

// Guards against stops that are ordered again while the first ones take time.
TEST_CASE("room that is being freed is not reclaimed twice")
{
  DispatchBench bench(2);
  bench.guarantees = { { base::AccountId("guaranteed"), 8 } };
  bench.TakeOver();
  bench.stopsAtOnce = false;
  bench.Submit(DispatchBench::MakeJob("a", 2, 8));
  bench.Submit(MakeUrgent("u", 1, 8));
  bench.Run(1s);
  CHECK(bench.stops.size() == 1);
}

TEST_CASE("the cheapest work is stopped for a guarantee")
{
  DispatchBench bench(2);
  bench.guarantees = { { base::AccountId("guaranteed"), 8 } };
  bench.TakeOver();
  bench.Submit(DispatchBench::MakeJob("a", 1, 8));
  bench.Run(2s);
  bench.Submit(DispatchBench::MakeJob("b", 1, 8));
  bench.Run(1s);
  bench.Submit(MakeUrgent("u", 1, 8));
  bench.Run(500ms);
  CHECK(bench.Running("a").size() == 1);
  CHECK(bench.Running("u").size() == 1);
}

// Guards against a worker that fails all that it is given and so is always
// the emptiest.
TEST_CASE("a worker whose runs all fail is left alone for a while")
{
  DispatchBench bench(1);
  auto job = DispatchBench::MakeJob("j", 1, 1);
  job.maxAttempts = 10;
  bench.Submit(job);
  bench.EndAll("j", EndKind::Failed);
  CHECK(bench.starts.size() == 2);
  bench.EndAll("j", EndKind::Failed);
  CHECK(bench.starts.size() == 2);
  bench.Run(5s);
  CHECK(bench.starts.size() == 3);
}
