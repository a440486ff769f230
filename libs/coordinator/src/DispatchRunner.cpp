#include "DispatchRunner.h"

#include "amaranthwind/codec/LearnedCodec.h"

#include <algorithm>
#include <utility>

namespace amaranthwind::coordinator {

using journal::KeyedValue;
using protocol::AppendState;

namespace {

constexpr std::string_view kProducer = "coordinator";
/** For clock error and the worker's time to start a run. */
constexpr base::Duration kStartMargin = std::chrono::milliseconds(400);
/** Limit of the submitted records that wait for one append. */
constexpr std::size_t kMaxSubmittedBytes = 128UL * 1024;
/** Shortest time between two records of what was learned. */
constexpr base::Duration kLearnedInterval = std::chrono::seconds(10);
/** Key of a term's first record, which fences off writers of earlier terms. */
constexpr std::string_view kTermKey = "term";

/** Each connection of an agent is one session; later ones have higher ids. */
dispatch::SessionId
SessionOf(protocol::ConnectionId aConnection) noexcept
{
  return dispatch::SessionId(aConnection.Get());
}

protocol::ConnectionId
ConnectionOf(dispatch::SessionId aSession) noexcept
{
  return protocol::ConnectionId(aSession.Get());
}

} // namespace

DispatchRunner::DispatchRunner(const CoordinatorOptions& aOptions,
                               base::FencingToken aToken,
                               const base::Clock& aClock,
                               base::Executor& aExecutor,
                               journal::KeyedLog& aLog,
                               const ledger::RecordCodec& aCodec,
                               AgentSessions& aSessions,
                               DecisionLog& aDecisions,
                               LoadMonitor& aLoad,
                               EndRecordLog& aEndRecordLog,
                               std::function<void()> aOnFenced)
  : options(aOptions)
  , token(aToken)
  , clock(aClock)
  , executor(aExecutor)
  , codec(aCodec)
  , sessions(aSessions)
  , decisions(aDecisions)
  , load(aLoad)
  , maxRecordBytes(aLog.Limits().recordBytes)
{
  EndRecordObserver& observer = *this;
  for (std::uint32_t i = 0; i < dispatch::kEndPartitions; ++i) {
    this->endRecords.push_back(std::make_unique<EndRecords>(
      i, aClock, aExecutor, aLog, aEndRecordLog, observer));
  }
  journal::FencedWriterOptions writerOptions;
  writerOptions.topic = { std::string(kJobTopic), 0 };
  writerOptions.producer = kProducer;
  writerOptions.token = aToken;
  writerOptions.onFailure = [&aLoad](const journal::AppendFailure& aFailure) {
    aLoad.OnAppendFailed(aFailure);
  };
  this->writer = std::make_unique<journal::FencedWriter>(
    writerOptions, aClock, aExecutor, aLog, std::move(aOnFenced));
}

DispatchRunner::~DispatchRunner()
{
  *this->isAlive = false;
}

void
DispatchRunner::FencePredecessors(std::function<void()> aDone)
{
  this->writer->Write(
    { { std::string(kTermKey), std::to_string(this->token.Get()) } },
    [this, alive = this->isAlive, done = std::move(aDone)] {
      if (*alive) {
        this->ConfirmEnds();
        done();
      }
    });
}

void
DispatchRunner::StartDispatching(
  const ledger::JobTable& aJobs,
  std::span<const dispatch::AccountGuarantee> aGuarantees,
  const estimation::LearnedSummary& aLearned)
{
  std::unique_ptr<estimation::RunTimeLearner> learner;
  if (this->options.makeLearner) {
    learner = this->options.makeLearner();
    learner->Restore(aLearned, this->clock.Now());
  }
  this->nextLearnedAt = this->clock.Now() + kLearnedInterval;
  dispatch::DispatcherOptions dispatchOptions;
  dispatchOptions.maxGrantDuration = this->options.MaxGrantDuration();
  dispatchOptions.inheritedGrantDuration =
    this->options.InheritedGrantDuration();
  dispatchOptions.maxStartAge = this->options.cancelLimit - kStartMargin;
  if (this->options.evacuationLimit) {
    dispatchOptions.maxEvacuationAge =
      *this->options.evacuationLimit - kStartMargin;
  }
  dispatchOptions.stopTime = this->options.stopTime;
  dispatchOptions.retention = this->options.retention;
  this->dispatcher =
    std::make_unique<dispatch::Dispatcher>(dispatchOptions,
                                           aJobs,
                                           this->options.makePacking(),
                                           this->decisions,
                                           this->Now(),
                                           std::move(learner));
  if (this->hasPredecessorSteppedDown) {
    this->OnPredecessorSteppedDown();
  }
  for (const auto& partition : this->endRecords) {
    partition->Begin();
  }
  this->OnGuarantees(aGuarantees);
}

void
DispatchRunner::OnRecordedEnds(std::span<const ReadEndRecord> aRecords)
{
  {
    const LoadMonitor::Measurement measurement(this->load,
                                               DecisionWork::RecordedEnds);
    for (const auto& [id, record] : aRecords) {
      this->ExecuteEffects(
        this->dispatcher->OnRecordedEnds(record, id, this->Now()));
    }
  }
  this->FinishBatch();
}

void
DispatchRunner::OnEndsConfirmed(std::uint32_t aPartition, base::TimePoint aAsOf)
{
  const auto oldest = [this] {
    return *std::min_element(this->endsAsOf.begin(), this->endsAsOf.end());
  };
  const base::TimePoint before = oldest();
  this->endsAsOf.at(aPartition) = aAsOf;
  if (oldest() > before) {
    this->ExecuteEffects(
      this->dispatcher->OnEndsConfirmed(oldest(), this->Now()));
    this->FinishBatch();
  }
}

void
DispatchRunner::ConfirmEnds()
{
  for (const auto& partition : this->endRecords) {
    partition->Confirm();
  }
}

dispatch::ClockReading
DispatchRunner::Now() const
{
  return { this->clock.Now(), this->clock.WallNow() };
}

void
DispatchRunner::OnJob(const ledger::JobEntry& aJob)
{
  if (this->dispatcher != nullptr) {
    const LoadMonitor::Measurement measurement(this->load,
                                               DecisionWork::JobRecord);
    this->ExecuteEffects(this->dispatcher->OnJob(aJob, this->Now()));
  }
}

void
DispatchRunner::OnEarlyCancellation(const base::JobId& aJob)
{
  if (this->dispatcher != nullptr) {
    this->dispatcher->OnEarlyCancellation(aJob, this->Now());
  }
}

void
DispatchRunner::OnJobsConfirmed(base::TimePoint aAsOf)
{
  if (this->dispatcher != nullptr) {
    this->jobsAsOf = aAsOf;
    this->ExecuteEffects(this->dispatcher->OnJobsConfirmed(aAsOf, this->Now()));
    this->FinishBatch();
  }
}

void
DispatchRunner::OnGuarantees(
  std::span<const dispatch::AccountGuarantee> aGuarantees)
{
  if (this->dispatcher != nullptr) {
    this->ExecuteEffects(
      this->dispatcher->OnGuarantees(aGuarantees, this->Now()));
    this->FinishBatch();
  }
}

void
DispatchRunner::OnEvacuations(std::span<const base::ZoneId> aZones,
                              base::TimePoint aAsOf)
{
  if (this->dispatcher != nullptr && this->options.evacuationLimit) {
    this->ExecuteEffects(
      this->dispatcher->OnEvacuations(aZones, aAsOf, this->Now()));
    this->FinishBatch();
  }
}

void
DispatchRunner::OnReport(protocol::ConnectionId aConnection,
                         const protocol::AgentReport& aReport,
                         base::TimePoint aReceivedAt)
{
  if (this->dispatcher == nullptr) {
    return;
  }
  const LoadMonitor::Measurement measurement(this->load, DecisionWork::Report);
  const dispatch::ClockReading now = this->Now();
  const base::Duration queueTime = now.now - aReceivedAt;
  this->reportSequences[aReport.report.agent] = aReport.sequence;
  this->decisions.SetInputAge(queueTime);
  const auto handle = [&](const dispatch::WorkerReport& aCounted) {
    this->ExecuteEffects(this->dispatcher->OnReport(
      aCounted, SessionOf(aConnection), now, queueTime));
  };
  if (aReport.report.receivedOrder && aReport.token != this->token) {
    // The agent counts the orders of a previous coordinator.
    dispatch::WorkerReport counted = aReport.report;
    counted.receivedOrder = dispatch::OrderNumber();
    handle(counted);
  } else {
    handle(aReport.report);
  }
  this->decisions.SetInputAge({});
}

void
DispatchRunner::OnOutcome(protocol::ConnectionId aConnection,
                          const base::AgentId& aAgent,
                          const protocol::AgentOutcome& aOutcome)
{
  if (this->dispatcher != nullptr) {
    const LoadMonitor::Measurement measurement(this->load,
                                               DecisionWork::Outcome);
    this->ExecuteEffects(this->dispatcher->OnOutcome(aAgent,
                                                     SessionOf(aConnection),
                                                     aOutcome.life,
                                                     aOutcome.run,
                                                     aOutcome.outcome,
                                                     this->Now()));
  }
}

void
DispatchRunner::OnPredecessorSteppedDown()
{
  this->hasPredecessorSteppedDown = true;
  if (this->dispatcher != nullptr) {
    this->dispatcher->OnPredecessorSteppedDown(this->options.MaxGrantDuration(),
                                               this->Now());
  }
}

void
DispatchRunner::Submission::Finish(protocol::AppendState aState)
{
  if (this->observer) {
    std::exchange(this->observer, nullptr)(aState);
  }
}

void
DispatchRunner::Append(KeyedValue aRecord, AppendHandler aObserver)
{
  const std::size_t bytes = aRecord.key.size() + aRecord.value.size();
  if (this->dispatcher == nullptr || this->writer->IsStalled() ||
      this->submittedBytes + bytes > kMaxSubmittedBytes) {
    aObserver(AppendState::NotAppended);
    return;
  }
  aObserver(AppendState::Queued);
  this->submittedBytes += bytes;
  this->submitted.push_back(std::make_shared<Submission>(
    Submission{ std::move(aRecord), std::move(aObserver) }));
}

void
DispatchRunner::ForgetFinished()
{
  std::erase_if(this->writing,
                [](const auto& aEach) { return !aEach->observer; });
}

void
DispatchRunner::GiveUpSubmissions()
{
  this->ForgetFinished();
  if (!this->submitted.empty() || !this->writing.empty()) {
    this->load.OnRecordsReturned(this->submitted.size(), this->writing.size());
  }
  this->submittedBytes = 0;
  for (const auto& each : std::exchange(this->submitted, {})) {
    each->Finish(AppendState::NotAppended);
  }
  for (const auto& each : std::exchange(this->writing, {})) {
    each->Finish(AppendState::Unconfirmed);
  }
}

void
DispatchRunner::OnTick()
{
  if (this->writer->IsStalled()) {
    this->GiveUpSubmissions();
  }
  if (this->dispatcher != nullptr) {
    const LoadMonitor::Measurement measurement(this->load, DecisionWork::Tick);
    this->ExecuteEffects(this->dispatcher->OnTick(this->Now()));
  }
  this->FinishBatch();
  if (this->dispatcher != nullptr) {
    this->load.Summarize(this->clock.Now() - this->jobsAsOf,
                         this->dispatcher->Count().waitingOrders);
  }
}

void
DispatchRunner::FinishBatch()
{
  if (this->dispatcher == nullptr) {
    return;
  }
  if (this->dispatcher->NeedsSchedule(this->Now())) {
    this->ScheduleIfDue();
  }
  // A step that changes again while an append is under way needs one record.
  if (this->writer->Pending() == 0 && this->unwritten.empty()) {
    this->ExecuteEffects(this->dispatcher->Commit(this->Now()));
  }
  this->WriteNext();
}

void
DispatchRunner::ScheduleIfDue()
{
  const base::TimePoint start = this->clock.Now();
  if (start < this->nextPassAt) {
    if (!std::exchange(this->isPassPending, true)) {
      this->executor.RunAfter(this->nextPassAt - start,
                              [this, alive = this->isAlive] {
                                if (*alive) {
                                  this->isPassPending = false;
                                  this->FinishBatch();
                                }
                              });
    }
    return;
  }
  {
    const LoadMonitor::Measurement measurement(this->load, DecisionWork::Pass);
    this->ExecuteEffects(this->dispatcher->Schedule(this->Now()));
  }
  // Passes take at most half of the thread's time, so that reports are answered
  // and leases renewed however long a pass takes.
  const base::TimePoint end = this->clock.Now();
  this->nextPassAt = end + (end - start);
}

std::size_t
DispatchRunner::UndurableRecords() const
{
  return this->unwritten.size() + this->submitted.size() +
         this->writer->Pending();
}

dispatch::Dispatcher::Counts
DispatchRunner::Count() const
{
  return this->dispatcher == nullptr ? dispatch::Dispatcher::Counts{}
                                     : this->dispatcher->Count();
}

void
DispatchRunner::ExecuteEffects(dispatch::Effects aEffects)
{
  for (auto& effect : aEffects) {
    if (auto* persist = std::get_if<dispatch::PersistStep>(&effect)) {
      const LoadMonitor::Measurement measurement(this->load,
                                                 DecisionWork::Encode);
      std::string key = ledger::StepKey(persist->record.id);
      this->QueueRecord(
        { std::move(key), this->EncodeStep(std::move(persist->record)) },
        persist->version);
    } else if (const auto* begin =
                 std::get_if<dispatch::PersistBegin>(&effect)) {
      this->QueueRecord({ ledger::BegunKey(begin->job), "1" });
    } else if (const auto* start = std::get_if<dispatch::StartTask>(&effect)) {
      this->sessions.SendTo(
        ConnectionOf(start->session),
        protocol::AgentStart{
          this->token,
          start->incarnation,
          start->run,
          start->payload,
          start->checkpoint,
          start->number,
          { this->reportSequences[start->agent],
            std::chrono::duration_cast<std::chrono::milliseconds>(
              start->validFor) } });
    } else if (const auto* stop = std::get_if<dispatch::StopTask>(&effect)) {
      this->sessions.SendTo(
        ConnectionOf(stop->session),
        protocol::AgentStop{
          this->token, stop->incarnation, stop->run, stop->number });
    } else if (const auto* ack =
                 std::get_if<dispatch::AcknowledgeEnds>(&effect)) {
      this->sessions.Send(ack->agent,
                          protocol::AgentAck{ ack->incarnation, ack->number });
    } else if (const auto* forget = std::get_if<dispatch::ForgetJob>(&effect)) {
      // Without its steps an accepted job would run again, so that its own
      // record is deleted first: the deletions may be divided among appends.
      this->QueueRecord({ ledger::AcceptedKey(forget->job), {} });
      this->QueueRecord({ ledger::CancelledKey(forget->job), {} });
      this->QueueRecord({ ledger::BegunKey(forget->job), {} });
      for (const auto& step : forget->steps) {
        this->QueueRecord({ ledger::StepKey(step), {} });
      }
    } else if (const auto* deletion =
                 std::get_if<dispatch::DeleteEndRecord>(&effect)) {
      this->endRecords.at(deletion->id.partition)->Delete(deletion->id.offset);
    } else if (std::holds_alternative<dispatch::ConfirmEnds>(effect)) {
      this->ConfirmEnds();
    }
  }
  this->WriteNext();
}

void
DispatchRunner::QueueRecord(KeyedValue aRecord, std::uint64_t aVersion)
{
  this->unwritten.push_back(
    { std::move(aRecord), aVersion, this->clock.Now() });
}

std::string
DispatchRunner::EncodeStep(ledger::StepRecord aRecord)
{
  std::string encoded = this->codec.EncodeStep(aRecord);
  if (encoded.size() + ledger::StepKey(aRecord.id).size() +
        journal::kRecordOverheadBytes <=
      this->maxRecordBytes) {
    return encoded;
  }
  // Checkpoints save work, but only a record that the log takes saves the job.
  this->load.OnCheckpointsLeftOut(aRecord.id, encoded.size());
  for (auto& task : aRecord.tasks) {
    task.checkpoint.clear();
  }
  return this->codec.EncodeStep(aRecord);
}

void
DispatchRunner::WriteNext()
{
  if (this->writer->Pending() > 0 ||
      (this->unwritten.empty() && this->submitted.empty())) {
    return;
  }
  std::size_t bytes = this->submittedBytes;
  std::vector<journal::WriteRequest> requests = this->TakeSubmissions();
  journal::WriteRequest own;
  std::uint64_t version = 0;
  std::size_t ownBytes = 0;
  const base::TimePoint decidedAt = this->unwritten.empty()
                                      ? this->clock.Now()
                                      : this->unwritten.front().decidedAt;
  while (!this->unwritten.empty()) {
    UnwrittenRecord& next = this->unwritten.front();
    bytes += journal::SizeOf(next.record);
    if (bytes > this->writer->MaxAppendBytes() && !own.records.empty()) {
      break;
    }
    ownBytes += next.record.value.size();
    version = std::max(version, next.version);
    own.records.push_back(std::move(next.record));
    this->unwritten.pop_front();
  }
  const auto finish = [this, alive = this->isAlive] {
    if (*alive) {
      this->FinishBatch();
    }
  };
  if (own.records.empty()) {
    // Continues after the records of callers, whatever becomes of them.
    own.onDurable = finish;
    own.onRefused = finish;
  } else {
    own.onDurable =
      [this, alive = this->isAlive, version, ownBytes, decidedAt] {
        if (*alive) {
          this->load.OnDurable(decidedAt, ownBytes);
          this->OnWritten(version);
        }
      };
  }
  std::optional<journal::WriteRequest> learned;
  if (!own.records.empty() && bytes <= this->writer->MaxAppendBytes()) {
    learned = this->TakeLearned(this->writer->MaxAppendBytes() - bytes);
  }
  requests.push_back(std::move(own));
  if (learned) {
    requests.push_back(std::move(*learned));
  }
  this->writer->Write(std::move(requests));
}

std::optional<journal::WriteRequest>
DispatchRunner::TakeLearned(std::size_t aMaxBytes)
{
  const base::TimePoint now = this->clock.Now();
  if (!this->options.makeLearner || now < this->nextLearnedAt) {
    return std::nullopt;
  }
  this->nextLearnedAt = now + kLearnedInterval;
  const auto summary = this->dispatcher->Learned();
  if (!summary || summary->IsEmpty()) {
    return std::nullopt;
  }
  KeyedValue record{ std::string(kLearnedKey), codec::EncodeLearned(*summary) };
  if (record.value == this->writtenLearned ||
      journal::SizeOf(record) > std::min(aMaxBytes, this->maxRecordBytes)) {
    return std::nullopt;
  }
  this->writtenLearned = record.value;
  return journal::WriteRequest{ { std::move(record) },
                                nullptr,
                                [this, alive = this->isAlive] {
                                  if (*alive) {
                                    this->writtenLearned.clear();
                                  }
                                } };
}

std::vector<journal::WriteRequest>
DispatchRunner::TakeSubmissions()
{
  std::vector<journal::WriteRequest> requests;
  this->submittedBytes = 0;
  this->ForgetFinished();
  for (const auto& each : std::exchange(this->submitted, {})) {
    this->writing.push_back(each);
    requests.push_back({ { each->record },
                         [each] { each->Finish(AppendState::Durable); },
                         [each] { each->Finish(AppendState::NotAppended); } });
  }
  return requests;
}

void
DispatchRunner::OnWritten(std::uint64_t aVersion)
{
  if (aVersion > 0) {
    const LoadMonitor::Measurement measurement(this->load,
                                               DecisionWork::Persisted);
    this->ExecuteEffects(this->dispatcher->OnPersisted(aVersion, this->Now()));
  }
  this->FinishBatch();
}

} // namespace amaranthwind::coordinator
