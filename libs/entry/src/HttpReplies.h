#pragma once

#include "amaranthwind/codec/ErrorCodec.h"
#include "amaranthwind/frontend/HttpMessage.h"

namespace amaranthwind::entry {

/** The whole answer, with Retry-After if a time is given. */
frontend::HttpResponse
MakeErrorResponse(const codec::ErrorReply& aReply);

} // namespace amaranthwind::entry
