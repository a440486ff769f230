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

/** Connection and address of a target. */
struct Route
{
  base::TargetId target;
  protocol::ConnectionId connection;
  /**
   * Listen address of its daemon; sent to the owner of a key, for which this
   * target is the witness.
   */
  std::string address;
};

/** Routing data for sending requests to targets. Immutable. */
struct Routes
{
  std::unique_ptr<const routing::RoutingSnapshot> snapshot;
  /** Indexed by the target's handle. */
  std::vector<Route> byIndex;
  /** Executors that left, restarted or were lost within the key window. */
  std::uint32_t lostTargets = 0;

  const Route& Of(routing::TargetHandle aHandle) const
  {
    return this->byIndex[aHandle.index];
  }
};

} // namespace amaranthwind::entry
