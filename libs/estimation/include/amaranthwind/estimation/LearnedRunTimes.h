#pragma once

#include "amaranthwind/estimation/RunTimeLearner.h"

#include <cstddef>
#include <memory>

namespace amaranthwind::estimation {

/**
 * Learns run times by workload and the speeds of workers, separately.
 *
 * The run time of a workload is a linear regression of the logarithm of the run
 * time on that of the caller's estimate. It starts from the estimate itself and
 * the evidence decays, so that an account with meaningless estimates loses
 * their influence and an accurate one keeps it. An account starts from what its
 * kind of work has shown. Runs that were interrupted are censored observations:
 * the expected run time beyond the time that they lasted is taken (Tobin,
 * "Estimation of relationships for limited dependent variables", 1958).
 *
 * The speed of a worker comes from steps whose tasks ran on several workers: a
 * median polish (Tukey, "Exploratory data analysis", 1977) separates the work
 * of each step from the slowness of each worker.
 *
 * Memory and the time of each call are bounded. Not thread-safe.
 */
class LearnedRunTimes final : public RunTimeLearner
{
public:
  LearnedRunTimes();
  ~LearnedRunTimes() override;
  LearnedRunTimes(const LearnedRunTimes&) = delete;
  LearnedRunTimes& operator=(const LearnedRunTimes&) = delete;

  std::optional<RunTimePrediction> Predict(
    const WorkloadKey& aWorkload,
    base::Duration aEstimate) const override;
  double SlownessOf(const base::AgentId& aWorker) const override;
  bool HasUnevenWorkers() const override;

  void OnCompleted(const RunObservation& aRun, base::TimePoint aNow) override;
  void OnInterrupted(const RunObservation& aRun, base::TimePoint aNow) override;
  void OnProgress(const RunObservation& aProjected,
                  base::TimePoint aNow) override;
  void OnTick(base::TimePoint aNow) override;
  LearnedSummary Summarize() const override;
  void Restore(const LearnedSummary& aSummary, base::TimePoint aNow) override;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace amaranthwind::estimation
