#pragma once

#include <compare>
#include <cstdint>

namespace amaranthwind::fleet {

/** Resources that a worker provides or that one member of a gang requires. */
struct Resources
{
  std::uint32_t accelerators = 0;
  std::uint32_t cores = 0;
  std::uint64_t memoryMiB = 0;

  auto operator<=>(const Resources&) const = default;

  /** Returns true if no quantity of aNeed exceeds the one in this object. */
  constexpr bool Covers(const Resources& aNeed) const noexcept
  {
    return aNeed.accelerators <= this->accelerators &&
           aNeed.cores <= this->cores && aNeed.memoryMiB <= this->memoryMiB;
  }

  constexpr Resources& operator+=(const Resources& aOther) noexcept
  {
    this->accelerators += aOther.accelerators;
    this->cores += aOther.cores;
    this->memoryMiB += aOther.memoryMiB;
    return *this;
  }

  /** Precondition: Covers(aOther). The quantities are unsigned. */
  constexpr Resources& operator-=(const Resources& aOther) noexcept
  {
    this->accelerators -= aOther.accelerators;
    this->cores -= aOther.cores;
    this->memoryMiB -= aOther.memoryMiB;
    return *this;
  }
};

} // namespace amaranthwind::fleet
