#pragma once

#include "amaranthwind/base/Error.h"
#include "amaranthwind/journal/KeyedLog.h"
#include "amaranthwind/ledger/Records.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace amaranthwind::ledger {

enum class JobPhase : std::uint8_t
{
  Pending, // No task has begun to run yet.
  Running,
  Completed,
  Failed,
  Cancelled,
};

/** State of a job, derived from its records. */
struct JobEntry
{
  std::shared_ptr<const job::WorkflowSpec> spec;
  /** Whether a record accepts the job, even one that could not be decoded. */
  bool isAccepted = false;
  /** Offset of the record that accepted the job; defines submission order. */
  base::LogOffset acceptedOffset;
  bool isCancelRequested = false;
  /** Account that cancelled the job; empty if it is not known. */
  base::AccountId cancelledBy;
  /** Whether a record says that a task has begun to run. */
  bool hasBegunRecord = false;
  /** Keyed by occurrence and step; only steps that have a record. */
  std::map<std::pair<std::uint32_t, std::uint32_t>, StepRecord> steps;

  JobPhase Phase() const;
  /**
   * Whether a task is known to have begun to run; one that is placed may still
   * be refused by its worker.
   */
  bool HasBegun() const;
  /** The job was cancelled, and no record accepts it (yet). */
  bool IsEarlyCancellation() const noexcept
  {
    return this->isCancelRequested && !this->isAccepted &&
           !this->hasBegunRecord && this->steps.empty();
  }
};

/** A record that could not be decoded. */
struct UndecodableRecord
{
  std::string key;
  base::LogOffset offset;
  base::Error error;
};

/** Jobs whose state may have changed, and records that failed to decode. */
struct TableChanges
{
  std::vector<base::JobId> jobs;
  std::vector<UndecodableRecord> undecodable;
};

/**
 * Materializes the records of the job topic into a table of jobs. A record that
 * cannot be decoded is reported and changes nothing. Not thread-safe.
 */
class JobTable
{
public:
  explicit JobTable(const RecordCodec& aCodec);

  /** Replaces the contents; reports jobs that were changed or removed. */
  TableChanges Load(std::span<const journal::KeyedRecord> aNewest);
  /** Applies further records; ones that are already applied have no effect. */
  TableChanges Apply(std::span<const journal::KeyedRecord> aRecords);

  /** Returns null if the job is unknown. */
  const JobEntry* Find(const base::JobId& aJob) const;
  /** Visits the jobs in unspecified order. */
  void ForEach(const std::function<void(const base::JobId&, const JobEntry&)>&
                 aVisit) const;
  /** Returns null if the job is accepted or was not cancelled. */
  const JobEntry* FindEarlyCancellation(const base::JobId& aJob) const;
  /**
   * Visits the cancellations of jobs that no record accepts. An append of the
   * job may still take effect.
   */
  void ForEachEarlyCancellation(
    const std::function<void(const base::JobId&, const JobEntry&)>& aVisit)
    const;
  /**
   * Visits what was left behind when the deletion of a job was interrupted.
   */
  void ForEachOrphan(const std::function<void(const base::JobId&,
                                              const JobEntry&)>& aVisit) const;
  std::size_t Size() const noexcept { return this->jobs.size(); }

private:
  using Jobs = std::unordered_map<base::JobId, JobEntry>;

  std::optional<base::Error> ApplyRecord(const journal::KeyedRecord& aRecord);
  std::optional<base::Error> ApplyAccepted(const base::JobId& aJob,
                                           const journal::KeyedRecord& aRecord);
  void ApplyBegun(const base::JobId& aJob, const journal::KeyedRecord& aRecord);
  /** Erases the entry if no record is left that it was made from. */
  void EraseIfEmpty(Jobs::iterator aEntry);
  std::optional<base::Error> ApplyStep(const job::StepId& aStep,
                                       const journal::KeyedRecord& aRecord);

  const RecordCodec& codec;
  Jobs jobs;
};

} // namespace amaranthwind::ledger
