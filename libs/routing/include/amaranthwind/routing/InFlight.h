#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/routing/TargetState.h"

#include <utility>

namespace amaranthwind::routing {

/**
 * Permit for one request on one target. It is counted down exactly once: by
 * Finish(), or by the destructor as Outcome::Neutral. It may outlive the
 * snapshot that it came from, but not the TargetTable.
 */
class InFlight
{
public:
  /** Takes over a count that TargetState::TryAcquire() granted. */
  InFlight(TargetState& aState,
           TargetHandle aHandle,
           base::TimePoint aStart) noexcept
    : state(&aState)
    , handle(aHandle)
    , start(aStart)
  {
  }
  InFlight(InFlight&& aOther) noexcept
    : state(std::exchange(aOther.state, nullptr))
    , handle(aOther.handle)
    , start(aOther.start)
  {
  }
  InFlight& operator=(InFlight&& aOther) noexcept
  {
    if (this != &aOther) {
      this->Finish(Outcome::Neutral, this->start);
      this->state = std::exchange(aOther.state, nullptr);
      this->handle = aOther.handle;
      this->start = aOther.start;
    }
    return *this;
  }
  InFlight(const InFlight&) = delete;
  InFlight& operator=(const InFlight&) = delete;
  ~InFlight() { this->Finish(Outcome::Neutral, this->start); }

  /** Has no effect after the first call or on a moved-from permit. */
  void Finish(Outcome aOutcome, base::TimePoint aNow) noexcept
  {
    if (TargetState* held = std::exchange(this->state, nullptr)) {
      held->Release(aOutcome, aNow - this->start, aNow);
    }
  }

  bool IsHeld() const noexcept { return this->state != nullptr; }
  TargetHandle Target() const noexcept { return this->handle; }
  base::TimePoint Start() const noexcept { return this->start; }

private:
  TargetState* state;
  TargetHandle handle;
  base::TimePoint start;
};

} // namespace amaranthwind::routing
