#include "DispatcherHarness.h"

#include "amaranthwind/estimation/LearnedRunTimes.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

using namespace amaranthwind;
using namespace amaranthwind::dispatch;
using namespace std::chrono_literals;

namespace {

constexpr base::Duration kStep = 50ms;
constexpr base::Duration kReportInterval = 600ms;

/** Workers that carry out the work of their tasks, some of them slowly. */
struct LoadHarness : DispatcherHarness
{
  LoadHarness(std::uint32_t aWorkers, bool aLearns)
    : DispatcherHarness(aWorkers)
  {
    if (aLearns) {
      this->makeLearner = [] {
        return std::make_unique<estimation::LearnedRunTimes>();
      };
    }
    this->TakeOver();
  }

  void SubmitWork(const job::WorkflowSpec& aSpec, base::Duration aRunTime)
  {
    this->runTimeOf[aSpec.id.Text()] = aRunTime;
    this->submittedAt[aSpec.id.Text()] = this->now.now;
    this->Submit(aSpec);
  }

  void Play(base::Duration aTime)
  {
    for (base::Duration played{}; played < aTime; played += kStep) {
      this->now.now += kStep;
      this->now.wall +=
        std::chrono::duration_cast<base::WallTime::duration>(kStep);
      this->Advance();
      if (this->now.now - this->reportedAt >= kReportInterval) {
        this->reportedAt = this->now.now;
        for (const auto& [name, agent] : this->agents) {
          this->Report(name);
        }
        this->Tick();
      }
    }
  }

  double SlownessOf(const std::string& aAgent) const
  {
    const auto found = this->slowness.find(aAgent);
    return found == this->slowness.end() ? 1.0 : found->second;
  }
  /** Time from submission to completion; the maximum if it has not ended. */
  base::Duration CompletionTime(const std::string& aJob) const
  {
    const auto found = this->completedAt.find(aJob);
    return found == this->completedAt.end()
             ? base::Duration::max()
             : found->second - this->submittedAt.at(aJob);
  }

  std::map<std::string, double> slowness;

private:
  /** The members of a gang progress at the pace of the slowest one. */
  void Advance()
  {
    std::map<std::string, double> pace;
    for (const auto& [name, agent] : this->agents) {
      for (const auto& [run, task] : agent.running) {
        double& slowest = pace[GroupOf(run)];
        slowest = std::max(slowest, this->SlownessOf(name));
      }
    }
    std::vector<std::pair<std::string, job::TaskRun>> done;
    for (auto& [name, agent] : this->agents) {
      for (auto& [run, task] : agent.running) {
        const std::string job = run.task.step.job.Text();
        double& progress = this->progress[run];
        progress += std::chrono::duration<double>(kStep) /
                    std::chrono::duration<double>(this->runTimeOf.at(job)) /
                    pace.at(GroupOf(run));
        task.percent =
          static_cast<std::uint32_t>(std::min(99.0, 100 * progress));
        if (progress >= 1) {
          done.emplace_back(name, run);
        }
      }
    }
    for (const auto& [name, run] : done) {
      this->End(run, EndKind::Done);
      this->completedAt[run.task.step.job.Text()] = this->now.now;
    }
    for (const auto& [name, run] : done) {
      this->Report(name);
    }
  }

  static std::string GroupOf(const job::TaskRun& aRun)
  {
    // Jobs whose name begins with "batch" have independent tasks.
    const std::string job = aRun.task.step.job.Text();
    return job.starts_with("batch") ? job::ToText(aRun.task) : job;
  }

  std::map<std::string, base::Duration> runTimeOf;
  std::map<std::string, base::TimePoint> submittedAt;
  std::map<std::string, base::TimePoint> completedAt;
  std::map<job::TaskRun, double> progress;
  base::TimePoint reportedAt{};
};

job::WorkflowSpec
MakeUrgentGang(const std::string& aId,
               std::uint32_t aCount,
               std::uint32_t aAccelerators,
               base::Duration aEstimate)
{
  auto spec = DispatcherHarness::MakeJob(aId, aCount, aAccelerators);
  spec.urgency = 0;
  spec.stretch = 1.5;
  spec.slack = 250ms;
  spec.steps[0].isGang = true;
  spec.steps[0].estimate = aEstimate;
  return spec;
}

/**
 * Urgent gangs, one after another, on a pool of which a quarter is slow, after
 * some batches. Returns how many were in time.
 */
int
PlayUnevenPool(bool aLearns, double aSlowness)
{
  LoadHarness harness(12, aLearns);
  for (const int slow : { 1, 5, 9 }) {
    harness.slowness["vm-" + std::to_string(slow)] = aSlowness;
  }
  for (int i = 0; i < 4; ++i) {
    auto batch = DispatcherHarness::MakeJob("batch" + std::to_string(i), 24, 4);
    batch.steps[0].estimate = 2s;
    harness.SubmitWork(batch, 2s);
    harness.Play(6s);
  }
  int inTime = 0;
  for (int i = 0; i < 10; ++i) {
    const std::string name = "urgent" + std::to_string(i);
    harness.SubmitWork(MakeUrgentGang(name, 6, 4, 2s), 2s);
    harness.Play(6s);
    inTime += harness.CompletionTime(name) <= 3250ms ? 1 : 0;
  }
  return inTime;
}

} // namespace

// Guards against gangs that run at the pace of one slow worker although there
// is room for all of them on faster ones.
TEST_CASE("urgent gangs are in time on a pool with slow workers")
{
  CHECK(PlayUnevenPool(true, 2.2) == 10);
  CHECK(PlayUnevenPool(false, 2.2) < 10);
  CHECK(PlayUnevenPool(true, 1.0) == 10);
}

// Guards against an order of acceptance that makes a short urgent job late
// behind a long one that could wait.
TEST_CASE("of urgent jobs that wait, the one with the least slack goes first")
{
  const auto play = [](bool aLearns) {
    LoadHarness harness(2, aLearns);
    harness.SubmitWork(MakeUrgentGang("first", 2, 8, 2s), 2s);
    harness.SubmitWork(MakeUrgentGang("long", 2, 8, 9s), 9s);
    harness.SubmitWork(MakeUrgentGang("short", 2, 8, 5s), 5s);
    harness.Play(20s);
    // 1.5 times the run time and 250 ms more.
    return std::pair(harness.CompletionTime("long") <= 13750ms,
                     harness.CompletionTime("short") <= 7750ms);
  };
  CHECK(play(false) == std::pair(true, false));
  const auto [isLongInTime, isShortInTime] = play(true);
  CHECK(isShortInTime);
}

// Guards against a reservation that rests on an estimate although the progress
// of the run shows that its room will be free soon.
TEST_CASE("a run is expected to end as its progress shows")
{
  const auto play = [](bool aLearns) {
    LoadHarness harness(2, aLearns);
    auto long1 = DispatcherHarness::MakeJob("batch1", 1, 8);
    long1.steps[0].estimate = 60s; // It takes 6 s.
    harness.SubmitWork(long1, 6s);
    harness.Play(3s);
    auto gang = DispatcherHarness::MakeJob("a-gang", 2, 8);
    gang.steps[0].isGang = true;
    harness.SubmitWork(gang, 2s);
    harness.Play(100ms);
    auto filler = DispatcherHarness::MakeJob("batch2", 1, 8);
    filler.steps[0].estimate = 40s; // It would delay the gang.
    harness.SubmitWork(filler, 40s);
    harness.Play(10s);
    return harness.CompletionTime("a-gang") < 10s;
  };
  CHECK_FALSE(play(false));
  CHECK(play(true));
}

// Guards against a gang that starts again and again with a member on a worker
// that refuses each start.
TEST_CASE("a worker that refuses start after start is avoided for longer")
{
  const auto play = [](bool aLearns) {
    LoadHarness harness(6, aLearns);
    harness.agents.at("vm-0").refusesStarts = true;
    // The fullest worker, which best fit prefers.
    harness.agents.at("vm-0").info.capacity.accelerators = 4;
    harness.TakeOver();
    for (int i = 0; i < 6; ++i) {
      auto gang = MakeUrgentGang("gang" + std::to_string(i), 2, 4, 400ms);
      harness.SubmitWork(gang, 400ms);
      harness.Play(600ms);
    }
    return harness.stops.size();
  };
  CHECK(play(true) < play(false));
}

// Guards against discarding work for an urgent gang that would be in time
// without it, because the room that it needs falls free by itself.
TEST_CASE("nothing is stopped for room that is free in time anyway")
{
  const auto play = [](bool aLearns) {
    LoadHarness harness(2, aLearns);
    for (const char* name : { "batch1", "batch2" }) {
      auto batch = DispatcherHarness::MakeJob(name, 8, 1);
      batch.steps[0].estimate = 1500ms;
      harness.SubmitWork(batch, 1500ms);
    }
    harness.Play(900ms); // Each task has 0.6 s left.
    harness.SubmitWork(MakeUrgentGang("urgent", 2, 8, 4s), 4s);
    harness.Play(20s);
    CHECK(harness.CompletionTime("urgent") <= 6250ms);
    return harness.stops.size();
  };
  CHECK(play(true) == 0);
  CHECK(play(false) > 0);
}

// Guards against a learner that is never told of completed runs, or once for
// each member of a gang, which makes one gang outweigh many single runs.
TEST_CASE("each completed run is learned once")
{
  LoadHarness harness(8, true);
  auto batch = DispatcherHarness::MakeJob("batch", 8, 4);
  batch.steps[0].estimate = 2s;
  harness.SubmitWork(batch, 4s);
  harness.Play(8s);
  auto learned = harness.Learned();
  REQUIRE(learned.has_value());
  REQUIRE(learned->workloads.size() == 2); // The kind and the workload.
  // All tasks of the step count as four runs.
  CHECK(learned->workloads[0].weight == doctest::Approx(4).epsilon(0.1));
  CHECK(learned->workloads[0].runTime > 3s);
  CHECK(learned->workloads[0].runTime < 5s);
  auto gang = MakeUrgentGang("gang", 8, 4, 2s);
  gang.kind = base::WorkKindId("gangs");
  harness.SubmitWork(gang, 2s);
  harness.Play(8s);
  learned = harness.Learned();
  double weight = 0;
  for (const auto& each : learned->workloads) {
    weight += each.workload.kind == gang.kind ? each.weight / 2 : 0;
  }
  CHECK(weight == doctest::Approx(1));
}

// Guards against a run time that is counted from the takeover although the run
// began long before.
TEST_CASE("a run that was inherited without progress is not learned")
{
  LoadHarness harness(2, true);
  auto batch = DispatcherHarness::MakeJob("batch", 1, 4);
  batch.steps[0].estimate = 60s;
  harness.SubmitWork(batch, 60s);
  harness.Play(400ms);
  harness.TakeOver();
  harness.Play(62s);
  CHECK(harness.CompletionTime("batch") < 62s);
  CHECK(harness.runTimes.empty());
}

// Guards against giving up an urgent job because its caller's estimate is too
// low: the objective is a multiple of the work that the job has.
TEST_CASE("the objective follows from the work and not from the estimate")
{
  LoadHarness harness(2, true);
  for (int i = 0; i < 8; ++i) {
    harness.SubmitWork(MakeUrgentGang("known" + std::to_string(i), 2, 8, 2s),
                       8s);
    harness.Play(9s);
  }
  for (const char* name : { "batch1", "batch2" }) {
    auto batch = DispatcherHarness::MakeJob(name, 1, 8);
    batch.steps[0].estimate = 30s;
    harness.SubmitWork(batch, 30s);
  }
  harness.Play(500ms);
  harness.SubmitWork(MakeUrgentGang("urgent", 2, 8, 2s), 8s);
  harness.Play(12s);
  CHECK(harness.stops.size() == 2);
  // 1.5 times the run time and 250 ms more.
  CHECK(harness.CompletionTime("urgent") <= 12250ms);
}

// Guards against a gang that waits for minutes for room on faster workers.
TEST_CASE("a long gang does not wait long for faster workers")
{
  LoadHarness harness(4, false);
  harness.makeLearner = [] {
    estimation::LearnedSummary summary;
    summary.hasUnevenWorkers = true;
    for (const char* name : { "vm-0", "vm-1" }) {
      summary.workers.push_back({ base::AgentId(name), 2.2 });
    }
    auto learner = std::make_unique<estimation::LearnedRunTimes>();
    learner->Restore(summary, base::TimePoint(1h));
    return learner;
  };
  harness.TakeOver();
  auto gang = MakeUrgentGang("gang", 2, 8, 900s);
  bool mustWait = true;
  SUBCASE("that are busy")
  {
    for (const char* name : { "batch1", "batch2" }) {
      auto batch = DispatcherHarness::MakeJob(name, 1, 8);
      batch.urgency = 0;
      batch.steps[0].estimate = 900s;
      batch.steps[0].requiredLabel = "fast";
      harness.SubmitWork(batch, 900s);
    }
  }
  SUBCASE("that could never hold it")
  {
    gang.steps[0].count = 3;
    mustWait = false;
  }
  for (const char* name : { "vm-2", "vm-3" }) {
    harness.agents.at(name).info.labels = { "fast" };
    harness.Report(name);
  }
  harness.Play(1s);
  harness.SubmitWork(gang, 900s);
  harness.Play(mustWait ? 8s : 1s);
  CHECK_FALSE(harness.agents.at("vm-0").running.empty());
  CHECK_FALSE(harness.agents.at("vm-1").running.empty());
}

// Guards against an urgent gang that waits for runs that make no progress any
// more.
TEST_CASE("a run that is stuck does not count as nearly done")
{
  LoadHarness harness(2, true);
  for (const char* name : { "batch1", "batch2" }) {
    auto batch = DispatcherHarness::MakeJob(name, 8, 1);
    batch.steps[0].estimate = 1500ms;
    harness.SubmitWork(batch, 1500ms);
  }
  harness.Play(900ms);
  harness.slowness = { { "vm-0", 1e9 }, { "vm-1", 1e9 } };
  harness.Play(3s);
  CHECK(harness.stops.empty());
  harness.SubmitWork(MakeUrgentGang("urgent", 2, 8, 14s), 14s);
  harness.Play(500ms);
  CHECK_FALSE(harness.stops.empty());
}

// Guards against one stopped gang that outweighs many runs.
TEST_CASE("the members of a stopped gang are learned as one run")
{
  LoadHarness harness(8, true);
  harness.SubmitWork(MakeUrgentGang("gang", 64, 1, 1s), 1000s);
  harness.Play(20s);
  std::vector<job::TaskRun> runs;
  for (const auto& [name, agent] : harness.agents) {
    for (const auto& [run, task] : agent.running) {
      runs.push_back(run);
    }
  }
  REQUIRE(runs.size() == 64);
  for (const auto& run : runs) {
    harness.End(run, EndKind::Stopped);
  }
  for (const char* name :
       { "vm-0", "vm-1", "vm-2", "vm-3", "vm-4", "vm-5", "vm-6", "vm-7" }) {
    harness.Report(name);
  }
  REQUIRE_FALSE(harness.Learned()->workloads.empty());
  CHECK(harness.Learned()->workloads.front().weight <= 2.5);
}

// Guards against a step that is held back for minutes by the reservation of a
// gang that waits for a run that does not end.
TEST_CASE("a run that is long overdue does not hold up others for long")
{
  LoadHarness harness(3, true);
  harness.slowness = { { "vm-0", 1e9 }, { "vm-1", 1e9 }, { "vm-2", 1e9 } };
  auto stuck = DispatcherHarness::MakeJob("batch1", 2, 8);
  stuck.steps[0].estimate = 2s;
  harness.SubmitWork(stuck, 2s);
  harness.Play(1s);
  auto gang = DispatcherHarness::MakeJob("a-gang", 3, 8);
  gang.steps[0].isGang = true;
  gang.steps[0].estimate = 2s;
  gang.slack = 600s; // It stays in time, and so before the other step.
  harness.SubmitWork(gang, 2s);
  harness.Play(200ms);
  auto next = DispatcherHarness::MakeJob("batch2", 1, 8);
  next.steps[0].estimate = 10s;
  harness.SubmitWork(next, 10s);
  harness.Play(25s);
  std::size_t running = 0;
  for (const auto& [name, agent] : harness.agents) {
    running += agent.running.size();
  }
  CHECK(running == 3);
}
