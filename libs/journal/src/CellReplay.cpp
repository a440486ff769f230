#include "amaranthwind/journal/CellReplay.h"

#include "PendingLimit.h"
#include "amaranthwind/journal/JobLifeCycle.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace amaranthwind::journal {

using base::ErrorCode;
using base::Fail;
using base::Result;

namespace {

/**
 * Bounds the memory that a chunk with a wrong count can cause to be allocated.
 */
constexpr std::uint32_t kMaxChunks = 65'536;

/** Returns the token of a record, or null for records without one. */
struct GetToken
{
  template<typename Body>
  const base::FencingToken* operator()(const Body& aBody) const
  {
    if constexpr (requires { aBody.token; }) {
      return &aBody.token;
    } else {
      return nullptr;
    }
  }
};

/**
 * Returns whether a submission equals that of a known job. Ended jobs are kept
 * without their payload, which is then not compared.
 */
bool
IsSameSubmission(const JobState& aKnown, const job::JobSpec& aSpec)
{
  if (aKnown.phase != JobPhase::Ended) {
    return aKnown.spec == aSpec;
  }
  job::JobSpec withoutPayload = aSpec;
  withoutPayload.payload.clear();
  return aKnown.spec == withoutPayload;
}

} // namespace

std::string
CellStream(const base::ZoneId& aZone)
{
  return "cells/" + aZone.Text();
}

/** Applies the body of a record whose token was validated. */
struct CellReplay::Applier
{
  CellReplay& replay;
  base::LogOffset offset;

  Result<void> operator()(EpochRecord& aEpoch)
  {
    this->replay.token = base::FencingToken(this->offset.Get());
    this->replay.coordinator = aEpoch.writer;
    this->replay.VoidUndecided();
    return base::success();
  }

  Result<void> operator()(JobAcceptedRecord& aAccepted)
  {
    const auto known = this->replay.slotOf.find(aAccepted.spec.id);
    if (known != this->replay.slotOf.end()) {
      const JobState& job = this->replay.slots[known->second].job;
      return Fail(IsSameSubmission(job, aAccepted.spec)
                    ? ErrorCode::DuplicateKey
                    : ErrorCode::KeyReused,
                  aAccepted.spec.id.View());
    }
    JobState job;
    job.spec = std::move(aAccepted.spec);
    this->replay.AddJob(std::move(job));
    return base::success();
  }

  Result<void> operator()(JobCancelledRecord& aCancelled)
  {
    std::uint32_t slot = 0;
    JobState* const job = this->replay.FindLive(aCancelled.job, slot);
    if (job == nullptr) {
      return Fail(ErrorCode::UnknownJob, aCancelled.job.View());
    }
    job->isCancelRequested = true;
    return base::success();
  }

  Result<void> operator()(GangDecisionRecord& aDecision)
  {
    std::uint32_t slot = 0;
    JobState* const job = this->replay.FindLive(aDecision.gang.job, slot);
    if (job == nullptr) {
      return Fail(ErrorCode::UnknownJob, aDecision.gang.job.View());
    }
    const auto committed = NextJobPhase(job->phase, JobEvent::Commit);
    if (!committed || aDecision.gang.attempt <= job->lastAttempt) {
      return Fail(ErrorCode::DuplicateKey, "gang.attempt");
    }
    job->lastAttempt = aDecision.gang.attempt;
    job->lastFate = AttemptFate::Aborted;
    if (!aDecision.isCommit) {
      return base::success();
    }
    // A commit that is not allowed to run counts as an abort for all readers.
    if (job->isCancelRequested) {
      return Fail(ErrorCode::Cancelled, aDecision.gang.job.View());
    }
    if (job->runs >= job->spec.maxRuns) {
      return Fail(ErrorCode::OutOfRange, "maxRuns");
    }
    job->lastFate = AttemptFate::Committed;
    job->phase = *committed;
    job->members = std::move(aDecision.members);
    ++job->runs;
    return base::success();
  }

  Result<void> operator()(AttemptEndedRecord& aEnded)
  {
    std::uint32_t slot = 0;
    JobState* const job = this->replay.FindLive(aEnded.gang.job, slot);
    if (job == nullptr) {
      return Fail(ErrorCode::UnknownJob, aEnded.gang.job.View());
    }
    const auto queued = NextJobPhase(job->phase, JobEvent::EndAttempt);
    if (!queued || job->lastAttempt != aEnded.gang.attempt) {
      return Fail(ErrorCode::DuplicateKey, "gang.attempt");
    }
    job->phase = *queued;
    job->lastFate = AttemptFate::Ended;
    job->members.clear();
    if (aEnded.outcome == AttemptOutcome::NotRun) {
      --job->runs;
    } else if (aEnded.outcome == AttemptOutcome::Succeeded) {
      // One record ends both the attempt and the job, so that a crash between
      // two records cannot cause a second run.
      this->replay.EndJob(slot, JobOutcome::Succeeded);
    }
    return base::success();
  }

  Result<void> operator()(JobEndedRecord& aEnded)
  {
    std::uint32_t slot = 0;
    JobState* const job = this->replay.FindLive(aEnded.job, slot);
    if (job == nullptr) {
      return Fail(ErrorCode::UnknownJob, aEnded.job.View());
    }
    if (job->phase == JobPhase::Committed) {
      job->lastFate = AttemptFate::Ended;
    }
    job->error = std::move(aEnded.error);
    this->replay.EndJob(slot, aEnded.outcome);
    return base::success();
  }

  /** Rejects records of the stream "notes"; checkpoints never get here. */
  template<typename Other>
  Result<void> operator()(Other&)
  {
    return Fail(ErrorCode::UnknownMessage,
                "record does not belong to a cell stream");
  }
};

CellReplay::CellReplay(const RecordCodec& aCodec, std::size_t aMaxEndedJobs)
  : codec(aCodec)
  , maxEndedJobs(aMaxEndedJobs)
{
}

std::vector<ReplayedRecord>
CellReplay::Consume(const ReadBatch& aBatch)
{
  std::vector<ReplayedRecord> report;
  for (const StoredRecord& stored : aBatch.records) {
    if (stored.offset >= this->next) {
      this->Read(stored, report);
    }
  }
  if (this->candidate && this->next >= aBatch.end) {
    this->LoadCandidate(report);
  }
  return report;
}

void
CellReplay::SkipTo(base::LogOffset aFirst)
{
  if (aFirst <= this->next) {
    return;
  }
  this->next = aFirst;
  this->hasGap = true;
  this->minimumCoverage = aFirst;
  this->pending.clear();
  this->pendingToken.reset();
  this->chunks.reset();
  this->candidate.reset();
}

void
CellReplay::Read(const StoredRecord& aStored,
                 std::vector<ReplayedRecord>& aReport)
{
  const base::LogOffset offset = aStored.offset;
  this->next = base::LogOffset(offset.Get() + 1);
  auto decoded = this->codec.Decode(aStored.payload);
  if (decoded.has_error()) {
    aReport.push_back({ offset, {}, Verdict::Malformed, decoded.error() });
    return;
  }
  Record& record = decoded.value();
  if (!this->ids.Insert(record.id, offset)) {
    aReport.push_back({ offset, record.id, Verdict::Duplicate, {} });
    return;
  }
  if (const auto* const epoch = std::get_if<EpochRecord>(&record.body)) {
    while (!this->epochs.empty() &&
           this->epochs.front().offset.Get() + kDuplicateWindow <
             offset.Get()) {
      this->epochs.pop_front();
    }
    this->epochs.push_back({ offset, record.id, epoch->writer });
    if (this->hasGap) {
      this->pendingToken = base::FencingToken(offset.Get());
    }
  }
  if (auto* const chunk = std::get_if<CheckpointRecord>(&record.body)) {
    ReplayedRecord result{ offset, record.id, Verdict::Checkpoint, {} };
    const auto added = this->AddChunk(offset, *chunk);
    if (added.has_error()) {
      result.error = added.error();
      result.verdict = result.error.code == ErrorCode::StaleToken
                         ? Verdict::StaleToken
                         : Verdict::Rejected;
    }
    aReport.push_back(std::move(result));
    return;
  }
  if (!this->hasGap) {
    aReport.push_back(this->Apply(offset, std::move(record)));
    return;
  }
  this->pending.push_back({ offset, std::move(record) });
  if (this->pending.size() > kMaxPendingRecords && this->candidate) {
    this->LoadCandidate(aReport);
  } else if (this->pending.size() > kMaxPendingRecords) {
    this->minimumCoverage =
      base::LogOffset(this->pending.front().offset.Get() + 1);
    this->pending.pop_front();
  }
}

ReplayedRecord
CellReplay::Apply(base::LogOffset aOffset, Record&& aRecord)
{
  ReplayedRecord result{ aOffset, aRecord.id, Verdict::Applied, {} };
  const base::FencingToken* const recordToken =
    std::visit(GetToken{}, aRecord.body);
  if (recordToken != nullptr && this->token != *recordToken) {
    result.verdict = Verdict::StaleToken;
    result.error = { ErrorCode::StaleToken, this->coordinator.Text() };
    return result;
  }
  auto applied = std::visit(Applier{ *this, aOffset }, aRecord.body);
  if (applied.has_error()) {
    result.verdict = Verdict::Rejected;
    result.error = std::move(applied).error();
  }
  return result;
}

Result<void>
CellReplay::AddChunk(base::LogOffset aOffset, CheckpointRecord& aChunk)
{
  if (aChunk.coversBelow > aOffset ||
      aChunk.token.Get() >= aChunk.coversBelow.Get()) {
    return Fail(ErrorCode::OutOfRange, "coversBelow");
  }
  if (aChunk.index >= aChunk.count || aChunk.count > kMaxChunks) {
    return Fail(ErrorCode::OutOfRange, "count");
  }
  // After a gap, an epoch record below coversBelow can only be a duplicate of
  // an expired one, because the writer of the chunk had also read it.
  const bool isStale = this->hasGap
                         ? this->pendingToken && this->pendingToken->Get() >=
                                                   aChunk.coversBelow.Get()
                         : this->token != aChunk.token;
  if (isStale) {
    return Fail(ErrorCode::StaleToken, "checkpoint");
  }
  if (!this->chunks || this->chunks->token != aChunk.token ||
      this->chunks->coversBelow != aChunk.coversBelow ||
      this->chunks->parts.size() != aChunk.count) {
    this->chunks = Chunks{ aChunk.token, aChunk.coversBelow, {}, 0 };
    this->chunks->parts.resize(aChunk.count);
  }
  auto& part = this->chunks->parts[aChunk.index];
  if (!part) {
    part.emplace();
    ++this->chunks->received;
    if (this->hasGap) {
      *part = std::move(aChunk.jobs);
    }
  }
  if (this->chunks->received == this->chunks->parts.size()) {
    Chunks complete = std::move(*this->chunks);
    this->chunks.reset();
    this->UpdateCandidate(std::move(complete));
  }
  return base::success();
}

void
CellReplay::UpdateCandidate(Chunks&& aComplete)
{
  const base::LogOffset covered = aComplete.coversBelow;
  this->newestCheckpoint = std::max(this->newestCheckpoint, covered);
  if (!this->hasGap || covered < this->minimumCoverage ||
      (this->candidate && covered <= this->candidate->coversBelow)) {
    return;
  }
  this->candidate = std::move(aComplete);
  while (!this->pending.empty() && this->pending.front().offset < covered) {
    this->pending.pop_front();
  }
}

void
CellReplay::LoadCandidate(std::vector<ReplayedRecord>& aReport)
{
  const Chunks complete = *std::exchange(this->candidate, std::nullopt);
  this->slots.clear();
  this->freeSlots.clear();
  this->slotOf.clear();
  this->endedSlots.clear();
  for (const auto& part : complete.parts) {
    for (const JobState& job : *part) {
      const std::uint32_t slot = this->AddJob(JobState(job));
      if (job.phase == JobPhase::Ended) {
        this->endedSlots.push_back(slot);
        this->EvictOldestEndedJob();
      }
    }
  }
  if (this->token != complete.token) {
    const auto epoch = std::find_if(
      this->epochs.begin(), this->epochs.end(), [&](const KnownEpoch& aEpoch) {
        return aEpoch.offset.Get() == complete.token.Get();
      });
    this->coordinator =
      epoch == this->epochs.end() ? base::EntryId() : epoch->writer;
  }
  this->token = complete.token;
  this->hasGap = false;
  this->pendingToken.reset();
  for (PendingRecord& each : std::exchange(this->pending, {})) {
    aReport.push_back(this->Apply(each.offset, std::move(each.record)));
  }
}

void
CellReplay::VoidUndecided()
{
  for (const auto& [id, slot] : this->slotOf) {
    JobState& job = this->slots[slot].job;
    if (job.phase == JobPhase::Queued) {
      job.lastAttempt = NextAttempt(job);
      job.lastFate = AttemptFate::Voided;
    }
  }
}

std::uint32_t
CellReplay::AddJob(JobState&& aJob)
{
  std::uint32_t slot = 0;
  if (this->freeSlots.empty()) {
    slot = static_cast<std::uint32_t>(this->slots.size());
    this->slots.emplace_back();
  } else {
    slot = this->freeSlots.back();
    this->freeSlots.pop_back();
  }
  this->slotOf.insert_or_assign(aJob.spec.id, slot);
  this->slots[slot] = Slot{ std::move(aJob), this->nextSortKey++ };
  return slot;
}

void
CellReplay::EndJob(std::uint32_t aSlot, JobOutcome aOutcome)
{
  Slot& slot = this->slots[aSlot];
  // Only live jobs are passed here, and every live phase can end.
  slot.job.phase =
    NextJobPhase(slot.job.phase, JobEvent::End).value_or(JobPhase::Ended);
  slot.job.outcome = aOutcome;
  slot.job.members = {};
  slot.job.spec.payload = {};
  slot.sortKey = this->nextSortKey++;
  this->endedSlots.push_back(aSlot);
  this->EvictOldestEndedJob();
}

void
CellReplay::EvictOldestEndedJob()
{
  if (this->endedSlots.size() <= this->maxEndedJobs) {
    return;
  }
  const std::uint32_t oldest = this->endedSlots.front();
  this->endedSlots.pop_front();
  this->slotOf.erase(this->slots[oldest].job.spec.id);
  this->slots[oldest] = Slot{};
  this->freeSlots.push_back(oldest);
}

JobState*
CellReplay::FindLive(const base::JobId& aJob, std::uint32_t& aSlot)
{
  const auto found = this->slotOf.find(aJob);
  if (found == this->slotOf.end() ||
      this->slots[found->second].job.phase == JobPhase::Ended) {
    return nullptr;
  }
  aSlot = found->second;
  return &this->slots[aSlot].job;
}

Fence
CellReplay::MakeFence() const
{
  Fence fence;
  fence.token = this->token.value_or(base::FencingToken());
  fence.checkedBelow = this->next;
  for (const KnownEpoch& epoch : this->epochs) {
    fence.epochs.push_back(epoch.id);
  }
  return fence;
}

const JobState*
CellReplay::Find(const base::JobId& aJob) const
{
  const auto found = this->slotOf.find(aJob);
  return found == this->slotOf.end() ? nullptr
                                     : &this->slots[found->second].job;
}

std::vector<const JobState*>
CellReplay::LiveJobs() const
{
  std::vector<const Slot*> live;
  live.reserve(this->slotOf.size() - this->endedSlots.size());
  for (const auto& [id, slot] : this->slotOf) {
    if (this->slots[slot].job.phase != JobPhase::Ended) {
      live.push_back(&this->slots[slot]);
    }
  }
  std::sort(
    live.begin(), live.end(), [](const Slot* aLeft, const Slot* aRight) {
      return aLeft->sortKey < aRight->sortKey;
    });
  std::vector<const JobState*> jobs;
  jobs.reserve(live.size());
  std::transform(live.begin(),
                 live.end(),
                 std::back_inserter(jobs),
                 [](const Slot* aSlot) { return &aSlot->job; });
  return jobs;
}

std::vector<const JobState*>
CellReplay::EndedJobs() const
{
  std::vector<const JobState*> jobs;
  jobs.reserve(this->endedSlots.size());
  for (const std::uint32_t slot : this->endedSlots) {
    jobs.push_back(&this->slots[slot].job);
  }
  return jobs;
}

CellState
CellReplay::State() const
{
  CellState state;
  state.token = this->token;
  state.jobs.reserve(this->slotOf.size());
  for (const JobState* const job : this->LiveJobs()) {
    state.jobs.push_back(*job);
  }
  for (const JobState* const job : this->EndedJobs()) {
    state.jobs.push_back(*job);
  }
  return state;
}

AttemptFate
CellReplay::FateOf(const job::GangId& aGang) const
{
  const JobState* const job = this->Find(aGang.job);
  if (job == nullptr || aGang.attempt == base::Attempt()) {
    return AttemptFate::Unknown;
  }
  if (aGang.attempt > job->lastAttempt) {
    return job->phase == JobPhase::Ended ? AttemptFate::Aborted
                                         : AttemptFate::Undecided;
  }
  const bool isLast = aGang.attempt == job->lastAttempt;
  return isLast && job->lastFate != AttemptFate::Unknown ? job->lastFate
                                                         : AttemptFate::Ended;
}

base::Attempt
CellReplay::NextAttempt(const JobState& aJob) noexcept
{
  return base::Attempt(aJob.lastAttempt.Get() + 1);
}

} // namespace amaranthwind::journal
