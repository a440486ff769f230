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

const base::AccountId kSmallAccount("account-a");
const base::AccountId kLargeAccount("account-b");
const base::WorkKindId kUrgentKind("quote");
const base::WorkKindId kMediumKind("simulation");
const base::WorkKindId kSlowKind("study");

policy::Policy
MakePolicy()
{
  policy::Policy policy;
  policy.accounts = {
    { .id = kSmallAccount, .weight = 1, .floorPercent = 20, .guarantees = {} },
    { .id = kLargeAccount, .weight = 3, .floorPercent = 30, .guarantees = {} },
  };
  policy.kinds = { { .id = kUrgentKind, .urgency = 0, .floorPercent = 20 },
                   { .id = kMediumKind, .urgency = 1, .floorPercent = 20 },
                   { .id = kSlowKind, .urgency = 2, .floorPercent = 10 } };
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
TEST_CASE("every kind regains its floor during an overload of any other")
{
  const std::vector<base::WorkKindId> kinds = { kUrgentKind,
                                                kMediumKind,
                                                kSlowKind };
  for (const base::WorkKindId& overloaded : kinds) {
    CAPTURE(overloaded.Text());
    Fixture fixture(20);
    for (int i = 0; i < 200; ++i) {
      fixture.Submit(i % 2 == 0 ? kSmallAccount : kLargeAccount, overloaded);
    }
    CHECK(fixture.InUse(overloaded) == 20);
    for (int i = 0; i < 100; ++i) {
      for (const base::WorkKindId& kind : kinds) {
        fixture.Submit(kSmallAccount, kind);
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
    CHECK(fixture.InUse(kSmallAccount) >= 4);
    CHECK(fixture.InUse(kLargeAccount) >= 6);
  }
}

// Guards against unfair distribution of the capacity above the floors, which is
// allocated to the more urgent kind first and to accounts by weight.
TEST_CASE("capacity above the floors is allocated by urgency and weight")
{
  Fixture fixture(100);
  for (int i = 0; i < 300; ++i) {
    fixture.Submit(kSmallAccount, kMediumKind);
    fixture.Submit(kLargeAccount, kMediumKind);
    fixture.Submit(kLargeAccount, kSlowKind);
  }
  for (int i = 0; i < 200; ++i) {
    fixture.CompleteOldest();
  }
  CHECK(fixture.InUse(kSlowKind) == 10);
  CHECK(fixture.InUse(kSmallAccount) == 25);
  CHECK(fixture.InUse(kLargeAccount) == 75);
}

// Guards against a caller that exceeds its share, or delays other callers, by
// sending 50 times as many requests.
TEST_CASE("a caller that sends 50 times more requests gets only its share")
{
  Fixture fixture(8);
  for (int round = 0; round < 20; ++round) {
    for (int i = 0; i < 50; ++i) {
      fixture.Submit(kSmallAccount, kUrgentKind, "greedy");
    }
    for (const char* caller : { "one", "two", "three" }) {
      fixture.Submit(kSmallAccount, kUrgentKind, caller);
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
  const std::uint64_t id =
    fixture.Submit(kSmallAccount, kUrgentKind, "idle until now");
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
    fixture.Submit(kSmallAccount, kUrgentKind);
    const std::uint64_t id =
      fixture.Submit(kSmallAccount, kUrgentKind, "caller", 1100ms);
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
TEST_CASE("a burst of cancellations releases all slots and queue positions")
{
  Fixture fixture(4);
  for (int i = 0; i < 1000; ++i) {
    fixture.Submit(kLargeAccount, kMediumKind, std::to_string(i % 37));
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
  CHECK(fixture.InUse(kLargeAccount) == 0);
  CHECK(fixture.queue.Tick(fixture.now).empty());
}

// Guards against requests that are refused only after waiting, and against
// unbounded growth of the queue.
TEST_CASE("a request whose expected wait is too long is refused at once")
{
  Fixture fixture(2, { .maxWaiting = 600 });
  std::uint64_t id = 0;
  while (fixture.refused.empty()) {
    id = fixture.Submit(kSmallAccount, kUrgentKind);
  }
  // 2 slots of 100 ms each serve 100 requests within the limit of 5 s.
  CHECK(id > 90);
  CHECK(id < 110);
  CHECK(fixture.refused[id].error.code == base::ErrorCode::QueueFull);
  CHECK(fixture.refused[id].retryAfter >= 100ms);
  for (int i = 0; i < 1000; ++i) {
    fixture.Submit(kSmallAccount, kUrgentKind, std::to_string(i));
  }
  CHECK(fixture.queue.Waiting() <= 100);
  const std::uint64_t late =
    fixture.Submit(kLargeAccount, kSlowKind, "late", 0s);
  CHECK(fixture.refused[late].error.code == base::ErrorCode::QueueTimeout);
}

// Guards against a request of a withdrawn account that runs or is never
// answered, and against a slot that is later counted for the wrong account.
TEST_CASE("queued requests of a withdrawn account are refused as not run")
{
  Fixture fixture(1);
  fixture.Submit(kSmallAccount, kUrgentKind);
  const std::uint64_t withdrawn = fixture.Submit(kSmallAccount, kUrgentKind);
  const std::uint64_t kept = fixture.Submit(kLargeAccount, kUrgentKind);
  fixture.policy.accounts.erase(fixture.policy.accounts.begin());
  fixture.shares = fixture.table.Build(fixture.policy);
  fixture.Apply(fixture.queue.PolicyChanged(fixture.table.Build(fixture.policy),
                                            fixture.now));
  CHECK(fixture.refused[withdrawn].error ==
        base::Error{ base::ErrorCode::UnknownAccount, kSmallAccount.Text() });
  const std::uint64_t later = fixture.Submit(kSmallAccount, kUrgentKind);
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
  const auto& account = *fixture.shares->FindAccount(kSmallAccount.View());
  const auto& kind = *fixture.shares->FindKind(kUrgentKind.View());
  auto first = fixture.gate.TryAdmit(account, kind);
  auto second = fixture.gate.TryAdmit(account, kind);
  REQUIRE(first);
  REQUIRE(second);
  CHECK(!fixture.gate.TryAdmit(account, kind));
  CHECK(!second->Release());
  CHECK(!second->Release());
  CHECK(fixture.gate.InUse() == 1);
  fixture.Submit(kSmallAccount, kUrgentKind);
  const std::uint64_t waiting = fixture.Submit(kSmallAccount, kUrgentKind);
  CHECK(first->Release());
  CHECK(!fixture.gate.TryAdmit(account, kind));
  fixture.Apply(fixture.queue.Complete(fixture.now));
  CHECK(fixture.running.contains(waiting));
  fixture.Apply(fixture.queue.CapacityChanged(4, fixture.now));
  CHECK(fixture.gate.TryAdmit(account, kind));
}

// Guards against a service time estimate that once exceeds the deadline, causes
// every request to be refused, and is therefore never corrected.
TEST_CASE("a service time longer than the deadline does not block a kind")
{
  Fixture fixture(1);
  fixture.shares->FindKind(kSlowKind.View())->usage->RecordServiceTime(1min);
  const std::uint64_t first = fixture.Submit(kSmallAccount, kUrgentKind);
  const std::uint64_t slow =
    fixture.Submit(kSmallAccount, kSlowKind, "caller", 4s);
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
  fixture.shares->FindKind(kSlowKind.View())->usage->RecordServiceTime(3s);
  fixture.shares->FindKind(kUrgentKind.View())->usage->RecordServiceTime(10ms);
  const std::uint64_t first = fixture.Submit(kSmallAccount, kUrgentKind);
  const std::uint64_t second = fixture.Submit(kSmallAccount, kUrgentKind);
  for (int i = 0; i < 10; ++i) {
    fixture.Submit(kLargeAccount, kSlowKind, std::to_string(i));
  }
  CHECK(fixture.InUse(kSlowKind) == 8);
  fixture.running.erase(first);
  fixture.running.erase(second);
  fixture.Apply(fixture.queue.Complete(fixture.now));
  CHECK(fixture.InUse(kSlowKind) == 8);
  const std::uint64_t third = fixture.Submit(kSmallAccount, kUrgentKind);
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
  CHECK(fixture.InUse(kSlowKind) == 10);
}

// Guards against a request that loses its queue position, its time limit or its
// slot when no target had capacity, and against redispatch in a tight loop.
TEST_CASE("a requeued request keeps its queue position and its time limit")
{
  Fixture fixture(1);
  const std::uint64_t first = fixture.Submit(kSmallAccount, kUrgentKind);
  const std::uint64_t second = fixture.Submit(kSmallAccount, kUrgentKind);
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
