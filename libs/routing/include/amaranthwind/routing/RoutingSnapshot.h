#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Ids.h"
#include "amaranthwind/routing/TargetPermit.h"
#include "amaranthwind/routing/TargetState.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace amaranthwind::routing {

enum class TargetStatus : std::uint8_t
{
  Serving,
  Draining, // Receives no new work.
  Departed, // Stays in the rendezvous order for the idempotency key window.
};

/** One target in a snapshot. */
struct RoutingEntry
{
  base::TargetId id;
  TargetHandle handle;
  /** Null for a departed target. */
  TargetState* state = nullptr;
  TargetStatus status = TargetStatus::Serving;
  base::Incarnation incarnation;
  /**
   * Time at which this incarnation was first seen. It has no record of
   * idempotency keys claimed earlier.
   */
  base::TimePoint firstSeen;
  /** Hash of the id, used for rendezvous hashing. */
  std::uint64_t idHash = 0;
};

/**
 * Immutable table of the targets, read concurrently under base::RcuCell. Pins
 * the counters of its targets; must not outlive the TargetTable.
 */
class RoutingSnapshot
{
public:
  /** aEntries must list serving targets first, then draining, then departed. */
  RoutingSnapshot(std::vector<RoutingEntry> aEntries,
                  base::TimePoint aHistoryStart);
  ~RoutingSnapshot();
  RoutingSnapshot(const RoutingSnapshot&) = delete;
  RoutingSnapshot& operator=(const RoutingSnapshot&) = delete;

  std::span<const RoutingEntry> Entries() const noexcept
  {
    return this->entries;
  }
  std::span<const RoutingEntry> Serving() const noexcept
  {
    return std::span(this->entries).first(this->serving);
  }
  /** Departures before this time are not recorded in the table. */
  base::TimePoint HistoryStart() const noexcept { return this->historyStart; }

  /** Sum of the limits of all serving targets that are not ejected. */
  std::uint32_t Capacity(base::TimePoint aNow) const noexcept;

  /**
   * Acquires a permit on a specific target, for example the owner of a key.
   * Returns nothing if the target is not serving, is ejected or is at its
   * limit.
   */
  std::optional<TargetPermit> TryAcquire(const RoutingEntry& aEntry,
                                         base::TimePoint aNow) const noexcept;

  /**
   * Fills aOrder with the highest-ranked targets in the rendezvous order of a
   * key, including departed ones, and returns the filled part. The first is the
   * owner of the key, the second its witness. Does not allocate.
   */
  std::span<const RoutingEntry*> Rank(
    std::string_view aKey,
    std::span<const RoutingEntry*> aOrder) const noexcept;

private:
  std::vector<RoutingEntry> entries;
  std::size_t serving = 0;
  base::TimePoint historyStart;
};

/** Hashes a target id for RoutingSnapshot::Rank(). */
std::uint64_t
HashTargetId(const base::TargetId& aId) noexcept;

} // namespace amaranthwind::routing
