#pragma once

#include "amaranthwind/telemetry/Metrics.h"

#include <cstdint>

namespace amaranthwind::admin {

/**
 * Exports a running total that is kept elsewhere as a counter. Not thread-safe.
 */
class TotalCounter
{
public:
  explicit TotalCounter(const telemetry::Counter& aCounter)
    : counter(aCounter)
  {
  }

  /** Sets the counter to aTotal, which must not decrease. */
  void SetTotal(std::uint64_t aTotal)
  {
    this->counter.Increment(static_cast<double>(aTotal - this->last));
    this->last = aTotal;
  }

private:
  telemetry::Counter counter;
  std::uint64_t last = 0;
};

} // namespace amaranthwind::admin
