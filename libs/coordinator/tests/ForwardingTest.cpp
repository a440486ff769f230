#include "Fleet.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <string_view>
#include <vector>

using namespace amaranthwind;
using namespace amaranthwind::coordinator;
using namespace amaranthwind::coordinator::testing;
using namespace std::chrono_literals;
using base::ErrorCode;

namespace {

constexpr base::Duration kCallerTimeout = 2700ms;

/** A coordinator, and another entry that gets a job. */
struct Forwarding
{
  Forwarding()
    : leader(fleet.Start("a"))
  {
    this->fleet.Run(3s);
    this->entry = &this->fleet.Start("b");
    this->fleet.Run(3s);
    REQUIRE(this->fleet.Holder() == "a");
  }

  void Submit(const std::string& aJob = "j")
  {
    job::WorkflowSpec spec;
    spec.id = base::JobId(aJob);
    spec.kind = base::WorkKindId("kind");
    spec.pool = base::PoolId("pool");
    spec.steps.resize(1);
    spec.steps[0].count = 1;
    this->result.reset();
    this->entry->coordinator->Submit(
      std::move(spec), kCallerTimeout, [this](const auto& aResult) {
        CHECK_FALSE(this->result.has_value());
        this->result = aResult;
      });
  }
  bool IsAccepted() const { return this->result && this->result->has_value(); }
  std::size_t AcceptedRecords()
  {
    const auto& records = this->fleet.log.PartitionOf({ "jobs", 0 }).records;
    return static_cast<std::size_t>(
      std::count_if(records.begin(), records.end(), [](const auto& aRecord) {
        return ledger::ParseKey(aRecord.key).kind ==
               ledger::RecordKind::Accepted;
      }));
  }

  Fleet fleet;
  EntryProcess& leader;
  EntryProcess* entry = nullptr;
  std::optional<base::Result<void>> result;
};

} // namespace

TEST_CASE("a job is accepted through the coordinator")
{
  Forwarding forwarding;
  // Only the coordinator reaches the log.
  forwarding.entry->log.isCut = true;
  forwarding.Submit();
  forwarding.fleet.Run(100ms);
  CHECK(forwarding.IsAccepted());
  CHECK(forwarding.AcceptedRecords() == 1);
}

// Guards against entries that accept nothing while the coordinator fails.
TEST_CASE("a job is accepted without the coordinator's help")
{
  Forwarding forwarding;
  SUBCASE("if it is killed")
  {
    forwarding.leader.Kill();
  }
  SUBCASE("if it is frozen")
  {
    forwarding.leader.Freeze();
  }
  SUBCASE("if it is late")
  {
    forwarding.leader.decisionThread.lateness = 2s;
  }
  SUBCASE("if it is cut off")
  {
    forwarding.leader.Cut();
  }
  forwarding.Submit();
  forwarding.fleet.Run(400ms);
  CHECK(forwarding.IsAccepted());
}

TEST_CASE("a job is accepted although the coordinator has lost the log")
{
  Forwarding forwarding;
  forwarding.leader.log.isCut = true;
  forwarding.Submit();
  forwarding.fleet.Run(1s);
  CHECK(forwarding.IsAccepted());
}

// Guards against a caller that waits for a coordinator that has failed after it
// had taken the record.
TEST_CASE("a job is accepted although the coordinator fails with its record")
{
  Forwarding forwarding;
  forwarding.leader.log.dropsAppends = true;
  forwarding.Submit();
  forwarding.fleet.Run(100ms);
  forwarding.leader.Freeze();
  forwarding.fleet.Run(1200ms);
  CHECK(forwarding.IsAccepted());
}

// Guards against a caller that waits for the decisions of its own entry.
TEST_CASE("a job is accepted in time by an entry whose decisions are late")
{
  Forwarding forwarding;
  forwarding.entry->decisionThread.lateness = 3s;
  forwarding.Submit();
  forwarding.fleet.Run(400ms);
  CHECK(forwarding.IsAccepted());
}

// Guards against telling a caller that its job was not accepted while a
// coordinator that was frozen still has the record and appends it.
TEST_CASE("a job that the coordinator may still append is not refused")
{
  Forwarding forwarding;
  forwarding.leader.Freeze();
  forwarding.entry->log.isCut = true;
  forwarding.Submit();
  forwarding.fleet.Run(kCallerTimeout);
  REQUIRE(forwarding.result.has_value());
  CHECK(forwarding.result->error().code == ErrorCode::AppendUnconfirmed);
}

// Guards against a coordinator that takes records which it cannot write.
TEST_CASE("a record that the coordinator refuses may be refused to the caller")
{
  Forwarding forwarding;
  forwarding.fleet.log.isDown = true;
  // The first failure shows the coordinator that the log is down.
  forwarding.Submit("first");
  forwarding.fleet.Run(kCallerTimeout);
  REQUIRE(forwarding.result.has_value());
  forwarding.Submit("second");
  forwarding.fleet.Run(kCallerTimeout);
  REQUIRE(forwarding.result.has_value());
  CHECK(forwarding.result->error().code == ErrorCode::LogUnavailable);
}

// Guards against entries that accept jobs at the same time which are too large
// together.
TEST_CASE("of large jobs at several entries the coordinator accepts what fits")
{
  Forwarding forwarding;
  EntryProcess& other = forwarding.fleet.Start("c");
  forwarding.fleet.Run(3s);
  std::vector<bool> results;
  const auto submit = [&](EntryProcess& aEntry, std::string_view aJob) {
    job::WorkflowSpec spec;
    spec.id = base::JobId(aJob);
    spec.kind = base::WorkKindId("kind");
    spec.pool = base::PoolId("pool");
    constexpr std::size_t kSteps = 120;
    constexpr std::uint32_t kTasks = 500;
    spec.steps.resize(kSteps);
    for (auto& step : spec.steps) {
      step.count = kTasks;
    }
    aEntry.coordinator->Submit(
      std::move(spec), kCallerTimeout, [&](const auto& aResult) {
        results.push_back(aResult.has_value());
        const bool isRefused =
          aResult.has_value() || aResult.error().code == ErrorCode::QueueFull;
        CHECK(isRefused);
      });
  };
  submit(*forwarding.entry, "j1");
  submit(other, "j2");
  submit(forwarding.leader, "j3");
  forwarding.fleet.Run(1s);
  REQUIRE(results.size() == 3);
  CHECK(std::count(results.begin(), results.end(), true) == 1);
  CHECK(forwarding.AcceptedRecords() == 1);
}
