#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Ids.h"
#include "amaranthwind/fleet/Shape.h"

#include <cstdint>
#include <string>

namespace amaranthwind::job {

/** A gang job as its caller submitted it. */
struct JobSpec
{
  base::JobId id;
  base::AccountId account;
  base::CallerId caller;
  base::WorkKindId kind;
  base::ZoneId zone;
  fleet::Shape shape;
  /** The caller's estimate; often far off. */
  base::Duration declaredRunTime{};
  /** How often it may be started in all; at least 1. */
  std::uint32_t maxRuns = 1;
  /** Whether it can be checkpointed or stopped within the reclaim time. */
  bool isPreemptible = false;
  /** Passed to the worker as it is. */
  std::string payload;

  bool operator==(const JobSpec&) const = default;
};

} // namespace amaranthwind::job
