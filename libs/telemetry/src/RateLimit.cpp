#include "amaranthwind/telemetry/RateLimit.h"

namespace amaranthwind::telemetry {

namespace {

constexpr unsigned kCountBits = 32;
constexpr std::uint64_t kCountMask = 0xFFFF'FFFF;

} // namespace

bool
RateLimit::TryTake(base::TimePoint aNow,
                   std::uint32_t aLimit,
                   base::Duration aWindow) noexcept
{
  const auto window =
    static_cast<std::uint32_t>(aNow.time_since_epoch() / aWindow);
  const std::uint64_t empty = std::uint64_t{ window } << kCountBits;
  std::uint64_t seen = this->windowAndCount.load(std::memory_order_relaxed);
  while (true) {
    const bool isSameWindow = (seen >> kCountBits) == window;
    const std::uint64_t start = isSameWindow ? seen : empty;
    if ((start & kCountMask) >= aLimit) {
      this->refused.fetch_add(1, std::memory_order_relaxed);
      return false;
    }
    if (this->windowAndCount.compare_exchange_weak(
          seen, start + 1, std::memory_order_relaxed)) {
      return true;
    }
  }
}

std::uint64_t
RateLimit::TakeRefused() noexcept
{
  return this->refused.exchange(0, std::memory_order_relaxed);
}

} // namespace amaranthwind::telemetry
