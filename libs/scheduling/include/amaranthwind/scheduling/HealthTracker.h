#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/fleet/CellTable.h"
#include "amaranthwind/scheduling/Effect.h"
#include "amaranthwind/scheduling/RunTimeModel.h"

#include <cstdint>
#include <span>
#include <vector>

namespace amaranthwind::scheduling {

struct HealthSettings
{
  base::Duration initialIsolation = std::chrono::minutes(10);
  base::Duration maxIsolation = std::chrono::hours(4);
  std::uint32_t failuresToIsolate = 3;
};

/**
 * Tells a faulty worker from a faulty job. Failures are compared across the
 * workers of one kind of work and across the jobs of one worker: a worker is
 * isolated when jobs fail there in a row or succeed elsewhere after failing
 * there; a kind of work that fails on several workers is blamed itself.
 */
class HealthTracker
{
public:
  explicit HealthTracker(const HealthSettings& aSettings);

  /** Forgets what was known about the row. */
  void Reset(fleet::WorkerIndex aWorker);

  /** True if the worker has just become isolated. */
  bool AddFailure(base::TimePoint aNow,
                  fleet::WorkerIndex aWorker,
                  RunTimeIndex aWorkKind);
  void AddSuccess(fleet::WorkerIndex aWorker);
  void AddWorkKindSuccess(RunTimeIndex aWorkKind);
  /** The job that failed here succeeded elsewhere. True as AddFailure(). */
  bool AddConfirmedFailure(base::TimePoint aNow, fleet::WorkerIndex aWorker);
  /** The job that failed here was at fault itself. */
  void RetractFailure(fleet::WorkerIndex aWorker);

  WorkerHealth Health(fleet::WorkerIndex aWorker) const;
  base::TimePoint IsolatedUntil(fleet::WorkerIndex aWorker) const;
  /** Moves workers whose isolation is over to probation. */
  void StartProbations(base::TimePoint aNow,
                       std::vector<fleet::WorkerIndex>& aWorkers);
  void EndTrial(base::TimePoint aNow,
                fleet::WorkerIndex aWorker,
                bool aHasSucceeded);

private:
  struct Row
  {
    WorkerHealth health = WorkerHealth::Healthy;
    std::uint32_t consecutiveFailures = 0;
    /** Failures of jobs that then succeeded elsewhere, less the successes. */
    double failureScore = 0;
    base::TimePoint until{};
    base::Duration isolation{};
  };
  struct WorkKindRow
  {
    /** Workers where this work failed since it last succeeded. */
    std::vector<fleet::WorkerIndex> failedOn;
  };

  void Isolate(base::TimePoint aNow, fleet::WorkerIndex aWorker);
  Row& At(fleet::WorkerIndex aWorker);

  HealthSettings settings;
  std::vector<Row> rows;
  std::vector<WorkKindRow> workKinds;
  std::vector<fleet::WorkerIndex> isolated;
};

} // namespace amaranthwind::scheduling
