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

/** Components shown in the state dump; all must outlive the admin server. */
struct EntryComponents
{
  const PolicyKeeper& policy;
  const MembershipService& membership;
  const RequestService& requests;
  std::span<const std::unique_ptr<CellService>> cells;
  const peering::EntryLinks& links;
  const protocol::Node& node;
};

/** Adds the sections of the entry's components to the state dump. */
void
AddEntryDump(admin::AdminServer& aServer, const EntryComponents& aComponents);

} // namespace amaranthwind::entry
