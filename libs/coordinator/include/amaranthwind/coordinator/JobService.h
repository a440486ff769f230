#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Ids.h"
#include "amaranthwind/base/Result.h"
#include "amaranthwind/coordinator/JobDirectory.h"
#include "amaranthwind/job/Workflow.h"

#include <cstdint>
#include <functional>

namespace amaranthwind::coordinator {

using DoneHandler = std::function<void(base::Result<void>)>;
using StatusHandler = std::function<void(base::Result<JobStatus>)>;

/**
 * What callers can do with jobs at any entry, whoever coordinates. Front ends
 * translate their protocols to it. Thread-safe; handlers are called once, on
 * any thread.
 */
class JobService
{
public:
  virtual ~JobService() = default;

  /**
   * Accepts the job durably; handing in a known id again changes nothing.
   * Errors: LogUnavailable (not accepted, and never will be from this call),
   * AppendUnconfirmed (it may have been accepted), TooLarge.
   */
  virtual void Submit(job::WorkflowSpec aSpec,
                      base::Duration aTimeout,
                      DoneHandler aHandler) = 0;

  /** Errors: UnknownJob, LogUnavailable, AppendUnconfirmed, NotReady. */
  virtual void Cancel(const base::JobId& aJob,
                      base::Duration aTimeout,
                      DoneHandler aHandler) = 0;

  /**
   * Errors: UnknownJob (there was no such job at the time of the call),
   * NotReady (the view may be too old to tell).
   */
  virtual void Find(const base::JobId& aJob, StatusHandler aHandler) = 0;

  /** Accepted jobs of the kind of which nothing has started. */
  virtual base::Result<std::uint32_t> Waiting(
    const base::WorkKindId& aKind) const = 0;
};

} // namespace amaranthwind::coordinator
