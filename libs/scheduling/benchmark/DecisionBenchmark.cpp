#include "amaranthwind/base/ManualClock.h"
#include "amaranthwind/base/Random.h"
#include "amaranthwind/scheduling/CellScheduler.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

// Measures the cost of one decision: the call that starts a gang on a loaded
// cell.

namespace {

using namespace amaranthwind;
using namespace amaranthwind::scheduling;

/**
 * A cell with about four fifths of its accelerators in use and a third of them
 * guaranteed.
 */
class LoadedCell
{
public:
  /**
   * In a mixed cell, one worker in 24 has 8 accelerators and the others have 1,
   * so that 24,000 workers have 31,000 accelerators. In a small cell every
   * worker has 8.
   */
  LoadedCell(int aWorkers, int aPerRack, bool aIsMixed)
    : random(1)
    , scheduler(MakeSettings())
  {
    std::uint32_t accelerators = 0;
    for (int worker = 0; worker < aWorkers; ++worker) {
      fleet::Target target;
      target.id = base::TargetId("worker-" + std::to_string(worker));
      target.kind = fleet::TargetKind::Worker;
      target.zone = base::ZoneId("z");
      target.rack = base::RackId("rack-" + std::to_string(worker / aPerRack));
      target.resources = { !aIsMixed || worker % 24 == 0 ? 8U : 1U,
                           64,
                           262144 };
      target.address = "10.0.0.1:7000";
      accelerators += target.resources.accelerators;
      this->Send(WorkerJoined{ target });
    }
    PolicyChanged change;
    const std::uint32_t teams = aIsMixed ? 150 : 4;
    for (std::uint32_t team = 0; team < teams; ++team) {
      policy::Account account;
      account.id = base::AccountId("team-" + std::to_string(team));
      account.guarantees.push_back(
        { base::ZoneId("z"),
          std::max(1U, accelerators / (3 * teams)),
          { 1, { 1, 4, 1024 }, fleet::Adjacency::SameZone } });
      change.accounts.push_back(account);
    }
    policy::Account idle;
    idle.id = base::AccountId("team-idle");
    idle.guarantees.push_back(
      { base::ZoneId("z"),
        64,
        { 1, { 1, 4, 1024 }, fleet::Adjacency::SameZone } });
    change.accounts.push_back(idle);
    this->Send(change);
    for (std::uint32_t used = 0; used < accelerators * 4 / 5;) {
      const std::uint32_t members = this->Draw(1, aIsMixed ? 16 : 4);
      this->Submit(members, 1, teams);
      used += members;
    }
  }

  std::uint32_t Draw(std::uint32_t aLow, std::uint32_t aHigh)
  {
    return std::uniform_int_distribution<std::uint32_t>(aLow,
                                                        aHigh)(this->random);
  }

  base::JobId Submit(std::uint32_t aMembers,
                     std::uint32_t aAccelerators,
                     std::uint32_t aTeams,
                     bool aIsPreemptible = true)
  {
    job::JobSpec spec;
    spec.id = base::JobId("job-" + std::to_string(this->jobCount++));
    spec.account = base::AccountId(
      aTeams == 0 ? "team-idle"
                  : "team-" + std::to_string(this->Draw(0, aTeams - 1)));
    spec.kind = base::WorkKindId("study");
    spec.zone = base::ZoneId("z");
    spec.shape = { aMembers,
                   { aAccelerators, 1, 1024 },
                   fleet::Adjacency::SameZone };
    spec.declaredRunTime = std::chrono::hours(1);
    spec.maxRuns = 5;
    spec.isPreemptible = aIsPreemptible;
    this->Send(JobSubmitted{ spec, 1 });
    return spec.id;
  }

  void End(const base::JobId& aJob)
  {
    this->Send(
      GangEnded{ { aJob, base::Attempt(1) }, AttemptOutcome::Succeeded, {} });
  }

  void Wait(base::Duration aTime) { this->clock.Advance(aTime); }

  bool HasStarted() const
  {
    return std::any_of(
      this->effects.begin(), this->effects.end(), [](const Effect& aEffect) {
        return std::holds_alternative<StartGang>(aEffect);
      });
  }

  void Send(const Event& aEvent)
  {
    this->effects.clear();
    this->scheduler.Handle(this->clock.Now(), aEvent, this->effects);
  }

  std::vector<Effect> effects;

private:
  static SchedulerSettings MakeSettings()
  {
    SchedulerSettings settings;
    settings.zone = base::ZoneId("z");
    return settings;
  }

  base::RandomEngine random;
  base::ManualClock clock;
  CellScheduler scheduler;
  std::uint64_t jobCount = 0;
};

void
MeasureDecision(benchmark::State& aState,
                int aWorkers,
                int aPerRack,
                bool aIsMixed,
                std::uint32_t aMembers)
{
  LoadedCell cell(aWorkers, aPerRack, aIsMixed);
  std::vector<double> times;
  std::int64_t started = 0;
  for (auto _ : aState) {
    const auto before = std::chrono::steady_clock::now();
    const base::JobId job = cell.Submit(aMembers, 1, aIsMixed ? 150 : 4);
    const std::chrono::duration<double> time =
      std::chrono::steady_clock::now() - before;
    aState.SetIterationTime(time.count());
    times.push_back(time.count() * 1e6);
    started += std::any_of(
      cell.effects.begin(), cell.effects.end(), [](const Effect& aEffect) {
        return std::holds_alternative<StartGang>(aEffect);
      });
    cell.End(job);
  }
  std::sort(times.begin(), times.end());
  aState.counters["median_us"] = times[times.size() / 2];
  aState.counters["p99_us"] = times[times.size() * 99 / 100];
  aState.counters["started"] =
    static_cast<double>(started) / static_cast<double>(times.size());
}

/** Measures the time of aCall and reports its quantiles. */
template<typename Prepare, typename Call>
void
Measure(benchmark::State& aState, Prepare&& aPrepare, Call&& aCall)
{
  std::vector<double> times;
  for (auto _ : aState) {
    aPrepare();
    const auto before = std::chrono::steady_clock::now();
    aCall();
    const std::chrono::duration<double> time =
      std::chrono::steady_clock::now() - before;
    aState.SetIterationTime(time.count());
    times.push_back(time.count() * 1e6);
  }
  std::sort(times.begin(), times.end());
  aState.counters["median_us"] = times[times.size() / 2];
  aState.counters["p99_us"] = times[times.size() * 99 / 100];
}

/**
 * Starts a gang that must not borrow, so the guarantees have to fit without its
 * workers.
 */
void
LargeFirmGang(benchmark::State& aState)
{
  LoadedCell cell(static_cast<int>(aState.range(0)), 10, true);
  base::JobId job;
  Measure(
    aState,
    [&] {
      if (!job.IsEmpty()) {
        cell.End(job);
      }
    },
    [&] { job = cell.Submit(256, 1, 150, false); });
  aState.counters["started"] = cell.HasStarted() ? 1 : 0;
}

/** Claims 64 accelerators for a team whose guarantee is borrowed by others. */
void
Claim(benchmark::State& aState)
{
  LoadedCell cell(static_cast<int>(aState.range(0)), 10, true);
  while (cell.HasStarted()) {
    cell.Submit(16, 1, 150);
  }
  base::JobId job;
  std::int64_t stops = 0;
  Measure(
    aState,
    [&] {
      const std::vector<Effect> before = cell.effects;
      for (const Effect& effect : before) {
        if (const auto* stop = std::get_if<PreemptGang>(&effect)) {
          ++stops;
          cell.Send(GangEnded{ stop->gang, AttemptOutcome::Preempted, {} });
        }
      }
      cell.Send(JobEnded{ job });
      cell.effects.clear();
    },
    [&] { job = cell.Submit(64, 1, 0, false); });
  aState.counters["stops"] = static_cast<double>(stops);
}

/** Ends a job while 2,000 jobs of 150 teams wait. */
void
EndWithQueue(benchmark::State& aState)
{
  LoadedCell cell(static_cast<int>(aState.range(0)), 10, true);
  std::vector<base::JobId> running;
  for (int job = 0; job < 4000; ++job) {
    const base::JobId id = cell.Submit(cell.Draw(1, 32), 1, 150);
    if (cell.HasStarted()) {
      running.push_back(id);
    }
  }
  std::size_t next = 0;
  Measure(
    aState,
    [&] {
      // Every tenth end triggers a new plan.
      cell.Wait(std::chrono::milliseconds(100));
      cell.Submit(cell.Draw(1, 32), 1, 150);
    },
    [&] { cell.End(running[next++ % running.size()]); });
}

void
SmallCell(benchmark::State& aState)
{
  MeasureDecision(aState, 11, 3, false, 2);
}

void
LargeGang(benchmark::State& aState)
{
  MeasureDecision(aState, static_cast<int>(aState.range(0)), 10, true, 256);
}

BENCHMARK(SmallCell)->UseManualTime()->Iterations(20000);
BENCHMARK(LargeFirmGang)
  ->UseManualTime()
  ->Arg(2400)
  ->Arg(24000)
  ->Iterations(1000);
BENCHMARK(Claim)->UseManualTime()->Arg(775)->Arg(24000)->Iterations(200);
BENCHMARK(EndWithQueue)->UseManualTime()->Arg(775)->Arg(24000)->Iterations(200);
BENCHMARK(LargeGang)->UseManualTime()->Arg(2400)->Arg(24000)->Iterations(2000);

} // namespace

BENCHMARK_MAIN();
