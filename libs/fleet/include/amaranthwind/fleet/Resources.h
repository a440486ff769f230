#pragma once

#include <compare>
#include <cstdint>

namespace amaranthwind::fleet {

/** What a worker has, or what one member of a gang needs. */
struct Resources
{
  std::uint32_t accelerators = 0;
  std::uint32_t cores = 0;
  std::uint64_t memoryMiB = 0;

  auto operator<=>(const Resources&) const = default;

  /** True if every quantity of aNeed is at most the one here. */
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

  /** Requires Covers(aOther). */
  constexpr Resources& operator-=(const Resources& aOther) noexcept
  {
    this->accelerators -= aOther.accelerators;
    this->cores -= aOther.cores;
    this->memoryMiB -= aOther.memoryMiB;
    return *this;
  }
};

} // namespace amaranthwind::fleet
