#pragma once

#include "amaranthwind/base/Clock.h"

#include <atomic>

namespace amaranthwind::base {

/** A clock for tests that moves only when advanced. Thread-safe. */
class ManualClock final : public Clock
{
public:
  TimePoint Now() const override;
  WallTime WallNow() const override;
  void Advance(Duration aBy);

private:
  std::atomic<Duration::rep> elapsed{ 0 };
};

} // namespace amaranthwind::base
