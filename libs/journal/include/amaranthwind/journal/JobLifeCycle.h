#pragma once

#include "amaranthwind/journal/Record.h"

#include <cstdint>
#include <optional>

namespace amaranthwind::journal {

/** What a record makes of a job. */
enum class JobStep : std::uint8_t
{
  Commit,     // An attempt was committed.
  EndAttempt, // The attempt is over; the job may run again.
  End,        // The job is over.
};

/**
 * The phase after a step; nothing if the step is not possible in that phase.
 * The transition table is in the source file.
 */
std::optional<JobPhase>
NextJobPhase(JobPhase aPhase, JobStep aStep);

} // namespace amaranthwind::journal
