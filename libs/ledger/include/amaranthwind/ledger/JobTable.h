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
  Pending, // No task has been placed yet.
  Running,
  Completed,
  Failed,
  Cancelled,
};

/** A job as the records say. */
struct JobEntry
{
  std::shared_ptr<const job::WorkflowSpec> spec;
  /** Of the record that accepted it; gives the order of acceptance. */
  base::LogOffset acceptedOffset;
  bool isCancelRequested = false;
  /** By occurrence and step; only steps that have a record. */
  std::map<std::pair<std::uint32_t, std::uint32_t>, StepRecord> steps;

  JobPhase Phase() const;
};

/** A record that could not be used. */
struct BadRecord
{
  std::string key;
  base::LogOffset offset;
  base::Error error;
};

/** Jobs whose state may have changed, and records that could not be read. */
struct TableChanges
{
  std::vector<base::JobId> jobs;
  std::vector<BadRecord> bad;
};

/**
 * All jobs that the records of the job topic tell of. A record that cannot be
 * read changes nothing. Not thread-safe.
 */
class JobTable
{
public:
  explicit JobTable(const RecordCodec& aCodec);

  /** Replaces the contents; reports jobs that changed or are gone. */
  TableChanges Load(std::span<const journal::KeyedRecord> aNewest);
  /** Records at offsets that are known already change nothing. */
  TableChanges Apply(std::span<const journal::KeyedRecord> aRecords);

  /** Null if the job is not known. */
  const JobEntry* Find(const base::JobId& aJob) const;
  /** In no order. */
  void ForEach(const std::function<void(const base::JobId&, const JobEntry&)>&
                 aVisit) const;
  std::size_t Size() const noexcept { return this->jobs.size(); }

private:
  std::optional<base::Error> ApplyRecord(const journal::KeyedRecord& aRecord);
  std::optional<base::Error> ApplyAccepted(const base::JobId& aJob,
                                           const journal::KeyedRecord& aRecord);
  std::optional<base::Error> ApplyStep(const job::StepId& aStep,
                                       const journal::KeyedRecord& aRecord);

  const RecordCodec& codec;
  std::unordered_map<base::JobId, JobEntry> jobs;
};

} // namespace amaranthwind::ledger
