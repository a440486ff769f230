#include "amaranthwind/journal/NoteReplay.h"

#include "PendingLimit.h"

#include "amaranthwind/policy/ApplyNote.h"

#include <algorithm>
#include <utility>

namespace amaranthwind::journal {

namespace {

base::LogOffset
NextOffsetAfter(base::LogOffset aOffset)
{
  return base::LogOffset(aOffset.Get() + 1);
}

} // namespace

NoteReplay::NoteReplay(const RecordCodec& aCodec)
  : codec(aCodec)
{
}

std::vector<ReplayedRecord>
NoteReplay::Consume(const ReadBatch& aBatch)
{
  std::vector<ReplayedRecord> report;
  for (const StoredRecord& stored : aBatch.records) {
    if (stored.offset >= this->next) {
      this->Read(stored, report);
    }
  }
  if (this->candidate && this->next >= aBatch.end) {
    this->policy = std::move(*this->candidate);
    this->ApplyPending(report);
  }
  return report;
}

void
NoteReplay::SkipTo(base::LogOffset aFirst)
{
  if (aFirst <= this->next) {
    return;
  }
  this->next = aFirst;
  if (this->policy.nextOffset < aFirst) {
    this->hasGap = true;
    this->minimumCoverage = aFirst;
    this->candidate.reset();
    this->pending.clear();
  }
}

bool
NoteReplay::Adopt(const policy::Policy& aPolicy,
                  std::vector<ReplayedRecord>& aReport)
{
  if (aPolicy.nextOffset <= this->policy.nextOffset) {
    return false;
  }
  this->policy = aPolicy;
  // The record ids in the window before the policy's offset are still read,
  // because duplicates of them may follow. The notes themselves are not
  // applied.
  const std::uint64_t covered = aPolicy.nextOffset.Get();
  const std::uint64_t windowStart =
    covered > kDuplicateWindow ? covered - kDuplicateWindow : 0;
  this->next = std::max(this->next, base::LogOffset(windowStart));
  if (this->hasGap && aPolicy.nextOffset >= this->minimumCoverage) {
    this->ApplyPending(aReport);
  }
  return true;
}

void
NoteReplay::Read(const StoredRecord& aStored,
                 std::vector<ReplayedRecord>& aReport)
{
  const base::LogOffset offset = aStored.offset;
  this->next = NextOffsetAfter(offset);
  auto decoded = this->codec.Decode(aStored.payload);
  const bool isFirstCopy =
    decoded.has_error() || this->ids.Insert(decoded.value().id, offset);
  if (offset < this->policy.nextOffset) {
    return;
  }
  if (decoded.has_error()) {
    aReport.push_back({ offset, {}, Verdict::Malformed, decoded.error() });
  } else if (!isFirstCopy) {
    aReport.push_back({ offset, decoded.value().id, Verdict::Duplicate, {} });
  } else if (const auto* const checkpoint =
               std::get_if<PolicyCheckpointRecord>(&decoded.value().body)) {
    const base::LogOffset covered = checkpoint->policy.nextOffset;
    if (covered > offset) {
      aReport.push_back(
        { offset,
          decoded.value().id,
          Verdict::Rejected,
          { base::ErrorCode::OutOfRange, "policy.nextOffset" } });
    } else {
      aReport.push_back(
        { offset, decoded.value().id, Verdict::Checkpoint, {} });
      this->newestCheckpoint = std::max(this->newestCheckpoint, covered);
      if (this->hasGap && covered >= this->minimumCoverage) {
        this->UpdateCandidate(checkpoint->policy);
      }
    }
  } else if (this->hasGap) {
    this->pending.push_back({ offset, std::move(decoded).value() });
    if (this->pending.size() > kMaxPendingRecords && this->candidate) {
      this->policy = std::move(*this->candidate);
      this->ApplyPending(aReport);
    } else if (this->pending.size() > kMaxPendingRecords) {
      this->minimumCoverage = NextOffsetAfter(this->pending.front().offset);
      this->pending.pop_front();
    }
  } else {
    aReport.push_back(this->Apply(offset, decoded.value()));
  }
  if (!this->hasGap) {
    this->policy.nextOffset = this->next;
  }
}

ReplayedRecord
NoteReplay::Apply(base::LogOffset aOffset, const Record& aRecord)
{
  ReplayedRecord result{ aOffset, aRecord.id, Verdict::Applied, {} };
  const auto* const record = std::get_if<NoteRecord>(&aRecord.body);
  if (record == nullptr) {
    result.verdict = Verdict::Rejected;
    result.error = { base::ErrorCode::UnknownMessage,
                     "record does not belong to the stream notes" };
    return result;
  }
  policy::ReleaseNote note = record->note;
  note.id = aRecord.id;
  auto applied = policy::ApplyNote(this->policy, note);
  if (applied.has_error()) {
    result.verdict = Verdict::Rejected;
    result.error = std::move(applied).error();
    return result;
  }
  this->policy = std::move(applied).value();
  return result;
}

void
NoteReplay::UpdateCandidate(const policy::Policy& aPolicy)
{
  if (this->candidate && aPolicy.nextOffset <= this->candidate->nextOffset) {
    return;
  }
  this->candidate = aPolicy;
  while (!this->pending.empty() &&
         this->pending.front().offset < aPolicy.nextOffset) {
    this->pending.pop_front();
  }
}

void
NoteReplay::ApplyPending(std::vector<ReplayedRecord>& aReport)
{
  this->hasGap = false;
  this->candidate.reset();
  const auto records = std::exchange(this->pending, {});
  for (const PendingRecord& each : records) {
    if (each.offset >= this->policy.nextOffset) {
      aReport.push_back(this->Apply(each.offset, each.record));
    }
  }
  this->policy.nextOffset = std::max(this->policy.nextOffset, this->next);
}

} // namespace amaranthwind::journal
