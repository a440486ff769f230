#pragma once

#include "amaranthwind/base/Result.h"
#include "amaranthwind/dispatch/EndRecord.h"

#include <string>
#include <string_view>

namespace amaranthwind::codec {

/** Encodes a record of ends as JSON, without the checkpoints. */
std::string
EncodeEndRecord(const dispatch::EndRecord& aRecord);

/** Errors: those for invalid input; OutOfRange for a record without ends. */
base::Result<dispatch::EndRecord>
DecodeEndRecord(std::string_view aText);

} // namespace amaranthwind::codec
