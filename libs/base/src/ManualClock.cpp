#include "amaranthwind/base/ManualClock.h"

namespace amaranthwind::base {

TimePoint
ManualClock::Now() const
{
  return TimePoint(Duration(this->elapsed.load()));
}

WallTime
ManualClock::WallNow() const
{
  return WallTime(std::chrono::duration_cast<WallTime::duration>(
    Duration(this->elapsed.load())));
}

void
ManualClock::Advance(Duration aBy)
{
  this->elapsed.fetch_add(aBy.count());
}

} // namespace amaranthwind::base
