#pragma once

#include "amaranthwind/base/Result.h"
#include "amaranthwind/membership/LeaderElection.h"

#include <string>
#include <string_view>

namespace amaranthwind::codec {

/** Encodes a leadership claim record as JSON. */
std::string
EncodeClaim(const membership::LeaderClaim& aClaim);

/** Errors: those for invalid input. */
base::Result<membership::LeaderClaim>
DecodeClaim(std::string_view aText);

} // namespace amaranthwind::codec
