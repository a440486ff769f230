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

/** A worker announced itself, or announced itself again after a restart. */
struct WorkerJoined
{
  fleet::Target target;
};

/** A worker has gone. The attempts on it end by events of their own. */
struct WorkerLost
{
  base::TargetId worker;
};

/** A worker finishes its work and gets no more. */
struct WorkerDraining
{
  base::TargetId worker;
};

struct JobSubmitted
{
  job::JobSpec spec;
  /** Of the kind of work; 0 is the most urgent. */
  std::uint32_t urgency = 0;
};

struct JobCancelled
{
  base::JobId job;
};

/** The members have been released to run. */
struct GangStarted
{
  job::GangId gang;
};

enum class AttemptOutcome : std::uint8_t
{
  Succeeded,
  Failed,
  Preempted, // Stopped on request; may continue from a checkpoint.
  NotRun,    // Proven not to have run; does not count as a run.
};

/** An attempt is over and holds no resources any more. */
struct GangEnded
{
  job::GangId gang;
  AttemptOutcome outcome = AttemptOutcome::Failed;
  /** The worker that refused or failed, if one is to blame. */
  std::optional<base::TargetId> culprit;
};

/** The job has ended for a reason from outside; everything of it is freed. */
struct JobEnded
{
  base::JobId job;
};

/** The accounts in force, with their guarantees. */
struct PolicyChanged
{
  std::vector<policy::Account> accounts;
};

/** An accepted job that a new coordinator found in the log. */
struct JobRestored
{
  job::JobSpec spec;
  std::uint32_t urgency = 0;
  /** Number of the newest decided attempt; 0 before the first. */
  base::Attempt lastAttempt;
  /** Attempts that were not proven not to have run. */
  std::uint32_t runs = 0;
  /** Worker of each rank of the running attempt; empty if it waits. */
  std::vector<base::TargetId> workers;
};

/** Time has passed. Send at least once a second. */
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
