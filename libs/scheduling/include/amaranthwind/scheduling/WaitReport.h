#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/fleet/Shape.h"

#include <cstdint>
#include <optional>

namespace amaranthwind::scheduling {

enum class WaitReason : std::uint8_t
{
  CannotFitNow,          // Not enough resources are free in this shape.
  UntilGuaranteeReturns, // Enough is free, but held back for guarantees.
  BehindReservation,     // It would fit if no other job had a reservation.
  ReclaimPending,        // Waits for preempted gangs to stop.
};

/** Explains why a job waits. Each reason is temporary. */
struct WaitReport
{
  WaitReason reason = WaitReason::CannotFitNow;
  /** The shape of the job, with the number of members that do not fit now. */
  fleet::Shape missing;
  /** Estimated from observed run times, if an estimate exists. */
  std::optional<base::TimePoint> expectedStart;
};

} // namespace amaranthwind::scheduling
