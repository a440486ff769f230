#pragma once

#include "amaranthwind/base/Ids.h"
#include "amaranthwind/fleet/Resources.h"
#include "amaranthwind/fleet/Target.h"
#include "amaranthwind/settings/CommonSettings.h"

#include <cstdint>
#include <string>

namespace amaranthwind::settings {

/** Settings of `amaranthwindd` in the role target. */
struct TargetSettings
{
  base::TargetId id;
  CommonSettings common;
  fleet::TargetKind kind = fleet::TargetKind::Executor;
  base::RackId rack;
  /** Worker only. */
  fleet::Resources resources;
  /** Executor only: number of requests that it serves concurrently. */
  std::uint32_t slots = 0;
  /** Executor only: number of connections that it accepts from its daemon. */
  std::uint32_t connections = 0;
  /** Address of the local executor's or worker's HTTP service, "IP:port". */
  std::string serviceAddress;

  bool operator==(const TargetSettings&) const = default;
};

} // namespace amaranthwind::settings
