#include "SchedulerFixture.h"

#include <doctest/doctest.h>

using namespace amaranthwind;
using namespace amaranthwind::scheduling;
using base::ErrorCode;
using std::chrono::minutes;
using std::chrono::seconds;
using Names = std::vector<std::string>;

namespace {

const JobOptions kRetried{ .maxRuns = 6 };

int
WorkerOf(const StartGang& aStart)
{
  return std::stoi(aStart.plan.members.front().worker.Text().substr(1));
}

/**
 * Lets jobs fail on worker 0 and succeed elsewhere until it is isolated.
 * Returns whether it was.
 */
bool
IsolateWorkerZero(SchedulerFixture& aCell)
{
  for (int job = 0; job < 6; ++job) {
    const std::string name = "f" + std::to_string(job);
    aCell.Submit(name, MakeShape(1, 8), kRetried);
    std::uint32_t attempt = 1;
    while (!aCell.All<StartGang>().empty()) {
      const bool isFaulty = WorkerOf(aCell.All<StartGang>().front()) == 0;
      aCell.End(name,
                isFaulty ? AttemptOutcome::Failed : AttemptOutcome::Succeeded,
                attempt++);
      for (const auto& change : aCell.All<ChangeWorkerHealth>()) {
        if (change.health == WorkerHealth::Isolated) {
          CHECK(change.worker == WorkerName(0));
          return true;
        }
      }
    }
  }
  return false;
}

} // namespace

// Guards against a faulty worker that fails job after job because its early
// failures keep it free for new work.
TEST_CASE("a worker that fails jobs which succeed elsewhere is isolated")
{
  SchedulerFixture cell(3);
  REQUIRE(IsolateWorkerZero(cell));
  for (int job = 0; job < 3; ++job) {
    cell.Submit("n" + std::to_string(job), MakeShape(1, 8), kRetried);
    for (const StartGang& start : cell.All<StartGang>()) {
      CHECK(WorkerOf(start) != 0);
    }
  }
}

// Guards against an isolated worker that returns with full load before a trial
// succeeded, or that never returns.
TEST_CASE("an isolated worker gets one job as a trial")
{
  for (const bool isRepaired : { true, false }) {
    CAPTURE(isRepaired);
    SchedulerFixture cell(3);
    REQUIRE(IsolateWorkerZero(cell));
    // Keep the healthy workers busy so that jobs wait.
    cell.Submit("busy1", MakeShape(1, 8), kRetried);
    cell.Submit("busy2", MakeShape(1, 8), kRetried);
    for (const char* name : { "t1", "t2", "t3" }) {
      cell.Submit(name, MakeShape(1, 2), kRetried);
      CHECK(cell.Started().empty());
    }
    cell.Wait(minutes(11));
    REQUIRE(cell.All<ChangeWorkerHealth>().size() == 1);
    CHECK(cell.All<ChangeWorkerHealth>()[0].health == WorkerHealth::Probation);
    CHECK(cell.Started() == Names{ "t1" });
    CHECK(WorkerOf(cell.All<StartGang>()[0]) == 0);
    cell.Wait(minutes(1));
    CHECK(cell.Started().empty());
    cell.End("t1",
             isRepaired ? AttemptOutcome::Succeeded : AttemptOutcome::Failed);
    REQUIRE(cell.All<ChangeWorkerHealth>().size() == 1);
    const ChangeWorkerHealth change = cell.All<ChangeWorkerHealth>()[0];
    CHECK(change.health ==
          (isRepaired ? WorkerHealth::Healthy : WorkerHealth::Isolated));
    CHECK(cell.Started().size() == (isRepaired ? 2 : 0));
    if (!isRepaired) {
      // Each failed trial doubles the isolation.
      CHECK(change.until == cell.clock.Now() + minutes(20));
    }
  }
}

// Guards against isolating healthy workers because of a job that fails on all
// of them.
TEST_CASE("a job that fails on several healthy workers ends as failed")
{
  SchedulerFixture cell(5);
  cell.Submit("bad", MakeShape(1, 8), { .maxRuns = 10 });
  std::uint32_t attempt = 0;
  while (cell.All<EndJob>().empty()) {
    REQUIRE(cell.Started() == Names{ "bad" });
    cell.End("bad", AttemptOutcome::Failed, ++attempt);
    CHECK(cell.All<ChangeWorkerHealth>().empty());
  }
  CHECK(attempt == 3);
  CHECK(cell.All<EndJob>()[0].error->code == ErrorCode::TargetFailed);
}

// Guards against isolating healthy workers because of a kind of work that fails
// on all of them.
TEST_CASE("work that fails everywhere isolates no worker")
{
  SchedulerFixture cell(4);
  for (int job = 0; job < 12; ++job) {
    const std::string name = "bad" + std::to_string(job);
    cell.Submit(name, MakeShape(1, 8), { .maxRuns = 3 });
    for (std::uint32_t attempt = 1; attempt <= 3; ++attempt) {
      cell.End(name, AttemptOutcome::Failed, attempt);
      CHECK(cell.All<ChangeWorkerHealth>().empty());
    }
  }
}

// Guards against a job that waits forever because the only usable workers are
// those that it avoids.
TEST_CASE("a job returns to a worker that it avoids if no other is left")
{
  SchedulerFixture cell(2);
  cell.Submit("j", MakeShape(1, 8), kRetried);
  const int first = WorkerOf(cell.All<StartGang>().front());
  cell.End("j", AttemptOutcome::Failed);
  REQUIRE(cell.Started() == Names{ "j" });
  CHECK(WorkerOf(cell.All<StartGang>().front()) != first);
  cell.Send(WorkerLost{ WorkerName(1 - first) });
  cell.End("j", AttemptOutcome::Failed, 2);
  CHECK(cell.Started().empty());
  cell.Wait(seconds(1));
  REQUIRE(cell.Started() == Names{ "j" });
  CHECK(WorkerOf(cell.All<StartGang>().front()) == first);
}
