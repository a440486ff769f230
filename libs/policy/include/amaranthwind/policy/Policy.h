#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Ids.h"
#include "amaranthwind/fleet/Shape.h"

#include <cstdint>
#include <span>
#include <vector>

namespace amaranthwind::policy {

/** A number of equal shapes that an account can always get back in one zone. */
struct Guarantee
{
  base::ZoneId zone;
  std::uint32_t count = 1;
  fleet::Shape shape;

  bool operator==(const Guarantee&) const = default;
};

/** One client account. */
struct Account
{
  base::AccountId id;
  /** Share of capacity above the floors, relative to other accounts. */
  std::uint32_t weight = 1;
  /** Minimum share of the request slots, in percent. */
  std::uint32_t floorPercent = 0;
  std::vector<Guarantee> guarantees;

  bool operator==(const Account&) const = default;
};

enum class WorkClass : std::uint8_t
{
  Request, // A short request, served by an executor.
  Gang,    // A job over accelerators, run by workers.
};

/** One kind of work. */
struct WorkKind
{
  base::WorkKindId id;
  WorkClass workClass = WorkClass::Request;
  /** 0 is the most urgent. */
  std::uint32_t urgency = 0;
  /** Minimum share of the request slots, in percent. */
  std::uint32_t floorPercent = 0;
  /** Whether running it twice does no harm. */
  bool isIdempotent = false;
  /** Longest time in a queue before a request is refused as not run. */
  base::Duration queueLimit = std::chrono::seconds(5);
  /** How often a gang job may be started in all. */
  std::uint32_t maxRuns = 1;
  /** Whether it can be checkpointed or stopped within the reclaim time. */
  bool isPreemptible = false;

  bool operator==(const WorkKind&) const = default;
};

/**
 * What is in force: the result of all accepted release notes in log order.
 * Immutable once published. Accounts and kinds are sorted by id.
 */
struct Policy
{
  /** Number of accepted notes. */
  base::PolicyVersion version;
  /** Offset behind the last note that was read, accepted or not. */
  base::LogOffset nextOffset;
  /** Record of the note that is in force; names the winner of a conflict. */
  base::RecordId noteId;
  std::vector<Account> accounts;
  std::vector<WorkKind> kinds;

  bool operator==(const Policy&) const = default;

  /** Null if there is no such account. */
  const Account* FindAccount(const base::AccountId& aId) const noexcept;
  /** Null if there is no such kind of work. */
  const WorkKind* FindKind(const base::WorkKindId& aId) const noexcept;
};

} // namespace amaranthwind::policy
