#include "amaranthwind/base/BoundedQueue.h"

#include <doctest/doctest.h>

#include <memory>

using namespace amaranthwind::base;
using namespace std::chrono_literals;

// Guards against unbounded memory use when the consumer falls behind.
TEST_CASE("a full queue rejects an item and leaves it with the producer")
{
  BoundedQueue<std::unique_ptr<int>> queue(1);
  REQUIRE(queue.TryPush(std::make_unique<int>(1)));
  auto second = std::make_unique<int>(2);
  CHECK_FALSE(queue.TryPush(std::move(second)));
  CHECK(second != nullptr); // NOLINT(bugprone-use-after-move)
}

// Guards against losing items at shutdown.
TEST_CASE("a closed queue rejects new items and returns the remaining ones")
{
  BoundedQueue<int> queue(4);
  REQUIRE(queue.TryPush(7));
  queue.Close();
  CHECK_FALSE(queue.TryPush(8));
  CHECK(queue.PopFor(0ms) == 7);
  CHECK_FALSE(queue.PopFor(0ms).has_value());
}
