#pragma once

#include "amaranthwind/base/Ids.h"
#include "amaranthwind/base/RcuCell.h"
#include "amaranthwind/ledger/JobTable.h"

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>

namespace amaranthwind::coordinator {

/** The state of a job that is visible to callers. */
struct JobStatus
{
  ledger::JobPhase phase = ledger::JobPhase::Pending;
  base::WorkKindId kind;

  bool operator==(const JobStatus&) const = default;
};

/**
 * State of all jobs for the request path, with lock-free reads. Updated by one
 * thread. Divided into shards, so that an update copies only a small part.
 */
class JobDirectory
{
public:
  JobDirectory();

  /** Returns nothing if the job is unknown. Thread-safe. */
  std::optional<JobStatus> Find(const base::JobId& aJob) const;
  /** Number of accepted jobs of the kind without any placed task. Thread-safe.
   */
  std::uint32_t CountPending(const base::WorkKindId& aKind) const;

  /** Sets the status; nothing removes the job. Not for concurrent callers. */
  void Publish(const base::JobId& aJob, std::optional<JobStatus> aStatus);

private:
  static constexpr std::size_t kShards = 64;
  using Shard = std::unordered_map<base::JobId, JobStatus>;
  using Counts = std::unordered_map<base::WorkKindId, std::uint32_t>;

  const base::RcuCell<Shard>& ShardOf(const base::JobId& aJob) const;

  std::array<std::unique_ptr<base::RcuCell<Shard>>, kShards> shards;
  base::RcuCell<Counts> pendingCounts;
};

} // namespace amaranthwind::coordinator
