#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Error.h"
#include "amaranthwind/base/Ids.h"
#include "amaranthwind/fleet/Shape.h"
#include "amaranthwind/job/GangPlan.h"

#include <cstdint>
#include <optional>
#include <variant>

namespace amaranthwind::scheduling {

/** How the resources of an attempt are allocated. */
enum class AllocationType : std::uint8_t
{
  Guaranteed, // Charged to a guarantee of its account; never preempted.
  Spare,      // Outside all guarantees; never preempted.
  Borrowed,   // Preempted when an account claims its guarantee.
};

/** Starts all members of the gang, or none. */
struct StartGang
{
  job::GangPlan plan;
  AllocationType allocation = AllocationType::Spare;
};

enum class StopReason : std::uint8_t
{
  GuaranteeClaimed,
  UrgentWork, // For a waiting gang that is more urgent or much older.
  Cancelled,
};

/**
 * Stops all members of the gang before the deadline. Repeated when a stop is
 * overdue.
 */
struct PreemptGang
{
  job::GangId gang;
  base::TimePoint deadline;
  StopReason reason = StopReason::GuaranteeClaimed;
};

/**
 * Refuses a job that can never run on this fleet (NeverFits). It has not run.
 */
struct RefuseJob
{
  base::JobId job;
  base::Error error;
};

/** Reports the end of a job; without an error, it succeeded. */
struct EndJob
{
  base::JobId job;
  std::optional<base::Error> error;
};

/**
 * Reports the number of guaranteed units that do not fit the current fleet, or
 * 0 when all of them fit again.
 */
struct ReportShortfall
{
  base::AccountId account;
  std::uint32_t units = 0;
  /** Total accelerators of those units. */
  std::uint64_t accelerators = 0;
};

enum class WorkerHealth : std::uint8_t
{
  Healthy,
  Isolated,  // Gets no work until the given time.
  Probation, // Gets one job as a trial.
};

struct ChangeWorkerHealth
{
  base::TargetId worker;
  WorkerHealth health = WorkerHealth::Healthy;
  /** Time at which the isolation ends. */
  base::TimePoint until{};
};

using Effect = std::variant<StartGang,
                            PreemptGang,
                            RefuseJob,
                            EndJob,
                            ReportShortfall,
                            ChangeWorkerHealth>;

} // namespace amaranthwind::scheduling
