#pragma once

#include "amaranthwind/base/Ids.h"
#include "amaranthwind/policy/Policy.h"

#include <variant>
#include <vector>

namespace amaranthwind::policy {

/** Adds an account, or replaces the one with the same id. */
struct PutAccount
{
  Account account;
  bool operator==(const PutAccount&) const = default;
};

struct WithdrawAccount
{
  base::AccountId id;
  bool operator==(const WithdrawAccount&) const = default;
};

/** Adds a kind of work, or replaces the one with the same id. */
struct PutKind
{
  WorkKind kind;
  bool operator==(const PutKind&) const = default;
};

struct WithdrawKind
{
  base::WorkKindId id;
  bool operator==(const WithdrawKind&) const = default;
};

using Change = std::variant<PutAccount, WithdrawAccount, PutKind, WithdrawKind>;

/** Policy changes published by operators against a given base version. */
struct ReleaseNote
{
  base::RecordId id;
  /** Policy version that the note is based on. */
  base::PolicyVersion base;
  std::vector<Change> changes;

  bool operator==(const ReleaseNote&) const = default;
};

} // namespace amaranthwind::policy
