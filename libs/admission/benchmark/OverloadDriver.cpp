// Discrete-event simulation that compares admission policies under overload,
// with a manual clock and fixed seeds. Usage: overload_driver [seeds]
//
// One entry owns a third of 11 executors with 8 slots each. Three kinds of
// short requests offer 20% of its capacity each, then one of them offers ten
// times as much. The second part has one caller send 50 times as many requests
// as each of the 20 other callers of the same account.
#include "amaranthwind/admission/AdmissionQueue.h"
#include "amaranthwind/base/ManualClock.h"
#include "amaranthwind/base/Random.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <map>
#include <memory>
#include <numeric>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

using namespace amaranthwind;
using namespace amaranthwind::admission;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kCapacity = 11 * 8 / 3;
// Allows a few hundred requests of the slowest kind per run.
constexpr base::Duration kRunDuration = 120s;
constexpr base::Duration kWarmUp = 10s;
constexpr base::Duration kDeadline = 10s;

/** Poisson arrivals of one kind, uniform over accounts and callers. */
struct Source
{
  std::size_t kind = 0;
  double perSecond = 0;
  std::vector<std::size_t> accounts;
  std::vector<std::string> callers;
  /** Index of the GroupResult that collects the statistics. */
  std::size_t group = 0;
};

struct GroupResult
{
  std::uint64_t offered = 0;
  std::uint64_t done = 0;
  std::uint64_t refusedEarly = 0;
  std::uint64_t timedOut = 0;
  std::vector<double> latencies;
  std::map<std::string, std::uint64_t> doneByCaller;
  std::map<std::string, std::uint64_t> offeredByCaller;

  double P99()
  {
    if (this->latencies.empty()) {
      return 0;
    }
    auto position =
      this->latencies.begin() +
      static_cast<std::ptrdiff_t>(this->latencies.size() * 99 / 100);
    std::nth_element(this->latencies.begin(), position, this->latencies.end());
    return *position;
  }
};

struct KindModel
{
  const char* name;
  std::uint32_t urgency;
  base::Duration service;
};

std::array<KindModel, 3> kKinds = {
  { { "quote", 0, 50ms }, { "booking", 1, 100ms }, { "tagging", 2, 300ms } }
};
constexpr std::size_t kAccounts = 4;

policy::Policy
MakePolicy()
{
  policy::Policy policy;
  policy.accounts.reserve(kAccounts);
  for (std::size_t i = 0; i < kAccounts; ++i) {
    policy.accounts.push_back(
      { .id = base::AccountId("account-" + std::to_string(i)),
        .floorPercent = 15,
        .guarantees = {} });
  }
  policy.kinds.reserve(kKinds.size());
  for (const KindModel& kind : kKinds) {
    policy.kinds.push_back({ .id = base::WorkKindId(kind.name),
                             .urgency = kind.urgency,
                             .floorPercent = 30 });
  }
  std::sort(
    policy.kinds.begin(),
    policy.kinds.end(),
    [](const auto& aLeft, const auto& aRight) { return aLeft.id < aRight.id; });
  return policy;
}

/** Admission policy under test. */
class Admission
{
public:
  virtual ~Admission() = default;
  virtual Effects Submit(const Request& aRequest, base::TimePoint aNow) = 0;
  virtual Effects Complete(Slot aSlot,
                           base::Duration aService,
                           base::TimePoint aNow) = 0;
  virtual base::TimePoint NextTick() const = 0;
  virtual Effects Tick(base::TimePoint aNow) = 0;
};

/** CapacityGate and AdmissionQueue. */
class QueueAdmission final : public Admission
{
public:
  Effects Submit(const Request& aRequest, base::TimePoint aNow) override
  {
    const AccountShare* account =
      this->shares->FindAccount(aRequest.account.View());
    const KindShare* kind = this->shares->FindKind(aRequest.kind.View());
    if (auto slot = this->gate.TryAdmit(*account, *kind)) {
      Effects effects;
      effects.emplace_back(Dispatch{ aRequest.id, std::move(*slot) });
      return effects;
    }
    return this->queue.Submit(aRequest, aNow);
  }
  Effects Complete(Slot aSlot,
                   base::Duration aService,
                   base::TimePoint aNow) override
  {
    return aSlot.Release(aService) ? this->queue.Complete(aNow) : Effects();
  }
  base::TimePoint NextTick() const override { return this->queue.NextTick(); }
  Effects Tick(base::TimePoint aNow) override { return this->queue.Tick(aNow); }

private:
  ShareTable table;
  CapacityGate gate{ kCapacity };
  std::unique_ptr<const ShareSnapshot> shares = table.Build(MakePolicy());
  AdmissionQueue queue{ gate, table.Build(MakePolicy()) };
};

/** Baseline: FIFO or strict priority, with a queue limit of 5 s. */
class BaselineAdmission final : public Admission
{
public:
  explicit BaselineAdmission(bool aByUrgency)
    : isByUrgency(aByUrgency)
  {
  }
  Effects Submit(const Request& aRequest, base::TimePoint aNow) override
  {
    std::size_t level = 0;
    for (const KindModel& kind : kKinds) {
      if (this->isByUrgency && aRequest.kind.View() == kind.name) {
        level = kind.urgency;
      }
    }
    this->levels[level].push_back(aRequest);
    return this->Tick(aNow);
  }
  Effects Complete(Slot aSlot,
                   base::Duration /*aService*/,
                   base::TimePoint aNow) override
  {
    aSlot.Release();
    return this->Tick(aNow);
  }
  base::TimePoint NextTick() const override { return base::TimePoint::max(); }
  Effects Tick(base::TimePoint aNow) override
  {
    Effects effects;
    for (auto& level : this->levels) {
      while (!level.empty()) {
        const Request& next = level.front();
        if (next.arrival + 5s <= aNow) {
          effects.emplace_back(Refuse{ next.id, {}, {} });
        } else if (auto slot = this->gate.TryAcquire(
                     this->shares->Accounts()[0], this->shares->Kinds()[0])) {
          effects.emplace_back(Dispatch{ next.id, std::move(*slot) });
        } else {
          return effects;
        }
        level.pop_front();
      }
    }
    return effects;
  }

private:
  const bool isByUrgency;
  ShareTable table;
  CapacityGate gate{ kCapacity };
  std::unique_ptr<const ShareSnapshot> shares = table.Build(MakePolicy());
  std::array<std::deque<Request>, kKinds.size()> levels;
};

std::vector<GroupResult>
Simulate(Admission& aAdmission,
         const std::vector<Source>& aSources,
         std::uint64_t aSeed)
{
  enum class EventType
  {
    Arrival,
    End,
    Tick
  };
  struct Event
  {
    base::TimePoint time;
    std::uint64_t order;
    EventType type;
    std::uint64_t subject;
    bool operator>(const Event& aOther) const
    {
      return std::tie(this->time, this->order) >
             std::tie(aOther.time, aOther.order);
    }
  };
  struct ActiveRequest
  {
    Request request;
    std::size_t source;
    base::Duration service;
    std::optional<Slot> slot;
  };
  base::ManualClock clock;
  // One generator per source, so that the other sources offer identical
  // requests with and without the overload.
  std::vector<base::RandomEngine> random;
  std::vector<GroupResult> results(aSources.size());
  std::unordered_map<std::uint64_t, ActiveRequest> active;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  std::uint64_t lastId = 0;
  std::uint64_t order = 0;
  base::TimePoint nextTick = base::TimePoint::max();
  const base::TimePoint start = clock.Now();
  auto nextArrivalDelay = [&](std::size_t aSource) {
    std::exponential_distribution<double> gap(aSources[aSource].perSecond);
    return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(gap(random[aSource])));
  };
  for (std::size_t i = 0; i < aSources.size(); ++i) {
    random.emplace_back(aSeed * 1000 + i);
    events.push(
      { start + nextArrivalDelay(i), ++order, EventType::Arrival, i });
  }
  auto isCounted = [&](const ActiveRequest& aRequest) {
    return aRequest.request.arrival >= start + kWarmUp;
  };
  auto apply = [&](Effects aEffects) {
    for (Effect& effect : aEffects) {
      if (auto* dispatch = std::get_if<Dispatch>(&effect)) {
        ActiveRequest& item = active.at(dispatch->id.Get());
        item.slot = std::move(dispatch->slot);
        events.push({ clock.Now() + item.service,
                      ++order,
                      EventType::End,
                      dispatch->id.Get() });
        continue;
      }
      const Refuse& refuse = std::get<Refuse>(effect);
      const ActiveRequest& item = active.at(refuse.id.Get());
      if (isCounted(item)) {
        GroupResult& result = results[aSources[item.source].group];
        if (refuse.error.code == base::ErrorCode::QueueFull) {
          ++result.refusedEarly;
        } else {
          ++result.timedOut;
        }
      }
      active.erase(refuse.id.Get());
    }
    if (aAdmission.NextTick() < nextTick) {
      nextTick = aAdmission.NextTick();
      events.push({ nextTick, ++order, EventType::Tick, 0 });
    }
  };
  while (!events.empty() && events.top().time < start + kRunDuration) {
    const Event event = events.top();
    events.pop();
    clock.Advance(event.time - clock.Now());
    const base::TimePoint now = clock.Now();
    if (event.type == EventType::Tick) {
      nextTick = base::TimePoint::max();
      apply(aAdmission.Tick(now));
    } else if (event.type == EventType::Arrival) {
      const Source& source = aSources[event.subject];
      base::RandomEngine& engine = random[event.subject];
      const std::uint64_t id = ++lastId;
      const KindModel& kind = kKinds[source.kind];
      std::exponential_distribution<double> service(
        1 / std::chrono::duration<double>(kind.service).count());
      const ActiveRequest item{
        .request = { .id = RequestId(id),
                     .account = base::AccountId(
                       "account-" +
                       std::to_string(
                         source.accounts[engine() % source.accounts.size()])),
                     .kind = base::WorkKindId(kind.name),
                     .caller = base::CallerId(
                       source.callers[engine() % source.callers.size()]),
                     .arrival = now,
                     .deadline = now + kDeadline },
        .source = event.subject,
        .service = std::chrono::duration_cast<base::Duration>(
          std::chrono::duration<double>(service(engine))),
        .slot = std::nullopt
      };
      events.push({ now + nextArrivalDelay(event.subject),
                    ++order,
                    EventType::Arrival,
                    event.subject });
      if (isCounted(item)) {
        ++results[source.group].offered;
        ++results[source.group].offeredByCaller[item.request.caller.Text()];
      }
      const Request request = item.request;
      active.emplace(id,
                     ActiveRequest{ request, item.source, item.service, {} });
      apply(aAdmission.Submit(request, now));
    } else {
      auto completed = active.extract(event.subject);
      ActiveRequest& item = completed.mapped();
      if (isCounted(item)) {
        GroupResult& result = results[aSources[item.source].group];
        ++result.done;
        ++result.doneByCaller[item.request.caller.Text()];
        result.latencies.push_back(
          std::chrono::duration<double, std::milli>(now - item.request.arrival)
            .count());
      }
      apply(aAdmission.Complete(std::move(*item.slot), item.service, now));
    }
  }
  return results;
}

std::unique_ptr<Admission>
MakeAdmission(std::string_view aName)
{
  if (aName == "floors") {
    return std::make_unique<QueueAdmission>();
  }
  return std::make_unique<BaselineAdmission>(aName == "strict priority");
}

constexpr std::array<std::string_view, 3> kPolicies = { "floors",
                                                        "FIFO",
                                                        "strict priority" };

double
Median(std::vector<double> aValues)
{
  std::sort(aValues.begin(), aValues.end());
  return aValues[aValues.size() / 2];
}

std::vector<std::string>
Callers(int aCount)
{
  std::vector<std::string> callers;
  callers.reserve(static_cast<std::size_t>(aCount));
  for (int i = 0; i < aCount; ++i) {
    callers.push_back("caller-" + std::to_string(i));
  }
  return callers;
}

double
PerSecond(std::size_t aKind, double aLoad)
{
  return aLoad * kCapacity /
         std::chrono::duration<double>(kKinds[aKind].service).count();
}

void
RunOverload(std::uint64_t aSeeds, base::Duration aTagging)
{
  kKinds[2].service = aTagging;
  std::printf("\nx10 overload of one kind, tagging takes %ld ms; other kinds: "
              "goodput kept, p99 relative to the run without overload\n",
              static_cast<long>(aTagging / 1ms));
  std::printf("%-16s %-8s %-8s | %8s %8s | %7s %7s | %9s %9s %9s %9s\n",
              "policy",
              "flood",
              "other",
              "goodput",
              "worst",
              "p99",
              "worst",
              "p99 ms",
              "done",
              "early",
              "late");
  for (std::string_view policy : kPolicies) {
    for (std::size_t overloaded = 0; overloaded < kKinds.size(); ++overloaded) {
      std::array<std::vector<double>, kKinds.size()> goodput;
      std::array<std::vector<double>, kKinds.size()> p99;
      std::array<double, kKinds.size()> milliseconds{};
      std::uint64_t done = 0;
      std::uint64_t early = 0;
      std::uint64_t late = 0;
      for (std::uint64_t seed = 1; seed <= aSeeds; ++seed) {
        std::vector<Source> sources;
        for (std::size_t kind = 0; kind < kKinds.size(); ++kind) {
          sources.push_back(
            { kind, PerSecond(kind, 0.2), { 0, 1, 2, 3 }, Callers(20), kind });
        }
        auto before = Simulate(*MakeAdmission(policy), sources, seed);
        sources[overloaded].perSecond *= 10;
        auto during = Simulate(*MakeAdmission(policy), sources, seed);
        for (std::size_t kind = 0; kind < kKinds.size(); ++kind) {
          goodput[kind].push_back(static_cast<double>(during[kind].done) /
                                  static_cast<double>(before[kind].done));
          milliseconds[kind] = during[kind].P99();
          p99[kind].push_back(milliseconds[kind] / before[kind].P99());
        }
        done += during[overloaded].done;
        early += during[overloaded].refusedEarly;
        late += during[overloaded].timedOut;
      }
      for (std::size_t kind = 0; kind < kKinds.size(); ++kind) {
        if (kind == overloaded) {
          continue;
        }
        std::printf(
          "%-16s %-8s %-8s | %8.3f %8.3f | %7.2f %7.2f | %9.0f %9lu %9lu "
          "%9lu\n",
          policy.data(),
          kKinds[overloaded].name,
          kKinds[kind].name,
          Median(goodput[kind]),
          *std::min_element(goodput[kind].begin(), goodput[kind].end()),
          Median(p99[kind]),
          *std::max_element(p99[kind].begin(), p99[kind].end()),
          milliseconds[kind],
          done / aSeeds,
          early / aSeeds,
          late / aSeeds);
      }
    }
  }
}

/**
 * Jain's fairness index of the served requests, relative to the max-min fair
 * share of each caller.
 */
double
JainIndex(const GroupResult& aSmall, const GroupResult& aLarge, double aSlots)
{
  std::map<std::string, double> demand;
  std::map<std::string, double> served;
  for (const GroupResult* group : { &aSmall, &aLarge }) {
    for (const auto& [caller, offered] : group->offeredByCaller) {
      demand[caller] = static_cast<double>(offered);
      auto done = group->doneByCaller.find(caller);
      served[caller] = done == group->doneByCaller.end()
                         ? 0
                         : static_cast<double>(done->second);
    }
  }
  std::vector<double> ascending;
  ascending.reserve(demand.size());
  for (const auto& [caller, offered] : demand) {
    ascending.push_back(offered);
  }
  std::sort(ascending.begin(), ascending.end());
  double left = aSlots;
  double share = 0;
  for (std::size_t i = 0; i < ascending.size(); ++i) {
    share = left / static_cast<double>(ascending.size() - i);
    left -= std::min(ascending[i], share);
  }
  double sum = 0;
  double squares = 0;
  for (const auto& [caller, offered] : demand) {
    const double satisfied = served[caller] / std::min(offered, share);
    sum += satisfied;
    squares += satisfied * satisfied;
  }
  return sum * sum / (static_cast<double>(demand.size()) * squares);
}

void
RunLargeCaller(std::uint64_t aSeeds)
{
  std::printf("\none caller at x50 beside 20 small callers, one account\n");
  std::printf("%-16s %-10s | %7s %7s | %7s %7s | %9s\n",
              "policy",
              "small load",
              "p99",
              "worst",
              "Jain",
              "worst",
              "p99 ms");
  for (std::string_view policy : kPolicies) {
    for (double load : { 0.2, 0.3, 0.4, 0.6 }) {
      std::vector<double> p99;
      std::vector<double> jain;
      double milliseconds = 0;
      const double rate = PerSecond(1, load);
      for (std::uint64_t seed = 1; seed <= aSeeds; ++seed) {
        std::vector<Source> sources = { { 1, rate, { 0 }, Callers(20), 0 } };
        auto before = Simulate(*MakeAdmission(policy), sources, seed);
        sources.push_back({ 1, rate / 20 * 50, { 0 }, { "large" }, 1 });
        auto during = Simulate(*MakeAdmission(policy), sources, seed);
        milliseconds = during[0].P99();
        p99.push_back(milliseconds / before[0].P99());
        const double slots =
          PerSecond(1, 1) *
          std::chrono::duration<double>(kRunDuration - kWarmUp).count();
        jain.push_back(JainIndex(during[0], during[1], slots));
      }
      std::printf("%-16s %-10.1f | %7.2f %7.2f | %7.3f %7.3f | %9.0f\n",
                  policy.data(),
                  load,
                  Median(p99),
                  *std::max_element(p99.begin(), p99.end()),
                  Median(jain),
                  *std::min_element(jain.begin(), jain.end()),
                  milliseconds);
    }
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const std::uint64_t seeds =
    aCount > 1 ? std::strtoull(aArguments[1], nullptr, 10) : 20;
  std::printf("%u slots, %lu seeds, median and worst\n", kCapacity, seeds);
  RunOverload(seeds, 300ms);
  RunOverload(seeds, 3s);
  RunLargeCaller(seeds);
  return 0;
}
