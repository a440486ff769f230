#include "amaranthwind/journal/testing/FakeCodec.h"

#include <cstdint>
#include <cstring>

namespace amaranthwind::journal {

std::vector<std::byte>
FakeCodec::Encode(const Record& aRecord) const
{
  std::lock_guard lock(this->mutex);
  const std::uint64_t place = this->records.size();
  this->records.push_back(aRecord);
  std::vector<std::byte> payload(sizeof(place));
  std::memcpy(payload.data(), &place, sizeof(place));
  return payload;
}

base::Result<Record>
FakeCodec::Decode(std::span<const std::byte> aPayload) const
{
  std::lock_guard lock(this->mutex);
  std::uint64_t place = 0;
  if (aPayload.size() != sizeof(place)) {
    return base::Fail(base::ErrorCode::Malformed, "payload");
  }
  std::memcpy(&place, aPayload.data(), sizeof(place));
  if (place >= this->records.size()) {
    return base::Fail(base::ErrorCode::Malformed, "place");
  }
  return this->records[place];
}

} // namespace amaranthwind::journal
