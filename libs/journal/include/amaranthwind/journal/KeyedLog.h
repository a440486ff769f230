#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Ids.h"
#include "amaranthwind/base/Result.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthwind::journal {

/** One partition of a topic whose records have keys. */
struct KeyedTopic
{
  std::string name;
  std::uint32_t partition = 0;

  bool operator==(const KeyedTopic&) const = default;
};

/** A record to append; an empty value drops the key. */
struct KeyedValue
{
  std::string key;
  std::string value;

  bool operator==(const KeyedValue&) const = default;
};

/** A record as the log keeps it. */
struct KeyedRecord
{
  base::LogOffset offset;
  std::string key;
  /** Empty: the key was dropped. */
  std::string value;

  bool operator==(const KeyedRecord&) const = default;
};

/**
 * Place of an append in the sequence of one producer. The log refuses epochs
 * below the highest that it has seen of the producer, and answers a repeat of
 * a recent sequence number as it did the first time.
 */
struct ProducerStamp
{
  std::string producer;
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
};

struct AppendConditions
{
  /** The partition must end here. */
  std::optional<base::LogOffset> expectedEnd;
  std::optional<ProducerStamp> stamp;
};

struct KeyedBatch
{
  std::vector<KeyedRecord> records;
  /** Lowest offset that the log still keeps. */
  base::LogOffset first;
  /** Offset that the next record will have. */
  base::LogOffset end;
};

struct NewestPage
{
  /** In any order. */
  std::vector<KeyedRecord> records;
  /** More keys follow behind the last one. */
  bool hasMore = false;
  base::LogOffset end;
};

using KeyedAppendHandler = std::function<void(base::Result<base::LogOffset>)>;
using KeyedReadHandler = std::function<void(base::Result<KeyedBatch>)>;
using NewestHandler = std::function<void(base::Result<NewestPage>)>;

/**
 * The platform's log, with topics that keep the newest record of each key.
 * Thread-safe. Handlers are called once, on any thread.
 */
class KeyedLog
{
public:
  virtual ~KeyedLog() = default;

  /**
   * Appends all records or none and gives the offset of the first. No records
   * with a stamp only raise the producer's epoch. Errors: LogUnavailable (not
   * appended), AppendUnconfirmed (may be appended now or later),
   * AppendConflict (the end is another one), StaleToken (of the epoch),
   * OutOfRange (the sequence number does not follow), TooLarge.
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
   * The newest record of each key behind aAfterKey. Pages are no snapshot.
   * Errors: LogUnavailable.
   */
  virtual void ReadNewest(const KeyedTopic& aTopic,
                          std::string_view aAfterKey,
                          NewestHandler aHandler) = 0;
};

} // namespace amaranthwind::journal
