#include "amaranthwind/gang/Messages.h"

namespace amaranthwind::gang {

AttemptKey
KeyOf(const job::GangPlan& aPlan)
{
  return { aPlan.gang, aPlan.token };
}

} // namespace amaranthwind::gang
