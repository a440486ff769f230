#pragma once

#include "amaranthwind/base/Ids.h"
#include "amaranthwind/fleet/Resources.h"

#include <cstdint>
#include <string>

namespace amaranthwind::fleet {

enum class TargetKind : std::uint8_t
{
  Executor, // Serves short requests.
  Worker,   // Runs the tasks of gang jobs.
};

/** Properties that a target reports when it registers. */
struct Target
{
  base::TargetId id;
  TargetKind kind = TargetKind::Executor;
  base::RegionId region;
  base::ZoneId zone;
  base::RackId rack;
  /** Set for workers only; an executor reports slots instead. */
  Resources resources;
  /** Number of requests that an executor serves concurrently. */
  std::uint32_t slots = 0;
  /** Address of the daemon's inner protocol listener, "IP:port". */
  std::string address;
  base::Incarnation incarnation;

  bool operator==(const Target&) const = default;
};

} // namespace amaranthwind::fleet
