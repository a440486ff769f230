#include "amaranthwind/base/Clock.h"

#include <ctime>

namespace amaranthwind::base {

TimePoint
SystemClock::Now() const
{
  // Unlike steady_clock, CLOCK_BOOTTIME includes time in which the VM is
  // suspended, during which a lease still expires on the peer.
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
