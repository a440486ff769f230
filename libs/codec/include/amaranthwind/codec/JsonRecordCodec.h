#pragma once

#include "amaranthwind/journal/RecordCodec.h"

namespace amaranthwind::codec {

/**
 * Records as JSON: {"id": ..., "type": ..., "body": {...}}. Durations are whole
 * milliseconds; a finer duration is rounded down. Ids and texts are UTF-8;
 * other bytes are kept only in a job's payload. Thread-safe.
 */
class JsonRecordCodec final : public journal::RecordCodec
{
public:
  std::vector<std::byte> Encode(const journal::Record& aRecord) const override;
  base::Result<journal::Record> Decode(
    std::span<const std::byte> aPayload) const override;
};

} // namespace amaranthwind::codec
