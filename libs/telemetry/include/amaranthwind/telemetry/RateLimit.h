#pragma once

#include "amaranthwind/base/Clock.h"

#include <atomic>
#include <cstdint>

namespace amaranthwind::telemetry {

/**
 * Allows a number of events in each window of time and counts the others.
 * Windows follow each other without a gap; one atomic holds the number of the
 * window and the events in it. Takes no lock. Thread-safe.
 */
class RateLimit
{
public:
  /** False if the window has had aLimit events; the event is then counted. */
  bool TryTake(base::TimePoint aNow,
               std::uint32_t aLimit,
               base::Duration aWindow) noexcept;

  /** Number of refused events since the last call. */
  std::uint64_t TakeRefused() noexcept;

private:
  std::atomic<std::uint64_t> windowAndCount{ 0 };
  std::atomic<std::uint64_t> refused{ 0 };
};

} // namespace amaranthwind::telemetry
