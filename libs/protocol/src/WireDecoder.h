#pragma once

#include "amaranthwind/base/Result.h"
#include "amaranthwind/protocol/Messages.h"
#include "envelope_generated.h"

namespace amaranthwind::protocol {

/**
 * Turns a verified buffer into a message. Errors: UnknownMessage,
 * MissingField, OutOfRange (subject: message and field).
 */
base::Result<Message>
DecodeBody(const wire::Envelope& aEnvelope);

} // namespace amaranthwind::protocol
