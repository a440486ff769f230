#pragma once

#include "amaranthwind/base/Result.h"
#include "amaranthwind/gang/GangMember.h"

#include <string>
#include <string_view>

namespace amaranthwind::target {

/** Returns the id on the worker of a gang member's task. */
std::string
MakeTaskId(const gang::AttemptKey& aKey, gang::Rank aRank);

/**
 * Encodes the label that the worker stores with a task. It contains what a
 * restarted daemon needs to adopt the task: the plan without its payload, the
 * cell and the rank.
 */
std::string
EncodeTaskLabel(const gang::AdoptTask& aTask);

/** Errors: Malformed, and those of the inner protocol. */
base::Result<gang::AdoptTask>
DecodeTaskLabel(std::string_view aLabel);

} // namespace amaranthwind::target
