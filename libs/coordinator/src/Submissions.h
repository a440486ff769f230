#pragma once

#include "amaranthwind/base/Executor.h"
#include "amaranthwind/coordinator/JobService.h"
#include "amaranthwind/journal/KeyedLog.h"

#include <string>

namespace amaranthwind::coordinator {

/**
 * Appends records on behalf of callers. The records are idempotent, so an
 * append that is not confirmed is retried until the caller's timeout.
 * Thread-safe.
 */
class Submissions
{
public:
  Submissions(const base::Clock& aClock,
              base::Executor& aExecutor,
              journal::KeyedLog& aLog);

  /**
   * Errors: LogUnavailable (not appended), AppendUnconfirmed (may have been
   * appended), TooLarge.
   */
  void Append(journal::KeyedValue aRecord,
              base::Duration aTimeout,
              DoneHandler aHandler);

private:
  struct Attempt;
  void AppendOnce(const std::shared_ptr<Attempt>& aAttempt);

  const base::Clock& clock;
  base::Executor& executor;
  journal::KeyedLog& log;
};

} // namespace amaranthwind::coordinator
