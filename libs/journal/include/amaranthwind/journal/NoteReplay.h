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
 * The policy that the stream "notes" gives. Verdicts on notes: Applied, or
 * Rejected with the error of policy::ApplyNote(), whose subject names the note
 * in force when the base version is another.
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
   * Takes the policy of a peer if its offset is higher than that of the policy
   * here, and returns whether it did. Records read before, behind that offset,
   * are then applied; aReport receives the verdicts on them.
   */
  bool Adopt(const policy::Policy& aPolicy,
             std::vector<ReplayedRecord>& aReport);

  /** In force. Its nextOffset is behind every record taken into account. */
  const policy::Policy& Current() const noexcept { return this->policy; }

  /** False while records that were not read are missing from the policy. */
  bool IsComplete() const noexcept { return !this->hasGap; }

  /** Covered offset of the newest checkpoint that was read. */
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

  void Read(const StoredRecord& aStored, std::vector<ReplayedRecord>& aReport);
  ReplayedRecord Apply(base::LogOffset aOffset, const Record& aRecord);
  void TakeCheckpoint(const policy::Policy& aPolicy);
  /** Closes the gap with the policy in force and the records behind it. */
  void ApplyPending(std::vector<ReplayedRecord>& aReport);

  const RecordCodec& codec;
  RecordIdWindow ids;
  policy::Policy policy;
  base::LogOffset next;
  base::LogOffset newestCheckpoint;
  bool hasGap = false;
  /** From here on, every record is in pending or was applied. */
  base::LogOffset usableFrom;
  /**
   * Newest checkpoint behind a gap. It is taken at the end of the log and not
   * before: the ids of the records in front of an old checkpoint may have
   * expired, so that a second copy behind it would not be recognised.
   */
  std::optional<policy::Policy> candidate;
  /** Records read behind a gap and not covered by the candidate. */
  std::deque<Pending> pending;
};

} // namespace amaranthwind::journal
