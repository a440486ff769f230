#pragma once

#include "amaranthwind/journal/RecordCodec.h"

namespace amaranthwind::codec {

/**
 * Encodes records as JSON: {"id": ..., "type": ..., "body": {...}}. Durations
 * are rounded down to whole milliseconds. Ids and texts are UTF-8; arbitrary
 * bytes are preserved only in the payload of a job. Thread-safe.
 */
class JsonRecordCodec final : public journal::RecordCodec
{
public:
  std::vector<std::byte> Encode(const journal::Record& aRecord) const override;
  base::Result<journal::Record> Decode(
    std::span<const std::byte> aPayload) const override;
};

} // namespace amaranthwind::codec
