#pragma once

#include "amaranthwind/routing/TargetPicker.h"

#include <atomic>
#include <cstddef>
#include <cstdint>

namespace amaranthwind::routing {

/** Selects targets in turn, skipping those at their limit. */
class RoundRobinPicker final : public TargetPicker
{
public:
  std::optional<TargetPermit> Pick(const RoutingSnapshot& aSnapshot,
                                   base::TimePoint aNow,
                                   base::RandomEngine& /*aRandom*/,
                                   TargetHandle /*aAvoid*/ = {}) const override
  {
    const auto targets = aSnapshot.Serving();
    const std::size_t first = this->next.fetch_add(1);
    for (std::size_t i = 0; i < targets.size(); ++i) {
      const RoutingEntry& entry = targets[(first + i) % targets.size()];
      if (auto permit = aSnapshot.TryAcquire(entry, aNow)) {
        return permit;
      }
    }
    return std::nullopt;
  }

private:
  mutable std::atomic<std::size_t> next{ 0 };
};

/** Scans all targets and selects the one with the fewest requests in flight. */
class LeastLoadedPicker final : public TargetPicker
{
public:
  std::optional<TargetPermit> Pick(const RoutingSnapshot& aSnapshot,
                                   base::TimePoint aNow,
                                   base::RandomEngine& /*aRandom*/,
                                   TargetHandle /*aAvoid*/ = {}) const override
  {
    const RoutingEntry* best = nullptr;
    std::uint32_t lowest = 0;
    for (const RoutingEntry& entry : aSnapshot.Serving()) {
      const std::uint32_t load = entry.state->InFlight();
      if (load < entry.state->EffectiveLimit(aNow) &&
          (best == nullptr || load < lowest)) {
        best = &entry;
        lowest = load;
      }
    }
    return best == nullptr ? std::nullopt : aSnapshot.TryAcquire(*best, aNow);
  }
};

} // namespace amaranthwind::routing
