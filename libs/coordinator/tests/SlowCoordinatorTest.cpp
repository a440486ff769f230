#include "OneStepJob.h"
#include "SimulatedCell.h"

#include <doctest/doctest.h>

#include <random>

using namespace amaranthwind;
using namespace amaranthwind::coordinator;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kJobs = 24;

job::WorkflowSpec
MakeWideJob(std::uint32_t aNumber)
{
  return testing::MakeOneStepJob("job-" + std::to_string(aNumber), 40, 3s);
}

void
CheckLoad(const ProcessorCosts& aCosts)
{
  SimulatedCell::Options options;
  options.costs = aCosts;
  SimulatedCell cell(options);
  cell.Run(6s);
  for (std::uint32_t i = 0; i < kJobs; ++i) {
    cell.Submit(MakeWideJob(i));
    cell.Run(600ms);
  }
  cell.Run(60s);
  CHECK(cell.Completed() == kJobs);
  CHECK(cell.Interrupted() == 0);
  CHECK(cell.Elections() == 1);
}

} // namespace

// No worker or connection fails; only processor time is short.
TEST_CASE(
  "a busy coordinator neither stops healthy runs nor loses accepted jobs")
{
  CheckLoad({ .perTask = 100us,
              .perPackedWorker = 40us,
              .perSentMessage = 200us,
              .perRecordTask = 30us });
}

// Guards against a leadership that changes all the time: no leader works off
// the backlog before the next one begins anew with it.
TEST_CASE("a coordinator whose queue is seconds long keeps its leadership")
{
  CheckLoad({ .perTask = 1600us,
              .perPackedWorker = 640us,
              .perSentMessage = 3200us,
              .perRecordTask = 480us });
}

// Each record of a step holds all of its tasks, and every entry reads it.
TEST_CASE("a slow log does not pile up records of a step that changes often")
{
  SimulatedCell::Options options;
  options.taskTimeStep = 20ms;
  options.appendTime = 400ms;
  SimulatedCell cell(options);
  cell.Run(6s);
  job::WorkflowSpec spec = MakeWideJob(0);
  spec.steps[0].count = options.workers * 8;
  cell.Submit(spec);
  cell.Run(10s);
  CHECK(cell.Completed() == 1);
  // One for the placements, and two or three while the tasks end.
  CHECK(cell.StepRecords() <= 5);
}

// Guards against runs that are revoked, or repeated under another number,
// because their orders or the outcomes of these are lost with a connection.
TEST_CASE("each task runs once although connections are lost")
{
  constexpr std::uint64_t kSeed = 18;
  std::mt19937_64 random(kSeed);
  SimulatedCell::Options options;
  options.costs = { .perTask = 100us,
                    .perPackedWorker = 40us,
                    .perSentMessage = 200us,
                    .perRecordTask = 30us };
  SimulatedCell cell(options);
  cell.Run(6s);
  for (std::uint32_t i = 0; i < kJobs; ++i) {
    cell.Submit(MakeWideJob(i));
    cell.CloseConnections(random() % 600 * 1ms);
    cell.Run(600ms);
    CHECK_FALSE(cell.HasConcurrentRuns());
  }
  cell.Run(60s);
  CHECK(cell.Completed() == kJobs);
  CHECK(cell.Interrupted() == 0);
  CHECK(cell.HighestRun() == 1);
}
