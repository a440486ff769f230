#pragma once

#include "amaranthwind/base/Ids.h"
#include "amaranthwind/fleet/Resources.h"

#include <compare>
#include <string>
#include <vector>

namespace amaranthwind::job {

/** One attempt to run a gang job. */
struct GangId
{
  base::JobId job;
  base::Attempt attempt;

  auto operator<=>(const GangId&) const = default;
};

/** One member of a gang; its rank is its index in the plan. */
struct GangMemberPlan
{
  base::TargetId worker;
  /** Where the worker's daemon listens, "IP:port". */
  std::string address;
  fleet::Resources resources;

  bool operator==(const GangMemberPlan&) const = default;
};

/** Where an attempt is to run. Rank 0 releases the start of all members. */
struct GangPlan
{
  GangId gang;
  /** Of the coordinator that made the plan. */
  base::FencingToken token;
  std::vector<GangMemberPlan> members;
  std::string payload;

  bool operator==(const GangPlan&) const = default;
};

} // namespace amaranthwind::job
