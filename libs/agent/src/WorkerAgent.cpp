#include "amaranthwind/agent/WorkerAgent.h"

#include "AgentState.h"

#include <algorithm>
#include <iterator>

namespace amaranthwind::agent {

using namespace std::chrono_literals;

namespace {

/** A worker that deregisters is gone after this time. */
constexpr Duration kLeaveTime = 300ms;
/** Orders are not carried out on a grant that ends sooner. */
constexpr Duration kMinGrant = 500ms;
/** A worker that left this many holds unanswered gets no new tasks. */
constexpr std::uint32_t kMaxHoldFailures = 2;

} // namespace

WorkerAgent::WorkerAgent(const AgentOptions& aOptions,
                         const base::Clock& aClock,
                         base::Executor& aExecutor,
                         WorkerPort& aWorker,
                         CoordinatorPort& aCoordinator,
                         telemetry::Logger& aLogger)
  : state(std::make_shared<State>(aOptions,
                                  aClock,
                                  aExecutor,
                                  aWorker,
                                  aCoordinator,
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
  if (self.info && self.info->life == aWorker.life) {
    if (aSequence <= self.registrationSequence) {
      return;
    }
    self.registrationSequence = aSequence;
    // A worker that drains does not come back.
    const bool isDraining = self.info->isDraining || aWorker.isDraining;
    const bool hasChanged = isDraining != self.info->isDraining;
    self.info = aWorker;
    self.info->isDraining = isDraining;
    if (hasChanged) {
      self.logger.Info("worker drains", { { "worker", aWorker.life.id } });
      self.ReportSoon();
    }
    return;
  }
  if (self.info && aWorker.life.born < self.info->life.born) {
    return; // Delayed on its way; that life is over.
  }
  self.registrationSequence = aSequence;
  self.hasRegistered = true;
  self.BeginLife(aWorker);
}

void
WorkerAgent::OnDeregistration(const base::TargetId& aWorker)
{
  State& self = *this->state;
  if (!self.info || self.info->life.id != aWorker) {
    return;
  }
  self.info->isDraining = true;
  self.After(kLeaveTime, [number = self.lifeNumber](State& aSelf) {
    if (aSelf.lifeNumber == number) {
      aSelf.EndLife("deregistered");
      aSelf.ReportSoon();
    }
  });
}

void
WorkerAgent::OnToken(base::FencingToken aToken)
{
  this->state->token = std::max(this->state->token, aToken);
}

void
WorkerAgent::OnLinkOpened()
{
  this->state->ReportSoon();
}

void
WorkerAgent::OnGrant(std::uint64_t aSequence,
                     base::FencingToken aToken,
                     base::Duration aDuration)
{
  State& self = *this->state;
  const auto sent = self.openReports.find(aSequence);
  if (sent == self.openReports.end() || aToken < self.token) {
    return;
  }
  const TimePoint now = self.clock.Now();
  const TimePoint former = self.grantUntil;
  self.token = aToken;
  self.grantUntil = std::max(self.grantUntil, sent->second + aDuration);
  self.openReports.erase(self.openReports.begin(), std::next(sent));
  const bool wasLate = former < now + self.options.reportInterval * 4;
  if (wasLate && self.info && self.isListed && !self.listed.empty()) {
    // The lease may run out before the next hold of the loop.
    self.HoldNow();
  }
}

void
WorkerAgent::OnAcknowledged(const ledger::WorkerLife& aLife,
                            std::uint64_t aNumber)
{
  State& self = *this->state;
  if (!self.info || self.info->life != aLife || aNumber <= self.acknowledged) {
    return;
  }
  self.acknowledged = aNumber;
  self.ended.erase(self.ended.begin(), self.ended.upper_bound(aNumber));
  self.SendHold();
}

void
WorkerAgent::OnStart(base::FencingToken aToken,
                     const ledger::WorkerLife& aLife,
                     const job::TaskRun& aRun,
                     std::string_view aPayload,
                     std::string_view aCheckpoint)
{
  State& self = *this->state;
  if (aToken < self.token) {
    self.logger.Warning("order of a former coordinator",
                        { { "task", ToLogText(aRun) }, { "token", aToken } });
    return;
  }
  self.token = aToken;
  const char* refusal = nullptr;
  if (!self.info || self.info->life != aLife) {
    refusal = "worker has changed";
  } else if (self.info->isDraining) {
    refusal = "worker drains";
  } else if (self.holdFailures >= kMaxHoldFailures) {
    refusal = "worker does not answer";
  } else if (self.clock.Now() + kMinGrant > self.grantUntil) {
    refusal = "no grant";
  }
  if (refusal != nullptr) {
    self.logger.Warning("start is refused",
                        { { "task", ToLogText(aRun) }, { "reason", refusal } });
    self.coordinator.SendOutcome(aLife, aRun, OrderOutcome::Refused);
    return;
  }
  const auto [found, isNew] = self.runs.try_emplace(aRun);
  if (!isNew) {
    return;
  }
  found->second.payload = aPayload;
  found->second.checkpoint = aCheckpoint;
  self.SendStart(aRun);
}

void
WorkerAgent::OnStop(base::FencingToken aToken,
                    const ledger::WorkerLife& aLife,
                    const job::TaskRun& aRun)
{
  State& self = *this->state;
  if (aToken < self.token || !self.info) {
    return;
  }
  self.token = aToken;
  if (self.info->life != aLife) {
    if (aLife.born < self.info->life.born) {
      self.coordinator.SendOutcome(aLife, aRun, OrderOutcome::Absent);
    }
    return;
  }
  Run& run = self.runs[aRun];
  if (run.phase == RunPhase::Stopping) {
    return;
  }
  if (run.phase == RunPhase::Starting && run.tries > 0) {
    run.mayArriveLate = true;
  }
  run.phase = RunPhase::Stopping;
  self.SendStop(aRun);
}

AgentStatus
WorkerAgent::Status() const
{
  const State& self = *this->state;
  return { self.info.has_value(),
           self.IsGranted(),
           self.listed.size(),
           self.ended.size(),
           self.token };
}

} // namespace amaranthwind::agent
