#include "amaranthwind/policy/ApplyNote.h"

#include <algorithm>
#include <cstdint>
#include <numeric>
#include <set>
#include <string>

namespace amaranthwind::policy {

namespace {

using base::ErrorCode;
using base::Fail;
using base::Result;

constexpr std::uint32_t kMaxPercent = 100;
constexpr std::uint32_t kMaxWeight = 1'000'000;
constexpr std::uint32_t kMaxGangMembers = 4096;

std::string
ChangePath(std::size_t aIndex, std::string_view aField)
{
  return "changes[" + std::to_string(aIndex) + "]." + std::string(aField);
}

template<typename Item>
void
InsertOrReplace(std::vector<Item>& aItems, const Item& aItem)
{
  auto position = std::lower_bound(
    aItems.begin(),
    aItems.end(),
    aItem,
    [](const Item& aLeft, const Item& aRight) { return aLeft.id < aRight.id; });
  if (position != aItems.end() && position->id == aItem.id) {
    *position = aItem;
  } else {
    aItems.insert(position, aItem);
  }
}

template<typename Item, typename Id>
bool
EraseById(std::vector<Item>& aItems, const Id& aId)
{
  return std::erase_if(aItems,
                       [&](const Item& aItem) { return aItem.id == aId; }) > 0;
}

Result<void>
ValidateGuarantee(const Guarantee& aGuarantee, const std::string& aPath)
{
  if (aGuarantee.zone.IsEmpty()) {
    return Fail(ErrorCode::OutOfRange, aPath + ".zone");
  }
  if (aGuarantee.count == 0) {
    return Fail(ErrorCode::OutOfRange, aPath + ".count");
  }
  if (aGuarantee.shape.members == 0 ||
      aGuarantee.shape.members > kMaxGangMembers) {
    return Fail(ErrorCode::OutOfRange, aPath + ".members");
  }
  if (aGuarantee.shape.perMember.accelerators == 0) {
    return Fail(ErrorCode::OutOfRange, aPath + ".accelerators");
  }
  return base::success();
}

/** Validates a single change; index is its position in the note. */
struct ChangeValidator
{
  std::size_t index;

  Result<void> operator()(const PutAccount& aChange) const
  {
    const Account& account = aChange.account;
    if (account.id.IsEmpty()) {
      return this->OutOfRange("account");
    }
    if (account.weight == 0 || account.weight > kMaxWeight) {
      return this->OutOfRange("weight");
    }
    if (account.floorPercent > kMaxPercent) {
      return this->OutOfRange("floorPercent");
    }
    for (std::size_t i = 0; i < account.guarantees.size(); ++i) {
      BOOST_OUTCOME_TRY(ValidateGuarantee(
        account.guarantees[i],
        ChangePath(this->index, "guarantees[" + std::to_string(i) + "]")));
    }
    return base::success();
  }

  Result<void> operator()(const PutKind& aChange) const
  {
    const WorkKind& kind = aChange.kind;
    if (kind.id.IsEmpty()) {
      return this->OutOfRange("kind");
    }
    if (kind.floorPercent > kMaxPercent) {
      return this->OutOfRange("floorPercent");
    }
    if (kind.queueLimit <= base::Duration::zero()) {
      return this->OutOfRange("queueLimitMs");
    }
    if (kind.maxRuns == 0) {
      return this->OutOfRange("maxRuns");
    }
    return base::success();
  }

  Result<void> operator()(const WithdrawAccount&) const
  {
    return base::success();
  }

  Result<void> operator()(const WithdrawKind&) const { return base::success(); }

private:
  Result<void> OutOfRange(std::string_view aField) const
  {
    return Fail(ErrorCode::OutOfRange, ChangePath(this->index, aField));
  }
};

/** Applies one change to a copy of the policy. */
struct ChangeApplier
{
  Policy& policy;
  std::size_t index;

  Result<void> operator()(const PutAccount& aChange) const
  {
    InsertOrReplace(this->policy.accounts, aChange.account);
    return base::success();
  }

  Result<void> operator()(const WithdrawAccount& aChange) const
  {
    if (!EraseById(this->policy.accounts, aChange.id)) {
      return Fail(ErrorCode::UnknownAccount,
                  ChangePath(this->index, "account"));
    }
    return base::success();
  }

  Result<void> operator()(const PutKind& aChange) const
  {
    InsertOrReplace(this->policy.kinds, aChange.kind);
    return base::success();
  }

  Result<void> operator()(const WithdrawKind& aChange) const
  {
    if (!EraseById(this->policy.kinds, aChange.id)) {
      return Fail(ErrorCode::UnknownKind, ChangePath(this->index, "kind"));
    }
    return base::success();
  }
};

/** Key that a change modifies; a note may modify each key only once. */
std::string
KeyOf(const Change& aChange)
{
  struct Visitor
  {
    std::string operator()(const PutAccount& aPut) const
    {
      return "account:" + aPut.account.id.Text();
    }
    std::string operator()(const WithdrawAccount& aWithdraw) const
    {
      return "account:" + aWithdraw.id.Text();
    }
    std::string operator()(const PutKind& aPut) const
    {
      return "kind:" + aPut.kind.id.Text();
    }
    std::string operator()(const WithdrawKind& aWithdraw) const
    {
      return "kind:" + aWithdraw.id.Text();
    }
  };
  return std::visit(Visitor{}, aChange);
}

/** Ensures that the floors of accounts and of kinds each total at most 100%. */
Result<void>
ValidateFloors(const Policy& aPolicy)
{
  const auto sum = [](const auto& aItems) {
    return std::accumulate(aItems.begin(),
                           aItems.end(),
                           std::uint64_t{ 0 },
                           [](std::uint64_t aTotal, const auto& aItem) {
                             return aTotal + aItem.floorPercent;
                           });
  };
  if (sum(aPolicy.accounts) > kMaxPercent) {
    return Fail(ErrorCode::OutOfRange, "sum of accounts' floorPercent");
  }
  if (sum(aPolicy.kinds) > kMaxPercent) {
    return Fail(ErrorCode::OutOfRange, "sum of kinds' floorPercent");
  }
  return base::success();
}

} // namespace

Result<void>
ValidateNote(const ReleaseNote& aNote)
{
  if (aNote.changes.empty()) {
    return Fail(ErrorCode::MissingField, "changes");
  }
  std::set<std::string> keys;
  for (std::size_t i = 0; i < aNote.changes.size(); ++i) {
    BOOST_OUTCOME_TRY(std::visit(ChangeValidator{ i }, aNote.changes[i]));
    const std::string key = KeyOf(aNote.changes[i]);
    if (!keys.insert(key).second) {
      return Fail(ErrorCode::DuplicateKey, ChangePath(i, key));
    }
  }
  return base::success();
}

Result<Policy>
ApplyNote(const Policy& aPolicy, const ReleaseNote& aNote)
{
  if (aNote.base != aPolicy.version) {
    return Fail(ErrorCode::BaseVersionConflict, aPolicy.noteId.View());
  }
  BOOST_OUTCOME_TRY(ValidateNote(aNote));
  Policy next = aPolicy;
  for (std::size_t i = 0; i < aNote.changes.size(); ++i) {
    BOOST_OUTCOME_TRY(std::visit(ChangeApplier{ next, i }, aNote.changes[i]));
  }
  BOOST_OUTCOME_TRY(ValidateFloors(next));
  next.version = base::PolicyVersion(aPolicy.version.Get() + 1);
  next.noteId = aNote.id;
  return next;
}

} // namespace amaranthwind::policy
