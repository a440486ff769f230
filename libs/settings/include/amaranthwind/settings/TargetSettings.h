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
  /** Of a worker. */
  fleet::Resources resources;
  /** Of an executor: requests that it serves at the same time. */
  std::uint32_t slots = 0;
  /** Of an executor: connections that it accepts from its daemon. */
  std::uint32_t connections = 0;
  /** HTTP service of the local executor or worker, "IP:port". */
  std::string serviceAddress;

  bool operator==(const TargetSettings&) const = default;
};

} // namespace amaranthwind::settings
