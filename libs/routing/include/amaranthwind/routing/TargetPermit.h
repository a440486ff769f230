#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/routing/TargetState.h"

#include <utility>

namespace amaranthwind::routing {

/**
 * RAII permit for one request on one target. It is released exactly once, by
 * Finish() or by the destructor with Outcome::Neutral. It may outlive the
 * snapshot that issued it, but not the TargetTable.
 */
class TargetPermit
{
public:
  /** Adopts a credit acquired with TargetState::TryAcquire(). */
  TargetPermit(TargetState& aState,
               TargetHandle aHandle,
               base::TimePoint aStart) noexcept
    : state(&aState)
    , handle(aHandle)
    , start(aStart)
  {
  }
  TargetPermit(TargetPermit&& aOther) noexcept
    : state(std::exchange(aOther.state, nullptr))
    , handle(aOther.handle)
    , start(aOther.start)
  {
  }
  TargetPermit& operator=(TargetPermit&& aOther) noexcept
  {
    if (this != &aOther) {
      this->Finish(Outcome::Neutral, this->start);
      this->state = std::exchange(aOther.state, nullptr);
      this->handle = aOther.handle;
      this->start = aOther.start;
    }
    return *this;
  }
  TargetPermit(const TargetPermit&) = delete;
  TargetPermit& operator=(const TargetPermit&) = delete;
  ~TargetPermit() { this->Finish(Outcome::Neutral, this->start); }

  /** Releases the permit. Does nothing if already released or moved from. */
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
