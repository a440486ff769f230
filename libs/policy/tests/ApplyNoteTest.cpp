#include "amaranthwind/policy/ApplyNote.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace amaranthwind;
using namespace amaranthwind::policy;
using base::ErrorCode;

namespace {

Account
MakeAccount(std::string_view aId, std::uint32_t aFloor = 0)
{
  Account account;
  account.id = base::AccountId(aId);
  account.floorPercent = aFloor;
  return account;
}

ReleaseNote
MakeNote(std::uint64_t aBase, std::vector<Change> aChanges)
{
  return ReleaseNote{ base::RecordId("n" + std::to_string(aBase)),
                      base::PolicyVersion(aBase),
                      std::move(aChanges) };
}

Policy
PolicyWithOneAccount()
{
  return ApplyNote(Policy{}, MakeNote(0, { PutAccount{ MakeAccount("a") } }))
    .value();
}

} // namespace

TEST_CASE("an accepted note adds accounts and kinds in order of id")
{
  WorkKind kind;
  kind.id = base::WorkKindId("quote");
  auto next = ApplyNote(PolicyWithOneAccount(),
                        MakeNote(1,
                                 { PutAccount{ MakeAccount("c") },
                                   PutAccount{ MakeAccount("b") },
                                   PutKind{ kind } }));
  REQUIRE(next.has_value());
  CHECK(next.value().version.Get() == 2);
  CHECK(next.value().FindAccount(base::AccountId("b")) != nullptr);
  CHECK(next.value().accounts[1].id.View() == "b");
  CHECK(next.value().FindKind(kind.id) != nullptr);
  CHECK(next.value().FindKind(base::WorkKindId("none")) == nullptr);
}

// Guards against operators overwriting each other's changes.
TEST_CASE("the second of two notes on one base is rejected naming the first")
{
  const Policy start = PolicyWithOneAccount();
  const auto first =
    ApplyNote(start, MakeNote(1, { PutAccount{ MakeAccount("b") } }));
  REQUIRE(first.has_value());
  const auto second =
    ApplyNote(first.value(), MakeNote(1, { PutAccount{ MakeAccount("c") } }));
  REQUIRE(second.has_error());
  CHECK(second.error().code == ErrorCode::BaseVersionConflict);
  CHECK(second.error().subject == "n1");
}

// Guards against a note that takes effect only partially.
TEST_CASE("a note with one invalid change is rejected as a whole")
{
  struct Case
  {
    std::vector<Change> changes;
    ErrorCode code;
    std::string subject;
  };
  WorkKind noRuns;
  noRuns.id = base::WorkKindId("k");
  noRuns.maxRuns = 0;
  Account zoneless = MakeAccount("z");
  zoneless.guarantees.emplace_back();
  const PutAccount good{ MakeAccount("b") };
  const std::vector<Case> cases{
    { {}, ErrorCode::MissingField, "changes" },
    { { good, WithdrawAccount{ base::AccountId("x") } },
      ErrorCode::UnknownAccount,
      "changes[1].account" },
    { { good, WithdrawKind{ base::WorkKindId("x") } },
      ErrorCode::UnknownKind,
      "changes[1].kind" },
    { { good, good }, ErrorCode::DuplicateKey, "changes[1].account:b" },
    { { PutKind{ noRuns } }, ErrorCode::OutOfRange, "changes[0].maxRuns" },
    { { PutAccount{ zoneless } },
      ErrorCode::OutOfRange,
      "changes[0].guarantees[0].zone" },
    { { PutAccount{ MakeAccount("b", 60) },
        PutAccount{ MakeAccount("c", 60) } },
      ErrorCode::OutOfRange,
      "sum of accounts' floorPercent" },
  };
  for (const auto& each : cases) {
    CAPTURE(each.subject);
    const auto next =
      ApplyNote(PolicyWithOneAccount(), MakeNote(1, each.changes));
    REQUIRE(next.has_error());
    CHECK(next.error().code == each.code);
    CHECK(next.error().subject == each.subject);
  }
}
