#include "amaranthwind/admission/RetryBudget.h"

namespace amaranthwind::admission {

void
RetryBudget::CountFirstAttempt() noexcept
{
  // When the budget is full, which is the usual case, the path of a request
  // only reads. Threads that pass the check together exceed the maximum by
  // one attempt each at most.
  if (this->saved.load(std::memory_order_relaxed) <
      kMaxRetries * kAttemptsPerRetry) {
    this->saved.fetch_add(1, std::memory_order_relaxed);
  }
}

bool
RetryBudget::TrySpend() noexcept
{
  std::uint32_t before = this->saved.load(std::memory_order_relaxed);
  do {
    if (before < kAttemptsPerRetry) {
      return false;
    }
  } while (!this->saved.compare_exchange_weak(
    before, before - kAttemptsPerRetry, std::memory_order_relaxed));
  return true;
}

std::uint32_t
RetryBudget::Remaining() const noexcept
{
  return this->saved.load(std::memory_order_relaxed) / kAttemptsPerRetry;
}

} // namespace amaranthwind::admission
