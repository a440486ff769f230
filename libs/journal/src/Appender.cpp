#include "amaranthwind/journal/Appender.h"

#include "amaranthwind/journal/StreamReplay.h"

#include <algorithm>

namespace amaranthwind::journal {

using base::ErrorCode;
using base::Fail;

Appender::Appender(LogClient& aLog,
                   const RecordCodec& aCodec,
                   const base::Clock& aClock,
                   RetryWaiter& aWaiter,
                   AppendLimits aLimits)
  : log(aLog)
  , codec(aCodec)
  , clock(aClock)
  , waiter(aWaiter)
  , limits(aLimits)
{
}

base::Result<base::LogOffset>
Appender::Append(AppendTask& aTask)
{
  const base::TimePoint deadline = this->clock.Now() + this->limits.giveUpAfter;
  const std::vector<std::byte> payload = this->codec.Encode(aTask.record);
  base::Duration delay = this->limits.firstDelay;
  for (;;) {
    bool isAbsent = !aTask.mayBeInLog;
    if (aTask.mayBeInLog) {
      const auto search = this->ReadBack(aTask);
      if (search.has_value()) {
        if (search.value().newerEpoch) {
          return Fail(ErrorCode::StaleToken, search.value().newerEpoch->View());
        }
        if (search.value().found) {
          return *search.value().found;
        }
        isAbsent = true;
      } else if (search.error().code == ErrorCode::OffsetExpired) {
        return Fail(ErrorCode::AppendUnconfirmed, "expired");
      } else if (search.error().code != ErrorCode::LogUnavailable) {
        return search.as_failure();
      }
    }
    if (isAbsent) {
      const auto appended = this->log.Append(aTask.stream, payload);
      if (appended.has_value()) {
        if (!aTask.mayBeInLog && !aTask.fence) {
          return appended.value();
        }
        // An earlier copy may precede this one, or the fence must be checked;
        // both require reading the records up to this one.
        aTask.mayBeInLog = true;
        continue;
      }
      if (appended.error().code == ErrorCode::AppendUnconfirmed) {
        aTask.mayBeInLog = true;
      } else if (appended.error().code != ErrorCode::LogUnavailable) {
        return appended.as_failure();
      }
    }
    if (this->clock.Now() + delay > deadline || !this->waiter.Wait(delay)) {
      return Fail(aTask.mayBeInLog ? ErrorCode::AppendUnconfirmed
                                   : ErrorCode::LogUnavailable,
                  aTask.record.id.View());
    }
    delay = std::min(delay * 2, this->limits.maxDelay);
  }
}

base::Result<Appender::Search>
Appender::ReadBack(AppendTask& aTask)
{
  if (aTask.fence) {
    aTask.from = std::min(aTask.from, aTask.fence->checkedBelow);
  }
  for (;;) {
    BOOST_OUTCOME_TRY(const auto batch,
                      this->log.Read(aTask.stream, aTask.from, kReadBatchSize));
    for (const StoredRecord& stored : batch.records) {
      const auto record = this->codec.Decode(stored.payload);
      if (record.has_error()) {
        continue;
      }
      if (record.value().id == aTask.record.id) {
        return Search{ stored.offset, std::nullopt };
      }
      const auto* const epoch = std::get_if<EpochRecord>(&record.value().body);
      if (aTask.fence && epoch != nullptr &&
          std::find(aTask.fence->epochs.begin(),
                    aTask.fence->epochs.end(),
                    record.value().id) == aTask.fence->epochs.end()) {
        return Search{ std::nullopt, epoch->writer };
      }
    }
    if (!batch.records.empty()) {
      // A copy that is appended later follows the records read so far.
      aTask.from = base::LogOffset(batch.records.back().offset.Get() + 1);
      if (aTask.fence) {
        aTask.fence->checkedBelow = aTask.from;
      }
    }
    if (aTask.from >= batch.end) {
      return Search{};
    }
    if (batch.records.empty()) {
      return Fail(ErrorCode::LogUnavailable,
                  "empty read before the end of the log");
    }
  }
}

} // namespace amaranthwind::journal
