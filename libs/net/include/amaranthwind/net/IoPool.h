#pragma once

#include "amaranthwind/base/Clock.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace amaranthwind::net {

/**
 * A fixed-size pool of I/O threads, each with its own io_context. The
 * constructor starts the threads; idle threads block in the kernel.
 * Thread-safe.
 */
class IoPool
{
public:
  explicit IoPool(std::size_t aThreads);
  /** Calls Stop(). */
  ~IoPool();
  IoPool(const IoPool&) = delete;
  IoPool& operator=(const IoPool&) = delete;

  std::size_t Size() const noexcept;
  /** Returns the io_context of the next thread, round-robin. */
  boost::asio::io_context& Next() noexcept;
  /** Returns the io_context of thread aIndex; aIndex must be below Size(). */
  boost::asio::io_context& At(std::size_t aIndex) noexcept;

  /** Runs aTask on a pool thread after aDelay; Stop() drops pending tasks. */
  void RunAfter(base::Duration aDelay, std::function<void()> aTask);
  /** Runs aTask on a pool thread as soon as possible. */
  void Post(std::function<void()> aTask);

  /** Drops pending work and joins all threads. Idempotent. */
  void Stop();

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace amaranthwind::net
