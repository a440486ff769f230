#pragma once

#include "amaranthwind/base/Clock.h"

#include <functional>

namespace amaranthwind::base {

/**
 * Runs tasks one at a time, in the order in which they become due. State
 * accessed only by its tasks needs no lock. Thread-safe.
 */
class Executor
{
public:
  virtual ~Executor() = default;
  virtual void Post(std::function<void()> aTask) = 0;
  virtual void RunAfter(Duration aDelay, std::function<void()> aTask) = 0;
};

} // namespace amaranthwind::base
