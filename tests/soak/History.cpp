#include "soak/History.h"

#include <algorithm>
#include <optional>

namespace amaranthwind::soak {

using standins::PlatformWorker;
using RunEvent = PlatformWorker::RunEvent;
using Entry = PlatformWorker::HistoryEntry;

namespace {

constexpr std::uint32_t kWorkerAccelerators = 8;

std::string
GetJobId(const std::string& aTask)
{
  return aTask.substr(0, aTask.find('.'));
}

struct WorkerEvent
{
  Entry entry;
  std::size_t worker = 0;
};

std::vector<WorkerEvent>
MergeByTime(std::span<const std::vector<Entry>> aWorkers)
{
  std::vector<WorkerEvent> events;
  for (std::size_t worker = 0; worker < aWorkers.size(); ++worker) {
    for (const auto& entry : aWorkers[worker]) {
      events.push_back({ entry, worker });
    }
  }
  // At equal times an end is ordered before a start.
  std::stable_sort(events.begin(),
                   events.end(),
                   [](const WorkerEvent& aLeft, const WorkerEvent& aRight) {
                     return std::pair(aLeft.entry.at,
                                      aLeft.entry.runEvent == RunEvent::Start) <
                            std::pair(aRight.entry.at,
                                      aRight.entry.runEvent == RunEvent::Start);
                   });
  return events;
}

std::string
Describe(const WorkerEvent& aEvent)
{
  return aEvent.entry.task + "#" + std::to_string(aEvent.entry.run) +
         " on worker " + std::to_string(aEvent.worker);
}

} // namespace

std::vector<std::string>
FindViolations(const std::map<std::string, JobRecord>& aJobs,
               std::span<const std::vector<Entry>> aWorkers)
{
  std::vector<std::string> violations;
  const auto events = MergeByTime(aWorkers);
  /** Successful ends that count, as of any time, as worker and id. */
  std::set<std::pair<std::size_t, std::uint64_t>> acknowledgedEnds;
  for (const auto& event : events) {
    if (event.entry.runEvent == RunEvent::DoneAcknowledged ||
        event.entry.runEvent == RunEvent::DoneListed) {
      acknowledgedEnds.insert({ event.worker, event.entry.endId });
    }
  }
  std::map<std::string, std::size_t> activeRuns;
  /**
   * Tasks, and gangs by their jobs. Excludes ends that a crash discarded before
   * they counted.
   */
  std::set<std::string> acknowledgedTasks;
  std::set<std::string> finishedTasks;
  std::map<std::string, std::size_t> finishedTasksOfJob;
  std::vector<std::uint32_t> usedAccelerators(aWorkers.size());
  for (const auto& event : events) {
    const Entry& entry = event.entry;
    const auto job = aJobs.find(GetJobId(entry.task));
    const std::uint32_t accelerators =
      job == aJobs.end() ? 0 : job->second.accelerators;
    const std::string& unit =
      job != aJobs.end() && job->second.isGang ? job->first : entry.task;
    if (entry.runEvent == RunEvent::Start) {
      const bool mayHaveBeenAccepted =
        job != aJobs.end() &&
        (job->second.isAccepted || job->second.hasUnknownOutcome);
      if (!mayHaveBeenAccepted) {
        violations.push_back("refused job runs: " + Describe(event));
      }
      if (activeRuns[entry.task]++ > 0) {
        violations.push_back("two concurrent runs of a task: " +
                             Describe(event));
      }
      if (acknowledgedTasks.contains(unit)) {
        violations.push_back("task runs again after its acknowledged end: " +
                             Describe(event));
      }
      usedAccelerators[event.worker] += accelerators;
      if (usedAccelerators[event.worker] > kWorkerAccelerators) {
        violations.push_back("worker exceeds its accelerators: " +
                             Describe(event));
      }
    } else if (entry.runEvent != RunEvent::DoneAcknowledged &&
               entry.runEvent != RunEvent::DoneListed) {
      --activeRuns[entry.task];
      usedAccelerators[event.worker] -= accelerators;
      if (entry.runEvent == RunEvent::Done) {
        if (finishedTasks.insert(entry.task).second) {
          ++finishedTasksOfJob[GetJobId(entry.task)];
        }
        if (acknowledgedEnds.contains({ event.worker, entry.endId })) {
          acknowledgedTasks.insert(unit);
        }
      }
    }
  }
  for (const auto& [id, job] : aJobs) {
    if (job.wasReportedMissing) {
      violations.push_back("accepted job reported as missing: " + id);
    }
    if (job.wasRevived) {
      violations.push_back("job was accepted after it was cancelled: " + id);
    }
    if (job.wasReportedCompleted && finishedTasksOfJob[id] != job.tasks) {
      violations.push_back("job reported as completed with " +
                           std::to_string(finishedTasksOfJob[id]) + " of " +
                           std::to_string(job.tasks) + " tasks done: " + id);
    }
    if (job.wasReportedFailed) {
      violations.push_back("job reported as failed without a cause: " + id);
    }
    if (job.isAccepted && !job.wasCancelSent && !job.wasReportedCompleted) {
      violations.push_back("accepted job did not end: " + id);
    }
  }
  return violations;
}

} // namespace amaranthwind::soak
