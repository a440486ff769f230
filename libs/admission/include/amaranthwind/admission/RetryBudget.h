#pragma once

#include <atomic>
#include <cstdint>

namespace amaranthwind::admission {

/**
 * Limits retries to 10% of the first attempts, so that retries cannot keep an
 * overload going that first attempts began. Thread-safe, takes no lock.
 */
class RetryBudget
{
public:
  /** First attempts that pay for one retry. */
  static constexpr std::uint32_t kAttemptsPerRetry = 10;
  /** Retries that are allowed before any first attempt has been counted. */
  static constexpr std::uint32_t kInitialRetries = 10;
  /** Retries that can be saved up; bounds the burst after a quiet time. */
  static constexpr std::uint32_t kMaxRetries = 100;

  void CountFirstAttempt() noexcept;
  /** True if the budget pays for one retry; refuse the retry otherwise. */
  bool TrySpend() noexcept;
  /** Retries that the budget pays for now. */
  std::uint32_t Remaining() const noexcept;

private:
  /** In first attempts. */
  std::atomic<std::uint32_t> saved{ kInitialRetries * kAttemptsPerRetry };
};

} // namespace amaranthwind::admission
