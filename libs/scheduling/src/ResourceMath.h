#pragma once

#include "amaranthwind/fleet/Resources.h"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace amaranthwind::scheduling {

/** Subtracts aUsed from aTotal; each quantity saturates at zero. */
constexpr fleet::Resources
SubtractClamped(const fleet::Resources& aTotal,
                const fleet::Resources& aUsed) noexcept
{
  const auto subtract = [](auto aLeft, auto aRight) {
    return aLeft > aRight ? aLeft - aRight : 0;
  };
  return { subtract(aTotal.accelerators, aUsed.accelerators),
           subtract(aTotal.cores, aUsed.cores),
           subtract(aTotal.memoryMiB, aUsed.memoryMiB) };
}

constexpr fleet::Resources
ComponentwiseMin(const fleet::Resources& aLeft,
                 const fleet::Resources& aRight) noexcept
{
  return { std::min(aLeft.accelerators, aRight.accelerators),
           std::min(aLeft.cores, aRight.cores),
           std::min(aLeft.memoryMiB, aRight.memoryMiB) };
}

/**
 * Multiplies each quantity, saturating at its maximum: an overflowed product
 * could look small enough to fit.
 */
constexpr fleet::Resources
Multiply(const fleet::Resources& aOne, std::uint32_t aCount) noexcept
{
  const auto multiply = [aCount]<typename T>(T aValue) {
    constexpr T kMax = std::numeric_limits<T>::max();
    return aCount != 0 && aValue > kMax / aCount
             ? kMax
             : static_cast<T>(aValue * aCount);
  };
  return { multiply(aOne.accelerators),
           multiply(aOne.cores),
           multiply(aOne.memoryMiB) };
}

/**
 * Returns how many members that each need aNeed fit into aAvailable, at most
 * aLimit.
 */
constexpr std::uint32_t
CountFitting(const fleet::Resources& aAvailable,
             const fleet::Resources& aNeed,
             std::uint32_t aLimit) noexcept
{
  std::uint64_t count = aLimit;
  if (aNeed.accelerators != 0) {
    count = std::min<std::uint64_t>(
      count, aAvailable.accelerators / aNeed.accelerators);
  }
  if (aNeed.cores != 0) {
    count = std::min<std::uint64_t>(count, aAvailable.cores / aNeed.cores);
  }
  if (aNeed.memoryMiB != 0) {
    count =
      std::min<std::uint64_t>(count, aAvailable.memoryMiB / aNeed.memoryMiB);
  }
  return static_cast<std::uint32_t>(count);
}

} // namespace amaranthwind::scheduling
