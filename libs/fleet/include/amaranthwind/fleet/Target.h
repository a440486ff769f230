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

/** What a target announces about itself. */
struct Target
{
  base::TargetId id;
  TargetKind kind = TargetKind::Executor;
  base::RegionId region;
  base::ZoneId zone;
  base::RackId rack;
  /** Of a worker; an executor announces slots instead. */
  Resources resources;
  /** Requests that an executor serves at the same time. */
  std::uint32_t slots = 0;
  /** Where its daemon listens for the inner protocol, "IP:port". */
  std::string address;
  base::Incarnation incarnation;

  bool operator==(const Target&) const = default;
};

} // namespace amaranthwind::fleet
