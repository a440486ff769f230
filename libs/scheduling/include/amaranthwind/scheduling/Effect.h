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

/** On what ground an attempt holds its resources. */
enum class AllocationType : std::uint8_t
{
  Guaranteed, // Inside a guarantee of its own account; never preempted.
  Spare,      // On what no guarantee needs; never preempted.
  Borrowed,   // Stopped when an account claims its guarantee.
};

/** Start all members of the gang, or none. */
struct StartGang
{
  job::GangPlan plan;
  AllocationType allocation = AllocationType::Spare;
};

enum class StopReason : std::uint8_t
{
  GuaranteeClaimed,
  UrgentWork, // More urgent or earlier work that waits needs the place.
  Cancelled,
};

/** Stop all members of the gang before the deadline. Repeated when overdue. */
struct PreemptGang
{
  job::GangId gang;
  base::TimePoint deadline;
  StopReason reason = StopReason::GuaranteeClaimed;
};

/** The job can never run on this fleet (NeverFits) and did not run. */
struct RefuseJob
{
  base::JobId job;
  base::Error error;
};

/** The job is over: no error means that it succeeded. */
struct EndJob
{
  base::JobId job;
  std::optional<base::Error> error;
};

/** Units of the guarantee that do not fit the fleet now; 0 when restored. */
struct ReportShortfall
{
  base::AccountId account;
  std::uint32_t units = 0;
  /** Accelerators of those units. */
  std::uint64_t accelerators = 0;
};

enum class WorkerHealth : std::uint8_t
{
  Healthy,
  Isolated,  // Gets no work until the time given.
  Probation, // Gets one trial task.
};

struct ChangeWorkerHealth
{
  base::TargetId worker;
  WorkerHealth health = WorkerHealth::Healthy;
  /** End of the isolation. */
  base::TimePoint until{};
};

using Effect = std::variant<StartGang,
                            PreemptGang,
                            RefuseJob,
                            EndJob,
                            ReportShortfall,
                            ChangeWorkerHealth>;

} // namespace amaranthwind::scheduling
