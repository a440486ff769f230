#pragma once

#include "amaranthwind/base/Result.h"
#include "amaranthwind/protocol/Messages.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace amaranthwind::protocol {

/** Size of the little-endian length prefix of each frame. */
constexpr std::size_t kFrameHeaderBytes = 4;
/** Maximum frame size, excluding the header. */
constexpr std::size_t kMaxFrameBytes = std::size_t{ 1024 } * 1024;

/** Serializes aEnvelope to a frame, including the header. */
std::vector<std::byte>
EncodeFrame(const Envelope& aEnvelope);

/**
 * Reads the frame length from aHeader (kFrameHeaderBytes bytes).
 * Errors: TooLarge, Truncated (incomplete header or zero length).
 */
base::Result<std::size_t>
DecodeFrameLength(std::span<const std::byte> aHeader);

/**
 * Decodes a frame that excludes its header. Errors: Malformed (buffer fails
 * verification), TooLarge (parts of it are listed many times), UnknownMessage,
 * MissingField and OutOfRange (subject: message and field).
 */
base::Result<Envelope>
DecodeFrame(std::span<const std::byte> aFrame);

} // namespace amaranthwind::protocol
