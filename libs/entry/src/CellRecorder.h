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
 * Updates the metrics of one cell on events of its decision thread, and keeps
 * the times that they need. Jobs that a former coordinator accepted have no
 * time here and give no duration.
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
  /** @param aIsAborted The log has no commit of the attempt that starts. */
  void OnStarted(const job::GangId& aGang,
                 bool aIsAborted,
                 base::TimePoint aNow);
  /** Repeated effects for the same gang count once. */
  void OnPreempt(const scheduling::PreemptGang& aEffect, base::TimePoint aNow);
  void OnAttemptEnded(const job::GangId& aGang,
                      gang::AttemptOutcome aOutcome,
                      base::TimePoint aNow);
  void OnJobEnded(const base::JobId& aJob, base::TimePoint aNow);
  void OnJobRefused(const base::JobId& aJob);
  void OnShortfall(const scheduling::ReportShortfall& aEffect);
  void OnHealth(const scheduling::ChangeWorkerHealth& aEffect);
  void OnStatus(const CellStatus& aStatus);
  /** The entry no longer coordinates the cell. */
  void OnStopActing();

private:
  struct Accepted
  {
    base::TimePoint time;
    bool isUrgent = false;
  };

  const telemetry::CellMetrics metrics;
  std::map<base::JobId, Accepted> accepted;
  /** Attempts that were told to stop, and since when. */
  std::map<job::GangId, base::TimePoint> preempted;
  std::set<job::GangId> reclaimed;
  std::map<base::AccountId, std::uint32_t> shortfall;
  std::set<base::TargetId> isolated;
};

} // namespace amaranthwind::entry
