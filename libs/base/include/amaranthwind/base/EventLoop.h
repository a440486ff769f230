#pragma once

#include "amaranthwind/base/Clock.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace amaranthwind::base {

/**
 * One thread that runs tasks in the order in which they were posted, and a
 * tick in between. State that only its tasks touch needs no lock. The thread
 * waits on a condition variable. All functions are thread-safe.
 */
class EventLoop
{
public:
  /** aCapacity bounds the tasks that TryPost() accepts. */
  explicit EventLoop(std::size_t aCapacity);
  /** Stops. */
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /** Calls aTick every aInterval. Call it before Start(). */
  void SetTick(Duration aInterval, std::function<void()> aTick);
  void Start();

  /** Returns false, and does not run aTask, when full or stopped. */
  bool TryPost(std::function<void()> aTask);
  /**
   * For tasks that are bounded by something else and must not get lost, such
   * as the answer to a request that was accepted. Dropped after Stop().
   */
  void Post(std::function<void()> aTask);

  /**
   * As Post(), for a task that can wait until the next tick: it does not wake
   * the thread, so that many such tasks cost one wake-up. Needs a tick.
   */
  void PostDeferred(std::function<void()> aTask);

  std::size_t Pending() const;

  /** Runs the tasks that are there, then ends the thread. */
  void Stop();

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace amaranthwind::base
