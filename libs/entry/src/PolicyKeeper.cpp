#include "PolicyKeeper.h"

#include <memory>

namespace amaranthwind::entry {

using namespace std::chrono_literals;

namespace {

// An accepted release note has to be in force everywhere within seconds; two
// polls and reading a few records take well below one second.
constexpr base::Duration kPollInterval = 200ms;
// A checkpoint is due after a quarter of the retention. Each entry adds a
// random delay of up to a sixteenth of the retention.
constexpr int kCheckpointDelayDivisor = 16;

} // namespace

PolicyKeeper::PolicyKeeper(journal::LogClient& aLog,
                           const journal::RecordCodec& aCodec,
                           const base::Clock& aClock,
                           base::Duration aLogRetention,
                           const telemetry::PolicyMetrics& aMetrics,
                           telemetry::Logger& aLogger,
                           PolicyObserver& aObserver)
  : clock(aClock)
  , logRetention(aLogRetention)
  , metrics(aMetrics)
  , logger(aLogger)
  , observer(aObserver)
  , replay(aCodec)
  , current(std::make_unique<const policy::Policy>())
  , random(base::MakeSeed())
  , appender(aLog, aCodec, aClock, *this)
  , follower(aLog,
             std::string(journal::kNotesStream),
             kPollInterval,
             [this](const StreamRead& aRead) { return this->OnRead(aRead); })
{
}

void
PolicyKeeper::Start()
{
  this->follower.Start();
}

void
PolicyKeeper::Stop()
{
  this->follower.Stop();
}

base::LogOffset
PolicyKeeper::OnRead(const StreamRead& aRead)
{
  std::lock_guard lock(this->mutex);
  if (aRead.batch.has_value()) {
    const auto& batch = aRead.batch.value();
    if (!batch.records.empty() && !this->newerOffsetSeenAt) {
      this->newerOffsetSeenAt = this->clock.Now();
    }
    this->ReportNotes(this->replay.Consume(batch));
    this->isLogReachable.store(true);
    if (this->replay.NextOffset() >= batch.end && this->replay.IsComplete()) {
      this->isLoaded.store(true);
    }
  } else {
    const auto& error = aRead.batch.error();
    const auto first = journal::ParseExpiredOffset(error);
    if (first.has_value()) {
      this->replay.SkipTo(first.value());
    } else if (this->isLogReachable.exchange(false)) {
      this->logger.Warning("log unavailable",
                           { { "error", base::Describe(error) } });
    }
  }
  this->PublishIfNew();
  this->WriteCheckpointIfDue();
  return this->replay.NextOffset();
}

void
PolicyKeeper::WriteCheckpointIfDue()
{
  if (!this->isLoaded.load() || !this->replay.IsComplete()) {
    return;
  }
  const auto now = this->clock.Now();
  if (!this->checkpointSchedule) {
    // Entries use different delays, so that only one of them writes.
    const auto maxDelay = this->logRetention / kCheckpointDelayDivisor;
    const base::Duration delay(static_cast<base::Duration::rep>(
      this->random() % (maxDelay.count() + 1)));
    this->checkpointSchedule.emplace(
      this->logRetention, this->replay.NewestCheckpoint(), now, delay);
  }
  this->checkpointSchedule->OnCheckpointRead(this->replay.NewestCheckpoint(),
                                             now);
  if (!this->checkpointSchedule->IsDue(now) || !this->isLogReachable.load()) {
    return;
  }
  this->checkpointSchedule->OnWriteFailed(now);
  const journal::Record record =
    journal::MakePolicyCheckpoint(this->replay, this->random);
  const auto result = journal::WriteCheckpoint(this->appender,
                                               journal::kNotesStream,
                                               { &record, 1 },
                                               this->replay.NextOffset(),
                                               std::nullopt);
  if (result.has_error()) {
    this->logger.Warning("failed to write checkpoint",
                         { { "error", base::Describe(result.error()) } });
  } else {
    this->logger.Info("checkpoint written",
                      { { "offset", this->replay.NextOffset() } });
  }
}

void
PolicyKeeper::OnPeerOffset(base::LogOffset aOffset)
{
  std::lock_guard lock(this->mutex);
  // The offset may have come into force here since the peer reported it.
  if (!this->newerOffsetSeenAt && aOffset > this->Offset()) {
    this->newerOffsetSeenAt = this->clock.Now();
  }
}

void
PolicyKeeper::Adopt(const policy::Policy& aPolicy)
{
  std::lock_guard lock(this->mutex);
  std::vector<journal::ReplayedRecord> records;
  const std::uint64_t version = this->replay.Current().version.Get();
  if (this->replay.Adopt(aPolicy, records)) {
    if (this->isLoaded.load() && aPolicy.version.Get() > version) {
      // The notes that the peer has applied are not replayed here.
      this->metrics.notesApplied.Increment(
        static_cast<double>(aPolicy.version.Get() - version));
    }
    this->logger.Info("policy adopted from peer",
                      { { "offset", aPolicy.nextOffset } });
    this->ReportNotes(records);
    this->isLoaded.store(true);
    this->PublishIfNew();
  }
}

void
PolicyKeeper::ReportNotes(const std::vector<journal::ReplayedRecord>& aRecords)
{
  for (const auto& record : aRecords) {
    if (record.verdict == journal::Verdict::Applied) {
      this->metrics.notesApplied.Increment();
      this->logger.Info("note applied",
                        { { "note", record.id }, { "offset", record.offset } });
    } else if (record.verdict == journal::Verdict::Rejected ||
               record.verdict == journal::Verdict::Malformed) {
      this->metrics.notesRejected.Increment();
      this->logger.Warning("note rejected",
                           { { "note", record.id },
                             { "offset", record.offset },
                             { "error", base::Describe(record.error) } });
    }
  }
}

void
PolicyKeeper::PublishIfNew()
{
  const auto& policy = this->replay.Current();
  if (this->isPublished && policy.nextOffset <= this->Offset()) {
    return;
  }
  this->isPublished = true;
  this->current.Publish(std::make_unique<const policy::Policy>(policy));
  this->offset.store(policy.nextOffset.Get());
  if (this->newerOffsetSeenAt) {
    this->metrics.delay.Observe(this->clock.Now() - *this->newerOffsetSeenAt);
    this->newerOffsetSeenAt.reset();
  }
  this->observer.OnPolicy(policy);
}

} // namespace amaranthwind::entry
