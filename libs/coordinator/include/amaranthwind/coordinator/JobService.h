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
 * Job operations, available at any entry regardless of which one coordinates.
 * Front ends translate their protocols to this interface. Thread-safe; each
 * handler is called exactly once, on any thread.
 */
class JobService
{
public:
  virtual ~JobService() = default;

  /**
   * Accepts the job durably; submitting a known id again has no effect.
   * Errors: LogUnavailable (this call has not accepted the job and never will,
   * and no other that is known here may), AppendUnconfirmed (the job may have
   * been accepted, or an earlier call may still accept it), TooLarge, QueueFull
   * (too much work is accepted already; this job is not and never will be).
   */
  virtual void Submit(job::WorkflowSpec aSpec,
                      base::Duration aTimeout,
                      DoneHandler aHandler) = 0;

  /**
   * Once the handler was called with success or UnknownJob, the job never runs,
   * also if it is accepted later: an earlier call of Submit() may still take
   * effect.
   * @param aAccount Account of the caller.
   * Errors: UnknownJob (no such job is known, which is recorded),
   * LogUnavailable (not cancelled), AppendUnconfirmed (may have been
   * cancelled), NotReady, QueueFull (not cancelled; too many unknown jobs have
   * been cancelled).
   */
  virtual void Cancel(const base::JobId& aJob,
                      const base::AccountId& aAccount,
                      base::Duration aTimeout,
                      DoneHandler aHandler) = 0;

  /**
   * Errors: UnknownJob (the job did not exist at the time of the call),
   * NotReady (the local view may be too old to decide).
   */
  virtual void Find(const base::JobId& aJob, StatusHandler aHandler) = 0;

  /** Number of accepted jobs of the kind of which no task has begun to run. */
  virtual base::Result<std::uint32_t> CountPendingJobs(
    const base::WorkKindId& aKind) const = 0;
};

} // namespace amaranthwind::coordinator
