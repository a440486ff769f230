#pragma once

#include "amaranthwind/base/Ids.h"
#include "amaranthwind/estimation/RunTimePrediction.h"

#include <compare>
#include <optional>

namespace amaranthwind::estimation {

/** Tasks with the same key are expected to have similar run times. */
struct WorkloadKey
{
  base::AccountId account;
  base::WorkKindId kind;

  auto operator<=>(const WorkloadKey&) const = default;
};

/** Predicts how long tasks run, and how fast workers are. */
class RunTimePredictor
{
public:
  virtual ~RunTimePredictor() = default;
  /**
   * @param aEstimate The caller's estimate; zero if there is none.
   * @return Empty if there is neither an estimate nor an earlier run.
   */
  virtual std::optional<RunTimePrediction> Predict(
    const WorkloadKey& aWorkload,
    base::Duration aEstimate) const = 0;
  /**
   * Run time on the worker, relative to a worker of normal speed: 1 is normal,
   * 2 takes twice as long.
   */
  virtual double SlownessOf(const base::AgentId& aWorker) const = 0;
  /**
   * Whether there is enough evidence that the workers differ in speed. Callers
   * ignore the speeds otherwise.
   */
  virtual bool HasUnevenWorkers() const = 0;
};

} // namespace amaranthwind::estimation
