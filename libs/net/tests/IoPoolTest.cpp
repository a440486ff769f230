#include "amaranthwind/net/IoPool.h"

#include <doctest/doctest.h>

#include <future>

using namespace amaranthwind::net;

// Guards against dropping tasks while the pool runs.
TEST_CASE("posted and delayed tasks run on the pool's threads")
{
  IoPool pool(2);
  std::promise<void> posted;
  std::promise<void> delayed;
  pool.Post([&] { posted.set_value(); });
  pool.RunAfter(std::chrono::milliseconds(1), [&] { delayed.set_value(); });
  posted.get_future().get();
  delayed.get_future().get();
  pool.Stop();
  pool.Stop();
  CHECK(pool.Size() == 2);
}
