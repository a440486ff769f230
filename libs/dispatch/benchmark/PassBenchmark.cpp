#include "amaranthwind/dispatch/Dispatcher.h"
#include "amaranthwind/estimation/LearnedRunTimes.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>
#include <ctime>
#include <iomanip>
#include <iostream>
#include <memory>
#include <string_view>
#include <vector>

// Measures one scheduling pass on a full pool, in which no step can be placed,
// one that places a wide step on an idle pool, and the handling of one report.
// Usage: dispatch_pass_benchmark [rounds [kind | placement | report | all
// [learned]]]. With `learned`, run times are predicted and a quarter of the
// workers is slow.

namespace amaranthwind::dispatch {

namespace {

constexpr SessionId kSession(1);

using namespace std::chrono_literals;

constexpr std::uint32_t kTasksPerWorker = 8;
/** Resources of one task. */
constexpr std::uint32_t kMilliCores = 5600;
constexpr std::uint64_t kMemoryMiB = 1024;
constexpr std::uint32_t kWorkersPerRack = 25;
constexpr int kReports = 1000;
constexpr std::uint32_t kEndedJobs = 400;
constexpr std::uint32_t kTasksPerEndedJob = 10;

class NullObserver final : public DispatchObserver
{
public:
  void OnPlacementWithdrawn(const job::TaskRun&,
                            const base::AgentId&,
                            std::string_view) override
  {
  }
  void OnRunTimeLearned(const RunTimeOutcome&) override {}
  void OnStartRepeated(const job::TaskRun&, const base::AgentId&) override {}
  void OnPlaced(const job::TaskRun&,
                const base::AgentId&,
                base::Duration) override
  {
  }
  void OnEnded(const job::TaskRun&,
               const base::AgentId&,
               EndKind,
               std::uint32_t) override
  {
  }
  void OnStopping(const job::TaskRun&,
                  const base::AgentId&,
                  std::string_view,
                  double) override
  {
  }
  void OnLateCompletion(const job::TaskRun&,
                        const base::AgentId&,
                        std::uint32_t) override
  {
  }
  void OnEndIgnored(const job::TaskRun&,
                    const base::AgentId&,
                    EndKind,
                    std::string_view) override
  {
  }
  void OnLost(const job::TaskRun&, std::string_view) override {}
  void OnWorkerChanged(const base::AgentId&, std::string_view) override {}
  void OnJobEnded(const base::JobId&, std::string_view, base::Duration) override
  {
  }
};

/** Codec for an empty job table, which has no records to decode. */
class EmptyRecordCodec final : public ledger::RecordCodec
{
public:
  std::string EncodeWorkflow(const job::WorkflowSpec&) const override
  {
    return {};
  }
  base::Result<job::WorkflowSpec> DecodeWorkflow(
    std::string_view) const override
  {
    return base::Fail(base::ErrorCode::UnknownField, "no records");
  }
  std::string EncodeStep(const ledger::StepRecord&) const override
  {
    return {};
  }
  base::Result<ledger::StepRecord> DecodeStep(std::string_view) const override
  {
    return base::Fail(base::ErrorCode::UnknownField, "no records");
  }
};

class CountingPacking final : public Packing
{
public:
  explicit CountingPacking(std::uint64_t& aCalls)
    : calls(aCalls)
  {
  }
  std::vector<std::uint32_t> Pack(std::span<const PackingWorker> aWorkers,
                                  const PackingRequest& aRequest) const override
  {
    ++this->calls;
    return this->packing.Pack(aWorkers, aRequest);
  }

private:
  BestFitPacking packing;
  std::uint64_t& calls;
};

/** Kind of the steps that wait. */
struct WaitingKind
{
  const char* name = "";
  bool isGang = false;
  std::uint32_t urgency = 1;
  std::uint32_t accelerators = 1;
  std::uint32_t maxPerWorker = 0;
  bool prefersOneRack = false;
};

/** Returns null unless run times are to be predicted. */
std::unique_ptr<estimation::RunTimeLearner>
MakeLearner(bool aIsLearned, std::uint32_t aWorkers, base::TimePoint aNow)
{
  if (!aIsLearned) {
    return nullptr;
  }
  estimation::LearnedSummary summary;
  summary.hasUnevenWorkers = true;
  for (std::uint32_t i = 0; i < aWorkers; i += 4) {
    summary.workers.push_back({ base::AgentId("vm-" + std::to_string(i)), 2 });
  }
  summary.workloads = {
    { { {}, {} }, 60, 4s, 5s, 0.1, 0.2, 0.5 },
    { { base::AccountId("account"), {} }, 60, 4s, 5s, 0.1, 0.2, 0.5 }
  };
  auto learner = std::make_unique<estimation::LearnedRunTimes>();
  learner->Restore(summary, aNow);
  return learner;
}

/** Set once, by the arguments of the program. */
bool isLearned = false;

/** A pool whose workers are full at first, and some ended jobs. */
class FilledPool
{
public:
  explicit FilledPool(std::uint32_t aWorkers,
                      std::uint32_t aTasksPerWorker = kTasksPerWorker,
                      bool aIsIdle = false)
    : dispatcher(DispatcherOptions{},
                 ledger::JobTable(this->codec),
                 std::make_unique<CountingPacking>(this->packCalls),
                 this->observer,
                 this->now,
                 MakeLearner(isLearned, aWorkers, this->now.now))
  {
    this->dispatcher.OnEndsConfirmed(this->now.now, this->now);
    for (std::uint32_t i = 0; i < aWorkers; ++i) {
      WorkerReport report;
      report.agent = base::AgentId("vm-" + std::to_string(i));
      WorkerInfo& info = report.worker.emplace();
      info.life = { base::TargetId("w-" + std::to_string(i)), 1 };
      info.pool = base::PoolId("pool");
      info.rack = base::RackId("r" + std::to_string(i / kWorkersPerRack));
      info.capacity = { kMilliCores * aTasksPerWorker,
                        kMemoryMiB * aTasksPerWorker,
                        aTasksPerWorker };
      this->dispatcher.OnReport(report, kSession, this->now);
      if (i == 0) {
        this->firstReport = report;
      }
    }
    for (std::uint32_t i = 0; i < kEndedJobs; ++i) {
      ledger::JobEntry ended = this->MakeEntry({}, kTasksPerEndedJob, "ended");
      ended.isCancelRequested = true;
      this->dispatcher.OnJob(ended, this->now);
    }
    // The running tasks are started at different times.
    for (std::uint32_t left = aIsIdle ? 0 : aWorkers * aTasksPerWorker;
         left > 0;) {
      const std::uint32_t width = std::min(left, 10U);
      left -= width;
      this->Submit({}, width);
      this->Place();
      this->now.now += 1ms;
      this->now.wall += 1ms;
    }
    this->now.now += 3s;
    this->now.wall += 3s;
  }

  void Submit(const WaitingKind& aKind, std::uint32_t aWidth)
  {
    this->dispatcher.OnJob(this->MakeEntry(aKind, aWidth, "job"), this->now);
  }

  /** Returns the processor time of one pass in milliseconds. */
  double Schedule()
  {
    this->packCalls = 0;
    this->now.now += 1ms;
    this->now.wall += 1ms;
    const std::clock_t start = std::clock();
    const Effects effects = this->dispatcher.Schedule(this->now);
    const std::clock_t end = std::clock();
    if (!effects.empty()) {
      std::cerr << "a task was preempted\n";
      std::exit(EXIT_FAILURE);
    }
    return 1000.0 * static_cast<double>(end - start) / CLOCKS_PER_SEC;
  }

  /** Returns the processor time of one report of the worker in microseconds. */
  double Report(const WorkerReport& aReport)
  {
    const std::clock_t start = std::clock();
    for (int i = 0; i < kReports; ++i) {
      this->dispatcher.OnReport(aReport, kSession, this->now);
    }
    const std::clock_t end = std::clock();
    return 1e6 * static_cast<double>(end - start) / CLOCKS_PER_SEC / kReports;
  }
  /** The report of the first worker while its tasks run. */
  WorkerReport MakeReport() const
  {
    WorkerReport report = this->firstReport;
    for (const StartTask& start : this->starts) {
      if (start.agent == report.agent) {
        report.running.push_back({ start.run, {}, 0 });
      }
    }
    return report;
  }

  std::uint64_t PackCalls() const { return this->packCalls; }
  std::size_t RunningTasks() const
  {
    return this->dispatcher.Count().tasksOnWorkers;
  }

private:
  ledger::JobEntry MakeEntry(const WaitingKind& aKind,
                             std::uint32_t aWidth,
                             const char* aPrefix)
  {
    job::WorkflowSpec spec;
    spec.id = base::JobId(aPrefix + std::to_string(++this->lastJob));
    spec.account = base::AccountId("account");
    spec.pool = base::PoolId("pool");
    spec.urgency = aKind.urgency;
    spec.maxAttempts = 2;
    spec.stretch = 3;
    spec.slack = 60s;
    spec.acceptedAt = this->now.wall;
    job::StepSpec step;
    step.count = aWidth;
    step.need = { kMilliCores, kMemoryMiB, aKind.accelerators };
    step.estimate = 4s;
    step.isGang = aKind.isGang;
    step.maxPerWorker = aKind.maxPerWorker;
    step.prefersOneRack = aKind.prefersOneRack;
    spec.steps = { step };
    ledger::JobEntry entry;
    entry.spec = std::make_shared<const job::WorkflowSpec>(std::move(spec));
    entry.acceptedOffset = base::LogOffset(this->lastJob);
    return entry;
  }

  /** Places waiting tasks and confirms their starts. */
  void Place()
  {
    this->dispatcher.Schedule(this->now);
    std::uint64_t version = 0;
    for (const Effect& effect : this->dispatcher.Commit(this->now)) {
      if (const auto* persist = std::get_if<PersistStep>(&effect)) {
        version = persist->version;
      }
    }
    for (const Effect& effect :
         this->dispatcher.OnPersisted(version, this->now)) {
      if (const auto* start = std::get_if<StartTask>(&effect)) {
        this->dispatcher.OnOutcome(start->agent,
                                   kSession,
                                   start->incarnation,
                                   start->run,
                                   OrderOutcome::Started,
                                   this->now);
        this->starts.push_back(*start);
      }
    }
  }

  EmptyRecordCodec codec;
  NullObserver observer;
  std::uint64_t packCalls = 0;
  std::uint64_t lastJob = 0;
  WorkerReport firstReport;
  std::vector<StartTask> starts;
  ClockReading now{ base::TimePoint{ 1h }, base::WallTime{ 1000h } };
  Dispatcher dispatcher;
};

void
Measure(std::uint32_t aWorkers,
        std::uint32_t aSteps,
        std::uint32_t aWidth,
        const WaitingKind& aKind,
        int aRounds)
{
  FilledPool pool(aWorkers);
  for (std::uint32_t i = 0; i < aSteps; ++i) {
    pool.Submit(aKind, aWidth);
  }
  std::vector<double> times;
  times.reserve(static_cast<std::size_t>(aRounds));
  for (int round = 0; round < aRounds; ++round) {
    times.push_back(pool.Schedule());
  }
  std::sort(times.begin(), times.end());
  std::cout << std::setw(8) << aWorkers << std::setw(8) << pool.RunningTasks()
            << std::setw(8) << aSteps << std::setw(8) << aWidth << "  "
            << std::setw(12) << std::left << aKind.name << std::right
            << std::setw(10) << pool.PackCalls() << std::setw(12)
            << times[times.size() / 2] << std::endl;
}

void
MeasurePlacement(std::uint32_t aWorkers,
                 std::uint32_t aWidth,
                 const WaitingKind& aKind,
                 int aRounds)
{
  std::vector<double> times;
  times.reserve(static_cast<std::size_t>(aRounds));
  for (int round = 0; round < aRounds; ++round) {
    FilledPool pool(aWorkers, kTasksPerWorker, true);
    pool.Submit(aKind, aWidth);
    times.push_back(pool.Schedule());
    if (pool.RunningTasks() != aWidth) {
      std::cerr << "a task was not placed\n";
      std::exit(EXIT_FAILURE);
    }
  }
  std::sort(times.begin(), times.end());
  std::cout << std::setw(8) << aWorkers << std::setw(8) << aWidth << "  "
            << std::setw(12) << std::left << aKind.name << std::right
            << std::setw(12) << times[times.size() / 2] << std::endl;
}

void
MeasureReport(std::uint32_t aTasksPerWorker, int aRounds)
{
  FilledPool pool(1, aTasksPerWorker);
  const WorkerReport report = pool.MakeReport();
  std::vector<double> times;
  times.reserve(static_cast<std::size_t>(aRounds));
  for (int round = 0; round < aRounds; ++round) {
    times.push_back(pool.Report(report));
  }
  std::sort(times.begin(), times.end());
  std::cout << std::setw(16) << report.running.size() << std::setw(12)
            << times[times.size() / 2] << std::endl;
}

} // namespace

} // namespace amaranthwind::dispatch

int
main(int aCount, char** aArguments)
{
  using namespace amaranthwind::dispatch;
  const int rounds = aCount > 1 ? std::atoi(aArguments[1]) : 5;
  if (rounds <= 0) {
    std::cerr << "usage: dispatch_pass_benchmark [rounds [kind | placement | "
                 "report | all [learned]]]\n";
    return EXIT_FAILURE;
  }
  std::string_view selected = aCount > 2 ? aArguments[2] : "";
  selected = selected == "all" ? "" : selected;
  isLearned = aCount > 3 && std::string_view(aArguments[3]) == "learned";
  std::cout << std::fixed << std::setprecision(3);
  if (selected != "report" && selected != "placement") {
    std::cout << " workers running   steps   width  kind        pack calls"
                 "   median ms\n";
  }
  // The accelerators of a gang of 230 do not fit into 25 workers, so that its
  // reservation fails.
  const std::array kinds{ WaitingKind{ "single" },
                          WaitingKind{ "limited", false, 1, 1, 2 },
                          WaitingKind{ "gang", true, 1, 8, 0, true },
                          WaitingKind{ "urgent", false, 0 } };
  for (const WaitingKind& kind : kinds) {
    if (!selected.empty() && selected != kind.name) {
      continue;
    }
    for (const std::uint32_t workers : { 25U, 74U, 300U, 775U }) {
      for (const std::uint32_t steps : { 1U, 10U, 50U }) {
        for (const std::uint32_t width : { 5U, 39U, 230U }) {
          Measure(workers, steps, width, kind, rounds);
        }
      }
    }
  }
  if (selected.empty() || selected == "placement") {
    std::cout << " workers  placed  kind           median ms\n";
    for (const WaitingKind& kind :
         { WaitingKind{ "single" },
           WaitingKind{ "limited", false, 1, 1, 4 },
           WaitingKind{ "one rack", false, 1, 1, 0, true } }) {
      for (const std::uint32_t workers : { 74U, 775U }) {
        for (const std::uint32_t width : { 39U, 230U }) {
          MeasurePlacement(workers, width, kind, rounds);
        }
      }
    }
  }
  if (selected.empty() || selected == "report") {
    std::cout << "  runs in report   median us\n";
    for (const std::uint32_t runs : { 8U, 64U, 256U }) {
      MeasureReport(runs, rounds);
    }
  }
  return EXIT_SUCCESS;
}
