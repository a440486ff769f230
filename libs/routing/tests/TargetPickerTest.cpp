#include "amaranthwind/routing/TargetPicker.h"
#include "amaranthwind/base/RcuCell.h"
#include "amaranthwind/routing/TargetTable.h"

#include <doctest/doctest.h>

#include <array>
#include <atomic>
#include <map>
#include <string>
#include <thread>
#include <vector>

using namespace amaranthwind;
using namespace amaranthwind::routing;
using namespace std::chrono_literals;

namespace {

constexpr base::TimePoint kStart{ 1h };
constexpr base::Incarnation kFirst{ 1 };

base::TargetId
Id(int aNumber)
{
  return base::TargetId("executor-" + std::to_string(aNumber));
}

/** Adds aCount targets whose slow start has ended at kStart. */
void
AddTargets(TargetTable& aTable, int aCount, std::uint32_t aLimit)
{
  for (int i = 0; i < aCount; ++i) {
    aTable.Put(Id(i), kFirst, aLimit, kStart - 1min);
  }
}

} // namespace

// Guards against a permit that is released twice, or never, when it is moved,
// finished repeatedly or destroyed.
TEST_CASE("a permit is released exactly once")
{
  TargetTable table(kStart);
  const TargetHandle handle = table.Put(Id(0), kFirst, 8, kStart - 1min);
  const auto snapshot = table.Build(kStart);
  const TargetState& state = *table.Find(handle);
  const RoutingEntry& entry = snapshot->Serving()[0];
  {
    auto first = snapshot->TryAcquire(entry, kStart);
    auto second = snapshot->TryAcquire(entry, kStart);
    REQUIRE(first);
    REQUIRE(second);
    CHECK(state.InFlight() == 2);
    TargetPermit moved(std::move(*first));
    CHECK(state.InFlight() == 2);
    moved = std::move(*second);
    CHECK(state.InFlight() == 1);
    moved.Finish(Outcome::Success, kStart + 1ms);
    moved.Finish(Outcome::Failure, kStart + 2ms);
    CHECK(state.InFlight() == 0);
    CHECK(state.Failures() == 0);
  }
  CHECK(state.InFlight() == 0);
  CHECK(state.Successes() == 1);
}

// Guards against a picker that exceeds the limit of a target, or finds no
// target while one still has capacity.
TEST_CASE("all limits can be reached and none is exceeded")
{
  TargetTable table(kStart);
  AddTargets(table, 11, 8);
  const auto snapshot = table.Build(kStart);
  const PowerOfTwoPicker picker;
  base::RandomEngine random(1);
  std::vector<TargetPermit> permits;
  while (auto permit = picker.Pick(*snapshot, kStart, random)) {
    permits.push_back(std::move(*permit));
  }
  CHECK(permits.size() == 88);
  CHECK(snapshot->Capacity(kStart) == 88);
  for (const RoutingEntry& entry : snapshot->Serving()) {
    CHECK(entry.state->InFlight() == 8);
  }
}

// Guards against a target that fails requests immediately, therefore always has
// the lowest load, and attracts the requests of all other targets.
TEST_CASE("a target that fails every request is ejected until it recovers")
{
  TargetTable table(kStart);
  AddTargets(table, 11, 8);
  const auto snapshot = table.Build(kStart);
  const PowerOfTwoPicker picker;
  base::RandomEngine random(2);
  const TargetHandle bad = snapshot->Serving()[3].handle;
  auto run = [&](base::TimePoint aNow, bool aIsBroken, int aCount) {
    int onBad = 0;
    for (int i = 0; i < aCount; ++i) {
      auto permit = picker.Pick(*snapshot, aNow, random);
      REQUIRE(permit);
      const bool isBad = permit->Target() == bad;
      onBad += isBad ? 1 : 0;
      permit->Finish(isBad && aIsBroken ? Outcome::Failure : Outcome::Success,
                     aNow + 1ms);
    }
    return onBad;
  };
  CHECK(run(kStart, true, 1000) == 5);
  CHECK(run(kStart + 1s, true, 1000) == 0);
  // One trial request after the ejection time; it fails, which doubles the
  // time.
  CHECK(run(kStart + 3s, true, 1000) == 1);
  CHECK(run(kStart + 6s, true, 1000) == 0);
  CHECK(run(kStart + 8s, false, 1100) > 50);
  CHECK(table.Find(bad)->CurrentHealth() == Health::Healthy);
}

// Guards against ejecting the whole fleet when a fault common to all targets,
// for example an invalid request, fails every attempt.
TEST_CASE("when all targets fail, at most half of them are ejected")
{
  TargetTable table(kStart);
  AddTargets(table, 11, 8);
  const auto snapshot = table.Build(kStart);
  const PowerOfTwoPicker picker;
  base::RandomEngine random(3);
  for (base::TimePoint now = kStart; now < kStart + 100s; now += 100ms) {
    for (int i = 0; i < 50; ++i) {
      auto permit = picker.Pick(*snapshot, now, random);
      REQUIRE(permit);
      permit->Finish(Outcome::Failure, now);
    }
    CHECK(snapshot->Capacity(now) >= 6 * 8);
  }
}

// Guards against new work on a draining or departed target (a departing target
// gets no new work), and against reuse of a target state while an old permit
// refers to it.
TEST_CASE("draining and departed targets get no work and keep their counters")
{
  TargetTable table(kStart);
  AddTargets(table, 2, 8);
  auto snapshot = table.Build(kStart);
  const PowerOfTwoPicker picker;
  base::RandomEngine random(4);
  auto old = snapshot->TryAcquire(snapshot->Serving()[0], kStart);
  const TargetHandle handle = old->Target();
  REQUIRE(table.SetDraining(Id(0)).has_value());
  snapshot = table.Build(kStart);
  CHECK(snapshot->Serving().size() == 1);
  CHECK(snapshot->Entries().size() == 2);
  CHECK(picker.Pick(*snapshot, kStart, random)->Target() != handle);
  REQUIRE(table.Remove(Id(0), kStart).has_value());
  CHECK(table.Remove(Id(0), kStart).error().code == base::ErrorCode::NoTarget);
  snapshot = table.Build(kStart);
  CHECK(table.Find(handle) == nullptr);
  table.Put(Id(7), kFirst, 8, kStart);
  CHECK(table.PoolSize() == 3);
  old->Finish(Outcome::Success, kStart);
  table.Put(Id(8), kFirst, 8, kStart);
  CHECK(table.PoolSize() == 3);
}

// Guards against a key whose owner or witness changes when other targets join
// or leave, and against dropping a departed owner within the key window: a
// non-idempotent request runs at most once.
TEST_CASE("the rendezvous order is stable and keeps departed targets")
{
  TargetTable table(kStart);
  AddTargets(table, 11, 8);
  auto before = table.Build(kStart);
  std::map<std::string, std::vector<base::TargetId>> orders;
  std::map<base::TargetId, int> owners;
  std::array<const RoutingEntry*, 3> space{};
  for (int i = 0; i < 1100; ++i) {
    const std::string key = "key-" + std::to_string(i);
    for (const RoutingEntry* entry : before->Rank(key, space)) {
      orders[key].push_back(entry->id);
    }
    REQUIRE(orders[key].size() == 3);
    ++owners[orders[key][0]];
  }
  for (const auto& [id, count] : owners) {
    CHECK(count > 60);
    CHECK(count < 140);
  }
  REQUIRE(table.Remove(Id(5), kStart).has_value());
  auto within = table.Build(kStart + kIdempotencyKeyWindow);
  auto after = table.Build(kStart + kIdempotencyKeyWindow + 1s);
  for (const auto& [key, order] : orders) {
    auto now = within->Rank(key, space);
    CHECK(now[0]->id == order[0]);
    CHECK((now[0]->status == TargetStatus::Departed) == (order[0] == Id(5)));
    CHECK(after->Rank(key, space)[0]->id ==
          (order[0] == Id(5) ? order[1] : order[0]));
  }
}

// Guards against a target that receives its full share of requests right after
// it joined, and against a limit that never reaches its full value.
TEST_CASE("the limit of a new target rises during the slow start")
{
  TargetTable table(kStart);
  const TargetHandle handle = table.Put(Id(0), kFirst, 8, kStart);
  const std::vector<std::pair<base::Duration, std::uint32_t>> cases = {
    { 0s, 1 }, { 2s, 2 }, { 5s, 4 }, { 9999ms, 7 }, { 10s, 8 }, { 1h, 8 }
  };
  for (const auto& [age, limit] : cases) {
    CHECK(table.Find(handle)->EffectiveLimit(kStart + age) == limit);
  }
  const TargetHandle next =
    table.Put(Id(0), base::Incarnation(2), 8, kStart + 1h);
  CHECK(next != handle);
  CHECK(table.Find(next)->EffectiveLimit(kStart + 1h) == 1);
}

// Guards against credits that remain cached by idle threads, and against
// exceeding the limit of a target under contention.
TEST_CASE("the limit applies to all threads together and no credit is lost")
{
  constexpr std::uint32_t kLimit = 5;
  TargetTable table(kStart);
  AddTargets(table, 1, kLimit);
  const auto snapshot = table.Build(kStart);
  const RoutingEntry& entry = snapshot->Serving()[0];
  std::atomic<std::uint32_t> running{ 0 };
  std::atomic<std::uint32_t> violations{ 0 };
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int thread = 0; thread < 4; ++thread) {
    threads.emplace_back([&] {
      for (int i = 0; i < 5000; ++i) {
        auto first = snapshot->TryAcquire(entry, kStart);
        auto second = snapshot->TryAcquire(entry, kStart);
        const std::uint32_t held = (first ? 1U : 0U) + (second ? 1U : 0U);
        if (running.fetch_add(held) + held > kLimit) {
          violations.fetch_add(1);
        }
        running.fetch_sub(held);
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  CHECK(violations.load() == 0);
  std::vector<TargetPermit> permits;
  while (auto permit = snapshot->TryAcquire(entry, kStart)) {
    permits.push_back(std::move(*permit));
  }
  CHECK(permits.size() == kLimit);
  // A reduced limit takes effect immediately and includes requests in flight.
  REQUIRE(table.SetLimit(Id(0), 2).has_value());
  for (std::uint32_t held = kLimit; held > 0; --held) {
    CHECK(entry.state->InFlight() == held);
    auto permit = snapshot->TryAcquire(entry, kStart);
    CHECK(permit.has_value() == (held < 2));
    permit.reset();
    permits.pop_back();
  }
}

// Guards against use-after-free and premature reuse of target states when
// snapshots are replaced while other threads pick targets and hold permits. Run
// under ThreadSanitizer.
TEST_CASE("snapshots are replaced while requests hold permits")
{
  TargetTable table(kStart);
  AddTargets(table, 4, 1000);
  base::RcuCell<RoutingSnapshot> cell(table.Build(kStart));
  const PowerOfTwoPicker picker;
  std::atomic<bool> stop{ false };
  std::vector<std::thread> threads;
  threads.reserve(3);
  for (int seed = 0; seed < 3; ++seed) {
    threads.emplace_back([&, seed] {
      base::RandomEngine random(static_cast<std::uint64_t>(seed));
      std::vector<TargetPermit> held;
      while (!stop.load()) {
        {
          auto snapshot = cell.Read();
          if (auto permit = picker.Pick(*snapshot, kStart, random)) {
            held.push_back(std::move(*permit));
          }
        }
        if (held.size() > 20) {
          held[held.size() / 2].Finish(Outcome::Success, kStart + 1ms);
          held.erase(held.begin(), held.begin() + 10);
        }
      }
    });
  }
  for (std::uint64_t round = 2; round < 302; ++round) {
    const int target = static_cast<int>(round % 4);
    if (round % 3 == 0) {
      CHECK(table.Remove(Id(target), kStart).has_value());
      cell.Publish(table.Build(kStart));
    }
    table.Put(Id(target), base::Incarnation(round), 1000, kStart - 1min);
    cell.Publish(table.Build(kStart));
  }
  stop.store(true);
  for (auto& thread : threads) {
    thread.join();
  }
  for (std::uint32_t index = 0; index < table.PoolSize(); ++index) {
    for (std::uint32_t generation = 1; generation < 400; ++generation) {
      if (const TargetState* state = table.Find({ index, generation })) {
        CHECK(state->InFlight() == 0);
      }
    }
  }
  // States of departed incarnations are reused, so memory stays bounded.
  CHECK(table.PoolSize() < 100);
}
