#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Ids.h"
#include "amaranthwind/job/TaskId.h"

#include <map>
#include <set>

namespace amaranthwind::dispatch {

/**
 * Runs that were given up on workers that were lost, by the id of the worker.
 * The start of such a run may not have been answered, and the worker, or its
 * next life under the same id, may still carry it out when it has a lease
 * again. The agent that sent it may have been restarted and then knows nothing
 * of it.
 */
class GivenUpRuns
{
public:
  void Add(const base::TargetId& aWorker,
           const job::TaskRun& aRun,
           base::TimePoint aNow);
  /** Returns the runs of the worker and forgets them. */
  std::set<job::TaskRun> Take(const base::TargetId& aWorker);
  /** Forgets the runs whose starts cannot arrive any more. */
  void ForgetOld(base::TimePoint aNow);

private:
  std::map<base::TargetId, std::map<job::TaskRun, base::TimePoint>> workers;
};

} // namespace amaranthwind::dispatch
