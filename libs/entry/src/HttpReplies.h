#pragma once

#include "amaranthwind/codec/ErrorCodec.h"
#include "amaranthwind/frontend/HttpMessage.h"

namespace amaranthwind::entry {

/** Builds the HTTP error response, with Retry-After if aReply has one. */
frontend::HttpResponse
MakeErrorResponse(const codec::ErrorReply& aReply);

} // namespace amaranthwind::entry
