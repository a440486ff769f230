#pragma once

#include "amaranthwind/base/Ids.h"

#include <string_view>

namespace amaranthwind::membership {

/** Topic of the claims (partition 0) and of the pulses (partition 1). */
inline constexpr std::string_view kLeaderTopic = "leader";
/** The only key of the claims. */
inline constexpr std::string_view kLeaderKey = "leader";

/**
 * Fencing token of the claim at the given offset. Above 0, because workers
 * take a missing token for 0.
 */
inline base::FencingToken
TokenOf(base::LogOffset aOffset) noexcept
{
  return base::FencingToken(aOffset.Get() + 1);
}

} // namespace amaranthwind::membership
