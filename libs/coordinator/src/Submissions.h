#pragma once

#include "amaranthwind/base/Executor.h"
#include "amaranthwind/coordinator/JobService.h"
#include "amaranthwind/journal/KeyedLog.h"

#include <string>

namespace amaranthwind::coordinator {

/**
 * Appends records of callers. Such a record may be appended more than once
 * without harm, so that an append without an answer is simply repeated until
 * the caller's time is over. Thread-safe.
 */
class Submissions
{
public:
  Submissions(const base::Clock& aClock,
              base::Executor& aExecutor,
              journal::KeyedLog& aLog);

  /**
   * Errors: LogUnavailable (certainly not appended), AppendUnconfirmed (may be
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
