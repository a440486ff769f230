#include "amaranthwind/base/ProgressExecutor.h"

#include <algorithm>
#include <atomic>
#include <cstddef>
#include <utility>

namespace amaranthwind::base {

struct ProgressExecutor::State
{
  explicit State(const Clock& aClock)
    : clock(aClock)
    , lastProgress(aClock.Now().time_since_epoch().count())
  {
  }

  void NoteProgress()
  {
    this->lastProgress.store(this->clock.Now().time_since_epoch().count());
  }
  /** Counts a task that waits or runs. */
  void Add()
  {
    if (this->tasks.load() == 0) {
      // The time without work does not count. Stored first, so that
      // StalledFor() does not combine the new task with an old time.
      this->NoteProgress();
    }
    this->tasks.fetch_add(1);
  }
  void Run(const std::function<void()>& aTask)
  {
    this->NoteProgress();
    aTask();
    this->NoteProgress();
    this->tasks.fetch_sub(1);
  }

  const Clock& clock;
  std::atomic<std::size_t> tasks{ 0 };
  std::atomic<TimePoint::rep> lastProgress;
};

ProgressExecutor::ProgressExecutor(Executor& aExecutor, const Clock& aClock)
  : executor(aExecutor)
  , state(std::make_shared<State>(aClock))
{
}

void
ProgressExecutor::Post(std::function<void()> aTask)
{
  this->state->Add();
  this->executor.Post(
    [state = this->state, task = std::move(aTask)] { state->Run(task); });
}

void
ProgressExecutor::RunAfter(Duration aDelay, std::function<void()> aTask)
{
  this->executor.RunAfter(aDelay,
                          [state = this->state, task = std::move(aTask)] {
                            state->Add();
                            state->Run(task);
                          });
}

void
ProgressExecutor::NoteProgress()
{
  this->state->NoteProgress();
}

Duration
ProgressExecutor::StalledFor() const
{
  if (this->state->tasks.load() == 0) {
    return Duration::zero();
  }
  const TimePoint last{ Duration(this->state->lastProgress.load()) };
  return std::max(this->state->clock.Now() - last, Duration::zero());
}

} // namespace amaranthwind::base
