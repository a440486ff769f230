#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Ids.h"
#include "amaranthwind/routing/InFlight.h"
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
  Draining, // Gets no new work.
  Departed, // Kept in the rendezvous order for the key window.
};

/** One target as a snapshot sees it. */
struct RoutingEntry
{
  base::TargetId id;
  TargetHandle handle;
  /** Null if it has departed. */
  TargetState* state = nullptr;
  TargetStatus status = TargetStatus::Serving;
  base::Incarnation incarnation;
  /**
   * When this incarnation was first seen. It knows no idempotency key that
   * was claimed before.
   */
  base::TimePoint since;
  /** Hash of the id; input of the rendezvous order. */
  std::uint64_t idHash = 0;
};

/**
 * Immutable table of the targets, read by many threads under base::RcuCell.
 * Keeps the live counters of its targets alive; must not outlive the table.
 */
class RoutingSnapshot
{
public:
  /** aEntries: serving targets first, then draining, then departed. */
  RoutingSnapshot(std::vector<RoutingEntry> aEntries,
                  base::TimePoint aKnownSince);
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
  /** Targets that departed before this time are not known here. */
  base::TimePoint KnownSince() const noexcept { return this->knownSince; }

  /** Sum of the limits of the serving targets that are not ejected. */
  std::uint32_t Capacity(base::TimePoint aNow) const noexcept;

  /**
   * A permit on one target, for example on the owner of a key. Nothing if the
   * target does not serve, is ejected or has reached its limit.
   */
  std::optional<InFlight> TryAcquire(const RoutingEntry& aEntry,
                                     base::TimePoint aNow) const noexcept;

  /**
   * Fills aOrder with the first targets in the rendezvous order of a key and
   * returns the part that was filled. The first is the owner, the second the
   * witness. Departed targets are included. Does not allocate.
   */
  std::span<const RoutingEntry*> Rank(
    std::string_view aKey,
    std::span<const RoutingEntry*> aOrder) const noexcept;

private:
  std::vector<RoutingEntry> entries;
  std::size_t serving = 0;
  base::TimePoint knownSince;
};

/** Hash of a target id as used by RoutingSnapshot::Rank(). */
std::uint64_t
HashTargetId(const base::TargetId& aId) noexcept;

} // namespace amaranthwind::routing
