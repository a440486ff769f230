#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Ids.h"
#include "amaranthwind/estimation/LearnedSummary.h"
#include "amaranthwind/job/TaskId.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
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
    /** Index in `workers`. */
    std::uint32_t worker = 0;
    float logRunTime = 0;
    base::TimePoint at;
  };
  using Index = std::map<base::AgentId, std::uint32_t>;
  struct Worker
  {
    Index::iterator entry;
    /** Number of samples; a worker with none is forgotten. */
    std::uint32_t samples = 0;
    float logSlowness = 0;
    /** Weight of the evidence; 1 is one recent sample. */
    float weight = 0;
    /** Logarithm of the slowness that a predecessor knew. */
    std::optional<float> inherited;
  };
  /** A sample that counts for its worker. */
  struct Pick
  {
    /** Number of its step among those that are fitted. */
    std::uint16_t step = 0;
    /** Position among the samples of the step. */
    std::uint16_t position = 0;
    float weight = 0;
  };
  /** The samples of the steps that are fitted. */
  using Steps = std::vector<std::span<const Sample>>;

  /** Returns nothing if too many workers are known. */
  std::optional<std::uint32_t> FindOrAdd(const base::AgentId& aWorker);
  void RemoveSamples(std::span<const Sample> aSamples);
  void ForgetInherited();
  Steps CollectSteps() const;
  /** The samples that count, by worker. */
  std::vector<Pick> PickSamples(const Steps& aSteps,
                                base::TimePoint aNow) const;
  /** Logarithm of the run time of the step on a worker of normal speed. */
  double LevelOf(std::span<const Sample> aSamples) const;
  void FitWorkers(const Steps& aSteps,
                  std::span<const Pick> aPicks,
                  double aInheritedWeight);
  void FitWorker(Worker& aWorker,
                 const Steps& aSteps,
                 std::span<const Pick> aPicks,
                 std::span<const double> aLevels,
                 double aInheritedWeight) const;
  double InheritedWeight(base::TimePoint aNow) const;
  void Centre();
  void UpdateUnevenness(double aInheritedWeight);

  std::map<job::StepId, std::vector<Sample>> samples;
  /** The keys of `samples`, oldest first. */
  std::deque<job::StepId> steps;
  Index indexOf;
  /** Those that `indexOf` does not refer to can be used again. */
  std::vector<Worker> workers;
  std::vector<std::uint32_t> unused;
  std::size_t inheritedWorkers = 0;
  base::TimePoint inheritedAt{};
  bool wereUneven = false;
  base::TimePoint fittedAt{};
  bool hasNewSamples = false;
  bool areUneven = false;
};

} // namespace amaranthwind::estimation
