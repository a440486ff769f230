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

/** How a writer passes the time between two tries. */
class Waiter
{
public:
  virtual ~Waiter() = default;
  /** Returns false if the writer is to give up, for example at shutdown. */
  virtual bool Wait(base::Duration aTime) = 0;
};

struct AppendLimits
{
  base::Duration firstDelay = std::chrono::milliseconds(100);
  /** The delay doubles up to this. */
  base::Duration maxDelay = std::chrono::seconds(5);
  /** After this, Append() gives up. */
  base::Duration giveUpAfter = std::chrono::seconds(30);
};

/** One record on its way into the log. Kept until the result is known. */
struct AppendTask
{
  std::string stream;
  Record record;
  /** An offset that the record cannot be below: the end when it was made. */
  base::LogOffset from;
  /** Set for a record that counts only under the newest epoch. */
  std::optional<Fence> fence;
  /** Whether an append that was not confirmed may have taken effect. */
  bool mayBeInLog = false;
};

/**
 * Brings a record into the log and finds out whether it is there. Calls block;
 * they belong on the log writer's thread. Not thread-safe.
 */
class Appender
{
public:
  /** The arguments must outlive the appender. */
  Appender(LogClient& aLog,
           const RecordCodec& aCodec,
           const base::Clock& aClock,
           Waiter& aWaiter,
           AppendLimits aLimits = {});

  /**
   * Returns the offset of the first copy in the log. With a fence, the records
   * up to the copy are read, and no newer epoch stands before it.
   *
   * Errors: LogUnavailable (the record is not and will not be in the log),
   * StaleToken (it has no effect; subject: the writer of the newer epoch),
   * AppendUnconfirmed (it may be in the log: call again with the same task, or
   * ask a replay if the subject is "expired"), TooLarge, OffsetInvalid.
   */
  base::Result<base::LogOffset> Append(AppendTask& aTask);

private:
  struct Search
  {
    std::optional<base::LogOffset> found;
    /** Writer of a newer epoch that stands before the record. */
    std::optional<base::EntryId> newerEpoch;
  };

  /** Reads from aTask.from on, which rises past what was read. */
  base::Result<Search> ReadBack(AppendTask& aTask);

  LogClient& log;
  const RecordCodec& codec;
  const base::Clock& clock;
  Waiter& waiter;
  AppendLimits limits;
};

} // namespace amaranthwind::journal
