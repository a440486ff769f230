#include "Fleet.h"

#include <doctest/doctest.h>

#include <optional>

using namespace amaranthwind;
using namespace amaranthwind::coordinator;
using namespace amaranthwind::coordinator::testing;
using namespace std::chrono_literals;
using base::ErrorCode;

namespace {

constexpr base::Duration kTimeout = 2700ms;
constexpr std::uint32_t kTasksPerStep = 1000;

job::WorkflowSpec
MakeJob(const char* aId, std::uint32_t aSteps)
{
  job::WorkflowSpec spec;
  spec.id = base::JobId(aId);
  spec.account = base::AccountId("club");
  spec.kind = base::WorkKindId("kind");
  spec.pool = base::PoolId("pool");
  spec.maxAttempts = 1;
  job::StepSpec step;
  step.count = kTasksPerStep;
  step.need = { 1000, 64, 1 };
  spec.steps.assign(aSteps, step);
  return spec;
}

struct Submission
{
  Submission(EntryProcess& aEntry, const job::WorkflowSpec& aSpec)
  {
    aEntry.coordinator->Submit(
      aSpec, kTimeout, [this](const auto& aResult) { this->result = aResult; });
  }
  /** The error; empty if there is no result or the job was accepted. */
  std::optional<ErrorCode> Error() const
  {
    return this->result && this->result->has_error()
             ? std::optional(this->result->error().code)
             : std::nullopt;
  }

  std::optional<base::Result<void>> result;
};

} // namespace

// Guards against the refusal of a job that runs: an earlier submission of it
// had no answer, and its append takes effect after the refusal.
TEST_CASE("a job that may still be accepted is not refused")
{
  LeaderAndOther cell;
  REQUIRE(cell.fleet.Holder() == "leader");
  const auto job = MakeJob("j", 1);
  cell.leader.log.dropsJobAppends = true;
  const Submission first(cell.leader, job);
  cell.fleet.Run(2s);
  REQUIRE_FALSE(first.result.has_value());
  EntryProcess* second = nullptr;
  SUBCASE("at the same entry")
  {
    second = &cell.leader;
  }
  SUBCASE("at another entry, by the word of the coordinator")
  {
    second = cell.other;
  }
  second->log.isCut = true;
  const Submission again(*second, job);
  cell.fleet.Run(kTimeout);
  CHECK(again.Error() == ErrorCode::AppendUnconfirmed);
}

// Guards against an answer that leaves the outcome open although the job was
// read from the log: only the answer to its append was lost.
TEST_CASE("a job is accepted once it is read, also if its append has no answer")
{
  LeaderAndOther cell;
  REQUIRE(cell.fleet.Holder() == "leader");
  cell.fleet.log.losesAnswers = true;
  const Submission submission(cell.leader, MakeJob("j", 1));
  cell.fleet.Run(kTimeout);
  REQUIRE(submission.result.has_value());
  CHECK(submission.result->has_value());
}

// Guards against a refusal for lack of room of a job that another entry has
// accepted, and that this one has not read yet.
TEST_CASE("a job that another entry has accepted is not refused for its room")
{
  LeaderAndOther cell;
  REQUIRE(cell.fleet.Holder() == "leader");
  cell.other->decisionThread.Freeze();
  const Submission large(*cell.other, MakeJob("large", 12));
  cell.fleet.Run(1s);
  REQUIRE((large.result && large.result->has_value()));
  const auto job = MakeJob("j", 2);
  const Submission unknown(*cell.other, MakeJob("unknown", 2));
  const Submission first(cell.leader, job);
  cell.fleet.Run(1s);
  REQUIRE((first.result && first.result->has_value()));
  const Submission again(*cell.other, job);
  cell.fleet.Run(100ms);
  CHECK_FALSE(again.Error().has_value());
  cell.other->decisionThread.Thaw();
  cell.fleet.Run(1s);
  REQUIRE(again.result.has_value());
  CHECK(again.result->has_value());
  CHECK(unknown.Error() == ErrorCode::QueueFull);
}
