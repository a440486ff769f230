#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Ids.h"
#include "amaranthwind/estimation/RunTimePredictor.h"

#include <cstddef>
#include <vector>

namespace amaranthwind::estimation {

/** Limits of what a summary lists. */
inline constexpr std::size_t kMaxSummaryWorkers = 512;
inline constexpr std::size_t kMaxSummaryWorkloads = 256;

/** Moments of the run times of a workload and of the callers' estimates. */
struct WorkloadSummary
{
  /** Without an account: what the kind has shown for all accounts. */
  WorkloadKey workload;
  /** Weight of the evidence, above 0; 1 is one recent run. */
  double weight = 0;
  /** Geometric means. */
  base::Duration estimate{};
  base::Duration runTime{};
  /** Variances of the natural logarithms. */
  double estimateVariance = 0;
  double runTimeVariance = 0;
  /** Of the logarithms, -1 to 1. */
  double correlation = 0;

  bool operator==(const WorkloadSummary&) const = default;
};

struct WorkerSummary
{
  base::AgentId worker;
  double slowness = 1;

  bool operator==(const WorkerSummary&) const = default;
};

/**
 * What a learner passes on to its successor. It is a hint: a successor without
 * it learns anew.
 */
struct LearnedSummary
{
  bool hasUnevenWorkers = false;
  /** Workers of other than normal speed, the most unusual first. */
  std::vector<WorkerSummary> workers;
  /** The kinds first, then the workloads, those with the most evidence first.
   */
  std::vector<WorkloadSummary> workloads;

  bool IsEmpty() const noexcept
  {
    return this->workers.empty() && this->workloads.empty();
  }
  bool operator==(const LearnedSummary&) const = default;
};

} // namespace amaranthwind::estimation
