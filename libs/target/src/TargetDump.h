#pragma once

#include "TargetStatus.h"
#include "amaranthwind/admin/AdminServer.h"
#include "amaranthwind/base/SnapshotCell.h"
#include "amaranthwind/peering/EntryLinks.h"
#include "amaranthwind/protocol/Node.h"

#include <atomic>

namespace amaranthwind::target {

/** Sources of the daemon's dump and metrics; must outlive the admin server. */
struct TargetParts
{
  const base::SnapshotCell<TargetStatus>& status;
  const std::atomic<std::uint64_t>& noteOffset;
  const peering::EntryLinks& links;
  const protocol::Node& node;
};

/** Adds the dump sections of the target daemon to aServer. */
void
AddTargetDump(admin::AdminServer& aServer, const TargetParts& aParts);

} // namespace amaranthwind::target
