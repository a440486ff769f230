#pragma once

#include "amaranthwind/base/Result.h"
#include "amaranthwind/protocol/Messages.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace amaranthwind::protocol {

/** Bytes of the little-endian length in front of each frame. */
constexpr std::size_t kFrameHeaderBytes = 4;
/** Longest frame without its header. */
constexpr std::size_t kMaxFrameBytes = std::size_t{ 1024 } * 1024;

/** The whole frame, header included. */
std::vector<std::byte>
EncodeFrame(const Envelope& aEnvelope);

/**
 * Length of the frame that follows aHeader (kFrameHeaderBytes bytes).
 * Errors: TooLarge, Truncated (a length of 0).
 */
base::Result<std::size_t>
DecodeFrameLength(std::span<const std::byte> aHeader);

/**
 * Decodes a frame without its header. Errors: Malformed (not a valid buffer),
 * UnknownMessage, MissingField and OutOfRange (subject: message and field).
 */
base::Result<Envelope>
DecodeFrame(std::span<const std::byte> aFrame);

} // namespace amaranthwind::protocol
