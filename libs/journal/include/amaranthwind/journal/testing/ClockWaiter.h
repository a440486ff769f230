#pragma once

#include "amaranthwind/base/ManualClock.h"
#include "amaranthwind/journal/Appender.h"

#include <functional>
#include <utility>

namespace amaranthwind::journal {

/** Advances a manual clock instead of waiting; for tests. */
class ClockWaiter final : public RetryWaiter
{
public:
  /** Calls aDuringWait in each wait, for example to end an outage. */
  explicit ClockWaiter(base::ManualClock& aClock,
                       std::function<void()> aDuringWait = {})
    : clock(aClock)
    , duringWait(std::move(aDuringWait))
  {
  }

  bool Wait(base::Duration aTime) override
  {
    this->clock.Advance(aTime);
    if (this->duringWait) {
      this->duringWait();
    }
    return true;
  }

private:
  base::ManualClock& clock;
  std::function<void()> duringWait;
};

} // namespace amaranthwind::journal
