#include "amaranthwind/base/Backoff.h"

#include "amaranthwind/base/ManualExecutor.h"

#include <doctest/doctest.h>

#include <functional>

using namespace amaranthwind::base;
using namespace std::chrono_literals;

// Guards against a busy retry loop when an operation fails immediately.
TEST_CASE("an operation that always fails is retried at a bounded rate")
{
  ManualClock clock;
  ManualExecutor executor(clock);
  Backoff backoff({ .first = 100ms, .max = 2s }, 7);
  int attempts = 0;
  std::function<void()> attempt = [&] {
    ++attempts;
    executor.RunAfter(backoff.Next(), attempt);
  };
  executor.Post(attempt);
  executor.Advance(60s);
  // Attempts are 1 s to 2 s apart once the maximum delay is reached.
  CHECK(attempts >= 30);
  CHECK(attempts <= 66);
}

TEST_CASE("delays grow to the maximum and start again after a success")
{
  Backoff backoff({ .first = 100ms, .max = 400ms }, 1);
  const Duration bounds[] = { 100ms, 200ms, 400ms, 400ms, 400ms };
  for (const Duration bound : bounds) {
    const Duration delay = backoff.Next();
    CHECK(delay >= bound / 2);
    CHECK(delay <= bound);
  }
  backoff.Reset();
  CHECK(backoff.Next() <= 100ms);
}

// Guards against processes that retry in lockstep.
TEST_CASE("two seeds give different delays")
{
  Backoff first({}, 1);
  Backoff second({}, 2);
  CHECK(first.Next() != second.Next());
}
