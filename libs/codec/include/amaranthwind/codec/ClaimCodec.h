#pragma once

#include "amaranthwind/base/Result.h"
#include "amaranthwind/membership/LeaderElection.h"

#include <string>
#include <string_view>

namespace amaranthwind::codec {

/** The record of a claim to the leadership, as JSON. */
std::string
EncodeClaim(const membership::LeaderClaim& aClaim);

/** Errors: those of bad input. */
base::Result<membership::LeaderClaim>
DecodeClaim(std::string_view aText);

} // namespace amaranthwind::codec
