#pragma once

#include "RecordForwarder.h"
#include "amaranthwind/base/Executor.h"
#include "amaranthwind/coordinator/JobService.h"
#include "amaranthwind/journal/KeyedLog.h"
#include "amaranthwind/telemetry/Metrics.h"

#include <string>

namespace amaranthwind::coordinator {

/** Appends records together with those of the coordinator. */
class SharedAppender
{
public:
  virtual ~SharedAppender() = default;
  /**
   * Must be called on the executor. The result is NotAppended at once if there
   * is no coordinator.
   */
  virtual void AppendShared(journal::KeyedValue aRecord,
                            base::Duration aTimeout,
                            AppendHandler aHandler) = 0;
  /**
   * Whether the entry may still append the record itself. Thread-safe. Errors:
   * QueueFull.
   */
  virtual base::Result<void> CheckAlone(const journal::KeyedValue& aRecord) = 0;
};

/**
 * Appends records on behalf of callers: through the coordinator if possible,
 * otherwise by an append of their own. The records are idempotent, so an append
 * that is not confirmed is repeated until the caller's timeout. Thread-safe.
 */
class Submissions
{
public:
  /**
   * @param aTimerExecutor Not delayed by the decisions that aExecutor makes.
   */
  Submissions(const base::Clock& aClock,
              base::Executor& aExecutor,
              base::Executor& aTimerExecutor,
              journal::KeyedLog& aLog,
              SharedAppender& aShared,
              telemetry::Metrics& aMetrics);

  /**
   * Errors: LogUnavailable (not appended), AppendUnconfirmed (may have been
   * appended), TooLarge, those of SharedAppender::CheckAlone().
   */
  void Append(journal::KeyedValue aRecord,
              base::Duration aTimeout,
              DoneHandler aHandler);

private:
  struct Attempt;
  void AppendAlone(const std::shared_ptr<Attempt>& aAttempt);
  void AppendOnce(const std::shared_ptr<Attempt>& aAttempt);

  const base::Clock& clock;
  base::Executor& executor;
  base::Executor& timerExecutor;
  journal::KeyedLog& log;
  SharedAppender& shared;
  telemetry::Counter sharedRecords;
  telemetry::Counter ownRecords;
};

} // namespace amaranthwind::coordinator
