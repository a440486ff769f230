#include "amaranthwind/dispatch/EndRecord.h"

#include <xxhash.h>

namespace amaranthwind::dispatch {

std::uint32_t
EndPartitionOf(const base::AgentId& aAgent) noexcept
{
  const std::string_view id = aAgent.View();
  return static_cast<std::uint32_t>(XXH64(id.data(), id.size(), 0) %
                                    kEndPartitions);
}

std::string
EndRecordKey(const EndRecord& aRecord)
{
  // The number of an end is unique within the life, and each record has another
  // last one.
  return aRecord.life.id.Text() + "/" + std::to_string(aRecord.life.born) +
         "/" + std::to_string(aRecord.ends.back().number);
}

} // namespace amaranthwind::dispatch
