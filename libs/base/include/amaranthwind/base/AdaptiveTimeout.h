#pragma once

#include "amaranthwind/base/Clock.h"

#include <atomic>

namespace amaranthwind::base {

/**
 * Time after which a response of a server is overdue: three times the estimated
 * response time, within fixed limits. Thread-safe.
 */
class AdaptiveTimeout
{
public:
  AdaptiveTimeout(Duration aMin, Duration aMax);

  Duration Limit() const noexcept;
  /** A response took this long. */
  void OnResponse(Duration aTime) noexcept;

private:
  const Duration min;
  const Duration max;
  /** Estimated response time. */
  std::atomic<Duration::rep> estimate{ 0 };
};

} // namespace amaranthwind::base
