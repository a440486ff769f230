#pragma once

#include <chrono>

namespace amaranthwind::base {

/** Monotonic time, for timeouts and durations. */
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
/** Wall-clock time, for logs and display only; never used for decisions. */
using WallTime = std::chrono::system_clock::time_point;

/** Source of time. Thread-safe. */
class Clock
{
public:
  virtual ~Clock() = default;
  virtual TimePoint Now() const = 0;
  virtual WallTime WallNow() const = 0;
};

/** Reads the clocks of the operating system. */
class SystemClock final : public Clock
{
public:
  TimePoint Now() const override;
  WallTime WallNow() const override;
};

} // namespace amaranthwind::base
