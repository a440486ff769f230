#include "PolicyKeeper.h"

#include <memory>

namespace amaranthwind::entry {

using namespace std::chrono_literals;

namespace {

// A note is in force within seconds (P8); two polls and the reading of a few
// records take well below one.
constexpr base::Duration kPollInterval = 200ms;

} // namespace

PolicyKeeper::PolicyKeeper(journal::LogClient& aLog,
                           const journal::RecordCodec& aCodec,
                           const base::Clock& aClock,
                           const telemetry::PolicyMetrics& aMetrics,
                           telemetry::Logger& aLogger,
                           PolicyObserver& aObserver)
  : clock(aClock)
  , metrics(aMetrics)
  , logger(aLogger)
  , observer(aObserver)
  , replay(aCodec)
  , current(std::make_unique<const policy::Policy>())
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
    if (!batch.records.empty() && !this->newerSince) {
      this->newerSince = this->clock.Now();
    }
    this->Report(this->replay.Consume(batch));
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
      this->logger.Warning("log is not reachable",
                           { { "error", base::Describe(error) } });
    }
  }
  this->PublishIfNew();
  return this->replay.NextOffset();
}

void
PolicyKeeper::OnPeerOffset(base::LogOffset aOffset)
{
  std::lock_guard lock(this->mutex);
  // It may have come into force here since the peer was heard.
  if (!this->newerSince && aOffset > this->Offset()) {
    this->newerSince = this->clock.Now();
  }
}

void
PolicyKeeper::Adopt(const policy::Policy& aPolicy)
{
  std::lock_guard lock(this->mutex);
  std::vector<journal::ReplayedRecord> records;
  if (this->replay.Adopt(aPolicy, records)) {
    this->logger.Info("policy taken from a peer",
                      { { "offset", aPolicy.nextOffset } });
    this->Report(records);
    this->isLoaded.store(true);
    this->PublishIfNew();
  }
}

void
PolicyKeeper::Report(const std::vector<journal::ReplayedRecord>& aRecords)
{
  for (const auto& record : aRecords) {
    if (record.verdict == journal::Verdict::Applied) {
      this->metrics.notesApplied.Increment();
      this->logger.Info("note in force",
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
  if (policy.nextOffset.Get() <= this->offset.load() &&
      policy.nextOffset.Get() != 0) {
    return;
  }
  this->current.Publish(std::make_unique<const policy::Policy>(policy));
  this->offset.store(policy.nextOffset.Get());
  if (this->newerSince) {
    this->metrics.delay.Observe(this->clock.Now() - *this->newerSince);
    this->newerSince.reset();
  }
  this->observer.OnPolicy(policy);
}

} // namespace amaranthwind::entry
