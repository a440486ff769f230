#include "SimulatedCell.h"

#include <doctest/doctest.h>

using namespace amaranthwind;
using namespace amaranthwind::coordinator;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kWideJobs = 12;

job::WorkflowSpec
MakeJob(const std::string& aId,
        std::uint32_t aCount,
        const fleet::TaskResources& aNeed)
{
  job::WorkflowSpec spec;
  spec.id = base::JobId(aId);
  spec.account = base::AccountId("club");
  spec.kind = base::WorkKindId("kind");
  spec.pool = base::PoolId("pool");
  spec.maxAttempts = 2;
  job::StepSpec step;
  step.count = aCount;
  step.need = aNeed;
  step.estimate = 3s;
  spec.steps = { step };
  return spec;
}

/** Jobs that wait for full workers, so that all of them are placed at once. */
struct Backlog
{
  explicit Backlog(const SimulatedCell::Options& aOptions)
    : cell(aOptions)
  {
    this->cell.Run(6s);
    this->cell.Submit(MakeJob("full", aOptions.workers, { 64'000, 1024, 8 }));
    this->cell.Run(500ms);
    for (std::uint32_t i = 0; i < kWideJobs; ++i) {
      this->cell.Submit(
        MakeJob("wide-" + std::to_string(i), 100, { 10, 16, 0 }));
    }
    this->cell.Run(20s);
  }

  SimulatedCell cell;
};

} // namespace

// Guards against an append of all decisions of one moment, which the log
// refuses as too large for ever, so that no task starts any more.
TEST_CASE("many wide steps that are placed at once all start")
{
  SimulatedCell::Options options;
  options.maxAppendBytes = 64UL * 1024;
  SUBCASE("the log tells its limit")
  {
    options.toldLimits = { 32UL * 1024, 64UL * 1024 };
  }
  SUBCASE("the log tells a higher limit") {}
  const Backlog backlog(options);
  CHECK(backlog.cell.Completed() == kWideJobs + 1);
  CHECK(backlog.cell.Interrupted() == 0);
  CHECK(backlog.cell.HighestRun() == 1);
  if (options.toldLimits.appendBytes == options.maxAppendBytes) {
    CHECK(backlog.cell.LargestAppend() <= options.maxAppendBytes);
  }
}

// Guards against a step that grows beyond what one record may hold while it
// runs, because its tasks save checkpoints.
TEST_CASE("a step completes although its checkpoints do not fit its record")
{
  SimulatedCell::Options options;
  options.toldLimits = { 32UL * 1024, 64UL * 1024 };
  options.maxAppendBytes = 64UL * 1024;
  options.checkpointBytes = 1000;
  const Backlog backlog(options);
  CHECK(backlog.cell.Completed() == kWideJobs + 1);
  CHECK(backlog.cell.LargestAppend() <= options.maxAppendBytes);
}

// Guards against a caller that is told to come back with a job that can never
// be recorded.
TEST_CASE("a job whose records the log would not take is refused at once")
{
  SimulatedCell::Options options;
  options.toldLimits = { 32UL * 1024, 64UL * 1024 };
  SimulatedCell cell(options);
  cell.Run(6s);
  job::WorkflowSpec job = MakeJob("j", 100, { 10, 16, 0 });
  bool isTaken = false;
  SUBCASE("narrow enough")
  {
    isTaken = true;
  }
  SUBCASE("a step that is too wide")
  {
    job.steps[0].count = 200;
  }
  SUBCASE("a payload that is too long")
  {
    job.payload = std::string(40'000, 'x');
  }
  const SimulatedCell::LogUse before = cell.Use();
  cell.Submit(job);
  CHECK(cell.Use().notAccepted - before.notAccepted == (isTaken ? 0 : 1));
  cell.Run(1s);
  CHECK(cell.Use().accepted - before.accepted == (isTaken ? 1 : 0));
}
