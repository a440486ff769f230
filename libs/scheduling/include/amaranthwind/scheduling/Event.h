#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Ids.h"
#include "amaranthwind/fleet/Target.h"
#include "amaranthwind/job/GangPlan.h"
#include "amaranthwind/job/JobSpec.h"
#include "amaranthwind/policy/Policy.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace amaranthwind::scheduling {

/** A worker registered, for the first time or again after a restart. */
struct WorkerJoined
{
  fleet::Target target;
};

/** A worker was lost. Separate events report the end of its attempts. */
struct WorkerLost
{
  base::TargetId worker;
};

/** A worker finishes its current work and accepts no new work. */
struct WorkerDraining
{
  base::TargetId worker;
};

struct JobSubmitted
{
  job::JobSpec spec;
  /** Urgency of the kind of work; 0 is the most urgent. */
  std::uint32_t urgency = 0;
};

struct JobCancelled
{
  base::JobId job;
};

/** All members of the gang were allowed to run. */
struct GangStarted
{
  job::GangId gang;
};

enum class AttemptOutcome : std::uint8_t
{
  Succeeded,
  Failed,
  Preempted, // Stopped on request; can resume from a checkpoint.
  NotRun,    // Confirmed not to have run; not counted in maxRuns.
};

/** An attempt ended and released its resources. */
struct GangEnded
{
  job::GangId gang;
  AttemptOutcome outcome = AttemptOutcome::Failed;
  /** The worker that refused or failed the attempt, if it is known. */
  std::optional<base::TargetId> faultyWorker;
};

/**
 * The job ended for a reason outside the scheduler, which releases all of its
 * resources.
 */
struct JobEnded
{
  base::JobId job;
};

/** Replaces the accounts and their guarantees. */
struct PolicyChanged
{
  std::vector<policy::Account> accounts;
};

/** An accepted job that a new coordinator read from the log. */
struct JobRestored
{
  job::JobSpec spec;
  std::uint32_t urgency = 0;
  /** Number of the last attempt that was decided on; 0 if there was none. */
  base::Attempt lastAttempt;
  /** Number of attempts that ran or may have run. */
  std::uint32_t runs = 0;
  /** Workers of the running attempt by rank; empty if the job waits. */
  std::vector<base::TargetId> workers;
};

/** Advances time-based decisions. Must be sent at least once a second. */
struct Tick
{};

using Event = std::variant<WorkerJoined,
                           WorkerLost,
                           WorkerDraining,
                           JobSubmitted,
                           JobCancelled,
                           GangStarted,
                           GangEnded,
                           JobEnded,
                           PolicyChanged,
                           JobRestored,
                           Tick>;

} // namespace amaranthwind::scheduling
