// Discrete-event simulation that compares target pickers and in-flight limits,
// with a manual clock and fixed seeds. Usage: pick_driver [seeds]
//
// Three entries share 11 executors with 8 slots each, without knowledge of each
// other's load. In some cases one executor is four times slower, or one fails
// every request after 1 ms.
#include "BaselinePickers.h"

#include "amaranthwind/admission/ConcurrencyLimiter.h"
#include "amaranthwind/base/ManualClock.h"
#include "amaranthwind/routing/TargetTable.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

using namespace amaranthwind;
using namespace amaranthwind::routing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kEntries = 3;
constexpr std::size_t kExecutors = 11;
constexpr std::size_t kSlots = 8;
constexpr base::Duration kService = 100ms;
constexpr base::Duration kRunDuration = 60s;
constexpr base::Duration kWarmUp = 15s;
constexpr std::size_t kSlowExecutor = 3;
constexpr std::size_t kFailingExecutor = 7;

struct Setup
{
  const char* name;
  const TargetPicker* picker;
  bool isEjecting;
  bool isAdaptive;
};

struct Case
{
  const char* name;
  double load;
  bool hasSlow;
  bool hasFailing;
};

struct Result
{
  std::vector<double> latencies;
  std::uint64_t failed = 0;
};

struct Entry
{
  Entry(base::TimePoint aNow, const Setup& aSetup)
    : table(aNow, MakeOptions(aSetup.isEjecting))
  {
    for (std::size_t i = 0; i < kExecutors; ++i) {
      this->table.Put(base::TargetId(std::to_string(i)),
                      base::Incarnation(1),
                      kSlots,
                      aNow - 1min);
      this->limiters.emplace_back(
        admission::AdaptiveLimiterOptions{ .initial = kSlots });
    }
    this->snapshot = this->table.Build(aNow);
  }

  static HealthOptions MakeOptions(bool aIsEjecting)
  {
    HealthOptions options;
    if (!aIsEjecting) {
      options.failuresToEject = 1'000'000'000;
    }
    return options;
  }

  TargetTable table;
  std::unique_ptr<const RoutingSnapshot> snapshot;
  std::vector<admission::AdaptiveLimiter> limiters;
  std::array<std::uint64_t, kExecutors> completed{};
  /** Arrival times of requests waiting for a target with capacity. */
  std::deque<base::TimePoint> waiting;
};

struct RunningRequest
{
  std::size_t entry;
  std::size_t executor;
  base::TimePoint arrival;
  TargetPermit permit;
};

class Simulation
{
public:
  Simulation(const Setup& aSetup, const Case& aCase, std::uint64_t aSeed)
    : setup(aSetup)
    , scenario(aCase)
    , random(aSeed)
  {
    for (std::size_t i = 0; i < kEntries; ++i) {
      this->entries.push_back(std::make_unique<Entry>(this->Now(), aSetup));
    }
  }

  Result Run()
  {
    const base::TimePoint end = this->Now() + kRunDuration;
    this->warmUpEnd = this->Now() + kWarmUp;
    this->OnArrival();
    this->Schedule(100ms, [this] { this->UpdateLimits(); });
    while (this->events.top().time < end) {
      const Event event = this->events.top();
      this->events.pop();
      this->clock.Advance(event.time - this->Now());
      event.action();
    }
    return std::move(this->result);
  }

private:
  struct Event
  {
    base::TimePoint time;
    std::uint64_t order;
    std::function<void()> action;
    bool operator>(const Event& aOther) const
    {
      return this->time != aOther.time ? this->time > aOther.time
                                       : this->order > aOther.order;
    }
  };

  base::TimePoint Now() const { return this->clock.Now(); }
  void Schedule(base::Duration aDelay, std::function<void()> aAction)
  {
    this->events.push(
      { this->Now() + aDelay, ++this->order, std::move(aAction) });
  }
  base::Duration Exponential(double aMeanSeconds)
  {
    std::exponential_distribution<double> distribution(1 / aMeanSeconds);
    return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(distribution(this->random)));
  }

  void OnArrival()
  {
    const double mean = std::chrono::duration<double>(kService).count() /
                        (this->scenario.load * kExecutors * kSlots);
    this->Schedule(this->Exponential(mean), [this] { this->OnArrival(); });
    const std::size_t entry = this->random() % kEntries;
    this->entries[entry]->waiting.push_back(this->Now());
    this->DispatchWaiting(entry);
  }

  void DispatchWaiting(std::size_t aEntry)
  {
    Entry& entry = *this->entries[aEntry];
    while (!entry.waiting.empty()) {
      auto permit =
        this->setup.picker->Pick(*entry.snapshot, this->Now(), this->random);
      if (!permit) {
        return;
      }
      const std::size_t executor = permit->Target().index;
      auto running = std::make_shared<RunningRequest>(RunningRequest{
        aEntry, executor, entry.waiting.front(), std::move(*permit) });
      entry.waiting.pop_front();
      if (this->scenario.hasFailing && executor == kFailingExecutor) {
        this->Schedule(1ms, [this, running] { this->Finish(*running, false); });
      } else {
        this->queues[executor].push_back(std::move(running));
        this->StartNext(executor);
      }
    }
  }

  void StartNext(std::size_t aExecutor)
  {
    auto& queue = this->queues[aExecutor];
    if (queue.empty() || this->busy[aExecutor] == kSlots) {
      return;
    }
    ++this->busy[aExecutor];
    const double factor =
      this->scenario.hasSlow && aExecutor == kSlowExecutor ? 4 : 1;
    const double mean =
      std::chrono::duration<double>(kService).count() * factor;
    this->Schedule(this->Exponential(mean),
                   [this, aExecutor, running = std::move(queue.front())] {
                     --this->busy[aExecutor];
                     this->Finish(*running, true);
                     this->StartNext(aExecutor);
                   });
    queue.pop_front();
  }

  void Finish(RunningRequest& aRunning, bool aIsDone)
  {
    aRunning.permit.Finish(aIsDone ? Outcome::Success : Outcome::Failure,
                           this->Now());
    if (aIsDone) {
      ++this->entries[aRunning.entry]->completed[aRunning.executor];
    }
    if (aRunning.arrival >= this->warmUpEnd) {
      if (aIsDone) {
        this->result.latencies.push_back(
          std::chrono::duration<double, std::milli>(this->Now() -
                                                    aRunning.arrival)
            .count());
      } else {
        ++this->result.failed;
      }
    }
    this->DispatchWaiting(aRunning.entry);
  }

  void UpdateLimits()
  {
    this->Schedule(100ms, [this] { this->UpdateLimits(); });
    if (!this->setup.isAdaptive) {
      return;
    }
    for (auto& entry : this->entries) {
      for (const RoutingEntry& target : entry->snapshot->Serving()) {
        const std::size_t i = target.handle.index;
        const std::uint32_t limit = entry->limiters[i].Update(
          { .latency = target.state->Latency(),
            .expected = kService,
            .peakInFlight = target.state->InFlight(),
            .completed = static_cast<std::uint32_t>(
              std::exchange(entry->completed[i], 0)) });
        (void)entry->table.SetLimit(target.id, limit);
      }
    }
  }

  const Setup setup;
  const Case scenario;
  base::RandomEngine random;
  base::ManualClock clock;
  base::TimePoint warmUpEnd;
  std::uint64_t order = 0;
  std::vector<std::unique_ptr<Entry>> entries;
  // Declared after the entries, because permits in pending events refer to
  // their tables.
  std::array<std::deque<std::shared_ptr<RunningRequest>>, kExecutors> queues;
  std::array<std::size_t, kExecutors> busy{};
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  Result result;
};

double
Quantile(std::vector<double>& aValues, std::size_t aPercent)
{
  auto position = aValues.begin() +
                  static_cast<std::ptrdiff_t>(aValues.size() * aPercent / 100);
  std::nth_element(aValues.begin(), position, aValues.end());
  return *position;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const std::uint64_t seeds =
    aCount > 1 ? std::strtoull(aArguments[1], nullptr, 10) : 20;
  const PowerOfTwoPicker powerOfTwo;
  const RoundRobinPicker roundRobin;
  const LeastLoadedPicker leastLoaded;
  const std::array<Setup, 6> setups = {
    { { "power of two", &powerOfTwo, true, false },
      { "power of two, adaptive", &powerOfTwo, true, true },
      { "power of two, no ejection", &powerOfTwo, false, false },
      { "round robin", &roundRobin, true, false },
      { "least loaded", &leastLoaded, true, false },
      { "least loaded, no ejection", &leastLoaded, false, false } }
  };
  const std::array<Case, 4> cases = { { { "healthy", 0.7, false, false },
                                        { "one slow", 0.7, true, false },
                                        { "one failing", 0.6, false, true },
                                        { "busy", 0.9, false, false } } };
  std::printf("%lu seeds; p50 and p99 in ms\n", seeds);
  std::printf("%-12s %-26s | %7s %7s %7s | %9s %9s\n",
              "case",
              "picker",
              "p50",
              "p99",
              "worst",
              "failed %",
              "worst");
  for (const Case& scenario : cases) {
    for (const Setup& setup : setups) {
      std::vector<double> p50;
      std::vector<double> p99;
      std::vector<double> failed;
      for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        Result result = Simulation(setup, scenario, seed).Run();
        p50.push_back(Quantile(result.latencies, 50));
        p99.push_back(Quantile(result.latencies, 99));
        failed.push_back(
          100.0 * static_cast<double>(result.failed) /
          static_cast<double>(result.failed + result.latencies.size()));
      }
      std::printf("%-12s %-26s | %7.0f %7.0f %7.0f | %9.2f %9.2f\n",
                  scenario.name,
                  setup.name,
                  Quantile(p50, 50),
                  Quantile(p99, 50),
                  *std::max_element(p99.begin(), p99.end()),
                  Quantile(failed, 50),
                  *std::max_element(failed.begin(), failed.end()));
    }
  }
  return 0;
}
