#include "SimulatedCell.h"

#include "amaranthwind/codec/LearnedCodec.h"
#include "amaranthwind/estimation/LearnedRunTimes.h"
#include "amaranthwind/ledger/JobTable.h"

#include <doctest/doctest.h>

using namespace amaranthwind;
using namespace amaranthwind::coordinator;
using namespace std::chrono_literals;

namespace {

constexpr const char* kKey = "learned";

/** Keeps the summary that it starts from. */
class SpyLearner final : public estimation::RunTimeLearner
{
public:
  explicit SpyLearner(std::vector<estimation::LearnedSummary>& aRestored)
    : restored(aRestored)
  {
  }
  std::optional<estimation::RunTimePrediction> Predict(
    const estimation::WorkloadKey& aWorkload,
    base::Duration aEstimate) const override
  {
    return this->learned.Predict(aWorkload, aEstimate);
  }
  double SlownessOf(const base::AgentId& aWorker) const override
  {
    return this->learned.SlownessOf(aWorker);
  }
  bool HasUnevenWorkers() const override
  {
    return this->learned.HasUnevenWorkers();
  }
  void OnCompleted(const estimation::RunObservation& aRun,
                   base::TimePoint aNow) override
  {
    this->learned.OnCompleted(aRun, aNow);
  }
  void OnInterrupted(const estimation::RunObservation& aRun,
                     base::TimePoint aNow) override
  {
    this->learned.OnInterrupted(aRun, aNow);
  }
  void OnProgress(const estimation::RunObservation& aRun,
                  base::TimePoint aNow) override
  {
    this->learned.OnProgress(aRun, aNow);
  }
  void OnTick(base::TimePoint aNow) override { this->learned.OnTick(aNow); }
  estimation::LearnedSummary Summarize() const override
  {
    return this->learned.Summarize();
  }
  void Restore(const estimation::LearnedSummary& aSummary,
               base::TimePoint aNow) override
  {
    this->restored.push_back(aSummary);
    this->learned.Restore(aSummary, aNow);
  }

private:
  std::vector<estimation::LearnedSummary>& restored;
  estimation::LearnedRunTimes learned;
};

/** Workers whose speeds differ by a factor of up to 2.4. */
struct UnevenCell
{
  explicit UnevenCell(bool aLearns)
    : cell(this->MakeOptions(aLearns))
  {
  }

  SimulatedCell::Options MakeOptions(bool aLearns)
  {
    SimulatedCell::Options options;
    options.workers = 8;
    options.taskTime = 1s;
    options.taskTimeStep = 200ms;
    if (aLearns) {
      options.makeLearner = [this] {
        return std::make_unique<SpyLearner>(this->restored);
      };
    }
    options.trace = [this](const std::string& aLine) {
      this->ignored +=
        aLine.find("learned run times ignored") != std::string::npos ? 1 : 0;
    };
    return options;
  }

  void Work(int aJobs)
  {
    for (int i = 0; i < aJobs; ++i) {
      job::WorkflowSpec spec;
      spec.id = base::JobId("job-" + std::to_string(++this->submitted));
      spec.account = base::AccountId("club");
      spec.kind = base::WorkKindId("kind");
      spec.pool = base::PoolId("pool");
      spec.maxAttempts = 2;
      job::StepSpec step;
      step.count = 8;
      step.need = { 5000, 1024, 8 };
      step.estimate = 2s;
      spec.steps = { step };
      this->cell.SubmitUntilAccepted(spec);
      this->cell.Run(3s);
    }
  }

  void ReplaceEntries()
  {
    this->restored.clear();
    Fault fault;
    fault.kind = FaultKind::KillEntries;
    fault.length = 2s;
    fault.targets = ~0U;
    this->cell.Inject(fault);
    this->cell.Run(25s);
  }

  std::vector<estimation::LearnedSummary> restored;
  int ignored = 0;
  int submitted = 0;
  SimulatedCell cell;
};

} // namespace

// Guards against a successor that has to learn for minutes which workers are
// slow.
TEST_CASE("a successor starts from what was learned")
{
  UnevenCell uneven(true);
  uneven.cell.Run(6s);
  uneven.Work(14);
  const auto records = uneven.cell.RecordsOf(kKey);
  REQUIRE_FALSE(records.empty());
  // At most one in 10 s, of 48 s.
  CHECK(records.size() <= 5);
  uneven.ReplaceEntries();
  REQUIRE_FALSE(uneven.restored.empty());
  const estimation::LearnedSummary& summary = uneven.restored.back();
  CHECK(summary.hasUnevenWorkers);
  CHECK(summary.workers.size() >= 4);
  REQUIRE_FALSE(summary.workloads.empty());
  CHECK(summary.workloads.front().workload.kind == base::WorkKindId("kind"));
  CHECK(uneven.ignored == 0);
  uneven.Work(4);
  CHECK(uneven.cell.Unfinished().empty());
  CHECK(uneven.cell.Violations().empty());
}

// Guards against a hint that keeps a successor from coordinating.
TEST_CASE("without a readable record learning starts anew")
{
  UnevenCell uneven(true);
  uneven.cell.Run(6s);
  std::string value;
  int ignored = 1;
  SUBCASE("deleted")
  {
    ignored = 0;
  }
  SUBCASE("not JSON")
  {
    value = "\xff{";
  }
  SUBCASE("another version")
  {
    value = R"({"version":2,"workers":[],"slowness":[],"workloads":[]})";
  }
  SUBCASE("too large")
  {
    value = codec::EncodeLearned({}) + std::string(100'000, ' ');
  }
  uneven.cell.WriteRecord({ kKey, value });
  uneven.ReplaceEntries();
  REQUIRE_FALSE(uneven.restored.empty());
  CHECK(uneven.restored.back().IsEmpty());
  CHECK(uneven.ignored == ignored * static_cast<int>(uneven.restored.size()));
  uneven.Work(6);
  CHECK(uneven.cell.Unfinished().empty());
  CHECK(uneven.cell.RecordsOf(kKey).back() != value);
}

// Guards against a daemon that writes or reads the record although it does not
// learn.
TEST_CASE("without a learner the record is neither written nor read")
{
  UnevenCell uneven(false);
  uneven.cell.Run(6s);
  uneven.Work(6);
  CHECK(uneven.cell.RecordsOf(kKey).empty());
  uneven.cell.WriteRecord({ kKey, "unreadable" });
  uneven.ReplaceEntries();
  uneven.Work(2);
  CHECK(uneven.ignored == 0);
  CHECK(uneven.cell.Unfinished().empty());
  CHECK(uneven.cell.RecordsOf(kKey).size() == 1);
}

// Guards against placements and ends that wait for a log that does not take the
// summary.
TEST_CASE("a log with small records takes the work but not the summary")
{
  UnevenCell uneven(true);
  SimulatedCell::Options options = uneven.MakeOptions(true);
  options.toldLimits = { 300, 64UL * 1024 };
  options.workers = 1;
  options.taskTimeStep = {};
  SimulatedCell cell(options);
  cell.Run(6s);
  for (int i = 0; i < 12; ++i) {
    job::WorkflowSpec spec;
    spec.id = base::JobId("j" + std::to_string(i));
    spec.account = base::AccountId("club-" + std::to_string(i));
    spec.kind = base::WorkKindId("k");
    spec.pool = base::PoolId("pool");
    spec.steps.emplace_back();
    spec.steps[0].need = { 100, 16, 0 };
    spec.steps[0].estimate = 1s;
    cell.Submit(spec);
    cell.Run(3s);
  }
  CHECK(cell.Unfinished().empty());
  for (const auto& record : cell.RecordsOf(kKey)) {
    CHECK(record.size() <= 300);
  }
}
