#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Ids.h"
#include "amaranthwind/fleet/Shape.h"

#include <cstdint>
#include <string>

namespace amaranthwind::job {

/** Specifies a gang job as its caller submitted it. */
struct JobSpec
{
  base::JobId id;
  base::AccountId account;
  base::CallerId caller;
  base::WorkKindId kind;
  base::ZoneId zone;
  fleet::Shape shape;
  /** The caller's run time estimate; often inaccurate. */
  base::Duration declaredRunTime{};
  /** Maximum number of attempts, including the first; at least 1. */
  std::uint32_t maxRuns = 1;
  /** Whether it can be checkpointed or stopped within the reclaim time limit.
   */
  bool isPreemptible = false;
  /** Passed to the worker unchanged. */
  std::string payload;

  bool operator==(const JobSpec&) const = default;
};

} // namespace amaranthwind::job
