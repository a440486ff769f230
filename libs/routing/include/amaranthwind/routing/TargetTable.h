#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Ids.h"
#include "amaranthwind/base/Result.h"
#include "amaranthwind/routing/RoutingSnapshot.h"
#include "amaranthwind/routing/TargetState.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <vector>

namespace amaranthwind::routing {

/** How long a target must remember the idempotency keys that it admitted. */
inline constexpr base::Duration kKeyWindow = std::chrono::minutes(30);

/**
 * The targets that an entry knows. Used by one thread, which publishes a new
 * snapshot after each change. Must outlive its snapshots and permits.
 */
class TargetTable
{
public:
  explicit TargetTable(base::TimePoint aNow, HealthOptions aOptions = {});
  TargetTable(const TargetTable&) = delete;
  TargetTable& operator=(const TargetTable&) = delete;

  /**
   * Adds a target, or takes note of a new incarnation of a known one: its
   * health starts afresh, and it serves again if it was draining. The same
   * incarnation again only changes the limit.
   */
  TargetHandle Put(const base::TargetId& aId,
                   base::Incarnation aIncarnation,
                   std::uint32_t aLimit,
                   base::TimePoint aNow);
  /** Error: NoTarget. Like all errors below, its subject is the id. */
  base::Result<void> Remove(const base::TargetId& aId, base::TimePoint aNow);
  /** Error: NoTarget. */
  base::Result<void> SetDraining(const base::TargetId& aId);
  /** In force at once, also for snapshots in use. Error: NoTarget. */
  base::Result<void> SetLimit(const base::TargetId& aId, std::uint32_t aLimit);

  /** The table as it is now; forgets targets that departed too long ago. */
  std::unique_ptr<const RoutingSnapshot> Build(base::TimePoint aNow);

  /** Null if the handle is of an earlier use of its place. */
  const TargetState* Find(TargetHandle aHandle) const noexcept;
  /** Places held in memory, in use or not. */
  std::size_t Places() const noexcept { return this->places.size(); }

private:
  struct Known
  {
    TargetHandle handle;
    TargetStatus status = TargetStatus::Serving;
    base::Incarnation incarnation;
    base::TimePoint since;
    base::TimePoint departed;
  };
  struct Place
  {
    Place(const HealthOptions& aOptions, TableCounters& aCounters)
      : state(aOptions, aCounters)
    {
    }
    TargetState state;
    std::uint32_t generation = 1;
  };

  TargetHandle TakePlace(std::uint32_t aLimit, base::TimePoint aNow);
  void RetirePlace(TargetHandle aHandle);
  void UpdateMaxOutOfService();
  Known* FindPresent(const base::TargetId& aId);

  const HealthOptions options;
  const base::TimePoint knownSince;
  TableCounters counters;
  /** A deque keeps addresses stable while it grows. */
  std::deque<Place> places;
  /** Left by their target; reusable when no snapshot and no permit is left. */
  std::vector<std::uint32_t> retired;
  std::map<base::TargetId, Known> known;
};

} // namespace amaranthwind::routing
