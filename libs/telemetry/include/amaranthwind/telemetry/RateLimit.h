#pragma once

#include "amaranthwind/base/Clock.h"

#include <atomic>
#include <cstdint>

namespace amaranthwind::telemetry {

/**
 * Lock-free fixed-window rate limiter that counts refused events. Windows are
 * contiguous; a single atomic holds the window number and its event count.
 * Thread-safe.
 */
class RateLimit
{
public:
  /**
   * Returns false and counts the event as refused if the current window already
   * has aLimit events.
   */
  bool TryAcquire(base::TimePoint aNow,
                  std::uint32_t aLimit,
                  base::Duration aWindow) noexcept;

  /**
   * Returns the number of events refused since the last call, and resets it.
   */
  std::uint64_t TakeRefusedCount() noexcept;

private:
  std::atomic<std::uint64_t> windowAndCount{ 0 };
  std::atomic<std::uint64_t> refused{ 0 };
};

} // namespace amaranthwind::telemetry
