#pragma once

#include "amaranthwind/base/Executor.h"
#include "amaranthwind/net/IoPool.h"

#include <functional>
#include <utility>

namespace amaranthwind::net {

/** Runs tasks on a dedicated thread, which blocks in the kernel when idle. */
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
  /** Joins the thread; pending tasks are dropped. */
  void Stop() { this->pool.Stop(); }

private:
  IoPool pool{ 1 };
};

} // namespace amaranthwind::net
