#include "amaranthwind/coordinator/Coordinator.h"

#include "AgentSessions.h"
#include "DecisionLog.h"
#include "DispatchRunner.h"
#include "LeaderLog.h"
#include "LoadMonitor.h"
#include "Submissions.h"
#include "WorkBudget.h"
#include "amaranthwind/codec/LearnedCodec.h"
#include "amaranthwind/membership/InheritedGrants.h"
#include "amaranthwind/protocol/Node.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <future>
#include <utility>

namespace amaranthwind::coordinator {

using base::ErrorCode;
using base::TimePoint;
using protocol::ConnectionId;
using namespace std::chrono_literals;

namespace {

/** Short intervals, so that the loss of an agent is noticed quickly. */
const protocol::NodeOptions kNodeOptions{ .pingInterval = 1000ms,
                                          .silenceTimeout = 2500ms,
                                          .connectTimeout = 800ms,
                                          .maxConnections = 1024 };
constexpr base::Duration kTickInterval = 500ms;
/** Interval between attempts to reach the previous coordinator. */
constexpr base::Duration kPredecessorRetryInterval = 500ms;
/**
 * Limit of the memory for cancellations of jobs that are not accepted, which
 * counts each as a job without steps.
 */
constexpr std::size_t kMaxEarlyCancellationBytes =
  std::size_t{ 4 } * 1024 * 1024;

job::WorkflowSpec
MakeEmptyJob(const base::JobId& aJob, const base::AccountId& aAccount)
{
  job::WorkflowSpec spec;
  spec.id = aJob;
  spec.account = aAccount;
  return spec;
}

/**
 * Notes progress during a scheduling pass. A leader whose passes are long is
 * not replaced for it: its successor would have to run the same passes.
 */
class ProgressPacking final : public dispatch::Packing
{
public:
  ProgressPacking(std::unique_ptr<dispatch::Packing> aPacking,
                  base::ProgressExecutor& aExecutor)
    : packing(std::move(aPacking))
    , executor(aExecutor)
  {
  }
  std::vector<std::uint32_t> Pack(
    std::span<const dispatch::PackingWorker> aWorkers,
    const dispatch::PackingRequest& aRequest) const override
  {
    this->executor.NoteProgress();
    return this->packing->Pack(aWorkers, aRequest);
  }

private:
  const std::unique_ptr<dispatch::Packing> packing;
  base::ProgressExecutor& executor;
};

CoordinatorOptions
NoteProgressOfPasses(CoordinatorOptions aOptions,
                     base::ProgressExecutor& aExecutor)
{
  aOptions.makePacking = [make = std::move(aOptions.makePacking), &aExecutor] {
    return std::make_unique<ProgressPacking>(make(), aExecutor);
  };
  return aOptions;
}

} // namespace

struct Coordinator::Impl final
  : std::enable_shared_from_this<Impl>
  , journal::FollowerObserver
  , LeaderObserver
  , SessionObserver
  , SharedAppender
{
  Impl(const CoordinatorOptions& aOptions,
       const base::Clock& aClock,
       base::ProgressExecutor& aExecutor,
       base::Executor& aHeartbeatExecutor,
       const protocol::MessagePortFactory& aMakePort,
       journal::KeyedLog& aLog,
       const ledger::RecordCodec& aCodec,
       telemetry::Logger& aLogger,
       telemetry::Metrics& aMetrics)
    : options(NoteProgressOfPasses(aOptions, aExecutor))
    , clock(aClock)
    , executor(aExecutor)
    , log(aLog)
    , codec(aCodec)
    , logger(aLogger)
    , decisions(aLogger, aMetrics)
    , load(aClock, aLogger, aMetrics)
    , endRecordLog(aLogger, aMetrics)
    , submitTime(aMetrics.MakeHistogram(
        { "submit_seconds", "From a job's request to its acceptance." },
        std::array{ 0.005, 0.01, 0.02, 0.05, 0.1, 0.3, 1.0, 3.0 }))
    , evacuatedZoneCount(aMetrics.MakeGauge(
        { "evacuated_zones",
          "Availability zones whose workers get no further tasks." }))
    , acceptedBytes(aMetrics.MakeGauge(
        { "accepted_bytes",
          "Memory that the accepted jobs may take, by their sizes." }))
    , budget(aClock, aOptions.maxAcceptedBytes)
    , earlyCancellations(aClock, kMaxEarlyCancellationBytes)
    , table(aCodec)
    , submissions(aClock, aExecutor, aHeartbeatExecutor, aLog, *this, aMetrics)
    , sessions(aMakePort, aClock, aExecutor, aLogger, this->load, *this)
    , forwarder(aClock, aExecutor, aLog, this->sessions, aLogger)
    , leaderLog({ .self = aOptions.self, .incarnation = aOptions.incarnation },
                aClock,
                aExecutor,
                aHeartbeatExecutor,
                aLog,
                aLogger,
                *this)
    , follower({ .topic = { std::string(kJobTopic), 0 } },
               aClock,
               aExecutor,
               aLog,
               *this)
    , inheritedGrants(aOptions.self, aOptions.InheritedGrantDuration())
  {
  }

  // Jobs.

  void OnLoaded(std::span<const journal::KeyedRecord> aNewest) override
  {
    this->learned.clear();
    this->KeepLearned(aNewest);
    this->OnChanges(this->table.Load(aNewest));
    this->logger.Info(
      "jobs loaded",
      { { "records", aNewest.size() }, { "jobs", this->table.Size() } });
    this->isLoaded.store(true);
  }

  void OnRecords(std::span<const journal::KeyedRecord> aRecords) override
  {
    this->KeepLearned(aRecords);
    this->OnChanges(this->table.Apply(aRecords));
  }

  void KeepLearned(std::span<const journal::KeyedRecord> aRecords)
  {
    for (const auto& record : aRecords) {
      if (this->options.makeLearner && record.key == kLearnedKey) {
        // One byte too many is enough to refuse a record that is too large.
        this->learned = record.value.substr(0, codec::kMaxLearnedBytes + 1);
      }
    }
  }

  /** What earlier coordinators learned; empty if nothing usable is known. */
  estimation::LearnedSummary ReadLearned() const
  {
    if (this->learned.empty()) {
      return {};
    }
    auto summary = codec::DecodeLearned(this->learned);
    if (summary.has_error()) {
      this->logger.Warning("learned run times ignored",
                           { { "error", base::Describe(summary.error()) } });
      return {};
    }
    return std::move(summary.value());
  }

  void OnChanges(const ledger::TableChanges& aChanges)
  {
    for (const auto& undecodable : aChanges.undecodable) {
      this->logger.Warning("failed to decode log record",
                           { { "key", undecodable.key },
                             { "offset", undecodable.offset },
                             { "error", base::Describe(undecodable.error) } });
    }
    for (const auto& id : aChanges.jobs) {
      const ledger::JobEntry* entry = this->table.Find(id);
      if (entry == nullptr) {
        this->budget.OnForgotten(id);
        this->directory.Publish(id, std::nullopt);
        this->OnUnacceptedJob(id);
        continue;
      }
      this->earlyCancellations.OnForgotten(id);
      this->budget.OnJob(id, *entry->spec);
      this->directory.Publish(id,
                              JobStatus{ entry->Phase(), entry->spec->kind });
      if (this->runner != nullptr) {
        this->runner->OnJob(*entry);
      }
    }
    this->acceptedBytes.Set(static_cast<double>(this->budget.Used()));
    if (this->runner != nullptr) {
      this->runner->FinishBatch();
    }
  }

  void OnUnacceptedJob(const base::JobId& aJob)
  {
    const auto* cancellation = this->table.FindEarlyCancellation(aJob);
    if (cancellation == nullptr) {
      this->earlyCancellations.OnForgotten(aJob);
      return;
    }
    this->earlyCancellations.OnJob(
      aJob, MakeEmptyJob(aJob, cancellation->cancelledBy));
    if (this->runner != nullptr) {
      this->runner->OnEarlyCancellation(aJob);
    }
  }

  void OnCurrent(TimePoint aAsOf) override
  {
    this->currentAsOf.store(
      std::max(this->currentAsOf.load(), aAsOf.time_since_epoch().count()));
    if (std::exchange(this->isLogDown, false)) {
      this->logger.Info("log available again", { { "topic", kJobTopic } });
    }
    if (this->runner != nullptr) {
      this->runner->OnJobsConfirmed(aAsOf);
    }
  }

  void OnUnavailable(const base::Error& aError) override
  {
    this->isLogDown = true;
    this->logger.Warning(
      "log unavailable",
      { { "topic", kJobTopic }, { "error", base::Describe(aError) } });
  }

  // Leadership.

  void OnElected(base::FencingToken aToken,
                 const std::optional<membership::LeaderTerm>& aFormer) override
  {
    this->runner = std::make_unique<DispatchRunner>(
      this->options,
      aToken,
      this->clock,
      this->executor,
      this->log,
      this->codec,
      this->sessions,
      this->decisions,
      this->load,
      this->endRecordLog,
      [this, aToken] {
        this->logger.Warning("records refused: a newer coordinator writes",
                             { { "token", aToken } });
        // Deferred because StepDown() destroys the runner, which calls this.
        this->executor.Post([this] { this->leaderLog.StepDown(); });
      });
    this->predecessor.reset();
    this->inheritedGrants.OnElected(aFormer, this->clock.Now());
    this->isSettled = false;
    this->UpdateSettled();
    if (this->inheritedGrants.IsFormerActive()) {
      this->predecessorAddress = aFormer->claim.address;
      this->NotifyPredecessor(aToken);
    }
    this->runner->FencePredecessors([this, aToken] {
      this->follower.Confirm([this, aToken](bool aIsConfirmed) {
        this->StartDispatching(aToken, aIsConfirmed);
      });
    });
  }

  void StartDispatching(base::FencingToken aToken, bool aIsConfirmed)
  {
    if (this->runner == nullptr || this->runner->Token() != aToken) {
      return;
    }
    if (!aIsConfirmed) {
      this->executor.RunAfter(100ms, [this, aToken] {
        this->follower.Confirm([this, aToken](bool aIsNowConfirmed) {
          this->StartDispatching(aToken, aIsNowConfirmed);
        });
      });
      return;
    }
    this->logger.Info("started coordinating",
                      { { "token", aToken }, { "jobs", this->table.Size() } });
    this->runner->StartDispatching(
      this->table, this->guarantees, this->ReadLearned());
    this->runner->OnEvacuations(this->evacuatedZones, this->evacuationsAsOf);
    this->runner->OnJobsConfirmed(
      TimePoint(TimePoint::duration(this->currentAsOf.load())));
  }

  void OnDeposed() override
  {
    if (this->runner != nullptr) {
      this->logger.Warning(
        "stopped coordinating",
        { { "token", this->runner->Token() },
          { "undurableRecords", this->runner->UndurableRecords() } });
      this->runner->GiveUpSubmissions();
    }
    this->runner.reset();
    const auto& leader = this->leaderLog.Election().Leader();
    if (leader && !leader->isResigned && leader->holder != this->options.self) {
      this->sessions.SendToAll(protocol::LeaderNotice{
        this->leaderLog.Election().Token(), leader->address });
    }
  }

  void UpdateSettled()
  {
    if (this->runner == nullptr || this->isSettled) {
      return;
    }
    // The pulse that says so may be read after the claim that it precedes.
    this->inheritedGrants.OnTermSettled(
      this->leaderLog.Election().SettledToken());
    if (this->inheritedGrants.IsSettled(this->clock.Now())) {
      this->isSettled = true;
      this->logger.Info("grants of earlier coordinators bounded",
                        { { "token", this->runner->Token() } });
      this->runner->OnPredecessorSteppedDown();
      this->leaderLog.MarkSettled();
    }
  }

  /**
   * Notifies the previous coordinator that it has been replaced. Its
   * confirmation bounds the time of the grants that it issued.
   */
  void NotifyPredecessor(base::FencingToken aToken)
  {
    if (this->runner == nullptr || this->runner->Token() != aToken ||
        !this->inheritedGrants.IsFormerActive()) {
      return;
    }
    if (this->isSettled) {
      // Its grants have ended by themselves.
      if (this->predecessor) {
        this->sessions.Close(*this->predecessor);
      }
      return;
    }
    if (!this->predecessor) {
      this->predecessor = this->sessions.Connect(this->predecessorAddress);
      this->sessions.SendTo(
        *this->predecessor,
        protocol::LeaderNotice{ aToken, this->innerAddress });
    }
    this->executor.RunAfter(kPredecessorRetryInterval, [this, aToken] {
      this->NotifyPredecessor(aToken);
    });
  }

  // Sessions.

  void OnReport(ConnectionId aConnection,
                const protocol::AgentReport& aReport,
                TimePoint aReceivedAt) override
  {
    const auto& election = this->leaderLog.Election();
    if (election.IsLeader() && aReport.token > election.OwnToken()) {
      this->logger.Warning(
        "agent reported a newer coordinator",
        { { "agent", aReport.report.agent }, { "token", aReport.token } });
      this->leaderLog.OnNewerLeader(aReport.token);
    }
    if (!election.IsLeader()) {
      const auto& leader = election.Leader();
      if (leader && !leader->isResigned &&
          leader->holder != this->options.self) {
        this->sessions.SendTo(
          aConnection,
          protocol::LeaderNotice{ election.Token(), leader->address });
      }
      return;
    }
    if (this->runner == nullptr || !this->runner->IsDispatching()) {
      return;
    }
    const TimePoint now = this->clock.Now();
    if (now - this->leaderLog.ConfirmedAt() > this->options.maxLogSilence) {
      // Another coordinator may have been elected in the meantime.
      this->logger.Warning("grant withheld: log has not answered for too long",
                           { { "agent", aReport.report.agent } });
      return;
    }
    // The stops that the report causes go ahead of the grant: with a new lease,
    // the worker could carry out a late start of a run that was given up.
    const base::FencingToken token = election.OwnToken();
    this->runner->OnReport(aConnection, aReport, aReceivedAt);
    this->sessions.SendTo(
      aConnection,
      protocol::AgentGrant{ aReport.sequence, token, this->options.grant });
  }

  void OnOutcome(ConnectionId aConnection,
                 const base::AgentId& aAgent,
                 const protocol::AgentOutcome& aOutcome) override
  {
    if (this->runner != nullptr) {
      this->runner->OnOutcome(aConnection, aAgent, aOutcome);
    }
  }

  void OnBatchHandled() override
  {
    if (this->runner != nullptr) {
      this->runner->FinishBatch();
    }
  }

  void OnLeaderNotice(ConnectionId aConnection,
                      const protocol::LeaderNotice& aNotice) override
  {
    const auto& election = this->leaderLog.Election();
    if (election.IsLeader() && aNotice.token == election.OwnToken()) {
      // The previous coordinator confirms that it has stepped down.
      if (this->predecessor == aConnection && this->runner != nullptr) {
        this->logger.Info("previous coordinator stepped down", {});
        this->inheritedGrants.OnFormerStopped();
        this->UpdateSettled();
        this->sessions.Close(aConnection);
      }
      return;
    }
    if (election.IsLeader() && aNotice.token < election.OwnToken()) {
      return;
    }
    if (election.IsLeader()) {
      this->logger.Warning(
        "notified of a newer coordinator",
        { { "token", aNotice.token }, { "address", aNotice.address } });
      this->sessions.SendToAll(aNotice);
    }
    this->leaderLog.OnNewerLeader(aNotice.token);
    // Grants of an even earlier coordinator may outlast those of this one.
    if (this->inheritedGrants.IsSettled(this->clock.Now())) {
      this->sessions.SendTo(aConnection, aNotice);
    }
  }

  // Records of callers.

  /** Whether the log takes the records that the job will have. */
  bool CanRecord(const job::WorkflowSpec& aSpec,
                 const journal::KeyedValue& aAccepted) const
  {
    const std::size_t limit = this->log.Limits().recordBytes;
    return journal::SizeOf(aAccepted) <= limit &&
           std::all_of(aSpec.steps.begin(),
                       aSpec.steps.end(),
                       [&](const job::StepSpec& aStep) {
                         return aStep.count * ledger::kMaxTaskRecordBytes <=
                                limit;
                       });
  }

  base::Result<void> CheckAlone(const journal::KeyedValue& aRecord) override
  {
    const auto key = ledger::ParseKey(aRecord.key);
    return key.kind == ledger::RecordKind::Accepted
             ? this->budget.Check(key.step.job)
             : base::success();
  }

  void AppendShared(journal::KeyedValue aRecord,
                    base::Duration aTimeout,
                    AppendHandler aHandler) override
  {
    if (this->runner != nullptr) {
      this->runner->Append(
        std::move(aRecord),
        [handler = std::move(aHandler)](protocol::AppendState aState) {
          if (aState != protocol::AppendState::Queued) {
            handler(aState);
          }
        });
      this->runner->FinishBatch();
      return;
    }
    this->FollowCoordinator();
    this->forwarder.Forward(std::move(aRecord), aTimeout, std::move(aHandler));
  }

  /** What a former coordinator still has to answer is appended otherwise. */
  void FollowCoordinator()
  {
    const auto& leader = this->leaderLog.Election().Leader();
    const bool isElsewhere =
      leader && !leader->isResigned && leader->holder != this->options.self;
    this->forwarder.SetCoordinator(
      isElsewhere ? std::string_view(leader->address) : std::string_view());
  }

  void OnAppendRecord(ConnectionId aConnection,
                      const protocol::AppendRecord& aAppend) override
  {
    const auto reply = [this, aConnection, number = aAppend.number](
                         protocol::AppendState aState) {
      this->sessions.SendTo(aConnection,
                            protocol::AppendRecordReply{ number, aState });
    };
    const auto key = ledger::ParseKey(aAppend.key);
    if (this->runner == nullptr || !this->ReserveForPeer(key, aAppend.value)) {
      reply(protocol::AppendState::NotAppended);
      return;
    }
    this->runner->Append(
      { aAppend.key, aAppend.value },
      [this, key, reply](protocol::AppendState aState) {
        if (aState == protocol::AppendState::Queued) {
          reply(aState);
          return;
        }
        WorkBudget& reserved = key.kind == ledger::RecordKind::Accepted
                                 ? this->budget
                                 : this->earlyCancellations;
        const bool mayBeInLog = reserved.OnSubmitted(
          key.step.job, aState != protocol::AppendState::NotAppended);
        reply(aState == protocol::AppendState::NotAppended && mayBeInLog
                ? protocol::AppendState::Unconfirmed
                : aState);
      });
  }

  /**
   * Whether another entry may append the record through this one, and there is
   * room for what it accepts or cancels.
   */
  bool ReserveForPeer(const ledger::RecordKey& aKey, std::string_view aValue)
  {
    const base::JobId& job = aKey.step.job;
    if (aKey.kind == ledger::RecordKind::Cancelled) {
      return !aValue.empty() &&
             this->ReserveCancellation(job, ledger::CancellingAccount(aValue))
               .has_value();
    }
    if (aKey.kind != ledger::RecordKind::Accepted) {
      return false;
    }
    auto spec = this->codec.DecodeWorkflow(aValue);
    if (spec.has_error()) {
      return false;
    }
    spec.value().id = job;
    return this->budget.Reserve(spec.value()).has_value();
  }

  /**
   * Result of a submission whose own append has ended as given: it is not
   * refused if another submission of the job is in the log or may get there.
   * Thread-safe.
   */
  base::Result<void> ResultOf(const base::JobId& aJob,
                              const base::Result<void>& aAppended)
  {
    const bool isUnconfirmed =
      aAppended.has_error() &&
      aAppended.error().code == ErrorCode::AppendUnconfirmed;
    const bool mayBeInLog =
      this->budget.OnSubmitted(aJob, aAppended.has_value() || isUnconfirmed);
    if (aAppended.has_value() || this->directory.Find(aJob)) {
      return base::success();
    }
    return mayBeInLog && !isUnconfirmed
             ? base::Fail(ErrorCode::AppendUnconfirmed, aJob.View())
             : aAppended;
  }

  /** A job that is known has its room already. Thread-safe. */
  base::Result<void> ReserveCancellation(const base::JobId& aJob,
                                         const base::AccountId& aAccount)
  {
    return this->directory.Find(aJob)
             ? base::success()
             : this->earlyCancellations.Reserve(MakeEmptyJob(aJob, aAccount));
  }

  /** Cancels a job of which the log has been read to its end. Thread-safe. */
  void AppendCancellation(const base::JobId& aJob,
                          const base::AccountId& aAccount,
                          base::Duration aTimeout,
                          DoneHandler aHandler)
  {
    const auto known = this->directory.Find(aJob);
    if (known && known->phase == ledger::JobPhase::Cancelled) {
      aHandler(base::success());
      return;
    }
    if (!known && this->earlyCancellations.WasRead(aJob)) {
      aHandler(base::Fail(ErrorCode::UnknownJob, aJob.View()));
      return;
    }
    const auto reserved = this->ReserveCancellation(aJob, aAccount);
    if (reserved.has_error()) {
      aHandler(reserved);
      return;
    }
    this->submissions.Append(
      { ledger::CancelledKey(aJob), ledger::CancelledValue(aAccount) },
      aTimeout,
      [self = this->shared_from_this(), aJob, handler = std::move(aHandler)](
        const base::Result<void>& aResult) {
        self->earlyCancellations.OnSubmitted(aJob,
                                             aResult.has_value() ||
                                               aResult.error().code ==
                                                 ErrorCode::AppendUnconfirmed);
        const bool isKnown = self->directory.Find(aJob).has_value();
        self->logger.Info(
          aResult.has_value() ? "job cancelled" : "job cancellation failed",
          { { "job", aJob },
            { "isKnown", isKnown },
            { "result",
              aResult.has_value() ? std::string("durable")
                                  : base::Describe(aResult.error()) } });
        handler(aResult.has_value() && !isKnown
                  ? base::Fail(ErrorCode::UnknownJob, aJob.View())
                  : aResult);
      });
  }

  void OnAppendReply(ConnectionId aConnection,
                     const protocol::AppendRecordReply& aReply) override
  {
    this->forwarder.OnReply(aConnection, aReply);
  }

  void OnClosed(ConnectionId aConnection) override
  {
    this->forwarder.OnClosed(aConnection);
    if (this->predecessor == aConnection) {
      this->predecessor.reset();
    }
  }

  void Tick()
  {
    // An agent is not silent if its report waits to be handled.
    this->sessions.HandleReceived();
    this->UpdateSettled();
    this->FollowCoordinator();
    if (this->runner != nullptr) {
      this->runner->OnTick();
    }
    this->executor.RunAfter(kTickInterval, [weak = this->weak_from_this()] {
      const auto self = weak.lock();
      if (self != nullptr && !self->isStopped) {
        self->Tick();
      }
    });
  }

  CoordinatorStatus MakeStatus() const
  {
    const auto& election = this->leaderLog.Election();
    CoordinatorStatus status;
    status.isLoaded = this->isLoaded.load();
    status.isLeader = election.IsLeader();
    if (election.Leader()) {
      status.leader = election.Leader()->holder;
    }
    status.token = election.Token();
    status.knownJobs = this->table.Size();
    if (this->runner != nullptr) {
      status.counts = this->runner->Count();
    }
    return status;
  }

  const CoordinatorOptions options;
  const base::Clock& clock;
  base::Executor& executor;
  journal::KeyedLog& log;
  const ledger::RecordCodec& codec;
  telemetry::Logger& logger;
  DecisionLog decisions;
  LoadMonitor load;
  EndRecordLog endRecordLog;
  telemetry::Histogram submitTime;
  telemetry::Gauge evacuatedZoneCount;
  telemetry::Gauge acceptedBytes;
  WorkBudget budget;
  WorkBudget earlyCancellations;
  JobDirectory directory;
  std::atomic<bool> isLoaded{ false };
  std::atomic<TimePoint::rep> currentAsOf{ 0 };

  // Accessed only on the executor.
  ledger::JobTable table;
  std::vector<dispatch::AccountGuarantee> guarantees;
  /** Newest record of what was learned, which only a new term decodes. */
  std::string learned;
  std::vector<base::ZoneId> evacuatedZones;
  /** All evacuations acknowledged before this time are known. */
  TimePoint evacuationsAsOf{};
  std::unique_ptr<DispatchRunner> runner;
  Submissions submissions;
  AgentSessions sessions;
  RecordForwarder forwarder;
  LeaderLog leaderLog;
  journal::KeyedFollower follower;
  std::string innerAddress;
  std::string predecessorAddress;
  /** Connection to the previous coordinator. */
  std::optional<ConnectionId> predecessor;
  membership::InheritedGrants inheritedGrants;
  /** Whether the current term is known to be settled. */
  bool isSettled = false;
  bool isLogDown = false;
  bool isStopped = false;
};

Coordinator::Coordinator(const CoordinatorOptions& aOptions,
                         const base::Clock& aClock,
                         base::ProgressExecutor& aExecutor,
                         base::Executor& aHeartbeatExecutor,
                         const protocol::MessagePortFactory& aMakePort,
                         journal::KeyedLog& aLog,
                         const ledger::RecordCodec& aCodec,
                         telemetry::Logger& aLogger,
                         telemetry::Metrics& aMetrics)
  : impl(std::make_shared<Impl>(aOptions,
                                aClock,
                                aExecutor,
                                aHeartbeatExecutor,
                                aMakePort,
                                aLog,
                                aCodec,
                                aLogger,
                                aMetrics))
{
}

Coordinator::~Coordinator() = default;

protocol::MessagePortFactory
Coordinator::MakePorts(net::IoPool& aPool,
                       std::shared_ptr<net::ConnectionBudget> aBudget)
{
  protocol::NodeOptions options = kNodeOptions;
  options.budget = std::move(aBudget);
  return protocol::MakeNodeFactory(aPool, options);
}

base::Result<void>
Coordinator::Start()
{
  BOOST_OUTCOME_TRY(
    this->impl->innerAddress,
    this->impl->sessions.Listen(this->impl->options.innerListen));
  this->impl->executor.Post([self = this->impl] {
    self->follower.Start();
    self->leaderLog.Start(self->innerAddress);
    self->Tick();
  });
  return base::success();
}

void
Coordinator::Resign()
{
  this->impl->executor.Post([self = this->impl] {
    self->UpdateSettled();
    self->leaderLog.Resign();
  });
}

void
Coordinator::Stop()
{
  this->impl->sessions.Stop();
  this->impl->executor.Post([self = this->impl] {
    self->isStopped = true;
    self->follower.Stop();
    self->leaderLog.Stop();
    self->runner.reset();
  });
}

void
Coordinator::SetGuarantees(std::vector<dispatch::AccountGuarantee> aGuarantees)
{
  this->impl->executor.Post(
    [self = this->impl, guarantees = std::move(aGuarantees)] {
      self->guarantees = guarantees;
      if (self->runner != nullptr) {
        self->runner->OnGuarantees(guarantees);
      }
    });
}

void
Coordinator::SetEvacuations(std::vector<base::ZoneId> aZones,
                            base::TimePoint aAsOf)
{
  this->impl->executor.Post(
    [self = this->impl, zones = std::move(aZones), aAsOf]() mutable {
      if (zones != self->evacuatedZones) {
        self->logger.Info(
          "evacuations changed",
          { { "zones", zones.size() },
            { "ageMs",
              std::chrono::duration_cast<std::chrono::milliseconds>(
                self->clock.Now() - aAsOf)
                .count() } });
      }
      self->evacuatedZones = std::move(zones);
      self->evacuatedZoneCount.Set(
        static_cast<double>(self->evacuatedZones.size()));
      self->evacuationsAsOf = aAsOf;
      if (self->runner != nullptr) {
        self->runner->OnEvacuations(self->evacuatedZones, aAsOf);
      }
    });
}

void
Coordinator::Submit(job::WorkflowSpec aSpec,
                    base::Duration aTimeout,
                    DoneHandler aHandler)
{
  if (this->impl->directory.Find(aSpec.id)) {
    aHandler(base::success());
    return;
  }
  const TimePoint start = this->impl->clock.Now();
  std::uint32_t tasks = 0;
  for (const auto& step : aSpec.steps) {
    tasks += step.count;
  }
  journal::KeyedValue record{ ledger::AcceptedKey(aSpec.id),
                              this->impl->codec.EncodeWorkflow(aSpec) };
  if (!this->impl->CanRecord(aSpec, record)) {
    aHandler(base::Fail(ErrorCode::TooLarge, "steps"));
    return;
  }
  const auto reserved = this->impl->budget.Reserve(aSpec);
  if (reserved.has_error()) {
    // Another entry may have accepted the job very recently.
    this->Find(aSpec.id,
               [self = this->impl,
                reserved,
                tasks,
                id = aSpec.id,
                account = aSpec.account,
                handler = std::move(aHandler)](const auto& aStatus) {
                 if (aStatus.has_value()) {
                   handler(base::success());
                   return;
                 }
                 self->logger.Info(
                   "job submission failed",
                   { { "job", id },
                     { "account", account },
                     { "tasks", tasks },
                     { "acceptedBytes", self->budget.Used() },
                     { "result", base::Describe(reserved.error()) } });
                 handler(reserved);
               });
    return;
  }
  this->impl->submissions.Append(
    std::move(record),
    aTimeout,
    [self = this->impl,
     start,
     tasks,
     id = aSpec.id,
     account = aSpec.account,
     kind = aSpec.kind,
     urgency = aSpec.urgency,
     handler = std::move(aHandler)](const base::Result<void>& aAppended) {
      self->submitTime.Observe(self->clock.Now() - start);
      const base::Result<void> result = self->ResultOf(id, aAppended);
      self->logger.Info(
        result.has_value() ? "job accepted" : "job submission failed",
        { { "job", id },
          { "account", account },
          { "kind", kind },
          { "urgency", urgency },
          { "tasks", tasks },
          { "result",
            result.has_value() ? std::string("durable")
                               : base::Describe(result.error()) },
          { "tookMs",
            std::chrono::duration_cast<std::chrono::milliseconds>(
              self->clock.Now() - start)
              .count() } });
      handler(result);
    });
}

void
Coordinator::Cancel(const base::JobId& aJob,
                    const base::AccountId& aAccount,
                    base::Duration aTimeout,
                    DoneHandler aHandler)
{
  this->Find(
    aJob,
    [self = this->impl,
     aJob,
     aAccount,
     deadline = this->impl->clock.Now() + aTimeout,
     handler = std::move(aHandler)](const base::Result<JobStatus>& aStatus) {
      if (aStatus.has_error() &&
          aStatus.error().code != ErrorCode::UnknownJob) {
        handler(base::failure(aStatus.error()));
        return;
      }
      self->AppendCancellation(
        aJob, aAccount, deadline - self->clock.Now(), handler);
    });
}

void
Coordinator::Find(const base::JobId& aJob, StatusHandler aHandler)
{
  if (const auto known = this->impl->directory.Find(aJob)) {
    aHandler(*known);
    return;
  }
  // Another entry may have accepted the job very recently.
  this->impl->follower.Confirm(
    [self = this->impl, aJob, handler = std::move(aHandler)](
      bool aIsConfirmed) {
      const auto known = self->directory.Find(aJob);
      if (known) {
        handler(*known);
      } else {
        handler(
          base::Fail(aIsConfirmed ? ErrorCode::UnknownJob : ErrorCode::NotReady,
                     aJob.View()));
      }
    });
}

base::Result<std::uint32_t>
Coordinator::CountPendingJobs(const base::WorkKindId& aKind) const
{
  if (!this->impl->isLoaded.load()) {
    return base::Fail(ErrorCode::NotReady, aKind.View());
  }
  return this->impl->directory.CountPending(aKind);
}

base::TimePoint
Coordinator::CurrentAsOf() const noexcept
{
  return TimePoint(TimePoint::duration(this->impl->currentAsOf.load()));
}

CoordinatorStatus
Coordinator::Status() const
{
  std::promise<CoordinatorStatus> status;
  auto result = status.get_future();
  this->impl->executor.Post(
    [&] { status.set_value(this->impl->MakeStatus()); });
  return result.get();
}

} // namespace amaranthwind::coordinator
