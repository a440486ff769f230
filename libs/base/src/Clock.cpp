#include "amaranthwind/base/Clock.h"

#include <ctime>

namespace amaranthwind::base {

TimePoint
SystemClock::Now() const
{
  // Counts the time in which the VM is suspended, which steady_clock does not:
  // a lease runs out on the other side all the same.
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::seconds(now.tv_sec) +
                   std::chrono::nanoseconds(now.tv_nsec));
}

WallTime
SystemClock::WallNow() const
{
  return std::chrono::system_clock::now();
}

} // namespace amaranthwind::base
