#include "EndRecords.h"

#include "amaranthwind/codec/EndRecordCodec.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace amaranthwind::coordinator {

using base::LogOffset;
using base::TimePoint;
using journal::KeyedRecord;
using namespace std::chrono_literals;

namespace {

/** The topic is empty most of the time, and urgent views are confirmed. */
constexpr base::Duration kReadWait = 10s;
/** Collects the deletions that share an append. */
constexpr base::Duration kDeletionInterval = 1s;
constexpr base::Duration kConfirmationRetryInterval = 100ms;
/**
 * Shortest time between two confirmations. When many workers are lost or refuse
 * their starts, a read for each would use up the log's rate of reads.
 */
constexpr base::Duration kMinConfirmationInterval = 100ms;
/** Longer than an append can wait in a log that refuses longer queues. */
constexpr base::Duration kAnswerTimeout = 4s;
/** Limit of the size of an append, so that it fits through a narrow link. */
constexpr std::size_t kMaxAppendBytes = 64UL * 1024;
/** Limit of what a log line contains of a record of unknown origin. */
constexpr std::size_t kMaxLoggedText = 64;

journal::KeyedTopic
EndTopic(std::uint32_t aPartition)
{
  return { std::string(dispatch::kEndTopic), aPartition };
}

} // namespace

EndRecordLog::EndRecordLog(telemetry::Logger& aLogger,
                           telemetry::Metrics& aMetrics)
  : logger(aLogger)
  , read(aMetrics.MakeCounter(
      { "end_records_read_total",
        "Records of ends by agents that the coordinator has read." }))
  , undecodable(
      aMetrics.MakeCounter({ "end_records_undecodable_total",
                             "Records of ends that could not be decoded." }))
  , deleted(aMetrics.MakeCounter(
      { "end_records_deleted_total",
        "Records of ends deleted since their ends are durable elsewhere." }))
{
}

void
EndRecordLog::OnRead(std::span<const ReadEndRecord> aRecords)
{
  std::size_t ends = 0;
  for (const auto& each : aRecords) {
    ends += each.record.ends.size();
  }
  this->read.Increment(static_cast<double>(aRecords.size()));
  this->logger.Info("recorded ends read",
                    { { "records", aRecords.size() },
                      { "ends", ends },
                      { "partition", aRecords.front().id.partition },
                      { "offset", aRecords.front().id.offset },
                      { "agent", aRecords.front().record.agent } });
}

void
EndRecordLog::OnUndecodable(std::size_t aCount,
                            const KeyedRecord& aFirst,
                            const base::Error& aError)
{
  this->undecodable.Increment(static_cast<double>(aCount));
  const std::string error = base::Describe(aError);
  this->logger.Warning(
    "failed to decode recorded ends",
    { { "records", aCount },
      { "key", std::string_view(aFirst.key).substr(0, kMaxLoggedText) },
      { "offset", aFirst.offset },
      { "error", std::string_view(error).substr(0, kMaxLoggedText) } });
}

void
EndRecordLog::OnDeleted(std::size_t aCount)
{
  this->deleted.Increment(static_cast<double>(aCount));
}

void
EndRecordLog::OnDeletionFailed(std::size_t aCount, const base::Error& aError)
{
  this->logger.Warning(
    "failed to delete recorded ends",
    { { "records", aCount }, { "error", base::Describe(aError) } });
}

void
EndRecordLog::OnUnavailable(std::uint32_t aPartition, const base::Error& aError)
{
  this->logger.Warning("log unavailable",
                       { { "topic", dispatch::kEndTopic },
                         { "partition", aPartition },
                         { "error", base::Describe(aError) } });
}

void
EndRecordLog::OnAvailable(std::uint32_t aPartition)
{
  this->logger.Info(
    "log available again",
    { { "topic", dispatch::kEndTopic }, { "partition", aPartition } });
}

EndRecords::EndRecords(std::uint32_t aPartition,
                       const base::Clock& aClock,
                       base::Executor& aExecutor,
                       journal::KeyedLog& aLog,
                       EndRecordLog& aRecordLog,
                       EndRecordObserver& aObserver)
  : partition(aPartition)
  , clock(aClock)
  , executor(aExecutor)
  , log(aLog)
  , recordLog(aRecordLog)
  , observer(aObserver)
  , deletionBackoff({ .first = kDeletionInterval, .max = 30s })
  , follower({ .topic = EndTopic(aPartition), .wait = kReadWait },
             aClock,
             aExecutor,
             aLog,
             *this)
{
  this->follower.Start();
}

EndRecords::~EndRecords()
{
  *this->isAlive = false;
  this->follower.Stop();
}

void
EndRecords::Begin()
{
  this->hasBegun = true;
  std::vector<KeyedRecord> records;
  for (auto& [key, record] : std::exchange(this->waiting, {})) {
    records.push_back(std::move(record));
  }
  std::sort(records.begin(),
            records.end(),
            [](const KeyedRecord& aLeft, const KeyedRecord& aRight) {
              return aLeft.offset < aRight.offset;
            });
  this->PassOn(records);
  this->PassOnView();
}

void
EndRecords::OnLoaded(std::span<const KeyedRecord> aNewest)
{
  // Also when the log has dropped records, perhaps deletions among them.
  this->waiting.clear();
  this->newest.clear();
  this->keys.clear();
  this->deletions.clear();
  this->OnRecords(aNewest);
}

void
EndRecords::OnRecords(std::span<const KeyedRecord> aRecords)
{
  if (this->hasBegun) {
    this->PassOn(aRecords);
    return;
  }
  for (const auto& record : aRecords) {
    if (record.value.empty()) {
      this->waiting.erase(record.key);
    } else {
      this->waiting.insert_or_assign(record.key, record);
    }
  }
}

void
EndRecords::ForgetNewest(const std::string& aKey)
{
  const auto found = this->newest.find(aKey);
  if (found != this->newest.end()) {
    this->keys.erase(found->second);
    this->newest.erase(found);
  }
  this->deletions.erase(aKey);
}

void
EndRecords::PassOn(std::span<const KeyedRecord> aRecords)
{
  std::vector<ReadEndRecord> decoded;
  std::size_t failures = 0;
  std::optional<base::Error> error;
  const KeyedRecord* undecodable = nullptr;
  for (const auto& record : aRecords) {
    this->ForgetNewest(record.key);
    if (record.value.empty()) {
      continue;
    }
    auto ends = codec::DecodeEndRecord(record.value);
    if (ends.has_error()) {
      if (failures++ == 0) {
        undecodable = &record;
        error = ends.error();
      }
      continue;
    }
    this->newest.emplace(record.key, record.offset);
    this->keys.emplace(record.offset, record.key);
    decoded.push_back(
      { { this->partition, record.offset }, std::move(ends.value()) });
  }
  if (undecodable != nullptr) {
    this->recordLog.OnUndecodable(failures, *undecodable, *error);
  }
  if (!decoded.empty()) {
    this->recordLog.OnRead(decoded);
    this->observer.OnRecordedEnds(decoded);
  }
}

void
EndRecords::OnCurrent(TimePoint aAsOf)
{
  if (aAsOf > this->confirmedAsOf) {
    this->confirmedAsOf = aAsOf;
    this->PassOnView();
  }
}

void
EndRecords::PassOnView()
{
  if (this->hasBegun && this->validFrom &&
      this->confirmedAsOf >= *this->validFrom) {
    this->observer.OnEndsConfirmed(this->partition, this->confirmedAsOf);
  }
}

void
EndRecords::OnUnavailable(const base::Error& aError)
{
  this->recordLog.OnUnavailable(this->partition, aError);
}

void
EndRecords::OnAvailable()
{
  this->recordLog.OnAvailable(this->partition);
}

void
EndRecords::Confirm()
{
  this->wantedAsOf = this->clock.Now();
  if (!this->validFrom) {
    this->validFrom = this->wantedAsOf;
  }
  this->SendConfirmation();
}

void
EndRecords::SendConfirmation()
{
  if (this->confirmedAsOf >= this->wantedAsOf ||
      std::exchange(this->isConfirming, true)) {
    return;
  }
  this->nextConfirmationAt = this->clock.Now() + kMinConfirmationInterval;
  this->follower.Confirm([this, alive = this->isAlive](bool aIsConfirmed) {
    if (!*alive) {
      return;
    }
    // Confirm() may have been called again after the read was sent.
    const base::Duration untilNext = std::max(
      this->nextConfirmationAt - this->clock.Now(), base::Duration::zero());
    this->RunAfter(aIsConfirmed ? untilNext : kConfirmationRetryInterval,
                   &EndRecords::RepeatConfirmation);
  });
}

void
EndRecords::RepeatConfirmation()
{
  this->isConfirming = false;
  this->SendConfirmation();
}

void
EndRecords::RunAfter(base::Duration aDelay, void (EndRecords::*aTask)())
{
  this->executor.RunAfter(aDelay, [this, alive = this->isAlive, aTask] {
    if (*alive) {
      (this->*aTask)();
    }
  });
}

void
EndRecords::Delete(LogOffset aOffset)
{
  const auto found = this->keys.find(aOffset);
  if (found == this->keys.end()) {
    return; // Deleted or replaced meanwhile.
  }
  this->deletions.insert_or_assign(found->second, aOffset);
  this->ScheduleDeletions(kDeletionInterval);
}

void
EndRecords::ScheduleDeletions(base::Duration aDelay)
{
  if (!this->deletions.empty() &&
      !std::exchange(this->isDeletionScheduled, true)) {
    this->RunAfter(aDelay, &EndRecords::SendDeletions);
  }
}

void
EndRecords::SendDeletions()
{
  std::map<std::string, LogOffset> sent;
  std::vector<journal::KeyedValue> records;
  const std::size_t maxBytes =
    std::min(kMaxAppendBytes, this->log.Limits().appendBytes);
  std::size_t bytes = 0;
  while (!this->deletions.empty()) {
    journal::KeyedValue record{ this->deletions.begin()->first, {} };
    bytes += journal::SizeOf(record);
    if (bytes > maxBytes && !records.empty()) {
      break;
    }
    records.push_back(std::move(record));
    sent.insert(this->deletions.extract(this->deletions.begin()));
  }
  if (records.empty()) {
    this->isDeletionScheduled = false;
    return;
  }
  this->log.Append(
    EndTopic(this->partition),
    records,
    { .expectedEnd = std::nullopt,
      .stamp = std::nullopt,
      .timeout = kAnswerTimeout },
    [this, alive = this->isAlive, &target = this->executor, sent](
      base::Result<LogOffset> aResult) {
      target.Post([this, alive, sent, result = std::move(aResult)] {
        if (*alive) {
          this->OnDeletionAnswer(sent, result);
        }
      });
    });
}

void
EndRecords::OnDeletionAnswer(const std::map<std::string, LogOffset>& aSent,
                             const base::Result<LogOffset>& aResult)
{
  this->isDeletionScheduled = false;
  if (aResult.has_value()) {
    this->deletionBackoff.Reset();
    this->recordLog.OnDeleted(aSent.size());
    this->ScheduleDeletions(kDeletionInterval);
    return;
  }
  this->recordLog.OnDeletionFailed(aSent.size(), aResult.error());
  for (const auto& [key, offset] : aSent) {
    const auto found = this->newest.find(key);
    if (found != this->newest.end() && found->second == offset) {
      this->deletions.emplace(key, offset);
    }
  }
  this->ScheduleDeletions(this->deletionBackoff.Next());
}

} // namespace amaranthwind::coordinator
