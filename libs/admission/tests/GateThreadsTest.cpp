#include "amaranthwind/admission/AdmissionQueue.h"
#include "amaranthwind/base/BoundedQueue.h"
#include "amaranthwind/base/RcuCell.h"

#include <doctest/doctest.h>

#include <atomic>
#include <future>
#include <optional>
#include <thread>
#include <vector>

using namespace amaranthwind;
using namespace amaranthwind::admission;
using namespace std::chrono_literals;

// Guards against a lost wake-up between a slot release and a request that is
// being queued (the test would hang), against exceeding the capacity, and
// against reuse of counters while a slot refers to them. Run under
// ThreadSanitizer.
TEST_CASE("I/O threads and the admission thread share the slots of the gate")
{
  constexpr int kThreads = 3;
  constexpr int kRequests = 3000;
  constexpr std::uint32_t kCapacity = 2;
  constexpr base::TimePoint kNow{ 1h };
  const base::AccountId account("account");
  const base::WorkKindId kind("kind");
  policy::Policy policy;
  policy.accounts = { { .id = account, .guarantees = {} } };
  policy.kinds = { { .id = kind } };
  // Id of a request to be queued, or 0 for a released slot.
  using Message = RequestId;

  ShareTable table;
  CapacityGate gate(kCapacity);
  base::RcuCell<ShareSnapshot> shares(table.Build(policy));
  base::BoundedQueue<Message> messages(10'000);
  std::atomic<std::uint32_t> running{ 0 };
  std::atomic<std::uint32_t> violations{ 0 };
  std::atomic<int> refused{ 0 };

  std::vector<std::promise<std::optional<Slot>>> replies(kThreads * kRequests +
                                                         1);

  std::thread admission([&] {
    AdmissionQueue queue(gate, table.Build(policy));
    int received = 0;
    auto deliver = [&](Effects aEffects) {
      for (Effect& effect : aEffects) {
        if (auto* dispatch = std::get_if<Dispatch>(&effect)) {
          replies[dispatch->id.Get()].set_value(std::move(dispatch->slot));
        } else {
          replies[std::get<Refuse>(effect).id.Get()].set_value(std::nullopt);
        }
      }
    };
    while (auto message = messages.PopFor(1h)) {
      if (*message == Message(0)) {
        deliver(queue.Complete(kNow));
      } else {
        deliver(queue.Submit({ .id = *message,
                               .account = account,
                               .kind = kind,
                               .caller = base::CallerId("caller"),
                               .arrival = kNow,
                               .deadline = kNow + 1h },
                             kNow));
      }
      if (++received % 100 == 0) {
        shares.Publish(table.Build(policy));
        deliver(queue.PolicyChanged(table.Build(policy), kNow));
      }
    }
  });
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int thread = 0; thread < kThreads; ++thread) {
    threads.emplace_back([&, thread] {
      for (int i = 0; i < kRequests; ++i) {
        std::optional<Slot> slot;
        {
          auto snapshot = shares.Read();
          slot = gate.TryAdmit(*snapshot->FindAccount(account.View()),
                               *snapshot->FindKind(kind.View()));
        }
        if (!slot) {
          const auto id =
            static_cast<std::uint64_t>(thread) * kRequests + i + 1;
          messages.TryPush(Message(id));
          slot = replies[id].get_future().get();
        }
        if (!slot) {
          refused.fetch_add(1);
          continue;
        }
        if (running.fetch_add(1) >= kCapacity) {
          violations.fetch_add(1);
        }
        std::this_thread::yield();
        running.fetch_sub(1);
        if (slot->Release(1ms)) {
          messages.TryPush(Message(0));
        }
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  messages.Close();
  admission.join();
  CHECK(violations.load() == 0);
  CHECK(refused.load() == 0);
  CHECK(gate.InUse() == 0);
  CHECK(gate.Waiting() == 0);
}
