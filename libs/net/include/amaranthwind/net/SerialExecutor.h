#pragma once

#include "amaranthwind/base/Executor.h"
#include "amaranthwind/net/IoPool.h"

#include <functional>
#include <utility>

namespace amaranthwind::net {

/** A thread of its own with timers; it waits in the kernel between tasks. */
class SerialExecutor final : public base::Executor
{
public:
  void Post(std::function<void()> aTask) override
  {
    this->pool.Post(std::move(aTask));
  }
  void RunAfter(base::Duration aDelay, std::function<void()> aTask) override
  {
    this->pool.RunAfter(aDelay, std::move(aTask));
  }
  /** Ends the thread; tasks that are left are dropped. */
  void Stop() { this->pool.Stop(); }

private:
  IoPool pool{ 1 };
};

} // namespace amaranthwind::net
