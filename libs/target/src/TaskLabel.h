#pragma once

#include "amaranthwind/base/Result.h"
#include "amaranthwind/gang/GangMember.h"

#include <string>
#include <string_view>

namespace amaranthwind::target {

/** Id under which the worker knows a member's task. */
std::string
MakeTaskId(const gang::AttemptKey& aKey, gang::Rank aRank);

/**
 * Text that the worker keeps with a task. It holds what a restarted daemon
 * needs to adopt the task: the plan without its payload, and the rank.
 */
std::string
EncodeTaskLabel(const gang::AdoptTask& aTask);

/** Errors: Malformed, and those of the inner protocol. */
base::Result<gang::AdoptTask>
DecodeTaskLabel(std::string_view aLabel);

} // namespace amaranthwind::target
