#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Ids.h"
#include "amaranthwind/base/Result.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthwind::journal {

/** One partition of a topic with keyed records. */
struct KeyedTopic
{
  std::string name;
  std::uint32_t partition = 0;

  bool operator==(const KeyedTopic&) const = default;
};

/** A record to append; an empty value deletes the key. */
struct KeyedValue
{
  std::string key;
  std::string value;

  bool operator==(const KeyedValue&) const = default;
};

/** Allowance for what a log adds to the key and the value of a record. */
inline constexpr std::size_t kRecordOverheadBytes = 16;

/** Upper bound of the size that a record takes in an append. */
inline std::size_t
SizeOf(const KeyedValue& aRecord) noexcept
{
  return aRecord.key.size() + aRecord.value.size() + kRecordOverheadBytes;
}

/** Largest sizes that a log takes, as SizeOf() counts them. */
struct SizeLimits
{
  std::size_t recordBytes = 256UL * 1024;
  /** Of all records of one append. */
  std::size_t appendBytes = 2UL * 1024 * 1024;

  bool operator==(const SizeLimits&) const = default;
};

/** A record as stored in the log. */
struct KeyedRecord
{
  base::LogOffset offset;
  std::string key;
  /** Empty if the key was deleted. */
  std::string value;

  bool operator==(const KeyedRecord&) const = default;
};

/**
 * Epoch and sequence number of an append by one producer. The log rejects
 * epochs lower than the highest one of the producer, and answers a repeated
 * recent sequence number with the original result.
 */
struct ProducerStamp
{
  std::string producer;
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
};

/** Usual time limit for the answer to an append. */
inline constexpr base::Duration kAppendTimeout = std::chrono::milliseconds(700);

struct AppendConditions
{
  /** Required end offset of the partition. */
  std::optional<base::LogOffset> expectedEnd;
  std::optional<ProducerStamp> stamp;
  /** Without an answer for this long, the result is AppendUnconfirmed. */
  base::Duration timeout = kAppendTimeout;
  /**
   * The append was sent before and has not been answered: its connection, and
   * others of that time, may be dead.
   */
  bool isRepeat = false;
};

struct KeyedBatch
{
  std::vector<KeyedRecord> records;
  /** Lowest offset retained by the log. */
  base::LogOffset first;
  /** Offset of the next record to be appended. */
  base::LogOffset end;
};

struct NewestPage
{
  /** In any order. */
  std::vector<KeyedRecord> records;
  /** Whether more keys follow the last one. */
  bool hasMore = false;
  base::LogOffset end;
};

using KeyedAppendHandler = std::function<void(base::Result<base::LogOffset>)>;
using KeyedReadHandler = std::function<void(base::Result<KeyedBatch>)>;
using NewestHandler = std::function<void(base::Result<NewestPage>)>;

/**
 * Client of the platform's log, whose topics retain the newest record of each
 * key. Thread-safe. Handlers are called exactly once, on any thread.
 */
class KeyedLog
{
public:
  virtual ~KeyedLog() = default;

  /** Larger records and appends are refused with TooLarge. */
  virtual SizeLimits Limits() const = 0;

  /**
   * Appends all records or none and returns the offset of the first. An empty
   * append with a stamp only raises the producer's epoch. Errors:
   * LogUnavailable (not appended), AppendUnconfirmed (may be appended now or
   * later), AppendConflict (the end differs from expectedEnd), StaleToken (the
   * epoch is too low), OutOfRange (the sequence number is out of order),
   * TooLarge.
   */
  virtual void Append(const KeyedTopic& aTopic,
                      std::span<const KeyedValue> aRecords,
                      const AppendConditions& aConditions,
                      KeyedAppendHandler aHandler) = 0;

  /**
   * Reads from aFrom on; at the end, waits up to aWait for a record. Errors:
   * LogUnavailable, OffsetExpired (records from aFrom on were dropped).
   */
  virtual void Read(const KeyedTopic& aTopic,
                    base::LogOffset aFrom,
                    base::Duration aWait,
                    KeyedReadHandler aHandler) = 0;

  /**
   * When the newest request was sent that has been answered. If later requests
   * than an append are answered, its answer was lost, or its partition is busy;
   * if none is, the whole log is slow or down.
   */
  virtual base::TimePoint AnsweredAsOf() const = 0;

  /**
   * Reads the newest record of each key after aAfterKey. Pages do not form a
   * consistent snapshot.
   * Errors: LogUnavailable.
   */
  virtual void ReadNewest(const KeyedTopic& aTopic,
                          std::string_view aAfterKey,
                          NewestHandler aHandler) = 0;
};

} // namespace amaranthwind::journal
