#pragma once

#include "amaranthwind/fleet/Resources.h"

#include <compare>
#include <cstdint>

namespace amaranthwind::fleet {

/** How close the members of a gang must be to each other. */
enum class Adjacency : std::uint8_t
{
  SameWorker, // All members on one worker.
  SameRack,
  SameZone,
};

/**
 * A shape of accelerators: a number of members, what each one needs on its
 * worker, and how close they must be. A job asks for one shape; a guarantee is
 * a number of equal shapes. Members never share an accelerator.
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
