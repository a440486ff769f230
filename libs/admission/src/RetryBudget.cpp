#include "amaranthwind/admission/RetryBudget.h"

namespace amaranthwind::admission {

void
RetryBudget::CountFirstAttempt() noexcept
{
  // The request path only reads while the budget is full, which is the common
  // case. Threads that pass the check concurrently exceed the maximum by at
  // most one attempt each.
  if (this->tokens.load(std::memory_order_relaxed) <
      kMaxRetries * kAttemptsPerRetry) {
    this->tokens.fetch_add(1, std::memory_order_relaxed);
  }
}

bool
RetryBudget::TrySpend() noexcept
{
  std::uint32_t before = this->tokens.load(std::memory_order_relaxed);
  do {
    if (before < kAttemptsPerRetry) {
      return false;
    }
  } while (!this->tokens.compare_exchange_weak(
    before, before - kAttemptsPerRetry, std::memory_order_relaxed));
  return true;
}

std::uint32_t
RetryBudget::Remaining() const noexcept
{
  return this->tokens.load(std::memory_order_relaxed) / kAttemptsPerRetry;
}

} // namespace amaranthwind::admission
