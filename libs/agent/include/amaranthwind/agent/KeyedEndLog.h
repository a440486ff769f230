#pragma once

#include "amaranthwind/agent/EndLog.h"
#include "amaranthwind/journal/KeyedLog.h"

namespace amaranthwind::agent {

/**
 * Log of ends in a topic of the platform's log. Its partitions have queues of
 * their own, so that these appends delay none of the coordinator's.
 * Thread-safe.
 */
class KeyedEndLog final : public EndLog
{
public:
  /** aLog must outlive this object. */
  explicit KeyedEndLog(journal::KeyedLog& aLog)
    : log(aLog)
  {
  }

  void Append(std::span<const dispatch::EndRecord> aRecords,
              const EndAppendConditions& aConditions,
              std::function<void(base::Result<void>)> aHandler) override;

private:
  journal::KeyedLog& log;
};

} // namespace amaranthwind::agent
