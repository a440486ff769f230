#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Ids.h"
#include "amaranthwind/estimation/LearnedSummary.h"
#include "amaranthwind/job/TaskId.h"

#include <cstddef>
#include <deque>
#include <map>
#include <span>
#include <vector>

namespace amaranthwind::estimation {

/**
 * Slowness of workers, from the run times of tasks of the same step on
 * different workers. Keeps the samples of the newest steps.
 */
class WorkerSpeeds
{
public:
  /** @param aRunTime Of one task of the step, above 0. */
  void Add(const job::StepId& aStep,
           const base::AgentId& aWorker,
           base::Duration aRunTime,
           base::TimePoint aNow);
  /** Fits the slowness of all workers to the samples, if there are new ones. */
  void Refit(base::TimePoint aNow);

  /** 1 if nothing is known of the worker. */
  double SlownessOf(const base::AgentId& aWorker) const;
  bool AreUneven() const noexcept { return this->areUneven; }

  /** Workers of other than normal speed, the most unusual first. */
  std::vector<WorkerSummary> Summarize() const;
  /** Starts from the speeds that a predecessor knew at aNow. */
  void Restore(std::span<const WorkerSummary> aWorkers,
               bool aAreUneven,
               base::TimePoint aNow);

private:
  struct Sample
  {
    base::AgentId worker;
    double logRunTime = 0;
    base::Duration runTime{};
    base::TimePoint at;
  };
  struct Worker
  {
    double logSlowness = 0;
    /** Weight of the evidence; 1 is one recent sample. */
    double weight = 0;
  };
  /** Difference between a sample and what is usual for its step. */
  struct Residual
  {
    double value = 0;
    double weight = 0;
    base::TimePoint at;
  };
  using Residuals = std::map<base::AgentId, std::vector<Residual>>;

  /** Logarithm of the run time of the step on a worker of normal speed. */
  double LevelOf(std::span<const Sample> aSamples) const;
  Residuals CollectResiduals(base::TimePoint aNow) const;
  void FitWorkers(Residuals aResiduals, double aInheritedWeight);
  double InheritedWeight(base::TimePoint aNow) const;
  void Centre();
  void UpdateUnevenness(double aInheritedWeight);

  std::map<job::StepId, std::vector<Sample>> samples;
  /** The keys of `samples`, oldest first. */
  std::deque<job::StepId> steps;
  std::map<base::AgentId, Worker> workers;
  /** Logarithm of the slowness that a predecessor knew. */
  std::map<base::AgentId, double> inherited;
  base::TimePoint inheritedAt{};
  bool wereUneven = false;
  base::TimePoint fittedAt{};
  bool hasNewSamples = false;
  bool areUneven = false;
};

} // namespace amaranthwind::estimation
