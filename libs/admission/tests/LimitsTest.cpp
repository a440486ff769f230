#include "amaranthwind/admission/ConcurrencyLimiter.h"
#include "amaranthwind/admission/RetryBudget.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <vector>

using namespace amaranthwind;
using namespace amaranthwind::admission;
using namespace std::chrono_literals;

// Guards against retries that amplify an overload.
TEST_CASE("retries are limited to 10% of the first attempts")
{
  RetryBudget budget;
  std::uint32_t retries = 0;
  for (int i = 0; i < 10'000; ++i) {
    budget.CountFirstAttempt();
    for (int retry = 0; retry < 3; ++retry) {
      retries += budget.TrySpend() ? 1 : 0;
    }
  }
  CHECK(retries == 1000 + RetryBudget::kInitialRetries);
  for (int i = 0; i < 10'000; ++i) {
    budget.CountFirstAttempt();
  }
  CHECK(budget.Remaining() == RetryBudget::kMaxRetries);
}

// Guards against a limit that leaves its range, ignores overload, or does not
// recover afterwards.
TEST_CASE("the adaptive limit follows the latency of a target")
{
  struct Case
  {
    LimiterSample sample;
    int updates;
    std::uint32_t limit;
  };
  const LimiterSample busy{ 10ms, 10ms, 8, 100, 0 };
  const LimiterSample idle{ 10ms, 10ms, 0, 100, 0 };
  const LimiterSample slow{ 60ms, 10ms, 8, 100, 0 };
  const LimiterSample refusing{ 10ms, 10ms, 8, 100, 1 };
  const LimiterSample silent{ 0ms, 10ms, 8, 0, 0 };
  const std::vector<Case> cases = { { idle, 10, 4 },     { busy, 10, 8 },
                                    { slow, 1, 4 },      { slow, 10, 1 },
                                    { silent, 10, 1 },   { busy, 3, 4 },
                                    { refusing, 1, 3 },  { busy, 10, 8 },
                                    { refusing, 50, 1 }, { busy, 10, 8 } };
  AdaptiveLimiter limiter({});
  for (const Case& step : cases) {
    CAPTURE(&step - cases.data());
    for (int i = 0; i < step.updates; ++i) {
      limiter.Update(step.sample);
    }
    CHECK(limiter.Limit() == step.limit);
  }
  const std::unique_ptr<ConcurrencyLimiter> fixed =
    std::make_unique<FixedLimiter>(8);
  CHECK(fixed->Update(slow) == 8);
}

// Guards against a limit that stays at its minimum on a target that has become
// permanently slower, when the expected latency is unknown.
TEST_CASE("the adaptive limit recovers when a target stays slower")
{
  AdaptiveLimiter limiter({});
  limiter.Update({ 10ms, {}, 8, 100, 0 });
  std::uint32_t lowest = 8;
  for (int i = 0; i < 200; ++i) {
    lowest = std::min(lowest, limiter.Update({ 40ms, {}, 8, 100, 0 }));
  }
  CHECK(lowest == 1);
  CHECK(limiter.Limit() == 8);
}
