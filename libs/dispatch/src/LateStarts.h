#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Ids.h"
#include "amaranthwind/job/TaskId.h"
#include "amaranthwind/ledger/Records.h"

#include <map>
#include <vector>

namespace amaranthwind::dispatch {

/**
 * Starts that workers may still carry out, by the id of the worker: those of
 * runs that were given up, which the worker may begin once it has a lease
 * again, and all starts to an earlier life, which may reach the next one under
 * its id. The agent that sent them may have been restarted and then knows
 * nothing of them.
 */
class LateStarts
{
public:
  /** A start is ordered on this life of a worker. */
  void OnOrdered(const ledger::WorkerIncarnation& aLife,
                 const job::TaskRun& aRun,
                 base::TimePoint aNow);
  /** The run on this life of a worker is given up without an end. */
  void OnGivenUp(const ledger::WorkerIncarnation& aLife,
                 const job::TaskRun& aRun,
                 base::TimePoint aNow);
  /**
   * Returns the runs whose start may still arrive at the given life and has to
   * be ruled out, and forgets them.
   */
  std::vector<job::TaskRun> Take(const ledger::WorkerIncarnation& aLife);
  /** Forgets the starts that cannot arrive any more. */
  void ForgetOld(base::TimePoint aNow);

private:
  struct LateStart
  {
    /** The life that the start was ordered on. */
    ledger::WorkerIncarnation life;
    base::TimePoint at{};
    bool isGivenUp = false;
  };

  std::map<base::TargetId, std::map<job::TaskRun, LateStart>> workers;
};

} // namespace amaranthwind::dispatch
