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
 * A fixed set of I/O threads, each with an io_context of its own. The threads
 * start with the constructor and wait in the kernel. Thread-safe.
 */
class IoPool
{
public:
  explicit IoPool(std::size_t aThreads);
  /** Stops. */
  ~IoPool();
  IoPool(const IoPool&) = delete;
  IoPool& operator=(const IoPool&) = delete;

  std::size_t Size() const noexcept;
  /** The context of one thread, in turn. */
  boost::asio::io_context& Next() noexcept;
  /** The context of the thread with the given index, below Size(). */
  boost::asio::io_context& At(std::size_t aIndex) noexcept;

  /** Runs aTask on one of the threads after aDelay; dropped by Stop(). */
  void RunAfter(base::Duration aDelay, std::function<void()> aTask);
  /** Runs aTask on one of the threads now. */
  void Post(std::function<void()> aTask);

  /** Ends all threads; pending work is dropped. May be called twice. */
  void Stop();

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace amaranthwind::net
