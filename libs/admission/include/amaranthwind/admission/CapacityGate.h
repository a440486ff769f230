#pragma once

#include "amaranthwind/admission/Shares.h"
#include "amaranthwind/base/Clock.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>

namespace amaranthwind::admission {

class CapacityGate;

/**
 * RAII permit for one request slot of the entry. The slot is released exactly
 * once, by Release() or by the destructor.
 */
class Slot
{
public:
  Slot(CapacityGate& aGate, Usage& aAccount, Usage& aKind) noexcept
    : gate(&aGate)
    , account(&aAccount)
    , kind(&aKind)
  {
  }
  Slot(Slot&& aOther) noexcept
    : gate(std::exchange(aOther.gate, nullptr))
    , account(aOther.account)
    , kind(aOther.kind)
  {
  }
  Slot& operator=(Slot&& aOther) noexcept
  {
    if (this != &aOther) {
      this->Release();
      this->gate = std::exchange(aOther.gate, nullptr);
      this->account = aOther.account;
      this->kind = aOther.kind;
    }
    return *this;
  }
  Slot(const Slot&) = delete;
  Slot& operator=(const Slot&) = delete;
  ~Slot() { this->Release(); }

  /**
   * Releases the slot. Returns true if requests are queued, in which case the
   * caller must post AdmissionQueue::Complete() to the admission thread.
   * Further calls do nothing and return false.
   */
  bool Release() noexcept;
  /** As Release(), and records how long the request held its slot. */
  bool Release(base::Duration aServiceTime) noexcept;

  bool IsHeld() const noexcept { return this->gate != nullptr; }

private:
  CapacityGate* gate;
  Usage* account;
  Usage* kind;
};

/**
 * Counts the request slots of an entry. TryAdmit() is the fast path, used while
 * capacity is free; all other requests go through the AdmissionQueue. All
 * functions are thread-safe, lock-free and do not allocate.
 */
class CapacityGate
{
public:
  explicit CapacityGate(std::uint32_t aCapacity)
    : capacity(aCapacity)
  {
  }
  CapacityGate(const CapacityGate&) = delete;
  CapacityGate& operator=(const CapacityGate&) = delete;

  /** Acquires a slot if one is free and no request is queued. */
  std::optional<Slot> TryAdmit(const AccountShare& aAccount,
                               const KindShare& aKind) noexcept;

  std::uint32_t Capacity() const noexcept { return this->capacity.load(); }
  std::uint32_t InUse() const noexcept { return this->inUse.load(); }
  std::uint32_t Waiting() const noexcept { return this->waiting.load(); }

  /** Slots in use beyond a reduced capacity stay valid until released. */
  void SetCapacity(std::uint32_t aSlots) noexcept
  {
    this->capacity.store(aSlots);
  }

  /**
   * Acquires a slot regardless of queued requests if more than aReserved slots
   * are free. For the AdmissionQueue only.
   */
  std::optional<Slot> TryAcquire(const AccountShare& aAccount,
                                 const KindShare& aKind,
                                 std::uint32_t aReserved = 0) noexcept;
  /** Publishes the number of queued requests. For the AdmissionQueue only. */
  void SetWaiting(std::uint32_t aCount) noexcept
  {
    this->waiting.store(aCount);
  }

  /** Whether aInUse slots are less than aPercent of the capacity. */
  bool IsBelowPercent(std::uint32_t aInUse,
                      std::uint32_t aPercent) const noexcept
  {
    return std::uint64_t{ aInUse } * 100 <
           std::uint64_t{ aPercent } * this->capacity.load();
  }

private:
  friend class Slot;

  bool ReleaseSlot(Usage& aAccount, Usage& aKind) noexcept;

  alignas(kCacheLine) std::atomic<std::uint32_t> inUse{ 0 };
  alignas(kCacheLine) std::atomic<std::uint32_t> capacity;
  std::atomic<std::uint32_t> waiting{ 0 };
};

} // namespace amaranthwind::admission
