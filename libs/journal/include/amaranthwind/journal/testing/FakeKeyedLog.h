#pragma once

#include "amaranthwind/journal/KeyedLog.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace amaranthwind::journal::testing {

/**
 * In-memory log with fault injection. Calls handlers synchronously, except for
 * reads that wait. Not thread-safe.
 */
class FakeKeyedLog final : public KeyedLog
{
public:
  /** Every call fails without effect. */
  bool isDown = false;
  /** Appends take effect but fail with AppendUnconfirmed. */
  bool losesAnswers = false;
  /** Every read waits, also for records that exist. */
  bool holdsReads = false;
  /** Larger appends are refused with TooLarge. */
  std::size_t maxAppendBytes = SIZE_MAX;
  /** What Limits() says. */
  SizeLimits limits;
  /** Number of records per page of ReadNewest(). */
  std::size_t pageSize = 500;
  /** If above 0, each page of this number fails, counted over all loads. */
  int failingPages = 0;
  /** Maximum number of records that a read returns. */
  std::size_t maxBatch = SIZE_MAX;
  int appends = 0;
  int reads = 0;
  /** Size of the largest append, including those that were refused. */
  std::size_t largestAppend = 0;
  base::TimePoint answeredAsOf = base::TimePoint::max();

  struct Partition
  {
    std::vector<KeyedRecord> records;
    base::LogOffset first;
    std::map<std::string, KeyedRecord> newest;
    std::map<std::string, ProducerStamp> producers;
  };

  Partition& PartitionOf(const KeyedTopic& aTopic)
  {
    return this->partitions[{ aTopic.name, aTopic.partition }];
  }

  /** Drops all records so far, except the newest of each key. */
  void Compact(const KeyedTopic& aTopic)
  {
    Partition& partition = this->PartitionOf(aTopic);
    partition.first = EndOf(partition);
    this->FailWaitingReads(base::Error{ base::ErrorCode::OffsetExpired, {} });
  }

  /** Completes all waiting reads, as when their wait time expires. */
  void TimeOutWaitingReads()
  {
    for (auto& wait : std::exchange(this->waitingReads, {})) {
      wait.handler(this->ReadFrom(this->PartitionOf(wait.topic), wait.from));
    }
  }

  /** Fails all waiting reads. */
  void FailWaitingReads(const base::Error& aError)
  {
    for (auto& wait : std::exchange(this->waitingReads, {})) {
      wait.handler(base::failure(aError));
    }
  }

  std::size_t Waiting() const { return this->waitingReads.size(); }

  SizeLimits Limits() const override { return this->limits; }

  void Append(const KeyedTopic& aTopic,
              std::span<const KeyedValue> aRecords,
              const AppendConditions& aConditions,
              KeyedAppendHandler aHandler) override
  {
    ++this->appends;
    if (this->isDown) {
      aHandler(base::Fail(base::ErrorCode::LogUnavailable));
      return;
    }
    std::size_t bytes = 0;
    for (const auto& record : aRecords) {
      bytes += SizeOf(record);
    }
    this->largestAppend = std::max(this->largestAppend, bytes);
    if (bytes > this->maxAppendBytes) {
      aHandler(base::Fail(base::ErrorCode::TooLarge));
      return;
    }
    const auto result = this->AppendNow(aTopic, aRecords, aConditions);
    if (this->losesAnswers) {
      aHandler(base::Fail(base::ErrorCode::AppendUnconfirmed));
    } else {
      aHandler(result);
    }
  }

  void Read(const KeyedTopic& aTopic,
            base::LogOffset aFrom,
            base::Duration aWait,
            KeyedReadHandler aHandler) override
  {
    ++this->reads;
    Partition& partition = this->PartitionOf(aTopic);
    if (this->isDown) {
      aHandler(base::Fail(base::ErrorCode::LogUnavailable));
    } else if (aFrom < partition.first) {
      aHandler(base::Fail(base::ErrorCode::OffsetExpired));
    } else if (!this->holdsReads &&
               (aFrom < EndOf(partition) || aWait == base::Duration::zero())) {
      aHandler(this->ReadFrom(partition, aFrom));
    } else {
      this->waitingReads.push_back({ aTopic, aFrom, std::move(aHandler) });
    }
  }

  base::TimePoint AnsweredAsOf() const override { return this->answeredAsOf; }

  void ReadNewest(const KeyedTopic& aTopic,
                  std::string_view aAfterKey,
                  NewestHandler aHandler) override
  {
    const bool fails =
      this->failingPages > 0 && ++this->pages % this->failingPages == 0;
    if (this->isDown || fails) {
      aHandler(base::Fail(base::ErrorCode::LogUnavailable));
      return;
    }
    Partition& partition = this->PartitionOf(aTopic);
    NewestPage page;
    page.end = EndOf(partition);
    for (auto position = partition.newest.upper_bound(std::string(aAfterKey));
         position != partition.newest.end();
         ++position) {
      if (page.records.size() == this->pageSize) {
        page.hasMore = true;
        break;
      }
      page.records.push_back(position->second);
    }
    aHandler(std::move(page));
  }

private:
  struct WaitingRead
  {
    KeyedTopic topic;
    base::LogOffset from;
    KeyedReadHandler handler;
  };

  static base::LogOffset EndOf(const Partition& aPartition)
  {
    return base::LogOffset(aPartition.records.size());
  }

  KeyedBatch ReadFrom(const Partition& aPartition, base::LogOffset aFrom) const
  {
    KeyedBatch batch;
    batch.first = aPartition.first;
    batch.end = EndOf(aPartition);
    for (std::size_t i = aFrom.Get();
         i < aPartition.records.size() && batch.records.size() < this->maxBatch;
         ++i) {
      batch.records.push_back(aPartition.records[i]);
    }
    return batch;
  }

  base::Result<base::LogOffset> AppendNow(const KeyedTopic& aTopic,
                                          std::span<const KeyedValue> aRecords,
                                          const AppendConditions& aConditions)
  {
    Partition& partition = this->PartitionOf(aTopic);
    const base::LogOffset offset = EndOf(partition);
    if (aConditions.expectedEnd && *aConditions.expectedEnd != offset) {
      return base::Fail(base::ErrorCode::AppendConflict);
    }
    if (aConditions.stamp) {
      auto& known = partition.producers[aConditions.stamp->producer];
      if (aConditions.stamp->epoch < known.epoch) {
        return base::Fail(base::ErrorCode::StaleToken);
      }
      if (aConditions.stamp->epoch == known.epoch) {
        if (aConditions.stamp->sequence <= known.sequence) {
          return offset; // Repeated append; already done.
        }
        if (aConditions.stamp->sequence > known.sequence + 1) {
          return base::Fail(base::ErrorCode::OutOfRange);
        }
      }
      known = *aConditions.stamp;
    }
    for (const auto& value : aRecords) {
      const KeyedRecord record{ EndOf(partition), value.key, value.value };
      partition.records.push_back(record);
      if (value.value.empty()) {
        partition.newest.erase(value.key);
      } else {
        partition.newest[value.key] = record;
      }
    }
    std::vector<WaitingRead> ready;
    std::erase_if(this->waitingReads, [&](WaitingRead& aRead) {
      if (aRead.topic != aTopic) {
        return false;
      }
      ready.push_back(std::move(aRead));
      return true;
    });
    for (auto& wait : ready) {
      wait.handler(ReadFrom(partition, wait.from));
    }
    return offset;
  }

  int pages = 0;
  std::map<std::pair<std::string, std::uint32_t>, Partition> partitions;
  std::vector<WaitingRead> waitingReads;
};

} // namespace amaranthwind::journal::testing
