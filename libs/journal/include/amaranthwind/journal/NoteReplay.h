#pragma once

#include "amaranthwind/journal/RecordCodec.h"
#include "amaranthwind/journal/RecordIdWindow.h"
#include "amaranthwind/journal/StreamReplay.h"
#include "amaranthwind/policy/Policy.h"

#include <deque>
#include <optional>
#include <string_view>
#include <vector>

namespace amaranthwind::journal {

inline constexpr std::string_view kNotesStream = "notes";

/**
 * Builds the policy from the stream "notes". The verdict on a note is Applied,
 * or Rejected with the error of policy::ApplyNote(); if the base version does
 * not match, the subject of the error names the note in effect.
 */
class NoteReplay final : public StreamReplay
{
public:
  /** The codec must outlive the replay. */
  explicit NoteReplay(const RecordCodec& aCodec);

  base::LogOffset NextOffset() const override { return this->next; }
  std::vector<ReplayedRecord> Consume(const ReadBatch& aBatch) override;
  void SkipTo(base::LogOffset aFirst) override;

  /**
   * Replaces the policy by that of a peer if the peer's offset is higher, and
   * returns whether it did. Buffered records from that offset on are then
   * applied, and their verdicts are appended to aReport.
   */
  bool Adopt(const policy::Policy& aPolicy,
             std::vector<ReplayedRecord>& aReport);

  /** The policy in effect. Its nextOffset follows all records it reflects. */
  const policy::Policy& Current() const noexcept { return this->policy; }

  /**
   * False while the policy lacks records that expired before they were read.
   */
  bool IsComplete() const noexcept { return !this->hasGap; }

  /** Policy offset of the newest checkpoint that was read. */
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

  void Read(const StoredRecord& aStored, std::vector<ReplayedRecord>& aReport);
  ReplayedRecord Apply(base::LogOffset aOffset, const Record& aRecord);
  void UpdateCandidate(const policy::Policy& aPolicy);
  /** Closes the gap: applies the pending records to the current policy. */
  void ApplyPending(std::vector<ReplayedRecord>& aReport);

  const RecordCodec& codec;
  RecordIdWindow ids;
  policy::Policy policy;
  base::LogOffset next;
  base::LogOffset newestCheckpoint;
  bool hasGap = false;
  /**
   * A policy closes the gap only if it covers all records below this offset;
   * later ones are in pending, applied or covered by the candidate.
   */
  base::LogOffset minimumCoverage;
  /**
   * Newest checkpoint after a gap. It is loaded only at the end of the log: the
   * ids of records that precede an older checkpoint may have expired, so that a
   * duplicate following that checkpoint would not be detected.
   */
  std::optional<policy::Policy> candidate;
  /** Records read after a gap and not covered by the candidate. */
  std::deque<PendingRecord> pending;
};

} // namespace amaranthwind::journal
