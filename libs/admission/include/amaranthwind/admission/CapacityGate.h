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
 * Permit for one request slot of the entry. Given back exactly once: by
 * Release(), or by the destructor.
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
   * Gives the slot back. True if requests are waiting for one: the caller then
   * hands a Complete() to the admission thread. False when called again.
   */
  bool Release() noexcept;
  /** As Release(), and learns how long the request held its slot. */
  bool Release(base::Duration aServiceTime) noexcept;

  bool IsHeld() const noexcept { return this->gate != nullptr; }

private:
  CapacityGate* gate;
  Usage* account;
  Usage* kind;
};

/**
 * Counts the request slots of an entry. TryAdmit() is the path of a request
 * when capacity is free; all else goes through the AdmissionQueue. All
 * functions are thread-safe, take no lock and do not allocate.
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

  /** A slot if one is free and nobody waits. */
  std::optional<Slot> TryAdmit(const AccountShare& aAccount,
                               const KindShare& aKind) noexcept;

  std::uint32_t Capacity() const noexcept { return this->capacity.load(); }
  std::uint32_t InUse() const noexcept { return this->inUse.load(); }
  std::uint32_t Waiting() const noexcept { return this->waiting.load(); }

  /** Slots beyond a lowered capacity stay in use until they are released. */
  void SetCapacity(std::uint32_t aSlots) noexcept
  {
    this->capacity.store(aSlots);
  }

  /**
   * For the AdmissionQueue: takes a slot although others wait, if more than
   * aKeptFree slots are free.
   */
  std::optional<Slot> TryAcquire(const AccountShare& aAccount,
                                 const KindShare& aKind,
                                 std::uint32_t aKeptFree = 0) noexcept;
  /** For the AdmissionQueue. */
  void SetWaiting(std::uint32_t aCount) noexcept
  {
    this->waiting.store(aCount);
  }

  /** True if aInUse slots are less than aPercent of the capacity. */
  bool IsBelow(std::uint32_t aInUse, std::uint32_t aPercent) const noexcept
  {
    return std::uint64_t{ aInUse } * 100 <
           std::uint64_t{ aPercent } * this->capacity.load();
  }

private:
  friend class Slot;

  bool GiveBack(Usage& aAccount, Usage& aKind) noexcept;

  alignas(kCacheLine) std::atomic<std::uint32_t> inUse{ 0 };
  alignas(kCacheLine) std::atomic<std::uint32_t> capacity;
  std::atomic<std::uint32_t> waiting{ 0 };
};

} // namespace amaranthwind::admission
