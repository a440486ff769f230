#pragma once

#include "amaranthwind/codec/ErrorCodec.h"
#include "amaranthwind/frontend/HttpMessage.h"

#include <cstdint>
#include <string>

namespace amaranthwind::entry {

/** Status of the answer for each kind of failure; see docs/api.md. */
std::uint16_t
StatusOf(const codec::ErrorReply& aReply) noexcept;

/** The whole answer, with Retry-After if a time is given. */
frontend::HttpResponse
MakeErrorResponse(const codec::ErrorReply& aReply);

} // namespace amaranthwind::entry
