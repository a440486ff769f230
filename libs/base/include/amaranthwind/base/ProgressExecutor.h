#pragma once

#include "amaranthwind/base/Executor.h"

#include <memory>

namespace amaranthwind::base {

/**
 * Passes tasks on to another executor and measures whether that makes progress.
 * Thread-safe.
 */
class ProgressExecutor final : public Executor
{
public:
  /** The references must outlive all tasks. */
  ProgressExecutor(Executor& aExecutor, const Clock& aClock);

  void Post(std::function<void()> aTask) override;
  void RunAfter(Duration aDelay, std::function<void()> aTask) override;

  /** Called by a long task between two steps of its work. */
  void NoteProgress();

  /**
   * How long the executor has had work without beginning or ending a task or
   * noting progress. Zero if it is idle. A long queue is no stall.
   */
  Duration StalledFor() const;

private:
  struct State;

  Executor& executor;
  std::shared_ptr<State> state;
};

} // namespace amaranthwind::base
