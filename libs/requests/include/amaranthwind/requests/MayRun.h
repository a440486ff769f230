#pragma once

#include <cstdint>

namespace amaranthwind::requests {

/**
 * What is known about earlier attempts of a request whose key the target has
 * not recorded.
 */
struct RunEvidence
{
  /** The caller reports that it has sent the request before. */
  bool isRetry = false;
  /** The target has recorded every key for the whole key window. */
  bool isTargetHistoryComplete = false;
  /** The witness has done the same and holds no claim on the key. */
  bool isWitnessHistoryComplete = false;
  /** Number of targets that left or restarted within the key window. */
  std::uint32_t lostTargets = 0;
};

/**
 * Returns true if no earlier attempt can have run. An attempt that runs has its
 * key recorded on two targets. If one of them is lost, the other is still among
 * the first two targets in the key's order. After two losses, it is possible
 * that none of the remaining targets ever recorded the key.
 */
bool
MayRun(const RunEvidence& aEvidence) noexcept;

} // namespace amaranthwind::requests
