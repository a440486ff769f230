#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Ids.h"
#include "amaranthwind/base/Result.h"
#include "amaranthwind/job/Workflow.h"

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace amaranthwind::coordinator {

/**
 * Memory in bytes that a job may take in a scheduler until its records are
 * deleted: the job, its steps, and all of their tasks with their records.
 */
std::size_t
FootprintOf(const job::WorkflowSpec& aSpec);

/**
 * Limits the memory of all accepted jobs together, because each scheduler holds
 * all of them and a successor reads them all from the log.
 *
 * A client account may use up to kAccountShare times what is free, counted as
 * if the job were accepted: one account alone gets two thirds of the limit, and
 * whatever some accounts use, others still find room. This is the dynamic
 * threshold of Choudhury and Hahne ("Dynamic queue length thresholds for
 * shared-memory packet switches", IEEE/ACM Transactions on Networking 6 (2),
 * 1998).
 *
 * Schedulers accept jobs at the same time and learn of each other's from the
 * log a little later. What one of them has accepted and not read yet is
 * therefore limited to a small part. Thread-safe.
 */
class WorkBudget
{
public:
  /** @param aLimit In bytes, see FootprintOf(). */
  WorkBudget(const base::Clock& aClock, std::size_t aLimit);

  /**
   * Reserves room for a job that is about to be submitted; does nothing if the
   * job is known. Errors: TooLarge (it would not fit if there were no other
   * job), QueueFull (it does not fit now).
   */
  base::Result<void> Reserve(const job::WorkflowSpec& aSpec);
  /** As Reserve() for a job that has its room, because others were accepted. */
  base::Result<void> Check(const base::JobId& aJob);
  /**
   * A submission has ended. If the job may be in the log, its room stays
   * reserved until it is read or a time has passed.
   * @return Whether the job may be in the log, or may still get there, by this
   * or another submission of it.
   */
  bool OnSubmitted(const base::JobId& aJob, bool aMayBeInLog);

  /** The job was read from the log. */
  void OnJob(const base::JobId& aJob, const job::WorkflowSpec& aSpec);
  /** The records of the job were deleted. */
  void OnForgotten(const base::JobId& aJob);

  /** Whether the job was read from the log and not deleted since. */
  bool WasRead(const base::JobId& aJob) const;
  /** Bytes of all jobs that are known or being submitted. */
  std::size_t Used() const;

private:
  struct Entry
  {
    base::AccountId account;
    std::size_t bytes = 0;
    bool isReserved = false;
    /** Submissions under way. */
    std::uint32_t submissions = 0;
    /** Until then, an append without an answer may take effect. */
    std::optional<base::TimePoint> mayAppearUntil;
  };

  base::Result<void> CheckRoom(const base::AccountId& aAccount,
                               std::size_t aBytes) const;
  void Add(const base::JobId& aJob, Entry aEntry);
  void Remove(const base::JobId& aJob);
  void RemoveExpired();

  const base::Clock& clock;
  const std::size_t limit;
  mutable std::mutex mutex;
  std::unordered_map<base::JobId, Entry> jobs;
  std::unordered_map<base::AccountId, std::size_t> usedBy;
  std::size_t used = 0;
  std::size_t reserved = 0;
  /** Jobs that were not read from the log yet. */
  std::unordered_set<base::JobId> reservations;
};

} // namespace amaranthwind::coordinator
