#include "amaranthwind/telemetry/RateLimit.h"

namespace amaranthwind::telemetry {

namespace {

constexpr unsigned kCountBits = 32;
constexpr std::uint64_t kCountMask = 0xFFFF'FFFF;

} // namespace

bool
RateLimit::TryAcquire(base::TimePoint aNow,
                      std::uint32_t aLimit,
                      base::Duration aWindow) noexcept
{
  const auto window =
    static_cast<std::uint32_t>(aNow.time_since_epoch() / aWindow);
  const std::uint64_t emptyWindow = std::uint64_t{ window } << kCountBits;
  std::uint64_t observed = this->windowAndCount.load(std::memory_order_relaxed);
  while (true) {
    const bool isSameWindow = (observed >> kCountBits) == window;
    const std::uint64_t current = isSameWindow ? observed : emptyWindow;
    if ((current & kCountMask) >= aLimit) {
      this->refused.fetch_add(1, std::memory_order_relaxed);
      return false;
    }
    if (this->windowAndCount.compare_exchange_weak(
          observed, current + 1, std::memory_order_relaxed)) {
      return true;
    }
  }
}

std::uint64_t
RateLimit::TakeRefusedCount() noexcept
{
  return this->refused.exchange(0, std::memory_order_relaxed);
}

} // namespace amaranthwind::telemetry
