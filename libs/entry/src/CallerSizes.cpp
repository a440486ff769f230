#include "CallerSizes.h"

#include <algorithm>
#include <functional>

namespace amaranthwind::entry {

namespace {

constexpr std::memory_order kRelaxed = std::memory_order_relaxed;
// 2^64 divided by the golden ratio, rounded to an odd number (Fibonacci
// hashing); spreads the account's hash over all bits.
constexpr std::size_t kHashMultiplier = 0x9e3779b97f4a7c15U;

} // namespace

std::uint32_t
CallerSizes::Window::Add() noexcept
{
  return this->current.fetch_add(1, kRelaxed);
}

std::uint32_t
CallerSizes::Window::Sum() const noexcept
{
  return this->current.load(kRelaxed) + this->previous.load(kRelaxed);
}

void
CallerSizes::Window::Rotate() noexcept
{
  this->previous.store(this->current.exchange(0, kRelaxed), kRelaxed);
}

bool
CallerSizes::CountAndIsSmall(std::string_view aAccount,
                             std::string_view aCaller) noexcept
{
  const std::hash<std::string_view> hash;
  const std::size_t accountHash = hash(aAccount);
  Account& account = this->accounts[accountHash % kAccountSlots];
  const std::size_t callerHash =
    hash(aCaller) ^ (accountHash * kHashMultiplier);
  Window& caller = this->callers[callerHash % kCallerSlots];
  if (caller.Add() == 0) {
    account.callers.Add();
  }
  account.requests.Add();
  const std::uint64_t callers =
    std::max(account.callers.current.load(kRelaxed),
             account.callers.previous.load(kRelaxed));
  return caller.Sum() * callers < account.requests.Sum();
}

void
CallerSizes::Rotate() noexcept
{
  for (auto& caller : this->callers) {
    caller.Rotate();
  }
  for (auto& account : this->accounts) {
    account.requests.Rotate();
    account.callers.Rotate();
  }
}

} // namespace amaranthwind::entry
