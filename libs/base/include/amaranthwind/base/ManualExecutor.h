#pragma once

#include "amaranthwind/base/Executor.h"
#include "amaranthwind/base/ManualClock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace amaranthwind::base {

/**
 * An executor for tests that runs tasks on the calling thread as its manual
 * clock is advanced. Not thread-safe.
 */
class ManualExecutor final : public Executor
{
public:
  explicit ManualExecutor(ManualClock& aClock)
    : clock(aClock)
  {
  }

  void Post(std::function<void()> aTask) override
  {
    this->RunAfter(Duration::zero(), std::move(aTask));
  }
  void RunAfter(Duration aDelay, std::function<void()> aTask) override
  {
    this->tasks.emplace(
      std::pair{ this->clock.Now() + aDelay, ++this->lastTask },
      std::move(aTask));
  }

  /** Runs all tasks due now, including those that they post. */
  void RunDue() { this->Advance(Duration::zero()); }

  /** Advances the clock to the due time of each task in turn and runs it. */
  void Advance(Duration aBy)
  {
    const TimePoint until = this->clock.Now() + aBy;
    while (!this->tasks.empty() && this->tasks.begin()->first.first <= until) {
      auto next = this->tasks.extract(this->tasks.begin());
      if (next.key().first > this->clock.Now()) {
        this->clock.Advance(next.key().first - this->clock.Now());
      }
      next.mapped()();
    }
    this->clock.Advance(until - this->clock.Now());
  }

private:
  ManualClock& clock;
  std::uint64_t lastTask = 0;
  std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> tasks;
};

} // namespace amaranthwind::base
