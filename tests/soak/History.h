#pragma once

#include "standins/PlatformWorker.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace amaranthwind::soak {

/** Requests that a caller sent for a job and the responses, without times. */
struct JobRecord
{
  std::size_t tasks = 0;
  std::uint32_t accelerators = 0;
  /** A submission returned 200. */
  bool isAccepted = false;
  /** All tasks form one gang. */
  bool isGang = false;
  /** A submission got no response, or one that does not tell its outcome. */
  bool hasUnknownOutcome = false;
  bool wasCancelSent = false;
  /** A cancellation returned 410 although no submission returned 200. */
  bool wasCancelledAsUnknown = false;
  /** Another state than "cancelled" after that. */
  bool wasRevived = false;
  bool wasReportedCompleted = false;
  bool wasReportedFailed = false;
  /** Status 410 after the job was accepted. */
  bool wasReportedMissing = false;
};

/** Job records by job id, as observed by the callers. Thread-safe. */
class CallerHistory
{
public:
  template<typename Change>
  void Update(const std::string& aJob, Change aChange)
  {
    std::lock_guard lock(this->mutex);
    aChange(this->jobs[aJob]);
  }
  std::size_t AcceptedJobs() const
  {
    std::lock_guard lock(this->mutex);
    std::size_t accepted = 0;
    for (const auto& [id, job] : this->jobs) {
      accepted += job.isAccepted ? 1 : 0;
    }
    return accepted;
  }
  std::map<std::string, JobRecord> Jobs() const
  {
    std::lock_guard lock(this->mutex);
    return this->jobs;
  }

private:
  mutable std::mutex mutex;
  std::map<std::string, JobRecord> jobs;
};

/**
 * Compares the responses to callers with the workers' histories. Returns one
 * line for each violation of these invariants:
 * - a task has no two concurrent runs, and neither it nor its gang runs after a
 *   successful end was acknowledged, or listed for long enough to count;
 * - no task runs of a job whose submissions were all refused;
 * - a job is reported as completed only if all its tasks are done, and every
 *   job that was accepted and not cancelled is reported as completed;
 * - an accepted job is never reported as missing;
 * - a job that was cancelled as unknown never runs afterwards;
 * - the tasks on a worker never use more accelerators than it has.
 */
std::vector<std::string>
FindViolations(
  const std::map<std::string, JobRecord>& aJobs,
  std::span<const std::vector<standins::PlatformWorker::HistoryEntry>>
    aWorkers);

} // namespace amaranthwind::soak
