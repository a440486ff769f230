#include "amaranthwind/admission/AdmissionQueue.h"
#include "amaranthwind/admission/CapacityGate.h"
#include "amaranthwind/admission/Shares.h"

#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace amaranthwind;
using namespace amaranthwind::admission;
using namespace std::chrono_literals;

namespace {

constexpr base::TimePoint kStart{ 1h };

const base::AccountId kSmall("account-a");
const base::AccountId kLarge("account-b");
const base::WorkKindId kUrgent("quote");
const base::WorkKindId kMiddle("simulation");
const base::WorkKindId kSlow("study");

policy::Policy
MakePolicy()
{
  policy::Policy policy;
  policy.accounts = {
    { .id = kSmall, .weight = 1, .floorPercent = 20, .guarantees = {} },
    { .id = kLarge, .weight = 3, .floorPercent = 30, .guarantees = {} },
  };
  policy.kinds = { { .id = kUrgent, .urgency = 0, .floorPercent = 20 },
                   { .id = kMiddle, .urgency = 1, .floorPercent = 20 },
                   { .id = kSlow, .urgency = 2, .floorPercent = 10 } };
  return policy;
}

/** A gate, a queue and the slots of the dispatched requests. */
struct Fixture
{
  explicit Fixture(std::uint32_t aCapacity, QueueOptions aOptions = {})
    : gate(aCapacity)
    , queue(gate, table.Build(policy), aOptions)
  {
  }

  void Apply(Effects aEffects)
  {
    for (Effect& effect : aEffects) {
      if (auto* dispatch = std::get_if<Dispatch>(&effect)) {
        ++this->effectCounts[dispatch->id.Get()];
        this->running.emplace(dispatch->id.Get(), std::move(dispatch->slot));
      } else {
        auto& refuse = std::get<Refuse>(effect);
        ++this->effectCounts[refuse.id.Get()];
        this->refused.insert_or_assign(refuse.id.Get(), refuse);
      }
    }
  }

  std::uint64_t Submit(const base::AccountId& aAccount,
                       const base::WorkKindId& aKind,
                       std::string_view aCaller = "caller",
                       base::Duration aDeadline = 1h)
  {
    const std::uint64_t id = ++this->lastId;
    const Request request{ .id = RequestId(id),
                           .account = aAccount,
                           .kind = aKind,
                           .caller = base::CallerId(aCaller),
                           .arrival = this->now,
                           .deadline = this->now + aDeadline };
    this->requests.emplace(id, request);
    this->Apply(this->queue.Submit(request, this->now));
    return id;
  }

  /** Completes the request that has been running longest. */
  std::uint64_t CompleteOldest()
  {
    auto oldest = this->running.begin();
    const std::uint64_t id = oldest->first;
    oldest->second.Release(10ms);
    this->running.erase(oldest);
    this->Apply(this->queue.Complete(this->now));
    return id;
  }

  std::uint32_t InUse(const base::WorkKindId& aKind)
  {
    return this->shares->FindKind(aKind.View())->usage->inUse.load();
  }
  std::uint32_t InUse(const base::AccountId& aAccount)
  {
    return this->shares->FindAccount(aAccount.View())->usage->inUse.load();
  }

  policy::Policy policy = MakePolicy();
  ShareTable table;
  std::unique_ptr<const ShareSnapshot> shares = table.Build(policy);
  CapacityGate gate;
  AdmissionQueue queue;
  base::TimePoint now = kStart;
  std::uint64_t lastId = 0;
  std::map<std::uint64_t, Slot> running;
  std::map<std::uint64_t, Refuse> refused;
  std::map<std::uint64_t, int> effectCounts;
  std::map<std::uint64_t, Request> requests;
};

} // namespace

// Guards against an overload of one kind, including the most urgent one, that
// consumes the floor of another kind, and against unused floors that stay idle.
TEST_CASE("every kind gets its floor back during a flood of any other")
{
  const std::vector<base::WorkKindId> kinds = { kUrgent, kMiddle, kSlow };
  for (const base::WorkKindId& flood : kinds) {
    CAPTURE(flood.Text());
    Fixture fixture(20);
    for (int i = 0; i < 200; ++i) {
      fixture.Submit(i % 2 == 0 ? kSmall : kLarge, flood);
    }
    CHECK(fixture.InUse(flood) == 20);
    for (int i = 0; i < 100; ++i) {
      for (const base::WorkKindId& kind : kinds) {
        fixture.Submit(kSmall, kind);
      }
    }
    for (int i = 0; i < 20; ++i) {
      fixture.CompleteOldest();
    }
    for (const base::WorkKindId& kind : kinds) {
      CAPTURE(kind.Text());
      const std::uint32_t floor =
        fixture.shares->FindKind(kind.View())->floorPercent * 20 / 100;
      CHECK(fixture.InUse(kind) >= floor);
    }
    CHECK(fixture.InUse(kSmall) >= 4);
    CHECK(fixture.InUse(kLarge) >= 6);
  }
}

// Guards against unfair distribution of the capacity above the floors, which is
// allocated to the more urgent kind first and to accounts by weight.
TEST_CASE("capacity above the floors is allocated by urgency and weight")
{
  Fixture fixture(100);
  for (int i = 0; i < 300; ++i) {
    fixture.Submit(kSmall, kMiddle);
    fixture.Submit(kLarge, kMiddle);
    fixture.Submit(kLarge, kSlow);
  }
  for (int i = 0; i < 200; ++i) {
    fixture.CompleteOldest();
  }
  CHECK(fixture.InUse(kSlow) == 10);
  CHECK(fixture.InUse(kSmall) == 25);
  CHECK(fixture.InUse(kLarge) == 75);
}

// Guards against a caller that exceeds its share, or delays other callers, by
// sending 50 times as many requests.
TEST_CASE("a caller that asks 50 times more gets no more than its share")
{
  Fixture fixture(8);
  for (int round = 0; round < 20; ++round) {
    for (int i = 0; i < 50; ++i) {
      fixture.Submit(kSmall, kUrgent, "greedy");
    }
    for (const char* caller : { "one", "two", "three" }) {
      fixture.Submit(kSmall, kUrgent, caller);
    }
  }
  std::map<std::string, int> served;
  for (int i = 0; i < 60; ++i) {
    ++served[fixture.requests[fixture.CompleteOldest()].caller.Text()];
  }
  CHECK(served["greedy"] <= 60 / 4 + 8);
  for (const char* caller : { "one", "two", "three" }) {
    CHECK(served[caller] >= 12);
  }
  // A caller that was idle is served before callers with a backlog.
  const std::uint64_t id = fixture.Submit(kSmall, kUrgent, "idle until now");
  fixture.CompleteOldest();
  fixture.CompleteOldest();
  CHECK(fixture.running.contains(id));
}

// Guards against a request that is both dispatched and refused, or neither,
// when its timeout coincides with a released slot.
TEST_CASE("a timeout that races with a dispatch produces exactly one effect")
{
  for (const base::Duration wait : { 1s - 1ns, 1s + 0ns, 1s + 1ns }) {
    Fixture fixture(1);
    fixture.Submit(kSmall, kUrgent);
    const std::uint64_t id = fixture.Submit(kSmall, kUrgent, "caller", 1100ms);
    CHECK(fixture.queue.NextTick() == kStart + 1s);
    fixture.now += wait;
    fixture.CompleteOldest();
    fixture.Apply(fixture.queue.Tick(fixture.now));
    CHECK(fixture.effectCounts[id] == 1);
    CHECK(fixture.running.contains(id) == (wait < 1s));
    if (wait >= 1s) {
      CHECK(fixture.refused[id].error.code == base::ErrorCode::QueueTimeout);
      CHECK(fixture.refused[id].retryAfter > 0s);
    }
    CHECK(fixture.queue.NextTick() == base::TimePoint::max());
  }
}

// Guards against leaked slots or queue positions when many callers cancel, and
// against an effect for a cancelled request.
TEST_CASE("a burst of cancellations leaves no trace")
{
  Fixture fixture(4);
  for (int i = 0; i < 1000; ++i) {
    fixture.Submit(kLarge, kMiddle, std::to_string(i % 37));
  }
  for (std::uint64_t id = 1; id <= fixture.lastId; ++id) {
    const bool isWaiting = fixture.effectCounts[id] == 0;
    CHECK(fixture.queue.Cancel(RequestId(id)) == isWaiting);
    CHECK(!fixture.queue.Cancel(RequestId(id)));
  }
  CHECK(fixture.queue.Waiting() == 0);
  CHECK(fixture.gate.Waiting() == 0);
  fixture.running.clear();
  CHECK(fixture.gate.InUse() == 0);
  CHECK(fixture.InUse(kLarge) == 0);
  CHECK(fixture.queue.Tick(fixture.now).empty());
}

// Guards against requests that are refused only after waiting, and against
// unbounded growth of the queue.
TEST_CASE("a request whose expected wait is too long is refused at once")
{
  Fixture fixture(2, { .maxWaiting = 600 });
  std::uint64_t id = 0;
  while (fixture.refused.empty()) {
    id = fixture.Submit(kSmall, kUrgent);
  }
  // 2 slots of 100 ms each serve 100 requests within the limit of 5 s.
  CHECK(id > 90);
  CHECK(id < 110);
  CHECK(fixture.refused[id].error.code == base::ErrorCode::QueueFull);
  CHECK(fixture.refused[id].retryAfter >= 100ms);
  for (int i = 0; i < 1000; ++i) {
    fixture.Submit(kSmall, kUrgent, std::to_string(i));
  }
  CHECK(fixture.queue.Waiting() <= 100);
  const std::uint64_t late = fixture.Submit(kLarge, kSlow, "late", 0s);
  CHECK(fixture.refused[late].error.code == base::ErrorCode::QueueTimeout);
}

// Guards against a request of a withdrawn account that runs or is never
// answered, and against a slot that is later counted for the wrong account.
TEST_CASE("queued requests of a withdrawn account are refused as not run")
{
  Fixture fixture(1);
  fixture.Submit(kSmall, kUrgent);
  const std::uint64_t withdrawn = fixture.Submit(kSmall, kUrgent);
  const std::uint64_t kept = fixture.Submit(kLarge, kUrgent);
  fixture.policy.accounts.erase(fixture.policy.accounts.begin());
  fixture.shares = fixture.table.Build(fixture.policy);
  fixture.Apply(fixture.queue.PolicyChanged(fixture.table.Build(fixture.policy),
                                            fixture.now));
  CHECK(fixture.refused[withdrawn].error ==
        base::Error{ base::ErrorCode::UnknownAccount, kSmall.Text() });
  const std::uint64_t later = fixture.Submit(kSmall, kUrgent);
  CHECK(fixture.refused[later].error.code == base::ErrorCode::UnknownAccount);
  CHECK(fixture.effectCounts[kept] == 0);
  fixture.policy.accounts.push_back(
    { .id = base::AccountId("account-c"), .guarantees = {} });
  fixture.shares = fixture.table.Build(fixture.policy);
  CHECK(fixture.InUse(base::AccountId("account-c")) == 0);
  fixture.CompleteOldest();
  CHECK(fixture.running.contains(kept));
  CHECK(fixture.gate.InUse() == 1);
}

// Guards against a fast path that overtakes queued requests, and against a slot
// that is released twice.
TEST_CASE("the gate admits only with free capacity and an empty queue")
{
  Fixture fixture(2);
  const auto& account = *fixture.shares->FindAccount(kSmall.View());
  const auto& kind = *fixture.shares->FindKind(kUrgent.View());
  auto first = fixture.gate.TryAdmit(account, kind);
  auto second = fixture.gate.TryAdmit(account, kind);
  REQUIRE(first);
  REQUIRE(second);
  CHECK(!fixture.gate.TryAdmit(account, kind));
  CHECK(!second->Release());
  CHECK(!second->Release());
  CHECK(fixture.gate.InUse() == 1);
  fixture.Submit(kSmall, kUrgent);
  const std::uint64_t waiting = fixture.Submit(kSmall, kUrgent);
  CHECK(first->Release());
  CHECK(!fixture.gate.TryAdmit(account, kind));
  fixture.Apply(fixture.queue.Complete(fixture.now));
  CHECK(fixture.running.contains(waiting));
  fixture.Apply(fixture.queue.CapacityChanged(4, fixture.now));
  CHECK(fixture.gate.TryAdmit(account, kind));
}

// Guards against a service time estimate that once exceeds the deadline, causes
// every request to be refused, and is therefore never corrected.
TEST_CASE("a service time longer than the deadline does not stop a kind")
{
  Fixture fixture(1);
  fixture.shares->FindKind(kSlow.View())->usage->RecordServiceTime(1min);
  const std::uint64_t first = fixture.Submit(kSmall, kUrgent);
  const std::uint64_t slow = fixture.Submit(kSmall, kSlow, "caller", 4s);
  CHECK(fixture.refused.empty());
  fixture.running.erase(first);
  fixture.Apply(fixture.queue.Complete(fixture.now));
  CHECK(fixture.running.contains(slow));
}

// Guards against floor slots that are lent for seconds while their owner is
// only briefly idle, and against slots that stay unused after the owner has
// stopped.
TEST_CASE("recently used floor slots are not lent to a slow kind at once")
{
  Fixture fixture(10);
  fixture.shares->FindKind(kSlow.View())->usage->RecordServiceTime(3s);
  fixture.shares->FindKind(kUrgent.View())->usage->RecordServiceTime(10ms);
  const std::uint64_t first = fixture.Submit(kSmall, kUrgent);
  const std::uint64_t second = fixture.Submit(kSmall, kUrgent);
  for (int i = 0; i < 10; ++i) {
    fixture.Submit(kLarge, kSlow, std::to_string(i));
  }
  CHECK(fixture.InUse(kSlow) == 8);
  fixture.running.erase(first);
  fixture.running.erase(second);
  fixture.Apply(fixture.queue.Complete(fixture.now));
  CHECK(fixture.InUse(kSlow) == 8);
  const std::uint64_t third = fixture.Submit(kSmall, kUrgent);
  CHECK(fixture.running.contains(third));
  fixture.running.erase(third);
  for (int i = 0; i < 11; ++i) {
    REQUIRE(fixture.queue.NextTick() == fixture.now + 100ms);
    fixture.now += 100ms;
    fixture.Apply(fixture.queue.Tick(fixture.now));
    if (fixture.queue.Waiting() == 0) {
      break;
    }
  }
  CHECK(fixture.InUse(kSlow) == 10);
}

// Guards against a request that loses its queue position, its time limit or its
// slot when no target had capacity, and against redispatch in a tight loop.
TEST_CASE("a requeued request keeps its queue position and its time limit")
{
  Fixture fixture(1);
  const std::uint64_t first = fixture.Submit(kSmall, kUrgent);
  const std::uint64_t second = fixture.Submit(kSmall, kUrgent);
  fixture.now += 1s;
  fixture.running.clear();
  fixture.Apply(fixture.queue.Requeue(fixture.requests[first], fixture.now));
  fixture.Apply(fixture.queue.Requeue(fixture.requests[first], fixture.now));
  CHECK(fixture.running.empty());
  CHECK(fixture.gate.Waiting() == 2);
  fixture.Apply(fixture.queue.Complete(fixture.now));
  CHECK(fixture.running.contains(first));
  CHECK(!fixture.running.contains(second));
  fixture.now += 4s;
  fixture.running.clear();
  fixture.Apply(fixture.queue.Requeue(fixture.requests[first], fixture.now));
  CHECK(fixture.refused[first].error.code == base::ErrorCode::QueueTimeout);
}
