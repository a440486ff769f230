#include "amaranthwind/estimation/LearnedRunTimes.h"

#include <doctest/doctest.h>

#include <cmath>
#include <random>
#include <string>
#include <vector>

using namespace amaranthwind;
using namespace amaranthwind::estimation;
using namespace std::chrono_literals;

namespace {

const WorkloadKey kQuotes{ base::AccountId("lamps"),
                           base::WorkKindId("quotes") };

double
Seconds(base::Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

base::Duration
FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<base::Duration>(
    std::chrono::duration<double>(aSeconds));
}

base::AgentId
VmOf(std::size_t aIndex)
{
  return base::AgentId("vm-" + std::to_string(aIndex));
}

/** Runs of a workload with seeded random sizes and estimates. */
struct Load
{
  explicit Load(std::uint32_t aSeed)
    : random(aSeed)
  {
  }

  /** One run of a job of one task, whose estimate is off by a factor. */
  void RunSingle(const WorkloadKey& aKey, double aMeanS, double aErrorLog)
  {
    const double deviation = this->normal(this->random);
    const double error = this->normal(this->random);
    RunObservation run;
    run.workload = aKey;
    run.step = { base::JobId("j" + std::to_string(++this->jobs)), 0, 0 };
    run.worker = VmOf(0);
    run.elapsed = FromSeconds(aMeanS * std::exp(0.3 * deviation));
    run.estimate =
      FromSeconds(Seconds(run.elapsed) * std::exp(aErrorLog * error));
    this->now += run.elapsed;
    this->learned.OnCompleted(run, this->now);
  }

  /** A step with one task on each worker of a slowness above 0. */
  void RunStep(const std::vector<double>& aSlowness, double aMeanS)
  {
    RunObservation run;
    run.workload = kQuotes;
    run.step = { base::JobId("j" + std::to_string(++this->jobs)), 0, 0 };
    run.stepTasks = static_cast<std::uint32_t>(aSlowness.size());
    run.estimate = FromSeconds(aMeanS);
    for (std::size_t i = 0; i < aSlowness.size(); ++i) {
      const double deviation = this->normal(this->random);
      if (aSlowness[i] <= 0) {
        continue;
      }
      run.worker = VmOf(i);
      run.elapsed =
        FromSeconds(aMeanS * aSlowness[i] * std::exp(0.15 * deviation));
      this->learned.OnCompleted(run, this->now);
    }
    this->now += FromSeconds(aMeanS);
    this->learned.OnTick(this->now);
  }

  std::mt19937 random;
  std::normal_distribution<double> normal;
  LearnedRunTimes learned;
  base::TimePoint now{ 1h };
  int jobs = 0;
};

/** Four of sixteen workers take more than twice as long. */
std::vector<double>
UnevenWorkers()
{
  std::vector<double> slowness(16, 1.0);
  for (std::size_t i = 0; i < slowness.size(); i += 4) {
    slowness[i] = 2.2;
  }
  return slowness;
}

} // namespace

// Guards against a prediction that ignores the caller before any run has shown
// that the estimates are wrong.
TEST_CASE("the first prediction is the caller's estimate")
{
  const LearnedRunTimes learned;
  CHECK_FALSE(learned.Predict(kQuotes, {}).has_value());
  const auto prediction = learned.Predict(kQuotes, 4s);
  REQUIRE(prediction.has_value());
  CHECK(Seconds(prediction->Median()) == doctest::Approx(4));
  CHECK(prediction->High() > 5s);
  CHECK(learned.SlownessOf(VmOf(0)) == 1.0);
  CHECK_FALSE(learned.HasUnevenWorkers());
}

// Guards against trusting an account whose estimates are noise, and against
// dropping those of one that is accurate.
TEST_CASE("estimates count as far as they have been right")
{
  Load load(1);
  const WorkloadKey noisy{ base::AccountId("noisy"), base::WorkKindId("a") };
  const WorkloadKey exact{ base::AccountId("exact"), base::WorkKindId("b") };
  for (int i = 0; i < 80; ++i) {
    load.RunSingle(noisy, 3.0, 1.0);
    load.RunSingle(exact, 3.0, 0.02);
  }
  const auto ratio = [&](const WorkloadKey& aKey) {
    return Seconds(load.learned.Predict(aKey, 12s)->Median()) /
           Seconds(load.learned.Predict(aKey, 3s)->Median());
  };
  CHECK(ratio(noisy) < 1.6); // The estimates differ by 4.
  CHECK(ratio(exact) > 3.0);
  CHECK(load.learned.Predict(exact, 3s)->High() <
        load.learned.Predict(noisy, 3s)->High());
}

// Guards against a new account that starts from its estimates although its kind
// of work has shown how far they are off.
TEST_CASE("an account starts from what its kind has shown")
{
  Load load(2);
  for (int i = 0; i < 60; ++i) {
    RunObservation run;
    run.workload = kQuotes;
    run.estimate = 2s;
    run.elapsed = 6s;
    load.learned.OnCompleted(run, load.now);
  }
  const WorkloadKey other{ base::AccountId("new"), kQuotes.kind };
  CHECK(load.learned.Predict(other, 2s)->Median() > 5s);
}

// Guards against predictions that stay behind a kind of work that has changed.
TEST_CASE("predictions follow a workload whose run times change")
{
  Load load(3);
  for (int i = 0; i < 100; ++i) {
    load.RunSingle(kQuotes, 2.0, 1.0);
  }
  for (int i = 0; i < 100; ++i) {
    load.RunSingle(kQuotes, 8.0, 1.0);
  }
  const double median =
    Seconds(load.learned.Predict(kQuotes, FromSeconds(5.0))->Median());
  CHECK(median > 5.0);
  CHECK(median < 9.5);
}

// Guards against learning only from the short runs because long ones are always
// stopped before they end.
TEST_CASE("interrupted runs that lasted longer than expected raise predictions")
{
  Load load(4);
  RunObservation run;
  run.workload = kQuotes;
  run.estimate = 2s;
  run.elapsed = 6s;
  for (int i = 0; i < 40; ++i) {
    load.learned.OnInterrupted(run, load.now);
  }
  CHECK(load.learned.Predict(kQuotes, 2s)->Median() > 4s);
  run.elapsed = 100ms;
  const auto before = load.learned.Predict(kQuotes, 2s)->Median();
  for (int i = 0; i < 40; ++i) {
    load.learned.OnInterrupted(run, load.now);
  }
  CHECK(load.learned.Predict(kQuotes, 2s)->Median() == before);
}

// Guards against taking slow workers for long work, and the other way round.
TEST_CASE("slow workers are told from long steps")
{
  Load load(5);
  const auto slowness = UnevenWorkers();
  for (const double mean : { 2.0, 9.0, 4.0, 1.0, 6.0, 3.0 }) {
    load.RunStep(slowness, mean);
  }
  CHECK(load.learned.HasUnevenWorkers());
  for (std::size_t i = 0; i < slowness.size(); ++i) {
    const double learned = load.learned.SlownessOf(VmOf(i));
    CHECK(learned == doctest::Approx(slowness[i]).epsilon(0.25));
  }
}

// Guards against preferring workers by chance where all are alike.
TEST_CASE("workers that are alike are not told apart")
{
  Load load(6);
  for (int i = 0; i < 8; ++i) {
    load.RunStep(std::vector<double>(16, 1.0), 3.0);
  }
  CHECK_FALSE(load.learned.HasUnevenWorkers());
}

// Guards against a worker that is shunned for ever after it was throttled.
TEST_CASE("a worker that recovers is normal again")
{
  Load load(7);
  auto slowness = UnevenWorkers();
  for (int i = 0; i < 8; ++i) {
    load.RunStep(slowness, 3.0);
  }
  REQUIRE(load.learned.SlownessOf(VmOf(0)) > 1.6);
  SUBCASE("as its later runs show")
  {
    slowness[0] = 1.0;
    for (int i = 0; i < 8; ++i) {
      load.RunStep(slowness, 3.0);
    }
  }
  SUBCASE("or after a long time without runs")
  {
    load.now += 10min;
    for (int i = 0; i < 8; ++i) {
      slowness[0] = 0;
      load.RunStep(slowness, 3.0);
    }
  }
  CHECK(load.learned.SlownessOf(VmOf(0)) < 1.4);
}

// Guards against blaming a worker for the slowest member of its gang.
TEST_CASE("gangs tell nothing about the speed of their workers")
{
  Load load(8);
  RunObservation run;
  run.workload = kQuotes;
  run.stepTasks = 8;
  run.isGangMember = true;
  run.estimate = 2s;
  for (int i = 0; i < 50; ++i) {
    run.step = { base::JobId("g" + std::to_string(i)), 0, 0 };
    run.worker = VmOf(static_cast<std::size_t>(i % 8));
    run.elapsed = i % 2 == 0 ? 2s : 6s;
    load.learned.OnCompleted(run, load.now);
  }
  load.learned.OnTick(load.now);
  CHECK_FALSE(load.learned.HasUnevenWorkers());
  CHECK(load.learned.SlownessOf(VmOf(0)) == 1.0);
}

// Guards against a remaining time of nothing for a run that is overdue.
TEST_CASE("a run that has lasted long is expected to last longer")
{
  const RunTimePrediction prediction(4s, 0.5);
  CHECK(prediction.MedianAfter(0s) == 4s);
  CHECK(prediction.MedianAfter(4s) > 5s);
  CHECK(prediction.MedianAfter(8s) > 9s);
  CHECK(prediction.MedianAfter(1h) >= 1h);
  CHECK(RunTimePrediction(base::Duration::max(), 2).High() > 0s);
}

// Guards against memory that grows with the number of steps, workers, accounts
// and kinds.
TEST_CASE("what is kept of steps and workloads is bounded")
{
  Load load(9);
  for (int i = 0; i < 3000; ++i) {
    RunObservation run;
    run.workload = { base::AccountId("a" + std::to_string(i)),
                     base::WorkKindId("k" + std::to_string(i)) };
    run.step = { base::JobId("j" + std::to_string(i)), 0, 0 };
    run.stepTasks = 2;
    run.worker = VmOf(static_cast<std::size_t>(i));
    run.estimate = 1s;
    run.elapsed = 3s;
    load.learned.OnCompleted(run, load.now);
  }
  load.learned.OnTick(load.now);
  // The first ones are kept, later ones are predicted from their estimates.
  CHECK(
    load.learned.Predict({ base::AccountId("a0"), base::WorkKindId("k0") }, 1s)
      ->Median() > 1s);
  CHECK(Seconds(load.learned
                  .Predict(
                    { base::AccountId("a2999"), base::WorkKindId("k2999") }, 1s)
                  ->Median()) == doctest::Approx(1));
}

// Guards against a successor that has to learn again which workers are slow and
// what the callers' estimates are worth.
TEST_CASE("a successor knows the speeds and the run times at once")
{
  Load load(11);
  for (int i = 0; i < 12; ++i) {
    load.RunStep(UnevenWorkers(), 2.0);
  }
  const WorkloadKey other{ base::AccountId("moths"),
                           base::WorkKindId("scoring") };
  for (int i = 0; i < 60; ++i) {
    load.RunSingle(other, 8.0, 0.05);
  }
  REQUIRE(load.learned.HasUnevenWorkers());
  const LearnedSummary summary = load.learned.Summarize();
  // Those that are normal, but for the noise of their runs, are left out.
  CHECK(summary.workers.size() <= 6);
  for (std::size_t i = 0; i < 4; ++i) {
    CHECK(summary.workers[i].slowness > 1.7);
  }
  LearnedRunTimes successor;
  successor.Restore(summary, load.now);
  CHECK(successor.HasUnevenWorkers());
  for (std::size_t i = 0; i < 16; ++i) {
    CAPTURE(i);
    CHECK(std::abs(successor.SlownessOf(VmOf(i)) -
                   load.learned.SlownessOf(VmOf(i))) < 0.1);
  }
  for (const auto& key : { kQuotes, other }) {
    for (const auto estimate : { 1s, 2s, 8s }) {
      const auto expected = load.learned.Predict(key, estimate);
      const auto known = successor.Predict(key, estimate);
      REQUIRE(known.has_value());
      CHECK(Seconds(known->Median()) ==
            doctest::Approx(Seconds(expected->Median())).epsilon(0.01));
      CHECK(known->Spread() ==
            doctest::Approx(expected->Spread()).epsilon(0.01));
    }
  }
}

// Guards against a summary that outweighs what the successor sees itself.
TEST_CASE("inherited speeds give way to evidence and to time")
{
  LearnedSummary summary;
  summary.hasUnevenWorkers = true;
  for (std::size_t i = 0; i < 4; ++i) {
    summary.workers.push_back({ VmOf(i), 2.2 });
  }
  SUBCASE("evidence")
  {
    Load load(12);
    load.learned.Restore(summary, load.now);
    for (int i = 0; i < 60; ++i) {
      load.RunStep(std::vector<double>(16, 1.0), 2.0);
    }
    CHECK(load.learned.SlownessOf(VmOf(0)) < 1.2);
    CHECK_FALSE(load.learned.HasUnevenWorkers());
  }
  SUBCASE("time")
  {
    LearnedRunTimes learned;
    const base::TimePoint start(1h);
    learned.Restore(summary, start);
    for (int i = 1; i <= 600; ++i) {
      learned.OnTick(start + i * 500ms);
    }
    CHECK(learned.SlownessOf(VmOf(0)) == 1.0);
    CHECK_FALSE(learned.HasUnevenWorkers());
  }
}

// Guards against a summary that grows with the fleet or the number of accounts.
TEST_CASE("the summary is bounded and lists the most evident first")
{
  Load load(13);
  std::vector<double> slowness(1600, 1.0);
  for (std::size_t i = 0; i < slowness.size(); i += 2) {
    slowness[i] = 3.0;
  }
  for (int round = 0; round < 3; ++round) {
    for (std::size_t first = 0; first < slowness.size(); first += 64) {
      std::vector<double> part(slowness.size(), 0.0);
      std::copy_n(slowness.begin() + static_cast<std::ptrdiff_t>(first),
                  64,
                  part.begin() + static_cast<std::ptrdiff_t>(first));
      load.RunStep(part, 30.0);
    }
  }
  for (int i = 0; i < 700; ++i) {
    const WorkloadKey key{ base::AccountId("a" + std::to_string(i)),
                           base::WorkKindId("k" + std::to_string(i % 40)) };
    load.RunSingle(key, 2.0, 0.2);
  }
  const LearnedSummary summary = load.learned.Summarize();
  CHECK(summary.workers.size() <= kMaxSummaryWorkers);
  CHECK(summary.workloads.size() == kMaxSummaryWorkloads);
  for (std::size_t i = 1; i < summary.workloads.size(); ++i) {
    const auto& before = summary.workloads[i - 1];
    const auto& after = summary.workloads[i];
    if (before.workload.account.IsEmpty() == after.workload.account.IsEmpty()) {
      CHECK(before.weight >= after.weight);
    } else {
      CHECK(before.workload.account.IsEmpty());
    }
  }
}

// Guards against a worker that counts as slow for ever because nothing runs any
// more that could show otherwise.
TEST_CASE("speeds fade without new evidence")
{
  Load load(14);
  for (int i = 0; i < 12; ++i) {
    load.RunStep(UnevenWorkers(), 2.0);
  }
  REQUIRE(load.learned.HasUnevenWorkers());
  for (int i = 0; i < 1200; ++i) {
    load.now += 500ms;
    load.learned.OnTick(load.now);
  }
  CHECK_FALSE(load.learned.HasUnevenWorkers());
  CHECK(std::abs(load.learned.SlownessOf(VmOf(0)) - 1.0) < 0.05);
}

// Guards against conversions that overflow, and against a run without a
// measurable time whose logarithm spreads to the speeds of all workers.
TEST_CASE("extreme run times and estimates give finite predictions")
{
  constexpr base::Duration kHuge = std::chrono::hours(24 * 365 * 100);
  Load load(15);
  RunObservation run;
  run.workload = kQuotes;
  run.stepTasks = 8;
  for (std::uint32_t job = 0; job < 12; ++job) {
    run.step = { base::JobId("odd" + std::to_string(job)), 0, 0 };
    for (std::size_t i = 0; i < 8; ++i) {
      run.worker = VmOf(i);
      run.elapsed = i % 2 == 0 ? base::Duration(1) : kHuge;
      run.estimate = job % 2 == 0 ? kHuge : base::Duration(1);
      run.slowdown = i % 3 == 0 ? 3.0 : 1.0;
      load.learned.OnCompleted(run, load.now);
      load.learned.OnInterrupted(run, load.now);
    }
    load.now += 1s;
    load.learned.OnTick(load.now);
  }
  for (const base::Duration estimate :
       { base::Duration::zero(), base::Duration(1), kHuge }) {
    const auto prediction = load.learned.Predict(kQuotes, estimate);
    REQUIRE(prediction.has_value());
    CHECK(prediction->Median() >= 1ms);
    CHECK(prediction->Median() <= 366 * 24h);
    CHECK(prediction->High() >= prediction->Median());
    CHECK(prediction->MedianAfter(kHuge) >= kHuge);
    CHECK(std::isfinite(prediction->Spread()));
  }
  for (std::size_t i = 0; i < 8; ++i) {
    CHECK(std::isfinite(load.learned.SlownessOf(VmOf(i))));
    CHECK(load.learned.SlownessOf(VmOf(i)) > 0);
  }
}

// Guards against a spread of 0 that makes each overdue run infinitely late.
TEST_CASE("one run, or equal runs, leave a spread")
{
  Load load(16);
  load.RunSingle(kQuotes, 2.0, 0.0);
  CHECK(load.learned.Predict(kQuotes, 2s)->Spread() > 0.1);
  const RunTimePrediction exact(2s, 0.0);
  CHECK(exact.Spread() > 0);
  CHECK(exact.MedianAfter(10s) >= 10s);
  CHECK(exact.MedianAfter(10s) < 20s);
}
