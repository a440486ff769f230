#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Random.h"

#include <chrono>
#include <cstdint>

namespace amaranthwind::base {

struct BackoffOptions
{
  Duration first = std::chrono::milliseconds(100);
  Duration max = std::chrono::seconds(2);
};

/**
 * Delays between the tries of one operation: they double up to a bound, and
 * each is drawn from the upper half of its step, so that processes that failed
 * together do not come back together. Not thread-safe.
 */
class Backoff
{
public:
  explicit Backoff(const BackoffOptions& aOptions = {},
                   std::uint64_t aSeed = MakeSeed());

  /** Delay before the next try; at most BackoffOptions::max. */
  Duration Next();
  /** The operation has succeeded: the next delay is a short one again. */
  void Reset() noexcept;

private:
  const BackoffOptions options;
  RandomEngine random;
  Duration step;
};

} // namespace amaranthwind::base
