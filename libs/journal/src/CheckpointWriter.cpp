#include "amaranthwind/journal/CheckpointWriter.h"

#include <algorithm>
#include <string>
#include <utility>

namespace amaranthwind::journal {

namespace {

/**
 * A checkpoint every quarter of the retention time leaves three attempts before
 * the previous checkpoint expires.
 */
constexpr int kCheckpointsPerRetention = 4;

constexpr base::Duration kRetryDelay = std::chrono::minutes(1);

/** Estimated size of the numbers and field names of a job encoded as text. */
constexpr std::size_t kBytesPerJob = 512;
constexpr std::size_t kBytesPerMember = 8;

std::size_t
EstimateSize(const JobState& aJob)
{
  std::size_t size =
    kBytesPerJob + aJob.spec.payload.size() + aJob.spec.id.Text().size() +
    aJob.spec.account.Text().size() + aJob.spec.caller.Text().size() +
    aJob.spec.kind.Text().size() + aJob.spec.zone.Text().size();
  for (const base::TargetId& member : aJob.members) {
    size += kBytesPerMember + member.Text().size();
  }
  return size;
}

} // namespace

CheckpointSchedule::CheckpointSchedule(base::Duration aRetention,
                                       base::LogOffset aNewest,
                                       base::TimePoint aStart,
                                       base::Duration aDelay)
  : period(aRetention / kCheckpointsPerRetention)
  , delay(aDelay)
  , dueAt(aStart + aDelay)
  , newest(aNewest)
{
}

bool
CheckpointSchedule::IsDue(base::TimePoint aNow) const noexcept
{
  return aNow >= this->dueAt;
}

void
CheckpointSchedule::OnCheckpointRead(base::LogOffset aCovered,
                                     base::TimePoint aNow) noexcept
{
  if (aCovered > this->newest) {
    this->newest = aCovered;
    this->dueAt = aNow + this->period + this->delay;
  }
}

void
CheckpointSchedule::OnWriteFailed(base::TimePoint aNow) noexcept
{
  this->dueAt = std::max(this->dueAt, aNow + kRetryDelay);
}

std::vector<Record>
MakeCellCheckpoint(const CellReplay& aReplay,
                   base::RandomEngine& aRandom,
                   std::size_t aChunkBytes)
{
  std::vector<CheckpointRecord> chunks;
  std::size_t size = aChunkBytes;
  const auto add = [&](const JobState* aJob) {
    const std::size_t jobSize = EstimateSize(*aJob);
    if (size + jobSize > aChunkBytes) {
      chunks.emplace_back();
      size = 0;
    }
    size += jobSize;
    chunks.back().jobs.push_back(*aJob);
  };
  const auto live = aReplay.LiveJobs();
  const auto ended = aReplay.EndedJobs();
  std::for_each(live.begin(), live.end(), add);
  std::for_each(ended.begin(), ended.end(), add);
  if (chunks.empty()) {
    chunks.emplace_back();
  }
  std::vector<Record> records;
  records.reserve(chunks.size());
  for (std::size_t i = 0; i < chunks.size(); ++i) {
    CheckpointRecord& chunk = chunks[i];
    chunk.token = aReplay.Token().value_or(base::FencingToken());
    chunk.coversBelow = aReplay.NextOffset();
    chunk.index = static_cast<std::uint32_t>(i);
    chunk.count = static_cast<std::uint32_t>(chunks.size());
    records.push_back({ base::MakeRecordId(aRandom), std::move(chunk) });
  }
  return records;
}

Record
MakePolicyCheckpoint(const NoteReplay& aReplay, base::RandomEngine& aRandom)
{
  return { base::MakeRecordId(aRandom),
           PolicyCheckpointRecord{ aReplay.Current() } };
}

base::Result<void>
WriteCheckpoint(Appender& aAppender,
                std::string_view aStream,
                std::span<const Record> aRecords,
                base::LogOffset aFrom,
                const std::optional<Fence>& aFence)
{
  AppendTask task{ std::string(aStream), {}, aFrom, aFence, false };
  for (const Record& record : aRecords) {
    task.record = record;
    task.mayBeInLog = false;
    BOOST_OUTCOME_TRY(aAppender.Append(task));
  }
  return base::success();
}

} // namespace amaranthwind::journal
