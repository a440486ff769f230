#pragma once

#include "amaranthwind/base/Ids.h"
#include "amaranthwind/protocol/MessageHandler.h"
#include "amaranthwind/routing/RoutingSnapshot.h"

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace amaranthwind::entry {

/** How a target is reached. */
struct Route
{
  base::TargetId target;
  protocol::ConnectionId connection;
  /** Where its daemon listens; given to owners of a key as witness. */
  std::string address;
};

/** What a request needs in order to reach a target. Immutable. */
struct Routes
{
  std::unique_ptr<const routing::RoutingSnapshot> snapshot;
  /** By index of the target's handle. */
  std::vector<Route> byIndex;
  /** Targets that left or restarted within the key window. */
  std::uint32_t lostTargets = 0;

  const Route& Of(routing::TargetHandle aHandle) const
  {
    return this->byIndex[aHandle.index];
  }
};

} // namespace amaranthwind::entry
