#include "amaranthwind/net/IoPool.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <future>
#include <memory>
#include <vector>

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

namespace {

/** Tells whether its context exists. */
class ContextProbe final : public boost::asio::execution_context::service
{
public:
  using key_type = ContextProbe;
  inline static boost::asio::execution_context::id id;

  explicit ContextProbe(boost::asio::execution_context& aContext)
    : service(aContext)
  {
  }
  ~ContextProbe() override { *this->isAlive = false; }

  std::shared_ptr<bool> isAlive = std::make_shared<bool>(true);

private:
  void shutdown() noexcept override {}
};

/** Notes on destruction whether all contexts exist. */
struct Holder
{
  ~Holder()
  {
    *this->areAllAlive = *this->areAllAlive &&
                         std::all_of(this->contexts.begin(),
                                     this->contexts.end(),
                                     [](const auto& aEach) { return *aEach; });
  }

  std::vector<std::shared_ptr<bool>> contexts;
  bool* areAllAlive = nullptr;
};

} // namespace

// Guards against a memory fault when a pool is destroyed: a pending handler of
// one thread owns a connection of another, whose context is gone.
TEST_CASE("pending tasks are destroyed while all contexts of the pool exist")
{
  constexpr std::size_t kThreads = 3;
  bool areAllAlive = true;
  {
    IoPool pool(kThreads);
    std::vector<std::shared_ptr<bool>> contexts;
    for (std::size_t i = 0; i < kThreads; ++i) {
      contexts.push_back(
        boost::asio::use_service<ContextProbe>(pool.At(i)).isAlive);
    }
    for (std::size_t i = 0; i < kThreads; ++i) {
      auto holder = std::make_shared<Holder>();
      holder->contexts = contexts;
      holder->areAllAlive = &areAllAlive;
      pool.RunAfter(std::chrono::hours(1), [holder = std::move(holder)] {});
    }
  }
  CHECK(areAllAlive);
}
