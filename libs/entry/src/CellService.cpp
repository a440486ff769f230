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
constexpr base::Duration kAppendRetryInterval = 1s;
constexpr base::Duration kRetryAfter = 2s;
// Targets link to a new coordinator within a few retries of 500 ms and report
// at once; a gang of which nobody has reported by then is lost.
constexpr base::Duration kReportLimit = 20s;
// The members of a gang watch each other and stop within 5 s. The coordinator
// only has to find out when none of them is left to tell, and must not take a
// broken connection or a daemon that restarts for a lost worker.
constexpr base::Duration kReturnLimit = 10s;
// Of connections on which no heartbeat follows; far above the workers that join
// at the same time.
constexpr std::size_t kMaxEarlyReports = 4096;

journal::AttemptOutcome
ToRecord(gang::AttemptOutcome aOutcome)
{
  switch (aOutcome) {
    case gang::AttemptOutcome::Succeeded:
      return journal::AttemptOutcome::Succeeded;
    case gang::AttemptOutcome::Failed:
      return journal::AttemptOutcome::Failed;
    case gang::AttemptOutcome::Preempted:
      return journal::AttemptOutcome::Preempted;
    case gang::AttemptOutcome::NotRun:
      break;
  }
  return journal::AttemptOutcome::NotRun;
}

scheduling::AttemptOutcome
ToScheduling(gang::AttemptOutcome aOutcome)
{
  switch (aOutcome) {
    case gang::AttemptOutcome::Succeeded:
      return scheduling::AttemptOutcome::Succeeded;
    case gang::AttemptOutcome::Failed:
      return scheduling::AttemptOutcome::Failed;
    case gang::AttemptOutcome::Preempted:
      return scheduling::AttemptOutcome::Preempted;
    case gang::AttemptOutcome::NotRun:
      break;
  }
  return scheduling::AttemptOutcome::NotRun;
}

/** What the log says of an attempt, in the words of the gang protocol. */
gang::AttemptState
ToAttemptState(journal::AttemptFate aFate)
{
  switch (aFate) {
    case journal::AttemptFate::Committed:
      return gang::AttemptState::Committed;
    case journal::AttemptFate::Undecided:
      return gang::AttemptState::Undecided;
    case journal::AttemptFate::Aborted:
    case journal::AttemptFate::Voided:
    case journal::AttemptFate::Ended:
      // A member that only promised does not take part in an ended gang.
      return gang::AttemptState::Aborted;
    case journal::AttemptFate::Unknown:
      break;
  }
  return gang::AttemptState::Unknown;
}

/** Turns the gang messages that a coordinator handles into its events. */
struct ToCoordinatorEvent
{
  template<typename M>
  std::optional<gang::CoordinatorEvent> operator()(const M& aMessage) const
  {
    if constexpr (std::is_constructible_v<gang::CoordinatorEvent, const M&>) {
      return gang::CoordinatorEvent(aMessage);
    } else {
      return std::nullopt;
    }
  }
};

codec::ErrorReply
NotRun(ErrorCode aCode, std::string_view aSubject)
{
  return { { aCode, std::string(aSubject) }, true, kRetryAfter };
}

JobView
MakeQueuedView(const job::JobSpec& aSpec)
{
  JobView view;
  view.state.spec = aSpec;
  return view;
}

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
    [this](journal::AppendTask, const Result<LogOffset>& aResult) {
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

// Gangs

void
CellService::Lead(const gang::CoordinatorEvent& aEvent,
                  std::optional<ConnectionId> aSender)
{
  if (!this->gangs) {
    return;
  }
  const auto outer = std::exchange(this->sender, aSender);
  const auto effects = this->gangs->Handle(this->clock.Now(), aEvent);
  for (const auto& effect : effects) {
    std::visit([this](const auto& aEffect) { this->CarryOut(aEffect); },
               effect);
  }
  this->sender = outer;
}

void
CellService::CarryOut(const gang::SendToMember& aEffect)
{
  std::optional<ConnectionId> connection = this->sender;
  if (!aEffect.worker.IsEmpty()) {
    const auto found = this->workers.find(aEffect.worker);
    connection = found == this->workers.end()
                   ? std::nullopt
                   : std::optional(found->second.connection);
  }
  if (!connection) {
    return;
  }
  std::visit(
    [&](const auto& aMessage) { this->node.Send(*connection, aMessage); },
    aEffect.message);
}

void
CellService::CarryOut(const gang::WriteDecision& aEffect)
{
  const auto known = this->decisions.find(aEffect.key);
  if (known == this->decisions.end()) {
    journal::GangDecisionRecord record;
    record.token = this->token;
    record.gang = aEffect.key.gang;
    record.isCommit = aEffect.decision == gang::Decision::Commit;
    record.members = aEffect.members;
    this->decisions[aEffect.key] = this->MakeTask(record, true);
  }
  this->AppendOnce(this->decisions[aEffect.key],
                   [this, key = aEffect.key](journal::AppendTask aTask,
                                             const Result<LogOffset>& aResult) {
                     this->OnDecisionWritten(key, std::move(aTask), aResult);
                   });
}

void
CellService::OnDecisionWritten(const gang::AttemptKey& aKey,
                               journal::AppendTask aTask,
                               const Result<LogOffset>& aResult)
{
  if (!this->decisions.contains(aKey)) {
    return;
  }
  if (aResult.has_value()) {
    this->decisions.erase(aKey);
    this->Lead(gang::DecisionConfirmed{ aKey });
    this->follower.Wake();
  } else if (aResult.error().code == ErrorCode::StaleToken) {
    this->Lead(gang::TokenLost{});
  } else {
    this->decisions[aKey] = std::move(aTask);
    this->Lead(gang::DecisionUnconfirmed{ aKey });
  }
}

void
CellService::CarryOut(const gang::AttemptWaits& aEffect)
{
  this->logger.Warning("gang waits for the log",
                       { { "job", aEffect.key.gang.job } });
}

void
CellService::CarryOut(const gang::AttemptStarted& aEffect)
{
  const auto fate = this->replay.FateOf(aEffect.key.gang);
  this->recorder.OnStarted(aEffect.key.gang,
                           fate == journal::AttemptFate::Aborted ||
                             fate == journal::AttemptFate::Voided,
                           this->clock.Now());
  this->logger.Info("gang runs",
                    { { "job", aEffect.key.gang.job },
                      { "attempt", aEffect.key.gang.attempt } });
  this->Schedule(scheduling::GangStarted{ aEffect.key.gang });
}

void
CellService::CarryOut(const gang::AttemptEnded& aEffect)
{
  this->recorder.OnAttemptEnded(
    aEffect.key.gang, aEffect.outcome, this->clock.Now());
  this->logger.Info("gang attempt has ended",
                    { { "job", aEffect.key.gang.job },
                      { "attempt", aEffect.key.gang.attempt },
                      { "outcome", static_cast<int>(aEffect.outcome) } });
  if (aEffect.isAborted) {
    this->EndAttempt(aEffect);
    return;
  }
  this->AppendUntilDone(
    journal::AttemptEndedRecord{
      this->token, aEffect.key.gang, ToRecord(aEffect.outcome) },
    [this, ended = aEffect] {
      this->Lead(gang::EndConfirmed{ ended.key });
      this->EndAttempt(ended);
    });
}

void
CellService::EndAttempt(const gang::AttemptEnded& aEnded)
{
  scheduling::GangEnded event;
  event.gang = aEnded.key.gang;
  event.outcome = ToScheduling(aEnded.outcome);
  const auto found = this->attempts.find(aEnded.key.gang);
  if (found != this->attempts.end()) {
    const auto& members = found->second.members;
    if (aEnded.rankAtFault && *aEnded.rankAtFault < members.size()) {
      event.culprit = members[*aEnded.rankAtFault].worker;
    }
    this->attempts.erase(found);
  }
  this->Schedule(event);
}

void
CellService::CarryOut(const gang::CoordinatorSuperseded&)
{
  this->CarryOut(this->election.OnStaleToken(this->token, this->clock.Now()));
}

void
CellService::OnGangReport(ConnectionId aConnection,
                          const protocol::GangReport& aReport)
{
  if (!this->isActing.load() || aReport.cell != this->options.zone) {
    return;
  }
  for (const auto& held : aReport.gangs) {
    this->ResumeOrStop(aConnection, held);
  }
  this->TellWhatWorkerHolds(aConnection, aReport);
}

void
CellService::TellWhatWorkerHolds(ConnectionId aConnection,
                                 const protocol::GangReport& aReport)
{
  std::vector<gang::AttemptKey> held;
  held.reserve(aReport.gangs.size());
  for (const auto& each : aReport.gangs) {
    held.push_back(gang::KeyOf(each.plan));
  }
  for (const auto& [id, worker] : this->workers) {
    if (worker.connection == aConnection) {
      this->Lead(gang::WorkerReported{ id, std::move(held) }, aConnection);
      return;
    }
  }
  // The report came before the first heartbeat, which makes a worker usable.
  if (this->earlyReports.size() >= kMaxEarlyReports) {
    this->earlyReports.clear();
  }
  this->earlyReports[aConnection] = std::move(held);
}

void
CellService::ResumeOrStop(ConnectionId aConnection,
                          const protocol::HeldGang& aHeld)
{
  const auto& gang = aHeld.plan.gang;
  if (this->awaited.erase(gang) > 0) {
    auto plan = std::make_shared<job::GangPlan>(aHeld.plan);
    this->logger.Info("gang is taken over", { { "job", gang.job } });
    this->attempts[gang] = { gang::KeyOf(*plan), plan->members };
    this->Lead(gang::ResumeGang{ plan });
    this->Schedule(scheduling::GangStarted{ gang });
    return;
  }
  const bool isOver = this->replay.FateOf(gang) == journal::AttemptFate::Ended;
  if (isOver && aHeld.phase == gang::MemberPhase::Running) {
    gang::StopGang stop;
    stop.key = gang::KeyOf(aHeld.plan);
    stop.fence = gang::Fence{ this->options.zone, this->token };
    this->node.Send(aConnection, stop);
  }
}

void
CellService::GiveUpAwaited(base::TimePoint aNow)
{
  std::vector<job::GangId> lost;
  for (const auto& [gang, limit] : this->awaited) {
    if (aNow >= limit) {
      lost.push_back(gang);
    }
  }
  for (const auto& gang : lost) {
    this->awaited.erase(gang);
    this->logger.Warning("no member of the gang has reported",
                         { { "job", gang.job } });
    this->AppendUntilDone(
      journal::AttemptEndedRecord{
        this->token, gang, journal::AttemptOutcome::Failed },
      [this, gang] {
        scheduling::GangEnded event;
        event.gang = gang;
        event.outcome = scheduling::AttemptOutcome::Failed;
        this->Schedule(event);
      });
  }
}

void
CellService::GiveUpDeparted(base::TimePoint aNow)
{
  std::vector<base::TargetId> lost;
  for (const auto& [worker, limit] : this->departed) {
    if (aNow >= limit) {
      lost.push_back(worker);
    }
  }
  for (const auto& worker : lost) {
    this->departed.erase(worker);
    this->Lead(gang::WorkerLost{ worker });
  }
}

void
CellService::AnswerOutcome(ConnectionId aConnection,
                           const gang::OutcomeQuery& aQuery)
{
  this->node.Send(aConnection,
                  gang::OutcomeReply{ aQuery.key, this->StateOf(aQuery.key) });
}

gang::AttemptState
CellService::StateOf(const gang::AttemptKey& aKey) const
{
  if (this->gangs) {
    const auto state = this->gangs->StateOf(aKey);
    if (state != gang::AttemptState::Unknown) {
      return state;
    }
  }
  const auto state = ToAttemptState(this->replay.FateOf(aKey.gang));
  const bool isOld = this->replay.IsComplete() && this->isLoaded.load() &&
                     this->replay.Token() &&
                     aKey.planToken < *this->replay.Token();
  // A job that nobody remembers has ended; nothing of it is still to come.
  return state == gang::AttemptState::Unknown && isOld
           ? gang::AttemptState::Aborted
           : state;
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
CellService::OnCoordinatorTold(base::FencingToken aToken,
                               const base::EntryId& aCoordinator)
{
  this->loop.Post([this, aToken, aCoordinator] {
    this->CarryOut(this->election.OnCoordinatorTold(
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

void
CellService::OnMessage(ConnectionId aConnection,
                       const protocol::Message& aMessage)
{
  this->loop.Post([this, aConnection, message = aMessage] {
    if (const auto* query = std::get_if<gang::OutcomeQuery>(&message)) {
      // A cell that does not know the job would take it for an old one.
      if (query->cell == this->options.zone) {
        this->AnswerOutcome(aConnection, *query);
      }
    } else if (const auto* report =
                 std::get_if<protocol::GangReport>(&message)) {
      this->OnGangReport(aConnection, *report);
    } else if (this->IsWorker(aConnection)) {
      if (const auto event = std::visit(ToCoordinatorEvent{}, message)) {
        this->Lead(*event, aConnection);
      }
    }
  });
}

bool
CellService::IsWorker(ConnectionId aConnection) const
{
  return std::any_of(
    this->workers.begin(), this->workers.end(), [&](const auto& aWorker) {
      return aWorker.second.connection == aConnection;
    });
}

// Jobs

JobResult
CellService::NotCoordinator() const
{
  return boost::outcome_v2::failure(
    NotRun(ErrorCode::NotReady, "coordinator of " + this->options.zone.Text()));
}

std::optional<JobView>
CellService::ViewOf(const base::JobId& aJob) const
{
  const auto* state = this->replay.Find(aJob);
  if (state == nullptr) {
    const auto found = this->accepted.find(aJob);
    return found == this->accepted.end()
             ? std::nullopt
             : std::optional(MakeQueuedView(found->second));
  }
  JobView view{ *state, std::nullopt };
  if (this->scheduler && state->phase == journal::JobPhase::Queued) {
    const auto wait = this->scheduler->ExplainWait(this->clock.Now(), aJob);
    if (wait.has_value()) {
      view.wait = wait.value();
    }
  }
  return view;
}

void
CellService::Submit(job::JobSpec aSpec, JobHandler aHandler)
{
  const bool isAccepted =
    this->loop.TryPost([this, spec = std::move(aSpec), aHandler] {
      this->SubmitOnLoop(spec, aHandler);
    });
  if (!isAccepted) {
    aHandler(boost::outcome_v2::failure(
      NotRun(ErrorCode::QueueFull, this->options.zone.View())));
  }
}

void
CellService::SubmitOnLoop(const job::JobSpec& aSpec, const JobHandler& aHandler)
{
  if (!this->isActing.load()) {
    aHandler(this->NotCoordinator());
    return;
  }
  if (const auto known = this->ViewOf(aSpec.id)) {
    if (known->state.spec == aSpec) {
      aHandler(*known);
    } else {
      aHandler(boost::outcome_v2::failure(codec::ErrorReply{
        { ErrorCode::KeyReused, aSpec.id.Text() }, true, std::nullopt }));
    }
    return;
  }
  if (!this->accepting.insert(aSpec.id).second) {
    // The same submission is on its way; its outcome is not known yet.
    aHandler(boost::outcome_v2::failure(codec::ErrorReply{
      { ErrorCode::OutcomeUnknown, aSpec.id.Text() }, false, kRetryAfter }));
    return;
  }
  this->AppendOnce(
    this->MakeTask(journal::JobAcceptedRecord{ this->token, aSpec }, true),
    [this, aSpec, aHandler](journal::AppendTask aTask,
                            const Result<LogOffset>& aResult) {
      this->OnAccepted(aSpec, aHandler, std::move(aTask), aResult);
    });
}

void
CellService::OnAccepted(const job::JobSpec& aSpec,
                        const JobHandler& aHandler,
                        journal::AppendTask aTask,
                        const Result<LogOffset>& aResult)
{
  if (aResult.has_error() &&
      aResult.error().code == ErrorCode::AppendUnconfirmed) {
    // The caller hears of it when it is known whether the job is accepted.
    this->AppendOnce(std::move(aTask),
                     [this, aSpec, aHandler](journal::AppendTask aTried,
                                             const Result<LogOffset>& aAgain) {
                       this->OnAccepted(
                         aSpec, aHandler, std::move(aTried), aAgain);
                     });
    return;
  }
  this->accepting.erase(aSpec.id);
  if (aResult.has_error()) {
    if (aResult.error().code == ErrorCode::StaleToken) {
      this->Lead(gang::TokenLost{});
    }
    aHandler(boost::outcome_v2::failure(
      NotRun(aResult.error().code, this->options.zone.View())));
    return;
  }
  this->logger.Info("job is accepted",
                    { { "job", aSpec.id }, { "account", aSpec.account } });
  this->accepted[aSpec.id] = aSpec;
  this->recorder.OnAccepted(
    aSpec.id, this->UrgencyOf(aSpec.kind), this->clock.Now());
  this->follower.Wake();
  aHandler(MakeQueuedView(aSpec));
  this->Schedule(
    scheduling::JobSubmitted{ aSpec, this->UrgencyOf(aSpec.kind) });
}

void
CellService::Query(const base::JobId& aJob, JobHandler aHandler)
{
  this->loop.Post([this, aJob, handler = std::move(aHandler)] {
    if (auto view = this->ViewOf(aJob)) {
      handler(std::move(*view));
    } else {
      handler(boost::outcome_v2::failure(codec::ErrorReply{
        { ErrorCode::UnknownJob, aJob.Text() }, false, std::nullopt }));
    }
  });
}

void
CellService::Cancel(const base::JobId& aJob, JobHandler aHandler)
{
  this->loop.Post([this, aJob, handler = std::move(aHandler)] {
    this->CancelOnLoop(aJob, handler);
  });
}

void
CellService::CancelOnLoop(const base::JobId& aJob, const JobHandler& aHandler)
{
  if (!this->isActing.load()) {
    aHandler(this->NotCoordinator());
    return;
  }
  auto view = this->ViewOf(aJob);
  if (!view) {
    aHandler(boost::outcome_v2::failure(codec::ErrorReply{
      { ErrorCode::UnknownJob, aJob.Text() }, false, std::nullopt }));
    return;
  }
  if (view->state.phase == journal::JobPhase::Ended ||
      view->state.isCancelRequested) {
    aHandler(std::move(*view));
    return;
  }
  view->state.isCancelRequested = true;
  this->AppendUntilDone(journal::JobCancelledRecord{ this->token, aJob },
                        [this, aJob, aHandler, answer = *view] {
                          aHandler(answer);
                          this->Schedule(scheduling::JobCancelled{ aJob });
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

} // namespace amaranthwind::entry
