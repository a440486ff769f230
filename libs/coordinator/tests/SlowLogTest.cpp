#include "SimulatedCell.h"

#include <doctest/doctest.h>

using namespace amaranthwind;
using namespace amaranthwind::coordinator;
using namespace std::chrono_literals;

namespace {

constexpr base::Duration kUsualAppendTime = 4ms;
constexpr std::uint32_t kEntries = 12;
constexpr std::uint32_t kJobs = 40;
constexpr base::Duration kJobInterval = 150ms;
/** For messages between entries and the reading of records. */
constexpr base::Duration kMargin = 100ms;

job::WorkflowSpec
MakeJob(std::uint32_t aNumber)
{
  job::WorkflowSpec spec;
  spec.id = base::JobId("job-" + std::to_string(aNumber));
  spec.account = base::AccountId("club");
  spec.kind = base::WorkKindId("kind");
  spec.pool = base::PoolId("pool");
  spec.maxAttempts = 2;
  job::StepSpec step;
  step.count = 2;
  step.need = { 1000, 1024, 1 };
  step.estimate = 3s;
  spec.steps = { step };
  return spec;
}

struct SlowLog
{
  SlowLog()
    : cell(MakeOptions())
  {
    this->cell.Run(6s);
  }

  static SimulatedCell::Options MakeOptions()
  {
    SimulatedCell::Options options;
    options.entries = kEntries;
    options.appendTime = kUsualAppendTime;
    options.appendsInTurn = true;
    return options;
  }

  /** Jobs arrive at all entries in turn while each append takes this long. */
  void SubmitDuring(base::Duration aAppendTime)
  {
    const SimulatedCell::LogUse before = this->cell.Use();
    this->cell.SetAppendTime(aAppendTime);
    for (std::uint32_t i = 0; i < kJobs; ++i) {
      this->cell.Submit(MakeJob(i), i % kEntries);
      this->cell.Run(kJobInterval);
    }
    this->failedAppends = this->cell.Use().failedAppends - before.failedAppends;
  }

  SimulatedCell cell;
  std::size_t failedAppends = 0;
};

} // namespace

// Guards against a log that still works, only slower, but stops everything: an
// append of each entry for each job, repeated whenever it takes long, leaves no
// turn for the coordinator's placements.
TEST_CASE("jobs are accepted and placed at the pace of a slow log")
{
  int slowness = 0;
  SUBCASE("16 times slower")
  {
    slowness = 16;
  }
  SUBCASE("64 times slower")
  {
    slowness = 64;
  }
  SUBCASE("256 times slower")
  {
    slowness = 256;
  }
  CAPTURE(slowness);
  SlowLog log;
  const base::Duration appendTime = kUsualAppendTime * slowness;
  log.SubmitDuring(appendTime);
  CHECK(log.failedAppends == 0);
  log.cell.SetAppendTime(kUsualAppendTime);
  // Two appends and two reads that were under way.
  log.cell.Run(appendTime * 2 + kMargin);
  CHECK(log.cell.Use().notAccepted == 0);
  CHECK(log.cell.Use().accepted == kJobs);
  CHECK(log.cell.Use().maxAcceptTime <= appendTime * 2 + kMargin);
  CHECK(log.cell.Elections() == 1);
  log.cell.Run(6s);
  CHECK(log.cell.Completed() == kJobs);
  CHECK(log.cell.Interrupted() == 0);
}

// Guards against placements that wait until a slow log is fast again.
TEST_CASE("placements become durable while the log is slow")
{
  SlowLog log;
  log.SubmitDuring(kUsualAppendTime * 64);
  // All but those that arrived during the last reads and appends.
  CHECK(log.cell.Placed() + 10 >= kJobs);
}
