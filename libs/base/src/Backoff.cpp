#include "amaranthwind/base/Backoff.h"

#include <algorithm>
#include <random>

namespace amaranthwind::base {

Backoff::Backoff(const BackoffOptions& aOptions, std::uint64_t aSeed)
  : options(aOptions)
  , random(aSeed)
  , step(aOptions.first)
{
}

Duration
Backoff::Next()
{
  std::uniform_int_distribution<Duration::rep> draw(this->step.count() / 2,
                                                    this->step.count());
  const Duration delay(draw(this->random));
  this->step = std::min(this->step * 2, this->options.max);
  return delay;
}

void
Backoff::Reset() noexcept
{
  this->step = this->options.first;
}

} // namespace amaranthwind::base
