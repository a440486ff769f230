#pragma once

#include "CellService.h"
#include "MembershipService.h"
#include "PolicyKeeper.h"
#include "RequestService.h"
#include "amaranthwind/admin/AdminServer.h"
#include "amaranthwind/peering/EntryLinks.h"
#include "amaranthwind/protocol/Node.h"

#include <memory>
#include <span>

namespace amaranthwind::entry {

/** The parts of an entry that its dump shows; all outlive the admin server. */
struct EntryParts
{
  const PolicyKeeper& policy;
  const MembershipService& membership;
  const RequestService& requests;
  std::span<const std::unique_ptr<CellService>> cells;
  const peering::EntryLinks& links;
  const protocol::Node& node;
};

/** Adds one section for each part. */
void
AddEntryDump(admin::AdminServer& aServer, const EntryParts& aParts);

} // namespace amaranthwind::entry
