#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Result.h"
#include "amaranthwind/journal/CellReplay.h"
#include "amaranthwind/journal/LogClient.h"
#include "amaranthwind/journal/Record.h"
#include "amaranthwind/journal/RecordCodec.h"

#include <optional>
#include <string>

namespace amaranthwind::journal {

/** Waits between two attempts of a writer to append. */
class RetryWaiter
{
public:
  virtual ~RetryWaiter() = default;
  /** Returns false if the writer must give up, for example at shutdown. */
  virtual bool Wait(base::Duration aTime) = 0;
};

struct AppendLimits
{
  base::Duration firstDelay = std::chrono::milliseconds(100);
  /** Upper bound of the delay, which doubles after each attempt. */
  base::Duration maxDelay = std::chrono::seconds(5);
  /** Time after which Append() gives up. */
  base::Duration giveUpAfter = std::chrono::seconds(30);
};

/** A record to append. Must be kept until the result of the append is known. */
struct AppendTask
{
  std::string stream;
  Record record;
  /**
   * Lower bound of the record's offset: the end of the log when it was made.
   */
  base::LogOffset from;
  /** Set for a record that is valid only in the newest epoch. */
  std::optional<Fence> fence;
  /** Whether an unconfirmed append may have taken effect. */
  bool mayBeInLog = false;
};

/**
 * Appends a record with retries and determines whether it is in the log. Calls
 * block and must be made on the log writer's thread. Not thread-safe.
 */
class Appender
{
public:
  /** The referenced objects must outlive the appender. */
  Appender(LogClient& aLog,
           const RecordCodec& aCodec,
           const base::Clock& aClock,
           RetryWaiter& aWaiter,
           AppendLimits aLimits = {});

  /**
   * Returns the offset of the first copy in the log. If the task has a fence,
   * all records up to that copy are read to verify that no newer epoch precedes
   * it.
   *
   * Errors: LogUnavailable (the record is not and will not be in the log),
   * StaleToken (it has no effect; subject: the writer of the newer epoch),
   * AppendUnconfirmed (it may be in the log: call again with the same task, or
   * consult a replay if the subject is "expired"), TooLarge, OffsetInvalid.
   */
  base::Result<base::LogOffset> Append(AppendTask& aTask);

private:
  struct Search
  {
    std::optional<base::LogOffset> found;
    /** Writer of a newer epoch that precedes the record. */
    std::optional<base::EntryId> newerEpoch;
  };

  /** Searches from aTask.from on, and advances it past the records read. */
  base::Result<Search> ReadBack(AppendTask& aTask);

  LogClient& log;
  const RecordCodec& codec;
  const base::Clock& clock;
  RetryWaiter& waiter;
  AppendLimits limits;
};

} // namespace amaranthwind::journal
