#pragma once

#include "amaranthwind/journal/RecordCodec.h"

#include <deque>
#include <mutex>

namespace amaranthwind::journal {

/**
 * Stores the records in a table and encodes each as its table index, for tests
 * that do not cover encoding. Any other payload is malformed. Thread-safe.
 */
class FakeCodec final : public RecordCodec
{
public:
  std::vector<std::byte> Encode(const Record& aRecord) const override;
  base::Result<Record> Decode(
    std::span<const std::byte> aPayload) const override;

private:
  mutable std::mutex mutex;
  mutable std::deque<Record> records;
};

} // namespace amaranthwind::journal
