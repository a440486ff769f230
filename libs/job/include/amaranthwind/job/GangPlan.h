#pragma once

#include "amaranthwind/base/Ids.h"
#include "amaranthwind/fleet/Resources.h"

#include <compare>
#include <string>
#include <vector>

namespace amaranthwind::job {

/** Identifies one attempt to run a gang job. */
struct GangId
{
  base::JobId job;
  base::Attempt attempt;

  auto operator<=>(const GangId&) const = default;
};

/** Placement of one gang member; its rank is its index in the plan. */
struct GangMemberPlan
{
  base::TargetId worker;
  /** Listen address of the worker's daemon, "IP:port". */
  std::string address;
  fleet::Resources resources;

  bool operator==(const GangMemberPlan&) const = default;
};

/** Placement of an attempt. Rank 0 releases the start of all members. */
struct GangPlan
{
  GangId gang;
  /** Fencing token of the coordinator that made the plan. */
  base::FencingToken token;
  std::vector<GangMemberPlan> members;
  std::string payload;

  bool operator==(const GangPlan&) const = default;
};

} // namespace amaranthwind::job
