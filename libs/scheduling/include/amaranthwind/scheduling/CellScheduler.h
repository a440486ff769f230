#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Ids.h"
#include "amaranthwind/base/Result.h"
#include "amaranthwind/scheduling/Effect.h"
#include "amaranthwind/scheduling/Event.h"
#include "amaranthwind/scheduling/PlacementPolicy.h"
#include "amaranthwind/scheduling/WaitReport.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace amaranthwind::scheduling {

struct SchedulerSettings
{
  base::ZoneId zone;
  /** Fencing token of the coordinator; included in every gang plan. */
  base::FencingToken token;
  /** Maximum time between the claim on a guarantee and the start of the job. */
  base::Duration reclaimTime = std::chrono::seconds(30);
  /**
   * Time after the first event during which no job is refused as infeasible:
   * after a coordinator change, targets are known only once they register
   * again.
   */
  base::Duration startupGracePeriod = std::chrono::seconds(60);
  /**
   * How long a lost worker still counts when checking whether a job can ever
   * fit. A replaced VM is back within minutes, a repaired rack within an hour.
   */
  base::Duration lostWorkerRetention = std::chrono::hours(1);
  /** Duration of a worker's first isolation; doubles with each failed trial. */
  base::Duration initialIsolation = std::chrono::minutes(10);
  base::Duration maxIsolation = std::chrono::hours(4);
  /**
   * Number of consecutive failures, of different jobs, after which a worker is
   * isolated.
   */
  std::uint32_t failuresToIsolate = 3;
  /**
   * Number of healthy workers on which a job fails before it ends as failed.
   */
  std::uint32_t failuresToGiveUp = 3;
};

struct CellUsage
{
  std::uint64_t accelerators = 0; // Total of all usable workers.
  std::uint64_t guaranteed = 0;
  std::uint64_t spare = 0;
  std::uint64_t borrowed = 0;
  std::uint32_t waitingJobs = 0;
  std::uint32_t runningJobs = 0;
};

/**
 * Decides where and when the gang jobs of one cell run. Has no threads and no
 * clock: each call receives the current time and one event, and appends the
 * resulting effects. Deterministic: equal inputs give equal decisions. Not
 * thread-safe.
 */
class CellScheduler
{
public:
  explicit CellScheduler(const SchedulerSettings& aSettings,
                         std::unique_ptr<PlacementPolicy> aPlacement =
                           MakeFragmentationAwarePolicy());
  ~CellScheduler();
  CellScheduler(const CellScheduler&) = delete;
  CellScheduler& operator=(const CellScheduler&) = delete;

  /**
   * aNow must not decrease between calls. Events with unknown ids are ignored.
   */
  void Handle(base::TimePoint aNow,
              const Event& aEvent,
              std::vector<Effect>& aEffects);

  /**
   * Returns why the job waits. Fails with UnknownJob if the job is unknown or
   * already placed.
   */
  base::Result<WaitReport> ExplainWait(base::TimePoint aNow,
                                       const base::JobId& aJob) const;

  /**
   * Returns the current allocation type of a placed job, or nothing if the job
   * is not placed. The type changes to Guaranteed when a unit of the account's
   * guarantee becomes unused and can take over the job.
   */
  std::optional<AllocationType> FindAllocationType(
    const base::JobId& aJob) const;

  CellUsage Usage() const;

private:
  struct State;
  std::unique_ptr<State> state;
};

} // namespace amaranthwind::scheduling
