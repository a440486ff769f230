#pragma once

#include "amaranthwind/journal/RecordCodec.h"
#include "amaranthwind/journal/RecordIdWindow.h"
#include "amaranthwind/journal/StreamReplay.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace amaranthwind::journal {

/** Name of the stream of a cell: "cells/<zone>". */
std::string
CellStream(const base::ZoneId& aZone);

/**
 * Ended jobs that are remembered, so that a job id submitted again gets the
 * same answer. It is a number and not a time, since all readers must forget
 * the same jobs. A cell ends about 1,300 jobs a day at the planned size, so
 * this is three days.
 */
inline constexpr std::size_t kEndedJobsKept = 4096;

/** State of a cell; equal for all readers that have read equally far. */
struct CellState
{
  /** Of the newest epoch; empty before the first. */
  std::optional<base::FencingToken> token;
  /** Live jobs in the order of acceptance, then ended ones in that of end. */
  std::vector<JobState> jobs;

  bool operator==(const CellState&) const = default;
};

/** What a writer needs in order to check that its epoch is still the newest. */
struct Fence
{
  base::FencingToken token;
  /** All records below have been read and hold no newer epoch. */
  base::LogOffset checkedBelow;
  /** Epoch records of which a second copy means nothing. */
  std::vector<base::RecordId> epochs;
};

/**
 * The state of one cell from its stream. An epoch record voids every attempt
 * that is not decided: the number of the next attempt of each queued job rises,
 * so that no number stands for two attempts. A coordinator has therefore at
 * most one undecided attempt for each job, and records an abort before the
 * next.
 */
class CellReplay final : public StreamReplay
{
public:
  /** The codec must outlive the replay. */
  explicit CellReplay(const RecordCodec& aCodec,
                      std::size_t aEndedJobsKept = kEndedJobsKept);

  base::LogOffset NextOffset() const override { return this->next; }
  std::vector<ReplayedRecord> Consume(const ReadBatch& aBatch) override;
  void SkipTo(base::LogOffset aFirst) override;

  /** False while records that were not read are missing from the state. */
  bool IsComplete() const noexcept { return !this->hasGap; }

  /** Token of the newest epoch; empty before the first. */
  std::optional<base::FencingToken> Token() const noexcept
  {
    return this->token;
  }
  /** Empty if the epoch record had expired before this reader started. */
  const base::EntryId& Coordinator() const noexcept
  {
    return this->coordinator;
  }
  Fence MakeFence() const;

  /** Null if not known. Valid until the next call that is not const. */
  const JobState* Find(const base::JobId& aJob) const;
  /** Jobs that have not ended, in the order of acceptance. */
  std::vector<const JobState*> LiveJobs() const;
  /** In the order of end. */
  std::vector<const JobState*> EndedJobs() const;
  CellState State() const;

  AttemptFate FateOf(const job::GangId& aGang) const;
  /** Number for a new attempt of a known job. */
  static base::Attempt NextAttempt(const JobState& aJob) noexcept;

  /** Covered offset of the newest complete checkpoint that was read. */
  base::LogOffset NewestCheckpoint() const noexcept
  {
    return this->newestCheckpoint;
  }

private:
  struct Pending
  {
    base::LogOffset offset;
    Record record;
  };
  struct Slot
  {
    JobState job;
    /** Place among the live jobs, or among the ended ones. */
    std::uint64_t order = 0;
  };
  struct KnownEpoch
  {
    base::LogOffset offset;
    base::RecordId id;
    base::EntryId writer;
  };
  /** Chunks of one checkpoint. */
  struct Chunks
  {
    base::FencingToken token;
    base::LogOffset coversBelow;
    /** Behind a gap, the jobs; otherwise only whether the chunk was read. */
    std::vector<std::optional<std::vector<JobState>>> parts;
    std::size_t received;
  };
  struct Applier;

  void Read(const StoredRecord& aStored, std::vector<ReplayedRecord>& aReport);
  ReplayedRecord Apply(base::LogOffset aOffset, Record&& aRecord);
  base::Result<void> TakeChunk(base::LogOffset aOffset,
                               CheckpointRecord& aChunk);
  void TakeCheckpoint(Chunks&& aComplete);
  /** Closes the gap with the candidate and the records behind it. */
  void Load(std::vector<ReplayedRecord>& aReport);
  void VoidUndecided();
  std::uint32_t AddJob(JobState&& aJob);
  void EndJob(std::uint32_t aSlot, JobOutcome aOutcome);
  void ForgetOldest();
  JobState* FindLive(const base::JobId& aJob, std::uint32_t& aSlot);

  const RecordCodec& codec;
  std::size_t endedKept;
  RecordIdWindow ids;
  base::LogOffset next;
  base::LogOffset newestCheckpoint;
  std::optional<base::FencingToken> token;
  base::EntryId coordinator;
  std::deque<KnownEpoch> epochs;

  std::vector<Slot> slots;
  std::vector<std::uint32_t> freeSlots;
  std::unordered_map<base::JobId, std::uint32_t> slotOf;
  std::uint64_t nextOrder = 0;
  std::deque<std::uint32_t> endedSlots;

  bool hasGap = false;
  base::LogOffset usableFrom;
  /** Not complete yet. */
  std::optional<Chunks> chunks;
  /**
   * Newest complete checkpoint behind a gap. It is taken at the end of the log
   * and not before: the ids of the records in front of an old checkpoint may
   * have expired, so that a second copy behind it would not be recognised.
   */
  std::optional<Chunks> candidate;
  /** Records read behind a gap and not covered by the candidate. */
  std::deque<Pending> pending;
  /** Newest epoch read behind the gap. */
  std::optional<base::FencingToken> pendingToken;
};

} // namespace amaranthwind::journal
