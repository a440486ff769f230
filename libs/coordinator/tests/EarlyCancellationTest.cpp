#include "Fleet.h"

#include <doctest/doctest.h>

#include <optional>

using namespace amaranthwind;
using namespace amaranthwind::coordinator;
using namespace amaranthwind::coordinator::testing;
using namespace std::chrono_literals;
using base::ErrorCode;
using ledger::JobPhase;

namespace {

constexpr base::Duration kTimeout = 2700ms;
const base::JobId kJob("00000000000000e0");
const base::AccountId kAccount("club");
const journal::KeyedTopic kJobs{ "jobs", 0 };

job::WorkflowSpec
MakeJob()
{
  job::WorkflowSpec spec;
  spec.id = kJob;
  spec.account = kAccount;
  spec.kind = base::WorkKindId("kind");
  spec.pool = base::PoolId("pool");
  spec.maxAttempts = 1;
  job::StepSpec step;
  step.count = 1;
  step.need = { 1000, 64, 1 };
  spec.steps = { step };
  return spec;
}

struct Cell : LeaderAndOther
{
  Cell() { REQUIRE(this->fleet.Holder() == "leader"); }

  void Submit(EntryProcess& aEntry)
  {
    this->submitted.reset();
    aEntry.coordinator->Submit(
      MakeJob(), kTimeout, [this](const auto& aResult) {
        this->submitted = aResult;
      });
    this->fleet.Run(200ms);
  }
  /** Cancels a job and returns the result; empty if there is none yet. */
  std::optional<base::Result<void>> Cancel(EntryProcess& aEntry,
                                           const base::JobId& aJob = kJob,
                                           const char* aAccount = "club")
  {
    std::optional<base::Result<void>> cancelled;
    aEntry.coordinator->Cancel(
      aJob,
      base::AccountId(aAccount),
      kTimeout,
      [&cancelled](const auto& aResult) { cancelled = aResult; });
    this->fleet.Run(100ms);
    return cancelled;
  }
  /** The phase that an entry reports; empty if the job is unknown there. */
  std::optional<JobPhase> PhaseAt(EntryProcess& aEntry)
  {
    std::optional<JobPhase> phase;
    aEntry.coordinator->Find(kJob, [&phase](const auto& aStatus) {
      if (aStatus.has_value()) {
        phase = aStatus.value().phase;
      }
    });
    this->fleet.Run(100ms);
    return phase;
  }
  /** The job's append, which nobody waits for, takes effect. */
  void AppendLate()
  {
    const journal::KeyedValue accepted{
      ledger::AcceptedKey(kJob), codec::LedgerCodec().EncodeWorkflow(MakeJob())
    };
    this->fleet.log.Append(
      kJobs, std::span(&accepted, 1), {}, [](const auto&) {});
    this->fleet.Run(100ms);
  }
  bool HasCancellation()
  {
    return this->fleet.log.PartitionOf(kJobs).newest.contains(
      ledger::CancelledKey(kJob));
  }

  std::optional<base::Result<void>> submitted;
};

bool
IsUnknown(const std::optional<base::Result<void>>& aResult)
{
  return aResult && aResult->has_error() &&
         aResult->error().code == ErrorCode::UnknownJob;
}

} // namespace

// Guards against a job that runs after its cancellation was answered with
// "unknown job": the coordinator still repeats the append of its submission.
TEST_CASE("a cancelled job stays cancelled if its append takes effect later")
{
  Cell cell;
  cell.leader.log.dropsJobAppends = true;
  SUBCASE("submitted at the coordinator")
  {
    cell.Submit(cell.leader);
  }
  SUBCASE("submitted at another entry")
  {
    cell.other->log.dropsJobAppends = true;
    cell.Submit(*cell.other);
  }
  cell.fleet.Run(2700ms);
  CHECK_FALSE(cell.PhaseAt(*cell.other).has_value());
  cell.leader.log.dropsJobAppends = false;
  cell.other->log.dropsJobAppends = false;
  REQUIRE(IsUnknown(cell.Cancel(*cell.other)));
  cell.fleet.Run(10s);
  CHECK(cell.PhaseAt(cell.leader) == JobPhase::Cancelled);
  CHECK(cell.PhaseAt(*cell.other) == JobPhase::Cancelled);
}

// Guards against a client that fills the log by cancelling the same job again
// and again.
TEST_CASE("a job that was cancelled is not recorded as cancelled again")
{
  Cell cell;
  SUBCASE("as unknown")
  {
    REQUIRE(IsUnknown(cell.Cancel(*cell.other)));
  }
  SUBCASE("after it was accepted")
  {
    cell.Submit(cell.leader);
    REQUIRE(cell.Cancel(*cell.other)->has_value());
  }
  cell.fleet.Run(1s);
  const auto& records = cell.fleet.log.PartitionOf(kJobs).records;
  const std::size_t before = records.size();
  REQUIRE(cell.Cancel(cell.leader).has_value());
  REQUIRE(cell.Cancel(*cell.other).has_value());
  cell.fleet.Run(1s);
  CHECK(records.size() == before);
}

// Guards against a successor that drops the cancellation of a job that the log
// does not hold yet, as what is left of an old job.
TEST_CASE("a successor keeps the cancellation of a job that comes later")
{
  Cell cell;
  REQUIRE(IsUnknown(cell.Cancel(*cell.other)));
  cell.leader.Kill();
  cell.fleet.Run(10s);
  REQUIRE(cell.fleet.Holder() == "other");
  cell.AppendLate();
  CHECK(cell.PhaseAt(*cell.other) == JobPhase::Cancelled);
}

// Guards against cancellations that stay in the log for good.
TEST_CASE("the cancellation of a job that never comes is deleted")
{
  Cell cell;
  REQUIRE(IsUnknown(cell.Cancel(cell.leader)));
  cell.fleet.Run(dispatch::DispatcherOptions().retention - 5s);
  CHECK(cell.HasCancellation());
  cell.fleet.Run(10s);
  CHECK_FALSE(cell.HasCancellation());
}

// Guards against a client that fills the log and the memory of all schedulers
// with cancellations of jobs that do not exist.
TEST_CASE("the cancellations of unknown jobs are limited")
{
  Cell cell;
  constexpr int kMany = 5000;
  int refused = 0;
  for (int i = 0; i < kMany; ++i) {
    cell.other->coordinator->Cancel(
      base::JobId("x" + std::to_string(i)),
      base::AccountId("stranger"),
      kTimeout,
      [&refused](const auto& aResult) {
        refused += aResult.error().code == ErrorCode::QueueFull ? 1 : 0;
      });
    if (i % 50 == 0) {
      cell.fleet.Run(100ms);
    }
  }
  cell.fleet.Run(3s);
  CHECK(refused > kMany / 2);
  CHECK(cell.fleet.log.PartitionOf(kJobs).newest.size() < kMany / 2);
  // Other accounts still find room.
  CHECK(IsUnknown(cell.Cancel(*cell.other)));
  // The limit ends with the retention of the cancellations.
  cell.fleet.Run(dispatch::DispatcherOptions().retention + 5s);
  CHECK(IsUnknown(cell.Cancel(*cell.other, base::JobId("x4999"), "stranger")));
}
