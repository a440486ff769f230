#pragma once

#include "amaranthwind/journal/Record.h"

#include <cstdint>
#include <optional>

namespace amaranthwind::journal {

/** Event in the life cycle of a job, as recorded in the log. */
enum class JobEvent : std::uint8_t
{
  Commit,     // An attempt was committed.
  EndAttempt, // The attempt is over; the job may run again.
  End,        // The job is over.
};

/**
 * Returns the phase after an event, or nothing if the event is not allowed in
 * that phase. The transition table is in the source file.
 */
std::optional<JobPhase>
NextJobPhase(JobPhase aPhase, JobEvent aEvent);

} // namespace amaranthwind::journal
