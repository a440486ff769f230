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
  /** Of the coordinator; goes into every plan. */
  base::FencingToken token;
  /** Longest time from claiming a guarantee to having it. */
  base::Duration reclaimTime = std::chrono::seconds(30);
  /** No job is refused for good this soon after the first event: targets
   * announce themselves again only after a coordinator change. */
  base::Duration startupGracePeriod = std::chrono::seconds(60);
  /** How long a lost worker still counts for "can it ever fit": replaced VMs
   * come back within minutes, a rack after repair within the hour. */
  base::Duration lostWorkerRetention = std::chrono::hours(1);
  /** First isolation of a worker; doubles with each failed trial. */
  base::Duration initialIsolation = std::chrono::minutes(10);
  base::Duration maxIsolation = std::chrono::hours(4);
  /** Failures in a row, of different jobs, that isolate a worker. */
  std::uint32_t failuresToIsolate = 3;
  /** Healthy workers on which a job fails before it is given up. */
  std::uint32_t failuresToGiveUp = 3;
};

struct CellUsage
{
  std::uint64_t accelerators = 0; // Of usable workers.
  std::uint64_t guaranteed = 0;
  std::uint64_t spare = 0;
  std::uint64_t borrowed = 0;
  std::uint32_t waitingJobs = 0;
  std::uint32_t runningJobs = 0;
};

/**
 * Decides where and when the gang jobs of one cell run. It has no thread and no
 * clock of its own: each call takes the time and one event and appends what is
 * to be done. Equal inputs give equal decisions. Not thread-safe.
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

  /** aNow must not decrease. An event about an unknown id has no effect. */
  void Handle(base::TimePoint aNow,
              const Event& aEvent,
              std::vector<Effect>& aEffects);

  /** Errors: UnknownJob, also for a job that runs. */
  base::Result<WaitReport> ExplainWait(base::TimePoint aNow,
                                       const base::JobId& aJob) const;

  /** On what ground the job runs now; nothing if it does not run. A running
   * job moves into the guarantee of its account when that becomes unused. */
  std::optional<AllocationType> FindAllocationType(
    const base::JobId& aJob) const;

  CellUsage Usage() const;

private:
  struct State;
  std::unique_ptr<State> state;
};

} // namespace amaranthwind::scheduling
