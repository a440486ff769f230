#include "amaranthwind/base/ProgressExecutor.h"

#include "amaranthwind/base/ManualClock.h"

#include <doctest/doctest.h>

#include <utility>
#include <vector>

using namespace amaranthwind::base;
using namespace std::chrono_literals;

namespace {

/** Holds tasks until they are run one by one. */
class HeldExecutor final : public Executor
{
public:
  void Post(std::function<void()> aTask) override
  {
    this->tasks.push_back(std::move(aTask));
  }
  void RunAfter(Duration, std::function<void()> aTask) override
  {
    this->Post(std::move(aTask));
  }
  void RunNext()
  {
    const auto task = std::move(this->tasks.front());
    this->tasks.erase(this->tasks.begin());
    task();
  }

private:
  std::vector<std::function<void()>> tasks;
};

} // namespace

TEST_CASE(
  "an executor stalls if it has work and neither begins nor ends a task")
{
  ManualClock clock;
  HeldExecutor held;
  ProgressExecutor executor(held, clock);
  clock.Advance(1h);
  CHECK(executor.StalledFor() == 0s);
  SUBCASE("while a task waits")
  {
    executor.Post([] {});
    clock.Advance(2s);
    CHECK(executor.StalledFor() == 2s);
    held.RunNext();
    CHECK(executor.StalledFor() == 0s);
  }
  SUBCASE("while a task runs")
  {
    executor.RunAfter(1s, [&] {
      clock.Advance(3s);
      CHECK(executor.StalledFor() == 3s);
    });
    clock.Advance(1s);
    CHECK(executor.StalledFor() == 0s);
    held.RunNext();
    CHECK(executor.StalledFor() == 0s);
  }
  SUBCASE("but not while a task notes progress")
  {
    executor.Post([&] {
      clock.Advance(3s);
      executor.NoteProgress();
      CHECK(executor.StalledFor() == 0s);
      clock.Advance(1s);
      CHECK(executor.StalledFor() == 1s);
    });
    held.RunNext();
    CHECK(executor.StalledFor() == 0s);
  }
  SUBCASE("but not because its queue is long")
  {
    for (int i = 0; i < 100; ++i) {
      executor.Post([] {});
    }
    for (int i = 0; i < 99; ++i) {
      clock.Advance(100ms);
      held.RunNext();
      CHECK(executor.StalledFor() == 0s);
    }
    clock.Advance(1s);
    CHECK(executor.StalledFor() == 1s);
  }
}
