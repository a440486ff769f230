#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Random.h"
#include "amaranthwind/routing/RoutingSnapshot.h"
#include "amaranthwind/routing/TargetPermit.h"

#include <optional>

namespace amaranthwind::routing {

/** Load balancing policy for requests that any target can serve. */
class TargetPicker
{
public:
  virtual ~TargetPicker() = default;

  /**
   * Returns a permit on the selected target, or nothing if every target is at
   * its limit. Lock-free and does not allocate. Thread-safe; each thread passes
   * its own random engine. aAvoid is the target that failed the previous
   * attempt; it is selected only if no other target has capacity.
   */
  virtual std::optional<TargetPermit> Pick(const RoutingSnapshot& aSnapshot,
                                           base::TimePoint aNow,
                                           base::RandomEngine& aRandom,
                                           TargetHandle aAvoid = {}) const = 0;
};

/**
 * Power-of-two-choices: samples two targets and selects the one with the lower
 * load, which is the number of requests in flight relative to the limit. If
 * both are full, selects any target with capacity.
 */
class PowerOfTwoPicker final : public TargetPicker
{
public:
  std::optional<TargetPermit> Pick(const RoutingSnapshot& aSnapshot,
                                   base::TimePoint aNow,
                                   base::RandomEngine& aRandom,
                                   TargetHandle aAvoid = {}) const override;
};

} // namespace amaranthwind::routing
