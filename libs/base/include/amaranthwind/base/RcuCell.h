#pragma once

#include "amaranthwind/base/Rcu.h"

#include <atomic>
#include <memory>
#include <utility>

namespace amaranthwind::base {

/**
 * An RCU-protected pointer to an immutable value, for data that is read often
 * and replaced rarely.
 *
 * Readers take no lock and never wait. Publish() waits until no reader uses the
 * previous value and then destroys it; calling it while holding a guard on the
 * same thread deadlocks. The owner must serialize calls to Publish().
 *
 *     RcuCell<Policy> policy(std::make_unique<const Policy>());
 *     { auto guard = policy.Read(); Use(*guard); }
 *     policy.Publish(std::make_unique<const Policy>(next));
 */
template<typename T>
class RcuCell
{
public:
  /** Keeps the value alive. Hold it only briefly: it delays publishers. */
  class ReadGuard
  {
  public:
    explicit ReadGuard(const RcuCell& aCell) noexcept
      : value(aCell.current.load(std::memory_order_acquire))
    {
    }
    const T& operator*() const noexcept { return *this->value; }
    const T* operator->() const noexcept { return this->value; }

  private:
    RcuReadSection section;
    const T* value;
  };

  explicit RcuCell(std::unique_ptr<const T> aInitial)
    : current(aInitial.release())
  {
  }
  ~RcuCell() { delete this->current.load(); }
  RcuCell(const RcuCell&) = delete;
  RcuCell& operator=(const RcuCell&) = delete;

  ReadGuard Read() const noexcept { return ReadGuard(*this); }

  void Publish(std::unique_ptr<const T> aNext)
  {
    const T* previous =
      this->current.exchange(aNext.release(), std::memory_order_acq_rel);
    WaitForRcuReaders();
    delete previous;
  }

private:
  std::atomic<const T*> current;
};

} // namespace amaranthwind::base
