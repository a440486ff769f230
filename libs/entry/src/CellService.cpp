#include "CellService.h"

#include <algorithm>
#include <future>
#include <utility>

namespace amaranthwind::entry {

using base::Error;
using base::ErrorCode;
using base::LogOffset;
using base::Result;
using protocol::ConnectionId;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kLoopCapacity = 65536;
constexpr base::Duration kPollInterval = 200ms;
constexpr base::Duration kTickInterval = 50ms;
constexpr base::Duration kSchedulingInterval = 250ms;
// A status copies all live jobs, so it is not published at every tick.
constexpr base::Duration kStatusInterval = 500ms;
// Targets connect to a new coordinator within a few retries, which are 500 ms
// apart, and report at once. A gang that no member has reported by then is
// lost.
constexpr base::Duration kGangReportTimeout = 20s;
// The members of a gang monitor each other and stop within 5 s. The coordinator
// only has to detect the case that no member is left to report it, and must not
// mistake a broken connection or a restarting daemon for a lost worker.
constexpr base::Duration kWorkerReturnTimeout = 10s;

} // namespace

CellService::CellService(CellServiceOptions aOptions,
                         const base::Clock& aClock,
                         journal::LogClient& aLog,
                         const journal::RecordCodec& aCodec,
                         protocol::Node& aNode,
                         telemetry::Logger& aLogger,
                         CellObserver& aObserver)
  : options(std::move(aOptions))
  , stream(journal::CellStream(this->options.zone))
  , clock(aClock)
  , node(aNode)
  , logger(aLogger)
  , observer(aObserver)
  , random(base::MakeSeed())
  , replay(aCodec)
  , election(this->options.zone, this->options.self, aClock.Now())
  , recorder(this->options.metrics)
  , writer(aLog, aCodec, aClock, this->options.appendMetrics)
  , follower(aLog,
             this->stream,
             kPollInterval,
             [this](const StreamRead& aRead) { return this->OnRead(aRead); })
  , loop(kLoopCapacity)
{
}

CellService::~CellService()
{
  this->Stop();
}

void
CellService::Start()
{
  this->loop.SetTick(kTickInterval, [this] { this->OnTick(); });
  this->loop.Start();
  this->writer.Start();
  this->follower.Start();
}

void
CellService::Stop()
{
  this->follower.Stop();
  this->writer.Stop();
  this->loop.Stop();
}

void
CellService::HandOver()
{
  std::promise<void> done;
  this->loop.Post([&] {
    this->Apply(this->election.HandOver(this->clock.Now()));
    done.set_value();
  });
  done.get_future().get();
}

LogOffset
CellService::OnRead(const StreamRead& aRead)
{
  if (aRead.batch.has_error()) {
    const auto first = journal::ParseExpiredOffset(aRead.batch.error());
    if (first.has_error()) {
      return aRead.from;
    }
    this->loop.Post(
      [this, offset = first.value()] { this->replay.SkipTo(offset); });
    return first.value();
  }
  const auto& batch = aRead.batch.value();
  const LogOffset next = batch.records.empty()
                           ? std::max(aRead.from, batch.first)
                           : LogOffset(batch.records.back().offset.Get() + 1);
  this->loop.Post([this, batch, isAtEnd = next >= batch.end] {
    this->Consume(batch, isAtEnd);
  });
  return next;
}

void
CellService::Consume(const journal::ReadBatch& aBatch, bool aIsAtEnd)
{
  const auto previousToken = this->replay.Token();
  for (const auto& record : this->replay.Consume(aBatch)) {
    if (record.verdict == journal::Verdict::Malformed) {
      this->logger.Warning("failed to decode log record",
                           { { "zone", this->options.zone },
                             { "offset", record.offset },
                             { "error", base::Describe(record.error) } });
    }
  }
  std::erase_if(this->acceptedJobs, [this](const auto& aJob) {
    return this->replay.Find(aJob.first) != nullptr;
  });
  const auto now = this->clock.Now();
  if (this->replay.Token() != previousToken) {
    this->Apply(this->election.OnEpoch(
      *this->replay.Token(), this->replay.Coordinator(), now));
    this->ReportCoordinator();
  }
  if (aIsAtEnd && this->replay.IsComplete()) {
    this->isLoaded.store(true);
    if (!this->checkpointSchedule) {
      this->checkpointSchedule.emplace(
        this->options.logRetention, this->replay.NewestCheckpoint(), now);
    }
    this->Apply(this->election.OnCaughtUp(now));
  }
  if (this->checkpointSchedule) {
    this->checkpointSchedule->OnCheckpointRead(this->replay.NewestCheckpoint(),
                                               now);
  }
}

void
CellService::OnTick()
{
  const auto now = this->clock.Now();
  this->Apply(this->election.OnTick(now));
  this->PublishStatusIfDue(now);
  if (!this->gangCoordinator) {
    return;
  }
  const auto due = this->gangCoordinator->NextDeadline();
  if (due && now >= *due) {
    this->HandleGangEvent(gang::Tick{});
  }
  if (this->scheduler && now >= this->nextSchedulingTick) {
    this->nextSchedulingTick = now + kSchedulingInterval;
    this->HandleSchedulingEvent(scheduling::Tick{});
  }
  this->ExpireAwaitedGangs(now);
  this->ExpireDepartedWorkers(now);
  this->WriteCheckpointIfDue(now);
}

// Election

void
CellService::Apply(const membership::ElectionEffects& aEffects)
{
  for (const auto& effect : aEffects) {
    if (std::holds_alternative<membership::AppendEpoch>(effect)) {
      this->AppendEpoch();
    } else if (const auto* became =
                 std::get_if<membership::BecameCoordinator>(&effect)) {
      this->StartActing(became->token);
    } else if (std::holds_alternative<membership::StopActing>(effect)) {
      this->StopActing("superseded");
    }
  }
}

void
CellService::AppendEpoch()
{
  this->logger.Info("appending epoch record to take over cell",
                    { { "zone", this->options.zone } });
  this->AppendOnce(
    this->MakeTask(journal::EpochRecord{ this->options.self }, false),
    [this](const journal::AppendTask&, const Result<LogOffset>& aResult) {
      const auto now = this->clock.Now();
      if (aResult.has_value()) {
        this->Apply(this->election.OnEpochAppended(
          base::FencingToken(aResult.value().Get()), now));
        this->follower.Wake();
      } else {
        this->Apply(
          this->election.OnEpochAppended(base::failure(aResult.error()), now));
      }
    });
}

void
CellService::StartActing(base::FencingToken aToken)
{
  this->logger.Info("became coordinator of cell",
                    { { "zone", this->options.zone }, { "token", aToken } });
  this->token = aToken;
  scheduling::SchedulerSettings settings;
  settings.zone = this->options.zone;
  settings.token = aToken;
  this->scheduler = std::make_unique<scheduling::CellScheduler>(settings);
  this->gangCoordinator = std::make_unique<gang::GangCoordinator>(
    gang::Fence{ this->options.zone, aToken });
  this->isActing.store(true);
  // Restores the jobs before adding the workers, so that a worker with a
  // running job never appears free.
  this->HandleSchedulingEvent(
    scheduling::PolicyChanged{ this->policy.accounts });
  for (const auto* job : this->replay.LiveJobs()) {
    this->RestoreJob(*job);
  }
  for (const auto& [id, worker] : this->workers) {
    this->HandleSchedulingEvent(scheduling::WorkerJoined{ worker.target });
    if (worker.isDraining) {
      this->HandleSchedulingEvent(scheduling::WorkerDraining{ id });
    }
  }
  this->ReportCoordinator();
}

void
CellService::RestoreJob(const journal::JobState& aJob)
{
  scheduling::JobRestored restored;
  restored.spec = aJob.spec;
  restored.urgency = this->UrgencyOf(aJob.spec.kind);
  restored.lastAttempt = aJob.lastAttempt;
  restored.runs = aJob.runs;
  if (aJob.phase == journal::JobPhase::Committed) {
    restored.workers = aJob.members;
    this->awaitedGangs[{ aJob.spec.id, aJob.lastAttempt }] =
      this->clock.Now() + kGangReportTimeout;
    this->HandleGangEvent(
      gang::DeferEndAck{ { aJob.spec.id, aJob.lastAttempt } });
  }
  this->HandleSchedulingEvent(restored);
  if (aJob.isCancelRequested) {
    this->HandleSchedulingEvent(scheduling::JobCancelled{ aJob.spec.id });
  }
}

void
CellService::StopActing(std::string_view aReason)
{
  if (!this->isActing.exchange(false)) {
    return;
  }
  this->logger.Warning(
    "stopped coordinating cell",
    { { "zone", this->options.zone }, { "reason", aReason } });
  this->recorder.OnStopActing();
  this->scheduler.reset();
  this->gangCoordinator.reset();
  this->attempts.clear();
  this->pendingDecisions.clear();
  this->awaitedGangs.clear();
}

void
CellService::ReportCoordinator()
{
  if (const auto newest = this->replay.Token()) {
    this->observer.OnCoordinator(
      this->options.zone, this->replay.Coordinator(), *newest);
  }
}

// Log

journal::AppendTask
CellService::MakeTask(journal::RecordBody aBody, bool aIsFenced)
{
  journal::AppendTask task;
  task.stream = this->stream;
  task.record = { base::MakeRecordId(this->random), std::move(aBody) };
  task.from = this->replay.NextOffset();
  if (aIsFenced) {
    task.fence = this->replay.MakeFence();
  }
  return task;
}

void
CellService::AppendOnce(journal::AppendTask aTask, AppendHandler aHandler)
{
  this->writer.Append(
    std::move(aTask),
    [this, handler = std::move(aHandler)](journal::AppendTask aDone,
                                          Result<LogOffset> aResult) {
      this->loop.Post([handler,
                       task = std::move(aDone),
                       result = std::move(aResult)] { handler(task, result); });
    });
}

void
CellService::AppendWithRetry(journal::RecordBody aBody, CompletionHandler aDone)
{
  this->RetryAppend(this->MakeTask(std::move(aBody), true), std::move(aDone));
}

void
CellService::RetryAppend(journal::AppendTask aTask, CompletionHandler aDone)
{
  this->AppendOnce(
    std::move(aTask),
    [this, done = std::move(aDone), epoch = this->token](
      journal::AppendTask aTried, const Result<LogOffset>& aResult) {
      if (!this->isActing.load() || epoch != this->token) {
        return;
      }
      if (aResult.has_value()) {
        done();
        this->follower.Wake();
      } else if (aResult.error().code == ErrorCode::StaleToken) {
        this->HandleGangEvent(gang::TokenLost{});
      } else {
        // The log is unavailable; the record still has to be written.
        this->logger.Warning("failed to append record, retrying",
                             { { "zone", this->options.zone },
                               { "error", base::Describe(aResult.error()) } });
        this->RetryAppend(std::move(aTried), done);
      }
    });
}

void
CellService::WriteCheckpointIfDue(base::TimePoint aNow)
{
  if (!this->checkpointSchedule || !this->checkpointSchedule->IsDue(aNow) ||
      !this->replay.IsComplete()) {
    return;
  }
  // Marked as failed in advance, so that the next attempt comes only after a
  // delay, whatever the result of this one.
  this->checkpointSchedule->OnWriteFailed(aNow);
  for (auto& record : journal::MakeCellCheckpoint(this->replay, this->random)) {
    auto task = this->MakeTask(std::move(record.body), true);
    this->AppendOnce(std::move(task), [](const auto&, const auto&) {});
  }
}

// Scheduling

void
CellService::HandleSchedulingEvent(const scheduling::Event& aEvent)
{
  if (!this->scheduler) {
    return;
  }
  std::vector<scheduling::Effect> effects;
  const auto start = this->clock.Now();
  this->scheduler->Handle(start, aEvent, effects);
  this->recorder.OnDecision(this->clock.Now() - start);
  for (const auto& effect : effects) {
    std::visit([this](const auto& aEffect) { this->Apply(aEffect); }, effect);
  }
}

void
CellService::Apply(const scheduling::StartGang& aEffect)
{
  auto plan = std::make_shared<job::GangPlan>(aEffect.plan);
  this->logger.Info("gang placed",
                    { { "job", plan->gang.job },
                      { "attempt", plan->gang.attempt },
                      { "members", plan->members.size() } });
  this->attempts[plan->gang] = { gang::KeyOf(*plan), plan->members };
  this->HandleGangEvent(gang::StartGang{ plan });
}

void
CellService::Apply(const scheduling::PreemptGang& aEffect)
{
  this->recorder.OnPreempt(aEffect, this->clock.Now());
  const auto found = this->attempts.find(aEffect.gang);
  if (found == this->attempts.end()) {
    return;
  }
  gang::StopRequested stop;
  stop.key = found->second.key;
  stop.reason = aEffect.reason == scheduling::StopReason::Cancelled
                  ? gang::StopReason::Cancelled
                  : gang::StopReason::Preempted;
  stop.grace =
    std::max(base::Duration::zero(), aEffect.deadline - this->clock.Now());
  this->HandleGangEvent(stop);
}

void
CellService::Apply(const scheduling::RefuseJob& aEffect)
{
  this->recorder.OnJobRefused(aEffect.job);
  this->logger.Info(
    "job refused",
    { { "job", aEffect.job }, { "error", base::Describe(aEffect.error) } });
  this->AppendWithRetry(
    journal::JobEndedRecord{
      this->token, aEffect.job, journal::JobOutcome::Refused, aEffect.error },
    [] {});
}

void
CellService::Apply(const scheduling::EndJob& aEffect)
{
  this->recorder.OnJobEnded(aEffect.job, this->clock.Now());
  this->logger.Info("job ended",
                    { { "job", aEffect.job },
                      { "error",
                        aEffect.error ? base::Describe(*aEffect.error)
                                      : std::string("none") } });
  if (!aEffect.error) {
    // The record of the successful attempt has already ended the job.
    return;
  }
  const bool isCancelled = aEffect.error->code == ErrorCode::Cancelled;
  const auto outcome =
    isCancelled ? journal::JobOutcome::Cancelled : journal::JobOutcome::Failed;
  this->AppendWithRetry(
    journal::JobEndedRecord{ this->token, aEffect.job, outcome, aEffect.error },
    [] {});
}

void
CellService::Apply(const scheduling::ReportShortfall& aEffect)
{
  this->recorder.OnShortfall(aEffect);
  this->logger.Warning("guarantee shortfall changed",
                       { { "account", aEffect.account },
                         { "units", aEffect.units },
                         { "accelerators", aEffect.accelerators } });
}

void
CellService::Apply(const scheduling::ChangeWorkerHealth& aEffect)
{
  this->recorder.OnHealth(aEffect);
  this->logger.Warning("worker health changed",
                       { { "worker", aEffect.worker },
                         { "health", static_cast<int>(aEffect.health) } });
}

std::uint32_t
CellService::UrgencyOf(const base::WorkKindId& aKind) const
{
  const auto* kind = this->policy.FindKind(aKind);
  // Accepted jobs of a withdrawn kind still have to finish, with least urgency.
  return kind == nullptr ? UINT32_MAX : kind->urgency;
}

// Members

void
CellService::OnPolicy(const policy::Policy& aPolicy)
{
  this->loop.Post([this, aPolicy] {
    this->policy = aPolicy;
    this->HandleSchedulingEvent(scheduling::PolicyChanged{ aPolicy.accounts });
  });
}

void
CellService::OnEntries(const std::vector<base::EntryId>& aLive)
{
  this->loop.Post([this, aLive] {
    this->Apply(this->election.OnEntries(aLive, this->clock.Now()));
  });
}

void
CellService::OnHandOver(const base::EntryId& aFrom)
{
  this->loop.Post([this, aFrom] {
    const auto newest = this->replay.Token();
    if (newest && this->replay.Coordinator() == aFrom) {
      this->Apply(this->election.OnHandOver(aFrom, *newest, this->clock.Now()));
    }
  });
}

void
CellService::OnCoordinatorReported(base::FencingToken aToken,
                                   const base::EntryId& aCoordinator)
{
  this->loop.Post([this, aToken, aCoordinator] {
    this->Apply(this->election.OnCoordinatorReported(
      aToken, aCoordinator, this->clock.Now()));
  });
}

void
CellService::OnWorkerUsable(const fleet::Target& aWorker,
                            ConnectionId aConnection)
{
  this->loop.Post([this, aWorker, aConnection] {
    this->workers[aWorker.id] = { aWorker, aConnection, false };
    this->departedWorkers.erase(aWorker.id);
    this->HandleSchedulingEvent(scheduling::WorkerJoined{ aWorker });
    if (auto report = this->earlyReports.extract(aConnection)) {
      this->HandleGangEvent(
        gang::WorkerReported{ aWorker.id, std::move(report.mapped()) },
        aConnection);
    }
  });
}

void
CellService::OnWorkerConnection(const base::TargetId& aWorker,
                                ConnectionId aConnection)
{
  this->loop.Post([this, aWorker, aConnection] {
    const auto found = this->workers.find(aWorker);
    if (found != this->workers.end()) {
      found->second.connection = aConnection;
    }
  });
}

void
CellService::OnWorkerDraining(const base::TargetId& aWorker)
{
  this->loop.Post([this, aWorker] {
    const auto found = this->workers.find(aWorker);
    if (found != this->workers.end()) {
      found->second.isDraining = true;
      this->HandleSchedulingEvent(scheduling::WorkerDraining{ aWorker });
    }
  });
}

void
CellService::OnWorkerGone(const base::TargetId& aWorker)
{
  this->loop.Post([this, aWorker] {
    const auto found = this->workers.find(aWorker);
    if (found == this->workers.end()) {
      return;
    }
    this->workers.erase(found);
    this->departedWorkers[aWorker] = this->clock.Now() + kWorkerReturnTimeout;
    this->HandleSchedulingEvent(scheduling::WorkerLost{ aWorker });
  });
}

// Status

void
CellService::PublishStatusIfDue(base::TimePoint aNow)
{
  if (aNow < this->nextStatus) {
    return;
  }
  this->nextStatus = aNow + kStatusInterval;
  auto next = this->MakeStatus();
  this->recorder.OnStatus(next);
  this->status.Publish(std::move(next));
}

CellStatus
CellService::MakeStatus() const
{
  CellStatus next;
  next.zone = this->options.zone;
  next.isActing = this->isActing.load();
  next.coordinator = this->replay.Coordinator();
  next.token = this->replay.Token().value_or(base::FencingToken(0));
  next.nextOffset = this->replay.NextOffset();
  if (this->scheduler) {
    next.usage = this->scheduler->Usage();
  }
  std::map<base::TargetId, std::uint32_t> held;
  for (const auto& [gang, attempt] : this->attempts) {
    next.attempts.push_back({ gang, attempt.members.size() });
    for (const auto& member : attempt.members) {
      held[member.worker] += member.resources.accelerators;
    }
  }
  for (const auto& [id, worker] : this->workers) {
    const auto all = worker.target.resources.accelerators;
    const auto free = all - std::min(all, held[id]);
    next.workers.push_back(
      { id, worker.target.rack, all, free, worker.isDraining });
    next.freeAccelerators += free;
    next.fragmentedAccelerators += free < all ? free : 0;
  }
  for (const auto* job : this->replay.LiveJobs()) {
    next.jobs.push_back({ job->spec.id,
                          job->spec.account,
                          job->spec.kind,
                          job->phase,
                          job->lastAttempt,
                          job->runs,
                          job->isCancelRequested });
  }
  return next;
}

CellService*
FindCell(std::span<const std::unique_ptr<CellService>> aCells,
         const base::ZoneId& aZone) noexcept
{
  for (const auto& cell : aCells) {
    if (cell->Zone() == aZone) {
      return cell.get();
    }
  }
  return nullptr;
}

} // namespace amaranthwind::entry
