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
constexpr base::Duration kScheduleInterval = 250ms;
// A snapshot copies all live jobs, so that it is not made at each tick.
constexpr base::Duration kStatusInterval = 500ms;
// Targets link to a new coordinator within a few retries of 500 ms and report
// at once; a gang of which nobody has reported by then is lost.
constexpr base::Duration kReportLimit = 20s;
// The members of a gang watch each other and stop within 5 s. The coordinator
// only has to find out when none of them is left to tell, and must not take a
// broken connection or a daemon that restarts for a lost worker.
constexpr base::Duration kReturnLimit = 10s;

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
    this->CarryOut(this->election.HandOver(this->clock.Now()));
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
  const auto tokenBefore = this->replay.Token();
  for (const auto& record : this->replay.Consume(aBatch)) {
    if (record.verdict == journal::Verdict::Malformed) {
      this->logger.Warning("record is not readable",
                           { { "zone", this->options.zone },
                             { "offset", record.offset },
                             { "error", base::Describe(record.error) } });
    }
  }
  std::erase_if(this->accepted, [this](const auto& aJob) {
    return this->replay.Find(aJob.first) != nullptr;
  });
  const auto now = this->clock.Now();
  if (this->replay.Token() != tokenBefore) {
    this->CarryOut(this->election.OnEpoch(
      *this->replay.Token(), this->replay.Coordinator(), now));
    this->TellCoordinator();
  }
  if (aIsAtEnd && this->replay.IsComplete()) {
    this->isLoaded.store(true);
    if (!this->checkpoints) {
      this->checkpoints.emplace(
        this->options.logRetention, this->replay.NewestCheckpoint(), now);
    }
    this->CarryOut(this->election.OnCaughtUp(now));
  }
  if (this->checkpoints) {
    this->checkpoints->OnSeen(this->replay.NewestCheckpoint(), now);
  }
}

void
CellService::OnTick()
{
  const auto now = this->clock.Now();
  this->CarryOut(this->election.OnTick(now));
  this->PublishStatusIfDue(now);
  if (!this->gangs) {
    return;
  }
  const auto due = this->gangs->NextDeadline();
  if (due && now >= *due) {
    this->Lead(gang::Tick{});
  }
  if (this->scheduler && now >= this->nextScheduleTick) {
    this->nextScheduleTick = now + kScheduleInterval;
    this->Schedule(scheduling::Tick{});
  }
  this->GiveUpAwaited(now);
  this->GiveUpDeparted(now);
  this->WriteCheckpointIfDue(now);
}

// Election

void
CellService::CarryOut(const membership::ElectionEffects& aEffects)
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
  this->logger.Info("takes over", { { "zone", this->options.zone } });
  this->AppendOnce(
    this->MakeTask(journal::EpochRecord{ this->options.self }, false),
    [this](const journal::AppendTask&, const Result<LogOffset>& aResult) {
      const auto now = this->clock.Now();
      if (aResult.has_value()) {
        this->CarryOut(this->election.OnEpochAppended(
          base::FencingToken(aResult.value().Get()), now));
        this->follower.Wake();
      } else {
        this->CarryOut(
          this->election.OnEpochAppended(base::failure(aResult.error()), now));
      }
    });
}

void
CellService::StartActing(base::FencingToken aToken)
{
  this->logger.Info("coordinates the cell",
                    { { "zone", this->options.zone }, { "token", aToken } });
  this->token = aToken;
  scheduling::SchedulerSettings settings;
  settings.zone = this->options.zone;
  settings.token = aToken;
  this->scheduler = std::make_unique<scheduling::CellScheduler>(settings);
  this->gangs = std::make_unique<gang::GangCoordinator>(
    gang::Fence{ this->options.zone, aToken });
  this->isActing.store(true);
  // Jobs come before workers, so that no worker looks free on which one runs.
  this->Schedule(scheduling::PolicyChanged{ this->policy.accounts });
  for (const auto* job : this->replay.LiveJobs()) {
    this->RestoreJob(*job);
  }
  for (const auto& [id, worker] : this->workers) {
    this->Schedule(scheduling::WorkerJoined{ worker.target });
    if (worker.isDraining) {
      this->Schedule(scheduling::WorkerDraining{ id });
    }
  }
  this->TellCoordinator();
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
    this->awaited[{ aJob.spec.id, aJob.lastAttempt }] =
      this->clock.Now() + kReportLimit;
    this->Lead(gang::DeferEndAck{ { aJob.spec.id, aJob.lastAttempt } });
  }
  this->Schedule(restored);
  if (aJob.isCancelRequested) {
    this->Schedule(scheduling::JobCancelled{ aJob.spec.id });
  }
}

void
CellService::StopActing(std::string_view aReason)
{
  if (!this->isActing.exchange(false)) {
    return;
  }
  this->logger.Warning(
    "no longer coordinates the cell",
    { { "zone", this->options.zone }, { "reason", aReason } });
  this->recorder.OnStopActing();
  this->scheduler.reset();
  this->gangs.reset();
  this->attempts.clear();
  this->decisions.clear();
  this->awaited.clear();
}

void
CellService::TellCoordinator()
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
CellService::AppendUntilDone(journal::RecordBody aBody, Done aDone)
{
  this->RetryAppend(this->MakeTask(std::move(aBody), true), std::move(aDone));
}

void
CellService::RetryAppend(journal::AppendTask aTask, Done aDone)
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
        this->Lead(gang::TokenLost{});
      } else {
        // An outage of the log: what has ended stays to be written.
        this->logger.Warning("record waits for the log",
                             { { "zone", this->options.zone },
                               { "error", base::Describe(aResult.error()) } });
        this->RetryAppend(std::move(aTried), done);
      }
    });
}

void
CellService::WriteCheckpointIfDue(base::TimePoint aNow)
{
  if (!this->checkpoints || !this->checkpoints->IsDue(aNow) ||
      !this->replay.IsComplete()) {
    return;
  }
  // Another try only after a while, whatever becomes of this one.
  this->checkpoints->OnFailed(aNow);
  for (auto& record : journal::MakeCellCheckpoint(this->replay, this->random)) {
    auto task = this->MakeTask(std::move(record.body), true);
    this->AppendOnce(std::move(task), [](const auto&, const auto&) {});
  }
}

// Scheduling

void
CellService::Schedule(const scheduling::Event& aEvent)
{
  if (!this->scheduler) {
    return;
  }
  std::vector<scheduling::Effect> effects;
  const auto start = this->clock.Now();
  this->scheduler->Handle(start, aEvent, effects);
  this->recorder.OnDecision(this->clock.Now() - start);
  for (const auto& effect : effects) {
    std::visit([this](const auto& aEffect) { this->CarryOut(aEffect); },
               effect);
  }
}

void
CellService::CarryOut(const scheduling::StartGang& aEffect)
{
  auto plan = std::make_shared<job::GangPlan>(aEffect.plan);
  this->logger.Info("gang is placed",
                    { { "job", plan->gang.job },
                      { "attempt", plan->gang.attempt },
                      { "members", plan->members.size() } });
  this->attempts[plan->gang] = { gang::KeyOf(*plan), plan->members };
  this->Lead(gang::StartGang{ plan });
}

void
CellService::CarryOut(const scheduling::PreemptGang& aEffect)
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
  this->Lead(stop);
}

void
CellService::CarryOut(const scheduling::RefuseJob& aEffect)
{
  this->recorder.OnJobRefused(aEffect.job);
  this->logger.Info(
    "job is refused",
    { { "job", aEffect.job }, { "error", base::Describe(aEffect.error) } });
  this->AppendUntilDone(
    journal::JobEndedRecord{
      this->token, aEffect.job, journal::JobOutcome::Refused, aEffect.error },
    [] {});
}

void
CellService::CarryOut(const scheduling::EndJob& aEffect)
{
  this->recorder.OnJobEnded(aEffect.job, this->clock.Now());
  this->logger.Info("job has ended",
                    { { "job", aEffect.job },
                      { "error",
                        aEffect.error ? base::Describe(*aEffect.error)
                                      : std::string("none") } });
  if (!aEffect.error) {
    // The record of the attempt's success has ended the job already.
    return;
  }
  const bool isCancelled = aEffect.error->code == ErrorCode::Cancelled;
  const auto outcome =
    isCancelled ? journal::JobOutcome::Cancelled : journal::JobOutcome::Failed;
  this->AppendUntilDone(
    journal::JobEndedRecord{ this->token, aEffect.job, outcome, aEffect.error },
    [] {});
}

void
CellService::CarryOut(const scheduling::ReportShortfall& aEffect)
{
  this->recorder.OnShortfall(aEffect);
  this->logger.Warning("guarantee does not fit the fleet",
                       { { "account", aEffect.account },
                         { "units", aEffect.units },
                         { "accelerators", aEffect.accelerators } });
}

void
CellService::CarryOut(const scheduling::ChangeWorkerHealth& aEffect)
{
  this->recorder.OnHealth(aEffect);
  this->logger.Warning("worker health changes",
                       { { "worker", aEffect.worker },
                         { "health", static_cast<int>(aEffect.health) } });
}

std::uint32_t
CellService::UrgencyOf(const base::WorkKindId& aKind) const
{
  const auto* kind = this->policy.FindKind(aKind);
  // A kind that was withdrawn still has to finish what was accepted.
  return kind == nullptr ? UINT32_MAX : kind->urgency;
}

// Members

void
CellService::OnPolicy(const policy::Policy& aPolicy)
{
  this->loop.Post([this, aPolicy] {
    this->policy = aPolicy;
    this->Schedule(scheduling::PolicyChanged{ aPolicy.accounts });
  });
}

void
CellService::OnEntries(const std::vector<base::EntryId>& aLive)
{
  this->loop.Post([this, aLive] {
    this->CarryOut(this->election.OnEntries(aLive, this->clock.Now()));
  });
}

void
CellService::OnHandOver(const base::EntryId& aFrom)
{
  this->loop.Post([this, aFrom] {
    const auto newest = this->replay.Token();
    if (newest && this->replay.Coordinator() == aFrom) {
      this->CarryOut(
        this->election.OnHandOver(aFrom, *newest, this->clock.Now()));
    }
  });
}

void
CellService::OnCoordinatorReported(base::FencingToken aToken,
                                   const base::EntryId& aCoordinator)
{
  this->loop.Post([this, aToken, aCoordinator] {
    this->CarryOut(this->election.OnCoordinatorReported(
      aToken, aCoordinator, this->clock.Now()));
  });
}

void
CellService::OnWorkerUsable(const fleet::Target& aWorker,
                            ConnectionId aConnection)
{
  this->loop.Post([this, aWorker, aConnection] {
    this->workers[aWorker.id] = { aWorker, aConnection, false };
    this->departed.erase(aWorker.id);
    this->Schedule(scheduling::WorkerJoined{ aWorker });
    if (auto report = this->earlyReports.extract(aConnection)) {
      this->Lead(gang::WorkerReported{ aWorker.id, std::move(report.mapped()) },
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
      this->Schedule(scheduling::WorkerDraining{ aWorker });
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
    this->departed[aWorker] = this->clock.Now() + kReturnLimit;
    this->Schedule(scheduling::WorkerLost{ aWorker });
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
    next.scatteredAccelerators += free < all ? free : 0;
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
