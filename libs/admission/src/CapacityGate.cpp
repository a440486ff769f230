#include "amaranthwind/admission/CapacityGate.h"

namespace amaranthwind::admission {

bool
Slot::Release() noexcept
{
  CapacityGate* held = std::exchange(this->gate, nullptr);
  return held != nullptr && held->ReleaseSlot(*this->account, *this->kind);
}

bool
Slot::Release(base::Duration aServiceTime) noexcept
{
  if (this->gate == nullptr) {
    return false;
  }
  this->kind->RecordServiceTime(aServiceTime);
  return this->Release();
}

std::optional<Slot>
CapacityGate::TryAdmit(const AccountShare& aAccount,
                       const KindShare& aKind) noexcept
{
  if (this->waiting.load() != 0) {
    return std::nullopt;
  }
  return this->TryAcquire(aAccount, aKind);
}

std::optional<Slot>
CapacityGate::TryAcquire(const AccountShare& aAccount,
                         const KindShare& aKind,
                         std::uint32_t aReserved) noexcept
{
  // Sequentially consistent, like the load of `waiting` in ReleaseSlot():
  // either the queue sees the released slot here, or the releasing thread sees
  // that requests are queued.
  std::uint32_t held = this->inUse.load();
  do {
    if (held + aReserved >= this->capacity.load()) {
      return std::nullopt;
    }
  } while (!this->inUse.compare_exchange_weak(held, held + 1));
  aAccount.usage->inUse.fetch_add(1, std::memory_order_relaxed);
  aKind.usage->inUse.fetch_add(1, std::memory_order_relaxed);
  return Slot(*this, *aAccount.usage, *aKind.usage);
}

bool
CapacityGate::ReleaseSlot(Usage& aAccount, Usage& aKind) noexcept
{
  // Release order, because the ShareTable may reuse the counters afterwards.
  aAccount.inUse.fetch_sub(1, std::memory_order_release);
  aKind.inUse.fetch_sub(1, std::memory_order_release);
  this->inUse.fetch_sub(1);
  return this->waiting.load() != 0;
}

} // namespace amaranthwind::admission
