// The part of CellService that carries out the gang protocol.

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

} // namespace

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
CellService::CarryOut(const gang::AttemptWaitingForLog& aEffect)
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
      event.faultyWorker = members[*aEnded.rankAtFault].worker;
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
        this->Lead(gang::AllowEndAck{ gang });
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

} // namespace amaranthwind::entry
