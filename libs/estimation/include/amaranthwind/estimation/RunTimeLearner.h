#pragma once

#include "amaranthwind/estimation/LearnedSummary.h"
#include "amaranthwind/estimation/RunTimePredictor.h"
#include "amaranthwind/job/TaskId.h"

#include <cstdint>

namespace amaranthwind::estimation {

/** A run, or what is known of one that has not ended. */
struct RunObservation
{
  WorkloadKey workload;
  job::StepId step;
  base::AgentId worker;
  /** The caller's estimate; zero if there is none. */
  base::Duration estimate{};
  /** Time for which the run has made progress. */
  base::Duration elapsed{};
  /** Number of tasks of the step; they are alike and count less each. */
  std::uint32_t stepTasks = 1;
  /**
   * The members of a gang run at the pace of the slowest one, so that the run
   * tells nothing about the speed of a single worker.
   */
  bool isGangMember = false;
  /**
   * Factor above 0 by which the run was slower for a known reason, for example
   * the rack of its data; for a gang, also the slowness of its slowest worker.
   */
  double slowdown = 1.0;
};

/** A predictor that learns from the runs that it is told of. */
class RunTimeLearner : public RunTimePredictor
{
public:
  /** The run did all of its work. */
  virtual void OnCompleted(const RunObservation& aRun,
                           base::TimePoint aNow) = 0;
  /** The run ended before its work was done, which needs longer. */
  virtual void OnInterrupted(const RunObservation& aRun,
                             base::TimePoint aNow) = 0;
  /**
   * A run that has not ended makes progress as if it needed `elapsed` for all
   * of its work.
   */
  virtual void OnProgress(const RunObservation& aProjected,
                          base::TimePoint aNow) = 0;
  /** Adopts recent observations. Should be called about once a second. */
  virtual void OnTick(base::TimePoint aNow) = 0;

  /** What a successor must know at once. */
  virtual LearnedSummary Summarize() const = 0;
  /** Starts from what a predecessor learned. Called before other functions. */
  virtual void Restore(const LearnedSummary& aSummary,
                       base::TimePoint aNow) = 0;
};

} // namespace amaranthwind::estimation
