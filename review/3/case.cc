// A work item that lasts uses one accelerator. A large gang then waits for the
// worker that it is on, and small jobs that come after it wait as well, though
// almost the whole service is idle.
#include "Rig.h"

#include <algorithm>

using namespace rig;

namespace {

constexpr unsigned kSmallJobs = 6;
constexpr std::int64_t kFinishMs = 14'000;
/** How long the small jobs are looked at after that. */
constexpr std::int64_t kLookMs = 30'000;

Result
Script(Deployment& deployment)
{
  Record& record = deployment.record;
  if (!deployment.Start() ||
      !deployment.Submit(0,
                         JobId(1),
                         R"({"spec":"work=600000","steps":[{"count":1,)"
                         R"("cpu":2000,"mem-mb":4096,"gpu":1,)"
                         R"("long-running":true}]})")) {
    return CouldNotRun;
  }
  SleepMs(1000);
  if (!IsCalm() &&
      !deployment.Submit(1,
                         JobId(2),
                         R"({"spec":"work=8500 gang=3","steps":[{"count":3,)"
                         R"("cpu":26000,"mem-mb":140000,"gpu":8,)"
                         R"("estimate-ms":8500,"gang":true}]})")) {
    return CouldNotRun;
  }
  for (unsigned i = 0; i < kSmallJobs; ++i) {
    SleepMs(300);
    if (!deployment.Submit(i % 3,
                           JobId(10 + i),
                           R"({"spec":"work=2500","steps":[{"count":1,)"
                           R"("cpu":7500,"mem-mb":22000,"gpu":1,)"
                           R"("estimate-ms":2500}]})")) {
      return CouldNotRun;
    }
  }
  const std::int64_t trafficEnd = Now();
  std::int64_t idleSince = -1;
  std::int64_t longestIdle = 0;
  while (Now() < trafficEnd + kFinishMs + kLookMs) {
    int completed = 0;
    for (unsigned i = 0; i < kSmallJobs; ++i) {
      completed +=
        deployment.State(i % 3, JobId(10 + i)) == "completed" ? 1 : 0;
    }
    const auto events = deployment.fleet.Events();
    const auto starts = std::count_if(
      events.begin(), events.end(), [](const WorkerEvent& aEvent) {
        return aEvent.kind == "start" && !aEvent.task.starts_with(JobId(1)) &&
               !aEvent.task.starts_with(JobId(2));
      });
    record.Write("small jobs completed: " + std::to_string(completed) +
                 ", their starts: " + std::to_string(starts) + " of " +
                 std::to_string(kSmallJobs) + ", work items running: " +
                 std::to_string(deployment.fleet.Running()));
    if (completed == static_cast<int>(kSmallJobs)) {
      return Held;
    }
    // One of 24 accelerators is in use while a job has not begun.
    const bool isIdle = Now() >= trafficEnd + kFinishMs &&
                        starts < static_cast<std::int64_t>(kSmallJobs) &&
                        deployment.fleet.Running() == 1;
    idleSince = !isIdle ? -1 : idleSince < 0 ? Now() : idleSince;
    if (isIdle) {
      longestIdle = std::max(longestIdle, Now() - idleSince);
    }
    SleepMs(500);
  }
  record.Write(
    "longest time with idle capacity and a job that has not begun: " +
    std::to_string(longestIdle) + " ms; the bound is 3000");
  return longestIdle >= 3000 ? Broken : CouldNotRun;
}

} // namespace

int
main(int, char** argv)
{
  RunScript(argv[1], 3, 3, Script);
}
