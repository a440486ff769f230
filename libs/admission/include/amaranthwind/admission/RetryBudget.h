#pragma once

#include <atomic>
#include <cstdint>

namespace amaranthwind::admission {

/**
 * Token bucket that limits retries to 10% of first attempts, so that retries
 * cannot sustain an overload caused by first attempts. Thread-safe, lock-free.
 */
class RetryBudget
{
public:
  /** Number of first attempts that earn one retry. */
  static constexpr std::uint32_t kAttemptsPerRetry = 10;
  /** Retries available before the first attempt is counted. */
  static constexpr std::uint32_t kInitialRetries = 10;
  /** Maximum accumulated retries; bounds the burst after an idle period. */
  static constexpr std::uint32_t kMaxRetries = 100;

  void CountFirstAttempt() noexcept;
  /** Consumes one retry. Returns false if the retry must be refused. */
  bool TrySpend() noexcept;
  /** Retries available now. */
  std::uint32_t Remaining() const noexcept;

private:
  /** Unit: first attempts; kAttemptsPerRetry tokens pay for one retry. */
  std::atomic<std::uint32_t> tokens{ kInitialRetries * kAttemptsPerRetry };
};

} // namespace amaranthwind::admission
