#pragma once

#include "amaranthwind/fleet/Resources.h"

#include <compare>
#include <cstdint>

namespace amaranthwind::fleet {

/** Placement constraint: how close the members of a gang must be. */
enum class Adjacency : std::uint8_t
{
  SameWorker, // All members on the same worker.
  SameRack,
  SameZone,
};

/**
 * Resource shape of a gang: the number of members, the resources that each
 * member requires on its worker, and how close the members must be. A job
 * requests one shape; a guarantee consists of a number of equal shapes. Members
 * never share an accelerator.
 */
struct Shape
{
  std::uint32_t members = 1;
  Resources perMember;
  Adjacency adjacency = Adjacency::SameZone;

  auto operator<=>(const Shape&) const = default;

  constexpr std::uint64_t TotalAccelerators() const noexcept
  {
    return std::uint64_t{ this->members } * this->perMember.accelerators;
  }
};

} // namespace amaranthwind::fleet
