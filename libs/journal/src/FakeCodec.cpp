#include "amaranthwind/journal/testing/FakeCodec.h"

#include <cstdint>
#include <cstring>

namespace amaranthwind::journal {

std::vector<std::byte>
FakeCodec::Encode(const Record& aRecord) const
{
  std::lock_guard lock(this->mutex);
  const std::uint64_t index = this->records.size();
  this->records.push_back(aRecord);
  std::vector<std::byte> payload(sizeof(index));
  std::memcpy(payload.data(), &index, sizeof(index));
  return payload;
}

base::Result<Record>
FakeCodec::Decode(std::span<const std::byte> aPayload) const
{
  std::lock_guard lock(this->mutex);
  std::uint64_t index = 0;
  if (aPayload.size() != sizeof(index)) {
    return base::Fail(base::ErrorCode::Malformed, "payload");
  }
  std::memcpy(&index, aPayload.data(), sizeof(index));
  if (index >= this->records.size()) {
    return base::Fail(base::ErrorCode::Malformed, "record index");
  }
  return this->records[index];
}

} // namespace amaranthwind::journal
