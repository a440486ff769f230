#pragma once

#include <envelope_generated.h>

#include <cstddef>

namespace amaranthwind::protocol {

/**
 * Lower bound of the frame that an encoder needs for the lists of the message.
 * In a frame that none made, the elements of a list may be one and the same,
 * so that decoding them takes many times the size of the frame.
 */
std::size_t
EncodedListBytes(const wire::Envelope& aEnvelope);

} // namespace amaranthwind::protocol
