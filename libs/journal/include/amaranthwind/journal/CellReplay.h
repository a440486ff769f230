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

/** Returns the stream name of a cell, "cells/<zone>". */
std::string
CellStream(const base::ZoneId& aZone);

/**
 * Number of ended jobs that are retained, so that a repeated submission of a
 * job id gets the same answer. It is a count and not a duration because all
 * readers must evict the same jobs. At the planned size a cell ends about 1,300
 * jobs a day, so this covers three days.
 */
inline constexpr std::size_t kMaxEndedJobs = 4096;

/** State of a cell; equal for all readers at the same offset. */
struct CellState
{
  /** Token of the newest epoch; empty before the first. */
  std::optional<base::FencingToken> token;
  /**
   * Live jobs in order of acceptance, then ended jobs in order of their end.
   */
  std::vector<JobState> jobs;

  bool operator==(const CellState&) const = default;
};

/** Lets a writer check that its epoch is still the newest. */
struct Fence
{
  base::FencingToken token;
  /** All records below this offset were read and contain no newer epoch. */
  base::LogOffset checkedBelow;
  /** Known epoch records; a duplicate of one of them is not a newer epoch. */
  std::vector<base::RecordId> epochs;
};

/**
 * Builds the state of one cell from its stream. An epoch record voids every
 * undecided attempt by incrementing the attempt number of each queued job, so
 * that a number never denotes two attempts. A coordinator therefore has at most
 * one undecided attempt per job, and records its abort before it starts the
 * next one.
 */
class CellReplay final : public StreamReplay
{
public:
  /** The codec must outlive the replay. */
  explicit CellReplay(const RecordCodec& aCodec,
                      std::size_t aMaxEndedJobs = kMaxEndedJobs);

  base::LogOffset NextOffset() const override { return this->next; }
  std::vector<ReplayedRecord> Consume(const ReadBatch& aBatch) override;
  void SkipTo(base::LogOffset aFirst) override;

  /** False while the state lacks records that expired before they were read. */
  bool IsComplete() const noexcept { return !this->hasGap; }

  /** Token of the newest epoch; empty before the first. */
  std::optional<base::FencingToken> Token() const noexcept
  {
    return this->token;
  }
  /**
   * Writer of the newest epoch; empty if its epoch record had expired before
   * this reader started.
   */
  const base::EntryId& Coordinator() const noexcept
  {
    return this->coordinator;
  }
  Fence MakeFence() const;

  /**
   * Returns null if the job is unknown. The pointer is valid until the next
   * non-const call.
   */
  const JobState* Find(const base::JobId& aJob) const;
  /** Returns the jobs that have not ended, in order of acceptance. */
  std::vector<const JobState*> LiveJobs() const;
  /** Returns the retained ended jobs, in order of their end. */
  std::vector<const JobState*> EndedJobs() const;
  CellState State() const;

  AttemptFate FateOf(const job::GangId& aGang) const;
  /** Returns the number for a new attempt of a known job. */
  static base::Attempt NextAttempt(const JobState& aJob) noexcept;

  /** coversBelow of the newest complete checkpoint that was read. */
  base::LogOffset NewestCheckpoint() const noexcept
  {
    return this->newestCheckpoint;
  }

private:
  struct PendingRecord
  {
    base::LogOffset offset;
    Record record;
  };
  struct Slot
  {
    JobState job;
    /** Sort key among the live jobs, or among the ended jobs. */
    std::uint64_t sortKey = 0;
  };
  struct KnownEpoch
  {
    base::LogOffset offset;
    base::RecordId id;
    base::EntryId writer;
  };
  /** Chunks received of one checkpoint. */
  struct Chunks
  {
    base::FencingToken token;
    base::LogOffset coversBelow;
    /**
     * The jobs of each chunk read after a gap. Without a gap the elements are
     * left empty and only record that the chunk was read.
     */
    std::vector<std::optional<std::vector<JobState>>> parts;
    std::size_t received;
  };
  struct Applier;

  void Read(const StoredRecord& aStored, std::vector<ReplayedRecord>& aReport);
  ReplayedRecord Apply(base::LogOffset aOffset, Record&& aRecord);
  base::Result<void> AddChunk(base::LogOffset aOffset,
                              CheckpointRecord& aChunk);
  void UpdateCandidate(Chunks&& aComplete);
  /** Closes the gap: loads the candidate and applies the pending records. */
  void LoadCandidate(std::vector<ReplayedRecord>& aReport);
  void VoidUndecided();
  std::uint32_t AddJob(JobState&& aJob);
  void EndJob(std::uint32_t aSlot, JobOutcome aOutcome);
  void EvictOldestEndedJob();
  JobState* FindLive(const base::JobId& aJob, std::uint32_t& aSlot);

  const RecordCodec& codec;
  std::size_t maxEndedJobs;
  RecordIdWindow ids;
  base::LogOffset next;
  base::LogOffset newestCheckpoint;
  std::optional<base::FencingToken> token;
  base::EntryId coordinator;
  std::deque<KnownEpoch> epochs;

  std::vector<Slot> slots;
  std::vector<std::uint32_t> freeSlots;
  std::unordered_map<base::JobId, std::uint32_t> slotOf;
  std::uint64_t nextSortKey = 0;
  std::deque<std::uint32_t> endedSlots;

  bool hasGap = false;
  /**
   * A checkpoint closes the gap only if it covers all records below this
   * offset; the later ones are in pending or covered by the candidate.
   */
  base::LogOffset minimumCoverage;
  /** The checkpoint whose chunks are being received. */
  std::optional<Chunks> chunks;
  /**
   * Newest complete checkpoint after a gap. It is loaded only at the end of the
   * log: the ids of records that precede an older checkpoint may have expired,
   * so that a duplicate following that checkpoint would not be detected.
   */
  std::optional<Chunks> candidate;
  /** Records read after a gap and not covered by the candidate. */
  std::deque<PendingRecord> pending;
  /** Newest epoch read after the gap. */
  std::optional<base::FencingToken> pendingToken;
};

} // namespace amaranthwind::journal
