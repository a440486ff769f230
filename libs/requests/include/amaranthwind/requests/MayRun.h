#pragma once

#include <cstdint>

namespace amaranthwind::requests {

/** What is known before a target runs a request whose key it has not seen. */
struct RunEvidence
{
  /** The caller says that the request was sent before. */
  bool isRetry = false;
  /** The target has kept every key of the whole key window. */
  bool doesTargetVouch = false;
  /** So has the witness, and it holds no claim. */
  bool doesWitnessVouch = false;
  /** Targets that left or restarted within the key window. */
  std::uint32_t lostTargets = 0;
};

/**
 * True if no earlier attempt can have run. An earlier attempt left its key on
 * two targets. The loss of one leaves the other among the first two of the
 * key's order; after two losses the remaining targets may never have seen it.
 */
bool
MayRun(const RunEvidence& aEvidence) noexcept;

} // namespace amaranthwind::requests
