#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Ids.h"
#include "amaranthwind/fleet/TaskResources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace amaranthwind::job {

/** A number of equal tasks of a job. */
struct StepSpec
{
  std::uint32_t count = 1;
  /** Of each task. */
  fleet::TaskResources need;
  /** The caller's estimate for one task; often far off. */
  base::Duration estimate{};
  /** Steps of the same occurrence whose tasks must all be done before. */
  std::vector<std::uint32_t> dependsOn;
  /** The tasks only work while all of them are present. */
  bool isGang = false;
  /** The tasks are slower if they run in more than one rack. */
  bool prefersOneRack = false;
  /** The tasks save their progress and can resume from it. */
  bool isCheckpointing = false;
  /** The tasks run until the job is cancelled and are restarted on any end. */
  bool isLongRunning = false;
  /** The tasks use only cores that the other tasks of a worker leave idle. */
  bool isFiller = false;
  /** Label that a worker must have; empty: any worker. */
  std::string requiredLabel;
  /** Rack of the data; on another one the tasks are slower. */
  base::RackId dataRack;
  /** Most tasks of the step on one worker; 0: no limit. */
  std::uint32_t maxPerWorker = 0;

  bool operator==(const StepSpec&) const = default;
};

/** A job of several steps, as it was accepted. */
struct WorkflowSpec
{
  base::JobId id;
  base::AccountId account;
  base::WorkKindId kind;
  /** Workers that may run its tasks. */
  base::PoolId pool;
  /** 0 is the most urgent. */
  std::uint32_t urgency = 0;
  /** Failed runs of one task, or of one gang, that end the job. */
  std::uint32_t maxAttempts = 1;
  /** The objective is `stretch` times the longest chain of work, and `slack`.
   */
  double stretch = 1.0;
  base::Duration slack{};
  base::WallTime acceptedAt{};
  /** How often the steps run; above 0 only for a job that repeats by time. */
  std::uint32_t repeats = 0;
  base::WallTime firstStart{};
  base::Duration interval{};
  std::vector<StepSpec> steps;
  /** Passed to the worker as it is. */
  std::string payload;

  bool operator==(const WorkflowSpec&) const = default;

  std::uint32_t Occurrences() const noexcept
  {
    return this->repeats == 0 ? 1 : this->repeats;
  }
  /** When an occurrence may start. */
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
