// Executes the coordinator's commands on the worker.

#include "AgentState.h"

#include <algorithm>

namespace amaranthwind::agent {

using namespace std::chrono_literals;

namespace {

/** Fewer than the connections to the worker, which holds need as well. */
constexpr std::size_t kMaxRequestsInFlight = 24;

} // namespace

void
WorkerAgent::State::AdvanceToken(base::FencingToken aToken)
{
  if (aToken > this->token) {
    this->token = aToken;
    this->receivedOrder = {};
  }
}

bool
WorkerAgent::State::AcceptOrder(const dispatch::OrderId& aOrder,
                                const TaskRun& aRun)
{
  if (aOrder.token < this->token) {
    this->logger.Warning(
      "command rejected: stale fencing token",
      { { "task", ToLogText(aRun) }, { "token", aOrder.token } });
    return false;
  }
  this->AdvanceToken(aOrder.token);
  if (aOrder.number == dispatch::OrderNumber()) {
    return true; // The coordinator does not number its orders.
  }
  if (aOrder.number <= this->receivedOrder) {
    this->logger.Info(
      "command ignored: already received",
      { { "task", ToLogText(aRun) }, { "number", aOrder.number } });
    return false;
  }
  this->receivedOrder = aOrder.number;
  return true;
}

void
WorkerAgent::State::ReportOutcome(const TaskRun& aRun, OrderOutcome aOutcome)
{
  this->logger.Info("reporting command outcome",
                    { { "task", ToLogText(aRun) },
                      { "outcome", static_cast<unsigned>(aOutcome) } });
  this->coordinator.SendOutcome(this->workerInfo->life, aRun, aOutcome);
}

const char*
WorkerAgent::State::RefusalOf(const Run& aRun) const
{
  if (this->workerInfo->isDraining) {
    return "worker is draining";
  }
  if (this->clock.Now() >= aRun.startBefore) {
    return "order is too old";
  }
  return nullptr;
}

void
WorkerAgent::State::TakeTurns()
{
  while (this->requestsInFlight < kMaxRequestsInFlight &&
         !this->waitingRequests.empty()) {
    const auto send = std::move(this->waitingRequests.front());
    this->waitingRequests.pop_front();
    if (send(*this)) {
      ++this->requestsInFlight;
    }
  }
}

void
WorkerAgent::State::SendStart(const TaskRun& aRun)
{
  this->waitingRequests.emplace_back(
    [aRun](State& aSelf) { return aSelf.SendStartNow(aRun); });
  this->TakeTurns();
}

bool
WorkerAgent::State::SendStartNow(const TaskRun& aRun)
{
  const auto found = this->runs.find(aRun);
  if (found == this->runs.end() || found->second.phase != RunPhase::Starting) {
    return false;
  }
  Run& run = found->second;
  if (const char* refusal = this->RefusalOf(run)) {
    this->AbandonStart(aRun, refusal);
    return false;
  }
  const auto deadline = this->LeaseDeadline();
  if (!deadline) {
    this->AbandonStart(aRun, "no lease grant");
    return false;
  }
  ++run.startAttempts;
  LateStart& late = this->lateStarts[aRun];
  late.life = this->workerInfo->life;
  late.sentAt = this->clock.Now();
  ++late.unanswered;
  this->ExtendLeaseBound(*deadline);
  StartRequest request{ this->workerInfo->life.id,
                        aRun,
                        run.payload,
                        run.checkpoint,
                        this->token,
                        *deadline };
  this->worker.Start(request,
                     this->BindToIncarnation<WorkerRequestReply>(
                       [aRun](State& aSelf, const WorkerRequestReply& aAnswer) {
                         --aSelf.requestsInFlight;
                         aSelf.SettleLateStart(aRun, aAnswer.result);
                         aSelf.OnStartAnswer(aRun, aAnswer);
                         aSelf.TakeTurns();
                       }));
  return true;
}

void
WorkerAgent::State::SettleLateStart(const TaskRun& aRun,
                                    WorkerRequestResult aResult)
{
  const auto found = this->lateStarts.find(aRun);
  if (found == this->lateStarts.end() ||
      aResult == WorkerRequestResult::NoReply) {
    return;
  }
  LateStart& start = found->second;
  start.isAccepted =
    start.isAccepted || aResult == WorkerRequestResult::Accepted;
  if (--start.unanswered == 0) {
    this->lateStarts.erase(found);
  }
}

void
WorkerAgent::State::OnStartAnswer(const TaskRun& aRun,
                                  const WorkerRequestReply& aAnswer)
{
  const auto found = this->runs.find(aRun);
  if (found == this->runs.end() || found->second.phase != RunPhase::Starting) {
    if (found != this->runs.end() &&
        aAnswer.result == WorkerRequestResult::NoReply) {
      found->second.mayTakeEffectLate = true;
    }
    return;
  }
  Run& run = found->second;
  switch (aAnswer.result) {
    case WorkerRequestResult::Accepted:
      run.phase = RunPhase::Started;
      run.lastHoldBeforeAccept = this->lastHoldNumber;
      this->ReportOutcome(aRun, OrderOutcome::Started);
      break;
    case WorkerRequestResult::NoReply:
      run.mayTakeEffectLate = true;
      if (run.startAttempts < this->options.maxStartAttempts) {
        this->RetryLater(aRun, &State::SendStart);
      } else {
        this->AbandonStart(aRun, "no response from the worker");
      }
      break;
    default:
      this->AbandonStart(aRun, aAnswer.reason);
      break;
  }
}

void
WorkerAgent::State::AbandonStart(const TaskRun& aRun, std::string_view aReason)
{
  this->logger.Warning("task start abandoned",
                       { { "task", ToLogText(aRun) }, { "reason", aReason } });
  Run& run = this->runs[aRun];
  if (run.mayTakeEffectLate) {
    run.phase = RunPhase::Stopping;
    this->SendStop(aRun);
    return;
  }
  this->runs.erase(aRun);
  this->ReportOutcome(aRun, OrderOutcome::Refused);
}

void
WorkerAgent::State::SendStop(const TaskRun& aRun)
{
  this->waitingRequests.emplace_back(
    [aRun](State& aSelf) { return aSelf.SendStopNow(aRun); });
  this->TakeTurns();
}

bool
WorkerAgent::State::SendStopNow(const TaskRun& aRun)
{
  const auto found = this->runs.find(aRun);
  if (found == this->runs.end() || found->second.phase != RunPhase::Stopping) {
    return false;
  }
  const StopRequest request{ this->workerInfo->life.id, aRun, this->token };
  this->worker.Stop(request,
                    this->BindToIncarnation<WorkerRequestReply>(
                      [aRun](State& aSelf, const WorkerRequestReply& aAnswer) {
                        --aSelf.requestsInFlight;
                        aSelf.OnStopAnswer(aRun, aAnswer);
                        aSelf.TakeTurns();
                      }));
  return true;
}

void
WorkerAgent::State::OnStopAnswer(const TaskRun& aRun,
                                 const WorkerRequestReply& aAnswer)
{
  const auto found = this->runs.find(aRun);
  if (found == this->runs.end() || found->second.phase != RunPhase::Stopping) {
    return;
  }
  Run& run = found->second;
  if (aAnswer.result == WorkerRequestResult::Accepted) {
    run.phase = RunPhase::Stopped;
    run.lastHoldBeforeAccept = this->lastHoldNumber;
    this->HoldNow();
  } else if ((aAnswer.result == WorkerRequestResult::Fenced &&
              !run.isCancellationOnly) ||
             aAnswer.result == WorkerRequestResult::WorkerReplaced) {
    // The run is up to a newer coordinator or a newer incarnation. A newer
    // coordinator does not know of a start to an earlier incarnation.
    this->runs.erase(found);
  } else {
    run.mayTakeEffectLate = true;
    this->RetryLater(aRun, &State::SendStop);
  }
}

void
WorkerAgent::State::RetryLater(const TaskRun& aRun,
                               void (State::*aSend)(const TaskRun&))
{
  Run& run = this->runs[aRun];
  this->RunAfterDelay(
    run.backoff.Next(),
    [aRun, aSend, number = this->incarnationNumber, phase = run.phase](
      State& aSelf) {
      const auto again = aSelf.runs.find(aRun);
      if (aSelf.incarnationNumber == number && again != aSelf.runs.end() &&
          again->second.phase == phase) {
        (aSelf.*aSend)(aRun);
      }
    });
}

} // namespace amaranthwind::agent
