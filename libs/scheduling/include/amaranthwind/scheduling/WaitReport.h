#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/fleet/Shape.h"

#include <cstdint>
#include <optional>

namespace amaranthwind::scheduling {

enum class WaitReason : std::uint8_t
{
  CannotFitNow,          // Too little is free in the required form.
  UntilGuaranteeReturns, // Enough is free, but guarantees need it.
  BehindReservation,     // It would fit without a reserved start.
  ReclaimPending,        // Preempted gangs are being stopped for it.
};

/** Why a job waits. None of these answers is final. */
struct WaitReport
{
  WaitReason reason = WaitReason::CannotFitNow;
  /** The members that have no place now, in the form that the job needs. */
  fleet::Shape missing;
  /** Estimate from learned run times, if there is one. */
  std::optional<base::TimePoint> expectedStart;
};

} // namespace amaranthwind::scheduling
