#include "amaranthwind/base/Clock.h"

namespace amaranthwind::base {

TimePoint
SystemClock::Now() const
{
  return std::chrono::steady_clock::now();
}

WallTime
SystemClock::WallNow() const
{
  return std::chrono::system_clock::now();
}

} // namespace amaranthwind::base
