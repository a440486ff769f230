#include "amaranthwind/coordinator/JobDirectory.h"

#include <functional>

namespace amaranthwind::coordinator {

JobDirectory::JobDirectory()
  : pendingCounts(std::make_unique<const Counts>())
{
  for (auto& shard : this->shards) {
    shard =
      std::make_unique<base::RcuCell<Shard>>(std::make_unique<const Shard>());
  }
}

const base::RcuCell<JobDirectory::Shard>&
JobDirectory::ShardOf(const base::JobId& aJob) const
{
  return *this->shards[std::hash<base::JobId>{}(aJob) % kShards];
}

std::optional<JobStatus>
JobDirectory::Find(const base::JobId& aJob) const
{
  const auto shard = this->ShardOf(aJob).Read();
  const auto found = shard->find(aJob);
  return found == shard->end() ? std::nullopt : std::optional(found->second);
}

std::uint32_t
JobDirectory::CountPending(const base::WorkKindId& aKind) const
{
  const auto counts = this->pendingCounts.Read();
  const auto found = counts->find(aKind);
  return found == counts->end() ? 0 : found->second;
}

void
JobDirectory::Publish(const base::JobId& aJob, std::optional<JobStatus> aStatus)
{
  const auto former = this->Find(aJob);
  if (former == aStatus) {
    return;
  }
  auto& cell = *this->shards[std::hash<base::JobId>{}(aJob) % kShards];
  auto next = std::make_unique<Shard>(*cell.Read());
  if (aStatus) {
    next->insert_or_assign(aJob, *aStatus);
  } else {
    next->erase(aJob);
  }
  cell.Publish(std::move(next));

  const auto isWaiting = [](const std::optional<JobStatus>& aJobStatus) {
    return aJobStatus && aJobStatus->phase == ledger::JobPhase::Pending;
  };
  if (isWaiting(former) == isWaiting(aStatus)) {
    return;
  }
  auto counts = std::make_unique<Counts>(*this->pendingCounts.Read());
  if (isWaiting(former)) {
    --(*counts)[former->kind];
  } else {
    ++(*counts)[aStatus->kind];
  }
  this->pendingCounts.Publish(std::move(counts));
}

} // namespace amaranthwind::coordinator
