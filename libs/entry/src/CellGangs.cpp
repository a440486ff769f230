// The part of CellService that implements the gang protocol.

#include "CellService.h"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace amaranthwind::entry {

using base::ErrorCode;
using base::LogOffset;
using base::Result;
using protocol::ConnectionId;

namespace {

// Bounds the reports kept for connections that never send a heartbeat; far
// above the number of workers that join at the same time.
constexpr std::size_t kMaxEarlyReports = 4096;

journal::AttemptOutcome
ToRecordOutcome(gang::AttemptOutcome aOutcome)
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
ToSchedulingOutcome(gang::AttemptOutcome aOutcome)
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

/** Converts the state of an attempt in the log to that of the gang protocol. */
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
      // A member that is still prepared must not start in an ended gang.
      return gang::AttemptState::Aborted;
    case journal::AttemptFate::Unknown:
      break;
  }
  return gang::AttemptState::Unknown;
}

/** Converts gang messages that a coordinator handles to coordinator events. */
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

} // namespace

void
CellService::HandleGangEvent(const gang::CoordinatorEvent& aEvent,
                             std::optional<ConnectionId> aSender)
{
  if (!this->gangCoordinator) {
    return;
  }
  const auto previousSender = std::exchange(this->eventSender, aSender);
  const auto effects = this->gangCoordinator->Handle(this->clock.Now(), aEvent);
  for (const auto& effect : effects) {
    std::visit([this](const auto& aEffect) { this->Apply(aEffect); }, effect);
  }
  this->eventSender = previousSender;
}

void
CellService::Apply(const gang::SendToMember& aEffect)
{
  std::optional<ConnectionId> connection = this->eventSender;
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
CellService::Apply(const gang::WriteDecision& aEffect)
{
  const auto known = this->pendingDecisions.find(aEffect.key);
  if (known == this->pendingDecisions.end()) {
    journal::GangDecisionRecord record;
    record.token = this->token;
    record.gang = aEffect.key.gang;
    record.isCommit = aEffect.decision == gang::Decision::Commit;
    record.members = aEffect.members;
    this->pendingDecisions[aEffect.key] = this->MakeTask(record, true);
  }
  this->AppendOnce(this->pendingDecisions[aEffect.key],
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
  if (!this->pendingDecisions.contains(aKey)) {
    return;
  }
  if (aResult.has_value()) {
    this->pendingDecisions.erase(aKey);
    this->HandleGangEvent(gang::DecisionConfirmed{ aKey });
    this->follower.Wake();
  } else if (aResult.error().code == ErrorCode::StaleToken) {
    this->HandleGangEvent(gang::TokenLost{});
  } else {
    this->pendingDecisions[aKey] = std::move(aTask);
    this->HandleGangEvent(gang::DecisionUnconfirmed{ aKey });
  }
}

void
CellService::Apply(const gang::AttemptWaitingForLog& aEffect)
{
  this->logger.Warning("gang decision waiting for the log",
                       { { "job", aEffect.key.gang.job } });
}

void
CellService::Apply(const gang::AttemptStarted& aEffect)
{
  const auto fate = this->replay.FateOf(aEffect.key.gang);
  this->recorder.OnStarted(aEffect.key.gang,
                           fate == journal::AttemptFate::Aborted ||
                             fate == journal::AttemptFate::Voided,
                           this->clock.Now());
  this->logger.Info("gang started",
                    { { "job", aEffect.key.gang.job },
                      { "attempt", aEffect.key.gang.attempt } });
  this->HandleSchedulingEvent(scheduling::GangStarted{ aEffect.key.gang });
}

void
CellService::Apply(const gang::AttemptEnded& aEffect)
{
  this->recorder.OnAttemptEnded(
    aEffect.key.gang, aEffect.outcome, this->clock.Now());
  this->logger.Info("gang attempt ended",
                    { { "job", aEffect.key.gang.job },
                      { "attempt", aEffect.key.gang.attempt },
                      { "outcome", static_cast<int>(aEffect.outcome) } });
  if (aEffect.isAborted) {
    this->EndAttempt(aEffect);
    return;
  }
  this->AppendWithRetry(
    journal::AttemptEndedRecord{
      this->token, aEffect.key.gang, ToRecordOutcome(aEffect.outcome) },
    [this, ended = aEffect] {
      this->HandleGangEvent(gang::EndConfirmed{ ended.key });
      this->EndAttempt(ended);
    });
}

void
CellService::EndAttempt(const gang::AttemptEnded& aEnded)
{
  scheduling::GangEnded event;
  event.gang = aEnded.key.gang;
  event.outcome = ToSchedulingOutcome(aEnded.outcome);
  const auto found = this->attempts.find(aEnded.key.gang);
  if (found != this->attempts.end()) {
    const auto& members = found->second.members;
    if (aEnded.rankAtFault && *aEnded.rankAtFault < members.size()) {
      event.faultyWorker = members[*aEnded.rankAtFault].worker;
    }
    this->attempts.erase(found);
  }
  this->HandleSchedulingEvent(event);
}

void
CellService::Apply(const gang::CoordinatorSuperseded&)
{
  this->Apply(this->election.OnStaleToken(this->token, this->clock.Now()));
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
  this->ReportHeldAttempts(aConnection, aReport);
}

void
CellService::ReportHeldAttempts(ConnectionId aConnection,
                                const protocol::GangReport& aReport)
{
  std::vector<gang::AttemptKey> held;
  held.reserve(aReport.gangs.size());
  for (const auto& each : aReport.gangs) {
    held.push_back(gang::KeyOf(each.plan));
  }
  for (const auto& [id, worker] : this->workers) {
    if (worker.connection == aConnection) {
      this->HandleGangEvent(gang::WorkerReported{ id, std::move(held) },
                            aConnection);
      return;
    }
  }
  // The report arrived before the first heartbeat, which makes a worker usable.
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
  if (this->awaitedGangs.erase(gang) > 0) {
    auto plan = std::make_shared<job::GangPlan>(aHeld.plan);
    this->logger.Info("resuming gang of a former coordinator",
                      { { "job", gang.job } });
    this->attempts[gang] = { gang::KeyOf(*plan), plan->members };
    this->HandleGangEvent(gang::ResumeGang{ plan });
    this->HandleSchedulingEvent(scheduling::GangStarted{ gang });
    return;
  }
  const bool hasEnded =
    this->replay.FateOf(gang) == journal::AttemptFate::Ended;
  if (hasEnded && aHeld.phase == gang::MemberPhase::Running) {
    gang::StopGang stop;
    stop.key = gang::KeyOf(aHeld.plan);
    stop.fence = gang::Fence{ this->options.zone, this->token };
    this->node.Send(aConnection, stop);
  }
}

void
CellService::ExpireAwaitedGangs(base::TimePoint aNow)
{
  std::vector<job::GangId> lost;
  for (const auto& [gang, limit] : this->awaitedGangs) {
    if (aNow >= limit) {
      lost.push_back(gang);
    }
  }
  for (const auto& gang : lost) {
    this->awaitedGangs.erase(gang);
    this->logger.Warning("no member of the gang reported in time",
                         { { "job", gang.job } });
    this->AppendWithRetry(
      journal::AttemptEndedRecord{
        this->token, gang, journal::AttemptOutcome::Failed },
      [this, gang] {
        this->HandleGangEvent(gang::AllowEndAck{ gang });
        scheduling::GangEnded event;
        event.gang = gang;
        event.outcome = scheduling::AttemptOutcome::Failed;
        this->HandleSchedulingEvent(event);
      });
  }
}

void
CellService::ExpireDepartedWorkers(base::TimePoint aNow)
{
  std::vector<base::TargetId> lost;
  for (const auto& [worker, limit] : this->departedWorkers) {
    if (aNow >= limit) {
      lost.push_back(worker);
    }
  }
  for (const auto& worker : lost) {
    this->departedWorkers.erase(worker);
    this->HandleGangEvent(gang::WorkerLost{ worker });
  }
}

void
CellService::ReplyOutcome(ConnectionId aConnection,
                          const gang::OutcomeQuery& aQuery)
{
  this->node.Send(aConnection,
                  gang::OutcomeReply{ aQuery.key, this->StateOf(aQuery.key) });
}

gang::AttemptState
CellService::StateOf(const gang::AttemptKey& aKey) const
{
  if (this->gangCoordinator) {
    const auto state = this->gangCoordinator->StateOf(aKey);
    if (state != gang::AttemptState::Unknown) {
      return state;
    }
  }
  const auto state = ToAttemptState(this->replay.FateOf(aKey.gang));
  const bool isOld = this->replay.IsComplete() && this->isLoaded.load() &&
                     this->replay.Token() &&
                     aKey.planToken < *this->replay.Token();
  // The replay is complete and the plan is from an earlier epoch: a job that
  // the replay does not know has ended, and no record of it can follow.
  return state == gang::AttemptState::Unknown && isOld
           ? gang::AttemptState::Aborted
           : state;
}

void
CellService::OnMessage(ConnectionId aConnection,
                       const protocol::Message& aMessage)
{
  this->loop.Post([this, aConnection, message = aMessage] {
    if (const auto* query = std::get_if<gang::OutcomeQuery>(&message)) {
      // Another cell does not know the job and would report it as ended.
      if (query->cell == this->options.zone) {
        this->ReplyOutcome(aConnection, *query);
      }
    } else if (const auto* report =
                 std::get_if<protocol::GangReport>(&message)) {
      this->OnGangReport(aConnection, *report);
    } else if (this->IsWorkerConnection(aConnection)) {
      if (const auto event = std::visit(ToCoordinatorEvent{}, message)) {
        this->HandleGangEvent(*event, aConnection);
      }
    }
  });
}

bool
CellService::IsWorkerConnection(ConnectionId aConnection) const
{
  return std::any_of(
    this->workers.begin(), this->workers.end(), [&](const auto& aWorker) {
      return aWorker.second.connection == aConnection;
    });
}

} // namespace amaranthwind::entry
