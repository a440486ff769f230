// Jobs of many small work items wait until a gang that fills all workers has
// ended. What is placed then is written as one append, which has to stay below
// `request-bytes` of the log.
#include "Rig.h"

#include <algorithm>

using namespace rig;

namespace {

constexpr std::int64_t kGangMs = 12'000;
constexpr std::int64_t kIntervalMs = 850;
/** As on the users' sites: at most 2.7 times the traffic. */
constexpr double kBurst = 2.7;
constexpr std::int64_t kBurstMs = 5000;
constexpr std::int64_t kFinishMs = 14'000;
/** Without the burst, all jobs are given this time to complete. */
constexpr std::int64_t kCalmMs = 70'000;

bool
IsBurst(std::int64_t aSince)
{
  return !IsCalm() && ((aSince >= 500 && aSince < 500 + kBurstMs) ||
                       (aSince >= 6000 && aSince < 6000 + kBurstMs));
}

Result
Script(Deployment& deployment)
{
  Record& record = deployment.record;
  deployment.fleet.recordsRuns = false;
  if (!deployment.Start() ||
      !deployment.Submit(0,
                         JobId(1),
                         "{\"spec\":\"work=" + std::to_string(kGangMs) +
                           " gang=11\",\"steps\":[{\"count\":11,\"cpu\":64000,"
                           "\"mem-mb\":200000,\"gpu\":8,\"estimate-ms\":" +
                           std::to_string(kGangMs) + ",\"gang\":true}]}")) {
    return CouldNotRun;
  }
  while (deployment.fleet.Running() < 11) {
    SleepMs(10);
  }
  const std::int64_t begin = Now();
  unsigned jobs = 1;
  while (Now() - begin < kGangMs - 500) {
    ++jobs;
    if (!deployment.Submit(jobs % 3,
                           JobId(jobs),
                           R"({"spec":"work=500","steps":[{"count":1024,)"
                           R"("cpu":18,"mem-mb":40,"estimate-ms":500}]})")) {
      return CouldNotRun;
    }
    SleepMs(IsBurst(Now() - begin)
              ? static_cast<std::int64_t>(kIntervalMs / kBurst)
              : kIntervalMs);
  }
  const std::int64_t trafficEnd = Now();
  record.Write("accepted " + std::to_string(jobs - 1) +
               " jobs of 1,024 work items");
  // Over the last 3 s: nothing of the jobs runs though all workers are idle.
  std::int64_t idleSince = -1;
  std::int64_t longestIdle = 0;
  int completed = 0;
  const std::int64_t end = trafficEnd + (IsCalm() ? kCalmMs : kFinishMs + 4000);
  while (Now() < end) {
    completed = 0;
    for (unsigned i = 2; i <= jobs; ++i) {
      completed += deployment.State(i % 3, JobId(i)) == "completed" ? 1 : 0;
    }
    const std::size_t running = deployment.fleet.Running();
    record.Write("jobs completed: " + std::to_string(completed) +
                 ", work items running: " + std::to_string(running) +
                 ", appends refused as too large: " +
                 std::to_string(deployment.store.TooLarge()) +
                 ", largest append: " +
                 std::to_string(deployment.store.LargestAppend()) + " bytes");
    if (completed == static_cast<int>(jobs) - 1) {
      return Held;
    }
    if (Now() >= trafficEnd + kFinishMs && running == 0) {
      idleSince = idleSince < 0 ? Now() : idleSince;
      longestIdle = std::max(longestIdle, Now() - idleSince);
    } else {
      idleSince = -1;
    }
    SleepMs(500);
  }
  // What a job of one small work item meets now; for the record only.
  deployment.Submit(0,
                    JobId(jobs + 1),
                    R"({"spec":"work=500","steps":[{"count":1,"cpu":18,)"
                    R"("mem-mb":40,"estimate-ms":500}]})");
  SleepMs(3000);
  record.Write("a new small job is " + deployment.State(0, JobId(jobs + 1)));
  return longestIdle >= 3000 ? Broken : CouldNotRun;
}

} // namespace

int
main(int, char** argv)
{
  RunScript(argv[1], 3, 11, Script);
}
