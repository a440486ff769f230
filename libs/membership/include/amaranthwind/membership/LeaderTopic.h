#pragma once

#include "amaranthwind/base/Ids.h"

#include <string_view>

namespace amaranthwind::membership {

/** Log topic with claims in partition 0 and pulses in partition 1. */
inline constexpr std::string_view kLeaderTopic = "leader";
/** Record key of all claims. */
inline constexpr std::string_view kLeaderKey = "leader";

/**
 * Fencing token of the claim at the given offset. Always greater than 0,
 * because workers interpret a missing token as 0.
 */
inline base::FencingToken
TokenOf(base::LogOffset aOffset) noexcept
{
  return base::FencingToken(aOffset.Get() + 1);
}

} // namespace amaranthwind::membership
