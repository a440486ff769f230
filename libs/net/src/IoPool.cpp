#include "amaranthwind/net/IoPool.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <thread>
#include <utility>
#include <vector>

namespace amaranthwind::net {

namespace asio = boost::asio;

namespace {

class PoolContext final : public asio::io_context
{
public:
  PoolContext()
    : asio::io_context(1)
  {
  }
  /** Destroys all pending handlers; sockets and timers may still be closed. */
  void DropHandlers() { this->shutdown(); }
};

struct IoThread
{
  PoolContext context;
  asio::executor_work_guard<asio::io_context::executor_type> work{
    context.get_executor()
  };
  std::thread thread;
};

} // namespace

struct IoPool::Impl
{
  std::vector<std::unique_ptr<IoThread>> threads;
  std::atomic<std::size_t> next{ 0 };
};

IoPool::IoPool(std::size_t aThreads)
  : impl(std::make_unique<Impl>())
{
  for (std::size_t i = 0; i < aThreads; ++i) {
    auto& entry =
      this->impl->threads.emplace_back(std::make_unique<IoThread>());
    entry->thread =
      std::thread([context = &entry->context] { context->run(); });
  }
}

IoPool::~IoPool()
{
  this->Stop();
  // A handler that is pending in one context may own sockets of another.
  for (auto& entry : this->impl->threads) {
    entry->context.DropHandlers();
  }
}

std::size_t
IoPool::Size() const noexcept
{
  return this->impl->threads.size();
}

asio::io_context&
IoPool::Next() noexcept
{
  return this->At(this->impl->next.fetch_add(1, std::memory_order_relaxed) %
                  this->Size());
}

asio::io_context&
IoPool::At(std::size_t aIndex) noexcept
{
  return this->impl->threads[aIndex]->context;
}

void
IoPool::RunAfter(base::Duration aDelay, std::function<void()> aTask)
{
  auto timer = std::make_shared<asio::steady_timer>(this->Next(), aDelay);
  timer->async_wait(
    [timer, task = std::move(aTask)](const boost::system::error_code& aError) {
      if (!aError) {
        task();
      }
    });
}

void
IoPool::Post(std::function<void()> aTask)
{
  asio::post(this->Next(), std::move(aTask));
}

void
IoPool::Stop()
{
  for (auto& entry : this->impl->threads) {
    entry->work.reset();
    entry->context.stop();
  }
  for (auto& entry : this->impl->threads) {
    if (entry->thread.joinable()) {
      entry->thread.join();
    }
  }
}

} // namespace amaranthwind::net
