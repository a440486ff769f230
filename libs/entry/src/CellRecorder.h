#pragma once

#include "CellStatus.h"
#include "amaranthwind/base/Clock.h"
#include "amaranthwind/gang/GangCoordinator.h"
#include "amaranthwind/scheduling/Effect.h"
#include "amaranthwind/telemetry/StandardMetrics.h"

#include <map>
#include <set>

namespace amaranthwind::entry {

/**
 * Updates the metrics of one cell on events from its decision thread and keeps
 * the start times that the durations need. A job that a former coordinator
 * accepted has no start time here, so no duration is recorded for it.
 */
class CellRecorder
{
public:
  explicit CellRecorder(const telemetry::CellMetrics& aMetrics)
    : metrics(aMetrics)
  {
  }

  void OnDecision(base::Duration aTime)
  {
    this->metrics.decisionTime.Observe(aTime);
  }
  void OnAccepted(const base::JobId& aJob,
                  std::uint32_t aUrgency,
                  base::TimePoint aNow);
  /**
   * @param aIsAborted The attempt starts although the log records it as aborted
   *   or voided, that is without a commit.
   */
  void OnStarted(const job::GangId& aGang,
                 bool aIsAborted,
                 base::TimePoint aNow);
  /** Repeated effects for the same gang are counted once. */
  void OnPreempt(const scheduling::PreemptGang& aEffect, base::TimePoint aNow);
  void OnAttemptEnded(const job::GangId& aGang,
                      gang::AttemptOutcome aOutcome,
                      base::TimePoint aNow);
  void OnJobEnded(const base::JobId& aJob, base::TimePoint aNow);
  void OnJobRefused(const base::JobId& aJob);
  void OnShortfall(const scheduling::ReportShortfall& aEffect);
  void OnHealth(const scheduling::ChangeWorkerHealth& aEffect);
  void OnStatus(const CellStatus& aStatus);
  /** Called when the entry stops being the cell's coordinator. */
  void OnStopActing();

private:
  struct AcceptedJob
  {
    base::TimePoint time;
    bool isUrgent = false;
  };

  const telemetry::CellMetrics metrics;
  std::map<base::JobId, AcceptedJob> acceptedJobs;
  /** Attempts being preempted, with the time of the first stop request. */
  std::map<job::GangId, base::TimePoint> preemptedSince;
  /** Preempted attempts whose accelerators are reclaimed for a guarantee. */
  std::set<job::GangId> reclaimedGangs;
  std::map<base::AccountId, std::uint32_t> shortfallUnits;
  std::set<base::TargetId> isolatedWorkers;
};

} // namespace amaranthwind::entry
