#include "DispatcherHarness.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

using namespace amaranthwind;
using namespace amaranthwind::dispatch;
using namespace std::chrono_literals;

namespace {

/** Takes some workers for slow and the callers' estimates for true. */
class SlowWorkers final : public estimation::RunTimeLearner
{
public:
  explicit SlowWorkers(std::set<base::AgentId> aSlow)
    : slow(std::move(aSlow))
  {
  }
  std::optional<estimation::RunTimePrediction> Predict(
    const estimation::WorkloadKey&,
    base::Duration aEstimate) const override
  {
    return estimation::RunTimePrediction(aEstimate, 0.0);
  }
  double SlownessOf(const base::AgentId& aWorker) const override
  {
    return this->slow.contains(aWorker) ? 2.0 : 1.0;
  }
  bool HasUnevenWorkers() const override { return true; }
  void OnCompleted(const estimation::RunObservation&, base::TimePoint) override
  {
  }
  void OnInterrupted(const estimation::RunObservation&,
                     base::TimePoint) override
  {
  }
  void OnProgress(const estimation::RunObservation&, base::TimePoint) override
  {
  }
  void OnTick(base::TimePoint) override {}
  estimation::LearnedSummary Summarize() const override { return {}; }
  void Restore(const estimation::LearnedSummary&, base::TimePoint) override {}

private:
  const std::set<base::AgentId> slow;
};

/** Four workers; vm-0, which best fit would choose first, is cold. */
struct ColdHarness : DispatcherHarness
{
  ColdHarness()
    : DispatcherHarness(4)
  {
    this->SetCold("vm-0", 60s);
    this->TakeOver();
  }

  void SetCold(const std::string& aAgent, std::chrono::milliseconds aFor)
  {
    this->agents.at(aAgent).info.coldFor = aFor;
    this->Report(aAgent);
  }
  /** Number of the job's tasks on the worker. */
  std::ptrdiff_t CountOn(const std::string& aAgent,
                         const std::string& aJob) const
  {
    const auto runs = this->Running(aJob);
    return std::count_if(runs.begin(), runs.end(), [&](const auto& aRun) {
      return this->AgentOf(aRun) == aAgent;
    });
  }
};

} // namespace

// Guards against slow starts on a cold worker while others have room.
TEST_CASE("a cold worker gets only what does not fit elsewhere")
{
  ColdHarness harness;
  auto job = DispatcherHarness::MakeJob("j", 3, 8);
  SUBCASE("independent tasks") {}
  SUBCASE("a gang")
  {
    job.steps[0].isGang = true;
  }
  harness.Submit(job);
  CHECK(harness.Running("j").size() == 3);
  CHECK(harness.CountOn("vm-0", "j") == 0);
  harness.Submit(DispatcherHarness::MakeJob("k", 1, 8));
  CHECK(harness.CountOn("vm-0", "k") == 1);
}

// Guards against a gang that waits although it fits with the cold worker.
TEST_CASE("a gang that needs the cold worker is placed at once")
{
  ColdHarness harness;
  auto job = DispatcherHarness::MakeJob("j", 4, 8);
  job.steps[0].isGang = true;
  harness.Submit(job);
  CHECK(harness.Running("j").size() == 4);
}

// Guards against preferring a cold worker as one that learned to be slow, which
// are preferred for independent tasks.
TEST_CASE("a cold worker is not preferred as a slow one")
{
  ColdHarness harness;
  harness.makeLearner = [] {
    return std::make_unique<SlowWorkers>(std::set{ base::AgentId("vm-0") });
  };
  auto job = DispatcherHarness::MakeJob("j", 2, 1);
  job.slack = 60s;
  std::ptrdiff_t expected = 0;
  SUBCASE("while it is cold") {}
  SUBCASE("once it is warm")
  {
    harness.SetCold("vm-0", 0s);
    expected = 2;
  }
  harness.TakeOver();
  harness.Submit(job);
  CHECK(harness.Running("j").size() == 2);
  CHECK(harness.CountOn("vm-0", "j") == expected);
}

// Guards against a gang that takes the cold worker, which is fast when warm,
// while it waits for a fast one that is busy.
TEST_CASE("a gang that waits for fast workers does not take a cold one")
{
  ColdHarness harness;
  harness.makeLearner = [] {
    return std::make_unique<SlowWorkers>(
      std::set{ base::AgentId("vm-1"), base::AgentId("vm-2") });
  };
  harness.TakeOver();
  auto job = DispatcherHarness::MakeJob("busy", 1, 8);
  job.steps[0].isGang = true;
  harness.Submit(job);
  REQUIRE(harness.CountOn("vm-3", "busy") == 1);
  job.id = base::JobId("j");
  harness.Submit(job);
  CHECK(harness.Running("j").empty());
  harness.Run(5s);
  CHECK(harness.Running("j").size() == 1);
  CHECK(harness.CountOn("vm-0", "j") == 0);
}

// Guards against more starts on a cold worker than the platform allows: 1.5
// times those of the average warm worker, and 5.
TEST_CASE("the starts on a cold worker are limited while it is cold")
{
  ColdHarness harness;
  harness.Submit(DispatcherHarness::MakeJob("full", 3, 8));
  REQUIRE(harness.CountOn("vm-0", "full") == 0);
  // The average warm worker got one start.
  harness.Submit(DispatcherHarness::MakeJob("j", 8, 1));
  CHECK(harness.CountOn("vm-0", "j") == 6);
  SUBCASE("also of tasks that follow others")
  {
    harness.EndAll("j", EndKind::Done);
    harness.Run(2s);
    CHECK(harness.CountOn("vm-0", "j") == 0);
    CHECK(harness.starts.size() == 9);
  }
  SUBCASE("also if its reports differ a little in the time that is left")
  {
    harness.SetCold("vm-0", 1ms);
    harness.now.now += 2ms;
    harness.SetCold("vm-0", 1ms);
    harness.EndAll("j", EndKind::Done);
    harness.SetCold("vm-0", 20s);
    harness.Run(2s);
    CHECK(harness.starts.size() == 9);
  }
  SUBCASE("and no longer once it is warm")
  {
    harness.SetCold("vm-0", 0s);
    harness.Run(1s);
    CHECK(harness.CountOn("vm-0", "j") == 8);
  }
  SUBCASE("and no longer once it should be warm but sends no report")
  {
    harness.SetCold("vm-0", 1s);
    harness.agents.at("vm-0").isReporting = false;
    harness.Run(2s);
    CHECK(harness.Running("j").size() == 8);
  }
}

// Guards against a pool that stands still because all of its workers are cold.
TEST_CASE("the starts are not limited while all workers are cold")
{
  ColdHarness harness;
  for (const auto& [name, agent] : harness.agents) {
    harness.SetCold(name, 60s);
  }
  harness.Submit(DispatcherHarness::MakeJob("j", 32, 1));
  CHECK(harness.Running("j").size() == 32);
}
