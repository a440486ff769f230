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
 * Distinguishes faulty workers from faulty jobs by comparing failures across
 * the workers of one kind of work and across the jobs of one worker. A worker
 * is isolated if several jobs in a row fail on it, or if jobs that failed on it
 * then succeed elsewhere. A kind of work that fails on several workers is
 * itself considered faulty.
 */
class HealthTracker
{
public:
  explicit HealthTracker(const HealthSettings& aSettings);

  /** Discards the history of the worker. */
  void Reset(fleet::WorkerIndex aWorker);

  /** Returns true if this failure caused the worker to be isolated. */
  bool AddFailure(base::TimePoint aNow,
                  fleet::WorkerIndex aWorker,
                  RunTimeIndex aWorkKind);
  void AddSuccess(fleet::WorkerIndex aWorker);
  void AddWorkKindSuccess(RunTimeIndex aWorkKind);
  /**
   * Records that a job that failed on aWorker succeeded elsewhere. Returns true
   * if this caused the worker to be isolated.
   */
  bool AddConfirmedFailure(base::TimePoint aNow, fleet::WorkerIndex aWorker);
  /** Retracts a failure on aWorker that was caused by the job itself. */
  void RetractFailure(fleet::WorkerIndex aWorker);

  WorkerHealth Health(fleet::WorkerIndex aWorker) const;
  base::TimePoint IsolatedUntil(fleet::WorkerIndex aWorker) const;
  /**
   * Moves the workers whose isolation ended to probation and writes them to
   * aWorkers.
   */
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
    /**
     * Number of failures of jobs that then succeeded elsewhere, reduced by
     * kScoreDecayPerSuccess with each success here.
     */
    double failureScore = 0;
    base::TimePoint until{};
    base::Duration isolation{};
  };
  struct WorkKindRow
  {
    /** Workers on which this kind of work failed since its last success. */
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
