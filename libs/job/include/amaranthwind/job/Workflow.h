#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Ids.h"
#include "amaranthwind/fleet/TaskResources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace amaranthwind::job {

/** Specifies a step: a number of identical tasks of a job. */
struct StepSpec
{
  std::uint32_t count = 1;
  /** Resources required by each task. */
  fleet::TaskResources need;
  /** The caller's run time estimate for one task; often inaccurate. */
  base::Duration estimate{};
  /** Steps of the same occurrence that must complete before this one. */
  std::vector<std::uint32_t> dependsOn;
  /** The tasks make progress only while all of them run. */
  bool isGang = false;
  /** The tasks run slower if they are spread over several racks. */
  bool prefersOneRack = false;
  /** The tasks write checkpoints and can resume from them. */
  bool isCheckpointing = false;
  /** The tasks are restarted whenever they end, until the job is cancelled. */
  bool isLongRunning = false;
  /** The tasks use only CPU that other tasks of the worker leave idle. */
  bool isFiller = false;
  /** Label that a worker must have; empty: any worker. */
  std::string requiredLabel;
  /** Rack that holds the input data; tasks in other racks run slower. */
  base::RackId dataRack;
  /** Maximum number of tasks of the step on one worker; 0: no limit. */
  std::uint32_t maxPerWorker = 0;

  bool operator==(const StepSpec&) const = default;
};

/** Specifies a job of one or more steps, as it was accepted. */
struct WorkflowSpec
{
  base::JobId id;
  base::AccountId account;
  base::WorkKindId kind;
  /** Pool of the workers that may run the tasks. */
  base::PoolId pool;
  /** 0 is the most urgent. */
  std::uint32_t urgency = 0;
  /** Number of failed runs of one task or gang after which the job fails. */
  std::uint32_t maxAttempts = 1;
  /**
   * The completion time objective is `stretch` times the critical path plus
   * `slack`.
   */
  double stretch = 1.0;
  base::Duration slack{};
  base::WallTime acceptedAt{};
  /** Number of scheduled occurrences; 0 for a job that does not repeat. */
  std::uint32_t repeats = 0;
  base::WallTime firstStart{};
  base::Duration interval{};
  std::vector<StepSpec> steps;
  /** Passed to the worker unchanged. */
  std::string payload;

  bool operator==(const WorkflowSpec&) const = default;

  std::uint32_t Occurrences() const noexcept
  {
    return this->repeats == 0 ? 1 : this->repeats;
  }
  /** Earliest start time of an occurrence. */
  base::WallTime DueAt(std::uint32_t aOccurrence) const noexcept
  {
    return this->repeats == 0
             ? this->acceptedAt
             : this->firstStart +
                 std::chrono::duration_cast<base::WallTime::duration>(
                   this->interval * aOccurrence);
  }
};

} // namespace amaranthwind::job
