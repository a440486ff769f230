#include "amaranthwind/base/Backoff.h"

#include "amaranthwind/base/ManualExecutor.h"

#include <doctest/doctest.h>

#include <functional>

using namespace amaranthwind::base;
using namespace std::chrono_literals;

// Guards against an operation that fails at once and is tried without a pause.
TEST_CASE("an operation that always fails is tried at a bounded rate")
{
  ManualClock clock;
  ManualExecutor executor(clock);
  Backoff backoff({ .first = 100ms, .max = 2s }, 7);
  int tries = 0;
  std::function<void()> attempt = [&] {
    ++tries;
    executor.RunAfter(backoff.Next(), attempt);
  };
  executor.Post(attempt);
  executor.Advance(60s);
  // Between 1 s and 2 s apart once the bound is reached.
  CHECK(tries >= 30);
  CHECK(tries <= 66);
}

TEST_CASE("delays grow to the bound and start again after a success")
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

// Guards against two processes that keep coming back at the same moment.
TEST_CASE("two seeds give different delays")
{
  Backoff first({}, 1);
  Backoff second({}, 2);
  CHECK(first.Next() != second.Next());
}
