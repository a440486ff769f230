#pragma once

#include "amaranthwind/job/Workflow.h"

#include <chrono>
#include <cstdint>
#include <string_view>

namespace amaranthwind::coordinator::testing {

/** A job with one step of independent tasks of one accelerator each. */
inline job::WorkflowSpec
MakeOneStepJob(std::string_view aId,
               std::uint32_t aTasks,
               base::Duration aEstimate)
{
  job::WorkflowSpec spec;
  spec.id = base::JobId(aId);
  spec.account = base::AccountId("club");
  spec.kind = base::WorkKindId("kind");
  spec.pool = base::PoolId("pool");
  spec.urgency = 1;
  spec.maxAttempts = 2;
  spec.stretch = 3;
  spec.slack = std::chrono::seconds(1);
  job::StepSpec step;
  step.count = aTasks;
  step.need = { 1000, 1024, 1 };
  step.estimate = aEstimate;
  spec.steps = { step };
  return spec;
}

} // namespace amaranthwind::coordinator::testing
