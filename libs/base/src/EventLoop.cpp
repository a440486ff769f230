#include "amaranthwind/base/EventLoop.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <utility>

namespace amaranthwind::base {

struct EventLoop::Impl
{
  explicit Impl(std::size_t aCapacity)
    : capacity(aCapacity)
  {
  }

  void Run()
  {
    TimePoint nextTick = std::chrono::steady_clock::now() + this->interval;
    while (true) {
      std::deque<std::function<void()>> batch;
      bool isLast = false;
      {
        std::unique_lock lock(this->mutex);
        const auto shouldWake = [this] {
          return this->isStopped || this->hasUrgentTask;
        };
        if (this->tick) {
          this->wakeUp.wait_until(lock, nextTick, shouldWake);
        } else {
          this->wakeUp.wait(lock, shouldWake);
        }
        batch.swap(this->tasks);
        this->hasUrgentTask = false;
        isLast = this->isStopped;
      }
      for (auto& task : batch) {
        task();
      }
      if (isLast) {
        return;
      }
      const TimePoint now = std::chrono::steady_clock::now();
      if (this->tick && now >= nextTick) {
        this->tick();
        nextTick = now + this->interval;
      }
    }
  }

  const std::size_t capacity;
  Duration interval{};
  std::function<void()> tick;
  mutable std::mutex mutex;
  std::condition_variable wakeUp;
  std::deque<std::function<void()>> tasks;
  /** Set if a pending task must not wait for the next tick. */
  bool hasUrgentTask = false;
  bool isStopped = false;
  std::thread thread;
};

EventLoop::EventLoop(std::size_t aCapacity)
  : impl(std::make_unique<Impl>(aCapacity))
{
}

EventLoop::~EventLoop()
{
  this->Stop();
}

void
EventLoop::SetTick(Duration aInterval, std::function<void()> aTick)
{
  this->impl->interval = aInterval;
  this->impl->tick = std::move(aTick);
}

void
EventLoop::Start()
{
  this->impl->thread = std::thread([this] { this->impl->Run(); });
}

bool
EventLoop::TryPost(std::function<void()> aTask)
{
  {
    std::lock_guard lock(this->impl->mutex);
    if (this->impl->isStopped ||
        this->impl->tasks.size() >= this->impl->capacity) {
      return false;
    }
    this->impl->tasks.push_back(std::move(aTask));
    this->impl->hasUrgentTask = true;
  }
  this->impl->wakeUp.notify_one();
  return true;
}

void
EventLoop::Post(std::function<void()> aTask)
{
  {
    std::lock_guard lock(this->impl->mutex);
    if (this->impl->isStopped) {
      return;
    }
    this->impl->tasks.push_back(std::move(aTask));
    this->impl->hasUrgentTask = true;
  }
  this->impl->wakeUp.notify_one();
}

void
EventLoop::PostDeferred(std::function<void()> aTask)
{
  std::lock_guard lock(this->impl->mutex);
  if (!this->impl->isStopped) {
    this->impl->tasks.push_back(std::move(aTask));
  }
}

std::size_t
EventLoop::Pending() const
{
  std::lock_guard lock(this->impl->mutex);
  return this->impl->tasks.size();
}

void
EventLoop::Stop()
{
  {
    std::lock_guard lock(this->impl->mutex);
    this->impl->isStopped = true;
  }
  this->impl->wakeUp.notify_all();
  if (this->impl->thread.joinable()) {
    this->impl->thread.join();
  }
}

} // namespace amaranthwind::base
