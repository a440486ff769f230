#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Random.h"
#include "amaranthwind/routing/InFlight.h"
#include "amaranthwind/routing/RoutingSnapshot.h"

#include <optional>

namespace amaranthwind::routing {

/** Chooses a target for a request that any target can serve. */
class TargetPicker
{
public:
  virtual ~TargetPicker() = default;

  /**
   * A permit on the chosen target, or nothing if no target has room. Takes no
   * lock and does not allocate. Thread-safe; each thread passes its own
   * generator. aAvoid is the target that failed the previous attempt; it is
   * chosen only if no other has room.
   */
  virtual std::optional<InFlight> Pick(const RoutingSnapshot& aSnapshot,
                                       base::TimePoint aNow,
                                       base::RandomEngine& aRandom,
                                       TargetHandle aAvoid = {}) const = 0;
};

/**
 * Draws two targets and takes the one with the lower load: requests in flight
 * relative to the limit. If both are full, takes any that has room.
 */
class PowerOfTwoPicker final : public TargetPicker
{
public:
  std::optional<InFlight> Pick(const RoutingSnapshot& aSnapshot,
                               base::TimePoint aNow,
                               base::RandomEngine& aRandom,
                               TargetHandle aAvoid = {}) const override;
};

} // namespace amaranthwind::routing
