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

/** Minimum time that a target retains the idempotency keys it has admitted. */
inline constexpr base::Duration kIdempotencyKeyWindow =
  std::chrono::minutes(30);

/**
 * Mutable table of the targets known to an entry. Used by a single thread,
 * which publishes a new snapshot after each change. Must outlive its snapshots
 * and permits.
 */
class TargetTable
{
public:
  explicit TargetTable(base::TimePoint aNow, HealthOptions aOptions = {});
  TargetTable(const TargetTable&) = delete;
  TargetTable& operator=(const TargetTable&) = delete;

  /**
   * Adds a target, or a new incarnation of a known target, which resets its
   * health and ends draining. For a known incarnation only the limit changes.
   */
  TargetHandle Put(const base::TargetId& aId,
                   base::Incarnation aIncarnation,
                   std::uint32_t aLimit,
                   base::TimePoint aNow);
  /** Error: NoTarget, with the id as subject, as for the functions below. */
  base::Result<void> Remove(const base::TargetId& aId, base::TimePoint aNow);
  /** Error: NoTarget. */
  base::Result<void> SetDraining(const base::TargetId& aId);
  /**
   * Takes effect immediately, including on existing snapshots. Error: NoTarget.
   */
  base::Result<void> SetLimit(const base::TargetId& aId, std::uint32_t aLimit);

  /** Builds a snapshot; drops departed targets after the key window. */
  std::unique_ptr<const RoutingSnapshot> Build(base::TimePoint aNow);

  /** Returns null if the handle is stale. */
  const TargetState* Find(TargetHandle aHandle) const noexcept;
  /** Number of pooled target states, including retired ones. */
  std::size_t PoolSize() const noexcept { return this->statePool.size(); }

private:
  struct TargetRecord
  {
    TargetHandle handle;
    TargetStatus status = TargetStatus::Serving;
    base::Incarnation incarnation;
    base::TimePoint firstSeen;
    base::TimePoint departed;
  };
  struct PooledState
  {
    PooledState(const HealthOptions& aOptions, TableCounters& aCounters)
      : state(aOptions, aCounters)
    {
    }
    TargetState state;
    std::uint32_t generation = 1;
  };

  TargetHandle AllocateState(std::uint32_t aLimit, base::TimePoint aNow);
  void RetireState(TargetHandle aHandle);
  void UpdateMaxOutOfService();
  TargetRecord* FindPresent(const base::TargetId& aId);

  const HealthOptions options;
  const base::TimePoint historyStart;
  TableCounters counters;
  /** A deque, because it keeps element addresses stable as it grows. */
  std::deque<PooledState> statePool;
  /**
   * Indexes of states whose target has departed or restarted. Reusable once no
   * snapshot and no permit refers to them.
   */
  std::vector<std::uint32_t> retired;
  std::map<base::TargetId, TargetRecord> targets;
};

} // namespace amaranthwind::routing
