#include "WorkBudget.h"

#include "amaranthwind/base/ManualClock.h"

#include <doctest/doctest.h>

#include <string>
#include <string_view>

using namespace amaranthwind;
using namespace amaranthwind::coordinator;
using namespace std::chrono_literals;
using base::ErrorCode;

namespace {

constexpr std::size_t kLimit = std::size_t{ 8 } * 1024 * 1024;
/** Takes about one hundredth of the limit. */
constexpr std::uint32_t kSmallTasks = 140;

job::WorkflowSpec
MakeSpec(int aNumber, std::string_view aAccount, std::uint32_t aTasks)
{
  job::WorkflowSpec spec;
  spec.id = base::JobId(std::to_string(aNumber));
  spec.account = base::AccountId(aAccount);
  spec.steps.resize(1);
  spec.steps[0].count = aTasks;
  return spec;
}

struct Fixture
{
  /** Submits the job and, if it is accepted, reads it from the log. */
  bool Accept(const job::WorkflowSpec& aSpec)
  {
    if (this->budget.Reserve(aSpec).has_error()) {
      return false;
    }
    this->budget.OnSubmitted(aSpec.id, true);
    this->budget.OnJob(aSpec.id, aSpec);
    return true;
  }

  /** Accepts small jobs until one is refused; returns their number. */
  int Fill(std::string_view aAccount)
  {
    int accepted = 0;
    while (this->Accept(MakeSpec(++this->jobs, aAccount, kSmallTasks))) {
      ++accepted;
    }
    return accepted;
  }

  base::ManualClock clock;
  WorkBudget budget{ this->clock, kLimit };
  int jobs = 0;
};

} // namespace

// Guards against accepted work that exceeds the memory, and against one account
// that leaves no room for others.
TEST_CASE("however much some accounts submit, others find room")
{
  Fixture fixture;
  const int first = fixture.Fill("first");
  CHECK(first >= 60);
  CHECK(first <= 70);
  const int second = fixture.Fill("second");
  CHECK(second >= 18);
  const int third = fixture.Fill("third");
  CHECK(third >= 5);
  CHECK(fixture.budget.Used() < kLimit);
}

TEST_CASE("a job that is larger than an account's part is refused for good")
{
  Fixture fixture;
  const auto refused =
    fixture.budget.Reserve(MakeSpec(1, "account", 75 * kSmallTasks));
  REQUIRE(refused.has_error());
  CHECK(refused.error().code == ErrorCode::TooLarge);
  CHECK(fixture.Accept(MakeSpec(2, "account", 60 * kSmallTasks)));
  const auto full =
    fixture.budget.Reserve(MakeSpec(3, "account", 60 * kSmallTasks));
  REQUIRE(full.has_error());
  CHECK(full.error().code == ErrorCode::QueueFull);
}

TEST_CASE("the room of a job is free again when its records are deleted")
{
  Fixture fixture;
  const auto large = MakeSpec(1, "account", 60 * kSmallTasks);
  REQUIRE(fixture.Accept(large));
  CHECK_FALSE(fixture.Accept(MakeSpec(2, "account", 60 * kSmallTasks)));
  fixture.budget.OnForgotten(large.id);
  CHECK(fixture.budget.Used() == 0);
  CHECK(fixture.Accept(MakeSpec(3, "account", 60 * kSmallTasks)));
}

TEST_CASE("the room of a job that was not appended is free at once")
{
  Fixture fixture;
  const auto spec = MakeSpec(1, "account", kSmallTasks);
  REQUIRE(fixture.budget.Reserve(spec).has_value());
  fixture.budget.OnSubmitted(spec.id, false);
  CHECK(fixture.budget.Used() == 0);
}

// Guards against room that is never free again after an append whose outcome
// nobody learns.
TEST_CASE("the room of a job that may be in the log is kept for a while")
{
  Fixture fixture;
  const auto spec = MakeSpec(1, "account", kSmallTasks);
  REQUIRE(fixture.budget.Reserve(spec).has_value());
  fixture.budget.OnSubmitted(spec.id, true);
  fixture.clock.Advance(30s);
  REQUIRE(fixture.Accept(MakeSpec(2, "account", kSmallTasks)));
  CHECK(fixture.budget.Used() == 2 * FootprintOf(spec));
  fixture.clock.Advance(60s);
  REQUIRE(fixture.Accept(MakeSpec(3, "account", kSmallTasks)));
  CHECK(fixture.budget.Used() == 2 * FootprintOf(spec));
}

// Guards against a refusal, and against room that is given away, while another
// submission of the same job may still take effect.
TEST_CASE("the room of a job is kept while any submission of it may count")
{
  Fixture fixture;
  const auto spec = MakeSpec(1, "account", kSmallTasks);
  REQUIRE(fixture.budget.Reserve(spec).has_value());
  REQUIRE(fixture.budget.Reserve(spec).has_value());
  CHECK(fixture.budget.OnSubmitted(spec.id, false));
  CHECK(fixture.budget.Used() == FootprintOf(spec));
  SUBCASE("the other one fails, too")
  {
    CHECK_FALSE(fixture.budget.OnSubmitted(spec.id, false));
    CHECK(fixture.budget.Used() == 0);
  }
  SUBCASE("the other one has no definite result")
  {
    CHECK(fixture.budget.OnSubmitted(spec.id, true));
    REQUIRE(fixture.budget.Reserve(spec).has_value());
    CHECK(fixture.budget.OnSubmitted(spec.id, false));
    CHECK(fixture.budget.Used() == FootprintOf(spec));
  }
}

// Guards against schedulers that each accept up to the limit before they read
// what the others have accepted.
TEST_CASE("what is accepted and not read yet is limited to a part")
{
  Fixture fixture;
  int reserved = 0;
  while (
    fixture.budget.Reserve(MakeSpec(++fixture.jobs, "account", kSmallTasks))
      .has_value()) {
    ++reserved;
  }
  CHECK(reserved >= 10);
  CHECK(reserved <= 13);
}

// Guards against an entry that appends a job itself after the coordinator has
// refused it for the jobs that others have accepted meanwhile.
TEST_CASE("a reserved job is checked against what was read since")
{
  Fixture fixture;
  const auto spec = MakeSpec(1, "account", 60 * kSmallTasks);
  REQUIRE(fixture.budget.Reserve(spec).has_value());
  CHECK(fixture.budget.Check(spec.id).has_value());
  const auto others = MakeSpec(2, "account", 60 * kSmallTasks);
  fixture.budget.OnJob(others.id, others);
  const auto checked = fixture.budget.Check(spec.id);
  REQUIRE(checked.has_error());
  CHECK(checked.error().code == ErrorCode::QueueFull);
  // The same job, read from the log, is accepted.
  fixture.budget.OnJob(spec.id, spec);
  CHECK(fixture.budget.Check(spec.id).has_value());
}

TEST_CASE("a job that is known or submitted twice takes its room once")
{
  Fixture fixture;
  const auto spec = MakeSpec(1, "account", kSmallTasks);
  REQUIRE(fixture.budget.Reserve(spec).has_value());
  REQUIRE(fixture.budget.Reserve(spec).has_value());
  CHECK(fixture.budget.Used() == FootprintOf(spec));
  fixture.budget.OnJob(spec.id, spec);
  REQUIRE(fixture.budget.Reserve(spec).has_value());
  CHECK(fixture.budget.Used() == FootprintOf(spec));
}
