#include "amaranthwind/agent/WorkerAgent.h"

#include "AgentState.h"

#include <algorithm>
#include <utility>

namespace amaranthwind::agent {

using namespace std::chrono_literals;

namespace {

/** More than those whose registrations can arrive late. */
constexpr std::size_t kMaxDeregisteredLives = 16;
/** A start is refused if less than this remains of the grant. */
constexpr Duration kMinRemainingGrant = 500ms;
/** After this many consecutive failed holds, starts are refused. */
constexpr std::uint32_t kMaxHoldFailures = 2;

} // namespace

WorkerAgent::WorkerAgent(const AgentOptions& aOptions,
                         const base::Clock& aClock,
                         base::Executor& aExecutor,
                         WorkerPort& aWorker,
                         CoordinatorPort& aCoordinator,
                         EndRecorder& aEndRecorder,
                         telemetry::Logger& aLogger)
  : state(std::make_shared<State>(aOptions,
                                  aClock,
                                  aExecutor,
                                  aWorker,
                                  aCoordinator,
                                  aEndRecorder,
                                  aLogger))
{
}

WorkerAgent::~WorkerAgent() = default;

void
WorkerAgent::Start()
{
  this->state->ReportLoop();
}

void
WorkerAgent::Stop()
{
  this->state->isStopped = true;
}

void
WorkerAgent::OnRegistration(const dispatch::WorkerInfo& aWorker,
                            std::uint64_t aSequence)
{
  State& self = *this->state;
  if (self.workerInfo && self.workerInfo->life == aWorker.life) {
    if (aSequence <= self.registrationSequence) {
      return;
    }
    self.registrationSequence = aSequence;
    // Draining is never reverted.
    const bool isDraining = self.workerInfo->isDraining || aWorker.isDraining;
    const bool hasChanged = isDraining != self.workerInfo->isDraining;
    self.workerInfo = aWorker;
    self.workerInfo->isDraining = isDraining;
    self.registeredAt = self.clock.Now();
    if (hasChanged) {
      self.logger.Info("worker draining", { { "worker", aWorker.life.id } });
      self.ReportChange();
    }
    return;
  }
  if (self.workerInfo && aWorker.life.born < self.workerInfo->life.born) {
    return; // Delayed message of an earlier incarnation.
  }
  if (self.IsDeregistered(aWorker.life)) {
    self.logger.Info(
      "registration ignored: the worker has deregistered",
      { { "worker", aWorker.life.id }, { "born", aWorker.life.born } });
    return;
  }
  self.registrationSequence = aSequence;
  self.hasRegistered = true;
  self.BeginIncarnation(aWorker);
}

void
WorkerAgent::OnDeregistration(const ledger::WorkerIncarnation& aWorker)
{
  State& self = *this->state;
  ledger::WorkerIncarnation life = aWorker;
  if (life.born == 0 && self.workerInfo &&
      self.workerInfo->life.id == life.id) {
    life = self.workerInfo->life;
  }
  if (self.IsDeregistered(life)) {
    return;
  }
  self.logger.Info("worker deregistered",
                   { { "worker", life.id }, { "born", life.born } });
  if (self.deregisteredLives.size() == kMaxDeregisteredLives) {
    self.deregisteredLives.pop_front();
  }
  self.deregisteredLives.push_back(life);
  if (self.workerInfo && self.workerInfo->life == life) {
    self.workerInfo->isDraining = true;
    // The hold under way may fail with the end of the worker.
    self.wasAnsweringUntilDeregistration =
      self.hasTaskList && self.consecutiveHoldFailures <= 1;
    self.closedHolds = 0;
    self.AwaitWorkerEnd();
    self.ReportChange();
  }
}

void
WorkerAgent::OnCoordinatorToken(base::FencingToken aToken)
{
  this->state->AdvanceToken(aToken);
}

void
WorkerAgent::OnCoordinatorConnected()
{
  this->state->ScheduleReport();
}

void
WorkerAgent::OnGrant(std::uint64_t aSequence,
                     base::FencingToken aToken,
                     base::Duration aDuration)
{
  State& self = *this->state;
  const auto sent = self.sentReports.find(aSequence);
  if (aToken < self.token) {
    self.logger.Info("grant rejected: stale fencing token",
                     { { "report", aSequence }, { "token", aToken } });
    return;
  }
  if (sent == self.sentReports.end()) {
    return;
  }
  const TimePoint now = self.clock.Now();
  const TimePoint previous = self.grantUntil;
  self.AdvanceToken(aToken);
  if (sent->second.incarnationNumber == self.incarnationNumber) {
    self.grantUntil =
      std::max(self.grantUntil, sent->second.sentAt + aDuration);
  } else {
    // When the coordinator granted it, it knew no runs of this incarnation.
    self.logger.Info("grant does not apply to the worker",
                     { { "report", aSequence }, { "token", aToken } });
  }
  self.lastAnsweredReport = std::max(self.lastAnsweredReport, aSequence);
  self.sentReports.erase(self.sentReports.begin(), sent);
  if (self.hasUnreportedChange) {
    self.ReportChange();
  }
  const bool wasExpiringSoon = previous < now + self.options.reportInterval * 4;
  if (wasExpiringSoon && self.workerInfo && self.hasTaskList &&
      !self.listedTasks.empty()) {
    // The lease may expire before the loop sends its next hold.
    self.HoldNow();
  }
}

void
WorkerAgent::OnEndAcknowledged(const ledger::WorkerIncarnation& aIncarnation,
                               std::uint64_t aNumber)
{
  State& self = *this->state;
  const AcknowledgedEnds ends =
    self.endRecorder.OnAcknowledged(aIncarnation, aNumber);
  const auto sinceListed =
    std::chrono::duration_cast<std::chrono::milliseconds>(ends.sinceListed);
  if (!self.workerInfo || self.workerInfo->life != aIncarnation) {
    const std::size_t count = self.pastEnds.Acknowledge(aIncarnation, aNumber);
    if (count > 0) {
      self.logger.Info("ends of an earlier life of the worker acknowledged",
                       { { "worker", aIncarnation.id },
                         { "born", aIncarnation.born },
                         { "number", aNumber },
                         { "count", count },
                         { "recorded", ends.recorded },
                         { "sinceListedMs", sinceListed.count() },
                         { "token", self.token } });
    }
    return;
  }
  if (aNumber <= self.lastAcknowledgedEnd) {
    return;
  }
  if (const auto clock = self.EarliestWorkerClock()) {
    self.LogLapse(*clock);
  }
  self.logger.Info("ends acknowledged",
                   { { "worker", aIncarnation.id },
                     { "number", aNumber },
                     { "count", ends.count },
                     { "recorded", ends.recorded },
                     { "sinceListedMs", sinceListed.count() },
                     { "token", self.token } });
  self.lastAcknowledgedEnd = aNumber;
  self.unacknowledgedEnds.erase(self.unacknowledgedEnds.begin(),
                                self.unacknowledgedEnds.upper_bound(aNumber));
  self.ContinueHoldLoop();
}

void
WorkerAgent::OnStart(const dispatch::OrderId& aOrder,
                     const ledger::WorkerIncarnation& aIncarnation,
                     const job::TaskRun& aRun,
                     std::string_view aPayload,
                     std::string_view aCheckpoint,
                     const dispatch::StartValidity& aValidity)
{
  State& self = *this->state;
  if (!self.AcceptOrder(aOrder, aRun)) {
    return;
  }
  Run run;
  run.payload = aPayload;
  run.checkpoint = aCheckpoint;
  const auto report = self.sentReports.find(aValidity.reportSequence);
  if (report != self.sentReports.end()) {
    run.startBefore = report->second.sentAt + aValidity.duration;
  }
  const char* refusal = nullptr;
  if (!self.workerInfo || self.workerInfo->life != aIncarnation) {
    refusal = "worker was replaced";
  } else if (aValidity.reportSequence != 0 &&
             report == self.sentReports.end()) {
    refusal = "order follows no known report";
  } else if (const char* reason = self.RefusalOf(run)) {
    refusal = reason;
  } else if (self.consecutiveHoldFailures >= kMaxHoldFailures) {
    refusal = "worker is unresponsive";
  } else if (self.clock.Now() + kMinRemainingGrant > self.grantUntil) {
    refusal = "lease grant is missing or about to expire";
  }
  if (refusal != nullptr) {
    self.logger.Warning("task start refused",
                        { { "task", ToLogText(aRun) }, { "reason", refusal } });
    self.coordinator.SendOutcome(aIncarnation, aRun, OrderOutcome::Refused);
    return;
  }
  if (self.runs.try_emplace(aRun, std::move(run)).second) {
    self.SendStart(aRun);
  }
}

void
WorkerAgent::OnStop(const dispatch::OrderId& aOrder,
                    const ledger::WorkerIncarnation& aIncarnation,
                    const job::TaskRun& aRun)
{
  State& self = *this->state;
  if (!self.AcceptOrder(aOrder, aRun) || !self.workerInfo) {
    return;
  }
  if (self.workerInfo->life != aIncarnation) {
    if (aIncarnation.born < self.workerInfo->life.born) {
      self.coordinator.SendOutcome(aIncarnation, aRun, OrderOutcome::Absent);
    }
    return;
  }
  const auto [found, isUnknown] = self.runs.try_emplace(aRun);
  Run& run = found->second;
  if (run.phase == RunPhase::Stopping) {
    return;
  }
  if (isUnknown) {
    // An earlier process may have sent the start and got no answer.
    self.lateStarts.try_emplace(
      aRun, LateStart{ aIncarnation, self.clock.Now(), 1, true });
  }
  if (run.phase == RunPhase::Starting && run.startAttempts > 0) {
    run.mayTakeEffectLate = true;
  }
  run.phase = RunPhase::Stopping;
  self.SendStop(aRun);
}

AgentStatus
WorkerAgent::Status() const
{
  const State& self = *this->state;
  return { self.workerInfo.has_value(),
           self.IsGranted(),
           self.listedTasks.size(),
           self.unacknowledgedEnds.size(),
           self.pastEnds.Size(),
           self.endRecorder.Unrecorded(),
           self.token };
}

} // namespace amaranthwind::agent
