#pragma once

#include <chrono>

namespace amaranthwind::base {

/** Monotonic time: for timeouts and durations. */
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
/** Calendar time: for logs and for people. Never used for a decision. */
using WallTime = std::chrono::system_clock::time_point;

/** Source of time. Thread-safe. */
class Clock
{
public:
  virtual ~Clock() = default;
  virtual TimePoint Now() const = 0;
  virtual WallTime WallNow() const = 0;
};

/** The clocks of the operating system. */
class SystemClock final : public Clock
{
public:
  TimePoint Now() const override;
  WallTime WallNow() const override;
};

} // namespace amaranthwind::base
