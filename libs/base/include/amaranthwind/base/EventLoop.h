#pragma once

#include "amaranthwind/base/Clock.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace amaranthwind::base {

/**
 * A thread that runs posted tasks in FIFO order and calls a periodic tick.
 * State accessed only by its tasks needs no lock. The thread waits on a
 * condition variable. All functions are thread-safe except SetTick().
 */
class EventLoop
{
public:
  /** aCapacity limits the number of pending tasks for TryPost(). */
  explicit EventLoop(std::size_t aCapacity);
  /** Calls Stop(). */
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /** Calls aTick every aInterval. Must be called before Start(). */
  void SetTick(Duration aInterval, std::function<void()> aTick);
  void Start();

  /** Returns false and drops aTask if the queue is full or stopped. */
  bool TryPost(std::function<void()> aTask);
  /**
   * Ignores the capacity: for tasks that are bounded by other means and must
   * not be lost, such as the response to an accepted request. Dropped after
   * Stop().
   */
  void Post(std::function<void()> aTask);

  /**
   * Like Post(), but does not wake the thread: the task runs at the next tick
   * or before the next posted task, so that many tasks share one wake-up.
   * Requires a tick.
   */
  void PostDeferred(std::function<void()> aTask);

  std::size_t Pending() const;

  /** Runs the pending tasks, then joins the thread. */
  void Stop();

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace amaranthwind::base
