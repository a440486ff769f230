#pragma once

#include "amaranthwind/base/Result.h"
#include "amaranthwind/protocol/Messages.h"
#include "envelope_generated.h"

namespace amaranthwind::protocol {

/**
 * Decodes the message in a verified envelope. Errors: UnknownMessage,
 * MissingField, OutOfRange (subject: message and field).
 */
base::Result<Message>
DecodeBody(const wire::Envelope& aEnvelope);

} // namespace amaranthwind::protocol
