#include "amaranthwind/requests/MayRun.h"

namespace amaranthwind::requests {

bool
MayRun(const RunEvidence& aEvidence) noexcept
{
  if (!aEvidence.isRetry) {
    return true;
  }
  return aEvidence.lostTargets < 2 && (aEvidence.isTargetHistoryComplete ||
                                       aEvidence.isWitnessHistoryComplete);
}

} // namespace amaranthwind::requests
