#pragma once

#include "amaranthwind/gang/GangCoordinator.h"
#include "amaranthwind/gang/GangMember.h"

#include <algorithm>
#include <memory>
#include <string>
#include <type_traits>
#include <variant>
#include <vector>

namespace amaranthwind::gang::testing {

inline const Fence kFence{ base::ZoneId("zone-a"), base::FencingToken(10) };

inline base::TargetId
WorkerId(std::size_t aIndex)
{
  return base::TargetId("worker-" + std::to_string(aIndex));
}

/** Creates a plan whose rank r runs on worker r and needs four accelerators. */
inline std::shared_ptr<const job::GangPlan>
MakePlan(std::uint32_t aSize,
         std::uint64_t aToken = 10,
         std::uint32_t aAttempt = 1,
         std::uint32_t aJob = 1)
{
  auto plan = std::make_shared<job::GangPlan>();
  plan->gang = { base::JobId("job-" + std::to_string(aJob)),
                 base::Attempt(aAttempt) };
  plan->token = base::FencingToken(aToken);
  for (std::uint32_t rank = 0; rank < aSize; ++rank) {
    plan->members.push_back({ WorkerId(rank), "", { 4, 1, 1 } });
  }
  return plan;
}

/** Returns aValue, or the message that it carries, if that is a T; else null.
 */
template<typename T, typename Variant>
const T*
Unpack(const Variant& aValue)
{
  return std::visit(
    [](const auto& aAlternative) -> const T* {
      using Alternative = std::decay_t<decltype(aAlternative)>;
      if constexpr (std::is_same_v<Alternative, T>) {
        return &aAlternative;
      } else if constexpr (requires { aAlternative.message; }) {
        return Unpack<T>(aAlternative.message);
      } else {
        return nullptr;
      }
    },
    aValue);
}

template<typename T, typename Effect>
std::size_t
Count(const std::vector<Effect>& aEffects)
{
  return static_cast<std::size_t>(
    std::count_if(aEffects.begin(), aEffects.end(), [](const Effect& aEffect) {
      return Unpack<T>(aEffect) != nullptr;
    }));
}

template<typename T, typename Effect>
bool
Has(const std::vector<Effect>& aEffects)
{
  return Count<T>(aEffects) > 0;
}

template<typename T, typename Effect>
const T*
Find(const std::vector<Effect>& aEffects)
{
  for (const Effect& effect : aEffects) {
    if (const T* found = Unpack<T>(effect); found != nullptr) {
      return found;
    }
  }
  return nullptr;
}

} // namespace amaranthwind::gang::testing
