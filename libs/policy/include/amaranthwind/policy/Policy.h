#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Ids.h"
#include "amaranthwind/fleet/Shape.h"

#include <cstdint>
#include <span>
#include <vector>

namespace amaranthwind::policy {

/** Number of equal shapes that an account can always reclaim in one zone. */
struct Guarantee
{
  base::ZoneId zone;
  std::uint32_t count = 1;
  fleet::Shape shape;

  bool operator==(const Guarantee&) const = default;
};

/** Client account with its shares and guarantees. */
struct Account
{
  base::AccountId id;
  /** Relative share of the capacity above the floors. */
  std::uint32_t weight = 1;
  /** Minimum share of the request slots, in percent. */
  std::uint32_t floorPercent = 0;
  std::vector<Guarantee> guarantees;

  bool operator==(const Account&) const = default;
};

enum class WorkClass : std::uint8_t
{
  Request, // Short request served by an executor.
  Gang,    // Job on accelerators, run by workers.
};

/** Kind of work with its scheduling parameters. */
struct WorkKind
{
  base::WorkKindId id;
  WorkClass workClass = WorkClass::Request;
  /** 0 is the most urgent. */
  std::uint32_t urgency = 0;
  /** Minimum share of the request slots, in percent. */
  std::uint32_t floorPercent = 0;
  /** Whether repeated execution is harmless. */
  bool isIdempotent = false;
  /** Maximum queueing time before a request is refused as not run. */
  base::Duration queueLimit = std::chrono::seconds(5);
  /** Maximum number of starts of a gang job. */
  std::uint32_t maxRuns = 1;
  /** Whether jobs can be checkpointed or stopped within the reclaim time. */
  bool isPreemptible = false;

  bool operator==(const WorkKind&) const = default;
};

/**
 * Policy in force, which results from all accepted release notes in log order.
 * Immutable once published. Accounts and kinds are sorted by id.
 */
struct Policy
{
  /** Number of accepted notes. */
  base::PolicyVersion version;
  /** Log offset following the last note read, whether accepted or rejected. */
  base::LogOffset nextOffset;
  /** Record id of the note in force; identifies the winner of a conflict. */
  base::RecordId noteId;
  std::vector<Account> accounts;
  std::vector<WorkKind> kinds;

  bool operator==(const Policy&) const = default;

  /** Returns null if there is no such account. */
  const Account* FindAccount(const base::AccountId& aId) const noexcept;
  /** Returns null if there is no such kind of work. */
  const WorkKind* FindKind(const base::WorkKindId& aId) const noexcept;
};

} // namespace amaranthwind::policy
