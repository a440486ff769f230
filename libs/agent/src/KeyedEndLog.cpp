#include "amaranthwind/agent/KeyedEndLog.h"

#include "amaranthwind/codec/EndRecordCodec.h"

#include <string>
#include <utility>
#include <vector>

namespace amaranthwind::agent {

void
KeyedEndLog::Append(std::span<const dispatch::EndRecord> aRecords,
                    const EndAppendConditions& aConditions,
                    std::function<void(base::Result<void>)> aHandler)
{
  std::vector<journal::KeyedValue> values;
  values.reserve(aRecords.size());
  for (const auto& record : aRecords) {
    values.push_back(
      { dispatch::EndRecordKey(record), codec::EncodeEndRecord(record) });
  }
  journal::AppendConditions conditions;
  conditions.timeout = aConditions.timeout;
  conditions.isRepeat = aConditions.isRepeat;
  this->log.Append(
    { std::string(dispatch::kEndTopic),
      dispatch::EndPartitionOf(aRecords.front().agent) },
    values,
    conditions,
    [handler = std::move(aHandler)](const base::Result<base::LogOffset>& aAt) {
      if (aAt.has_error()) {
        handler(base::failure(aAt.error()));
      } else {
        handler(base::success());
      }
    });
}

} // namespace amaranthwind::agent
