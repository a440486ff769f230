#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

namespace amaranthwind::fleet {

/** Resources that one task requires or that a worker provides to tasks. */
struct TaskResources
{
  /** Thousandths of a core. */
  std::uint32_t milliCores = 0;
  std::uint64_t memoryMiB = 0;
  std::uint32_t accelerators = 0;

  auto operator<=>(const TaskResources&) const = default;

  /** Returns true if no quantity of aNeed exceeds the one in this object. */
  constexpr bool Covers(const TaskResources& aNeed) const noexcept
  {
    return aNeed.milliCores <= this->milliCores &&
           aNeed.memoryMiB <= this->memoryMiB &&
           aNeed.accelerators <= this->accelerators;
  }

  constexpr TaskResources& operator+=(const TaskResources& aOther) noexcept
  {
    this->milliCores += aOther.milliCores;
    this->memoryMiB += aOther.memoryMiB;
    this->accelerators += aOther.accelerators;
    return *this;
  }

  /** Saturates at zero. */
  constexpr TaskResources& operator-=(const TaskResources& aOther) noexcept
  {
    this->milliCores -= std::min(this->milliCores, aOther.milliCores);
    this->memoryMiB -= std::min(this->memoryMiB, aOther.memoryMiB);
    this->accelerators -= std::min(this->accelerators, aOther.accelerators);
    return *this;
  }
};

/** The smaller of each quantity. */
constexpr TaskResources
ComponentwiseMin(const TaskResources& aLeft,
                 const TaskResources& aRight) noexcept
{
  return { std::min(aLeft.milliCores, aRight.milliCores),
           std::min(aLeft.memoryMiB, aRight.memoryMiB),
           std::min(aLeft.accelerators, aRight.accelerators) };
}

} // namespace amaranthwind::fleet
