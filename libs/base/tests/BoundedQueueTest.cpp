#include "amaranthwind/base/BoundedQueue.h"

#include <doctest/doctest.h>

#include <memory>

using namespace amaranthwind::base;
using namespace std::chrono_literals;

// Guards against unbounded memory when a consumer falls behind.
TEST_CASE("a full queue refuses and leaves the item with the producer")
{
  BoundedQueue<std::unique_ptr<int>> queue(1);
  REQUIRE(queue.TryPush(std::make_unique<int>(1)));
  auto second = std::make_unique<int>(2);
  CHECK_FALSE(queue.TryPush(std::move(second)));
  CHECK(second != nullptr); // NOLINT(bugprone-use-after-move)
}

// Guards against items lost at shutdown.
TEST_CASE("a closed queue refuses new items and hands out those it holds")
{
  BoundedQueue<int> queue(4);
  REQUIRE(queue.TryPush(7));
  queue.Close();
  CHECK_FALSE(queue.TryPush(8));
  CHECK(queue.PopFor(0ms) == 7);
  CHECK_FALSE(queue.PopFor(0ms).has_value());
}
