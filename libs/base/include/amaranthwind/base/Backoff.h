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
 * Exponential backoff with jitter for retries of one operation. The step
 * doubles up to a maximum; each delay is drawn from the upper half of the step,
 * so that processes that failed together do not retry together. Not
 * thread-safe.
 */
class Backoff
{
public:
  explicit Backoff(const BackoffOptions& aOptions = {},
                   std::uint64_t aSeed = MakeSeed());

  /** Delay before the next attempt; at most BackoffOptions::max. */
  Duration Next();
  /** Returns to the initial delay; call it after the operation succeeds. */
  void Reset() noexcept;

private:
  const BackoffOptions options;
  RandomEngine random;
  Duration step;
};

} // namespace amaranthwind::base
