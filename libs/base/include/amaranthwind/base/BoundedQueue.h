#pragma once

#include "amaranthwind/base/Clock.h"

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

namespace amaranthwind::base {

/**
 * Bounded multi-producer, single-consumer queue, for example in front of a
 * decision thread. Producers never block: TryPush() fails on a full queue. The
 * consumer waits on a condition variable.
 */
template<typename T>
class BoundedQueue
{
public:
  explicit BoundedQueue(std::size_t aCapacity)
    : capacity(aCapacity)
  {
  }

  /** Returns false and leaves aItem unchanged if the queue is full or closed.
   */
  bool TryPush(T&& aItem)
  {
    {
      std::lock_guard lock(this->mutex);
      if (this->closed || this->items.size() >= this->capacity) {
        return false;
      }
      this->items.push_back(std::move(aItem));
    }
    this->available.notify_one();
    return true;
  }

  /**
   * Waits until an item is available, the queue is closed, or aTimeout expires.
   * The remaining items of a closed queue can still be popped.
   */
  std::optional<T> PopFor(Duration aTimeout)
  {
    std::unique_lock lock(this->mutex);
    this->available.wait_for(
      lock, aTimeout, [this] { return this->closed || !this->items.empty(); });
    if (this->items.empty()) {
      return std::nullopt;
    }
    std::optional<T> item(std::move(this->items.front()));
    this->items.pop_front();
    return item;
  }

  void Close()
  {
    {
      std::lock_guard lock(this->mutex);
      this->closed = true;
    }
    this->available.notify_all();
  }

  bool IsClosed() const
  {
    std::lock_guard lock(this->mutex);
    return this->closed;
  }

  std::size_t Size() const
  {
    std::lock_guard lock(this->mutex);
    return this->items.size();
  }

private:
  const std::size_t capacity;
  mutable std::mutex mutex;
  std::condition_variable available;
  std::deque<T> items;
  bool closed = false;
};

} // namespace amaranthwind::base
