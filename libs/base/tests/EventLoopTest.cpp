#include "amaranthwind/base/EventLoop.h"

#include <doctest/doctest.h>

#include <future>
#include <utility>
#include <vector>

using namespace amaranthwind::base;
using namespace std::chrono_literals;

TEST_CASE("tasks run in order, and all tasks posted before Stop() run")
{
  constexpr int kTasks = 100;
  EventLoop loop(kTasks);
  std::vector<int> ran;
  loop.Start();
  for (int i = 0; i < kTasks; ++i) {
    loop.Post([&ran, i] { ran.push_back(i); });
  }
  loop.Stop();
  REQUIRE(ran.size() == kTasks);
  CHECK(ran.front() == 0);
  CHECK(ran.back() == kTasks - 1);
  CHECK_FALSE(loop.TryPost([] {}));
}

// Guards against unbounded memory use when a decision thread falls behind.
TEST_CASE("a full loop rejects TryPost() but accepts Post()")
{
  EventLoop loop(1);
  int ran = 0;
  REQUIRE(loop.TryPost([&] { ++ran; }));
  CHECK_FALSE(loop.TryPost([&] { ++ran; }));
  loop.Post([&] { ++ran; });
  CHECK(loop.Pending() == 2);
  loop.Start();
  loop.Stop();
  CHECK(ran == 2);
}

TEST_CASE("the tick runs without any posted task")
{
  EventLoop loop(1);
  std::promise<void> ticked;
  bool isFirst = true;
  loop.SetTick(1ms, [&] {
    if (std::exchange(isFirst, false)) {
      ticked.set_value();
    }
  });
  loop.Start();
  ticked.get_future().get();
  loop.Stop();
  CHECK_FALSE(isFirst);
}

// Guards against deferred tasks that are lost or run out of order.
TEST_CASE("deferred tasks run at the next tick or before the next task")
{
  EventLoop loop(1);
  std::vector<int> ran;
  std::promise<void> ticked;
  bool isFirst = true;
  loop.SetTick(1ms, [&] {
    if (!ran.empty() && std::exchange(isFirst, false)) {
      ticked.set_value();
    }
  });
  loop.PostDeferred([&] { ran.push_back(1); });
  loop.Start();
  ticked.get_future().get();
  loop.PostDeferred([&] { ran.push_back(2); });
  loop.Post([&] { ran.push_back(3); });
  loop.Stop();
  CHECK(ran == std::vector<int>{ 1, 2, 3 });
}
