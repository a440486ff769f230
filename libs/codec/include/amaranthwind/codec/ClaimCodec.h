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

/** Encodes a pulse as text: the token, followed by flags. */
std::string
EncodePulse(const membership::LeaderPulse& aPulse);

/** Ignores flags that it does not know. Errors: Malformed. */
base::Result<membership::LeaderPulse>
DecodePulse(std::string_view aText);

} // namespace amaranthwind::codec
