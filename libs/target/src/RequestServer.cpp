#include "RequestServer.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace amaranthwind::target {

using base::Error;
using base::ErrorCode;
using protocol::ExecuteOutcome;
using protocol::ExecuteReply;
using requests::AdmissionResult;
using requests::ClaimResult;
using requests::Decision;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds kRetryAfter = 200ms;
// Exceeds the connection time on a healthy network and stays well below the
// deadline of a short request.
constexpr base::Duration kClaimTimeout = 1s;

std::uint64_t
Fingerprint(const protocol::Execute& aExecute)
{
  const auto kind = aExecute.kind.View();
  const XXH64_hash_t seed = XXH64(kind.data(), kind.size(), 0);
  return XXH64(aExecute.body.data(), aExecute.body.size(), seed);
}

requests::Request
MakeRequest(const protocol::Execute& aExecute)
{
  return { { aExecute.account, aExecute.key },
           Fingerprint(aExecute),
           aExecute.isIdempotent,
           aExecute.retryAttempt };
}

ExecuteReply
MakeDoneReply(std::uint32_t aStatus, std::span<const std::byte> aBody)
{
  return { ExecuteOutcome::Done,
           static_cast<std::uint16_t>(aStatus),
           {},
           {},
           { aBody.begin(), aBody.end() } };
}

ExecuteReply
MakeNotRunReply(const Error& aError)
{
  return { ExecuteOutcome::NotRun, 0, aError, kRetryAfter, {} };
}

ExecuteReply
MakeUnknownReply(const Error& aError)
{
  return { ExecuteOutcome::Unknown, 0, aError, {}, {} };
}

} // namespace

RequestServer::RequestServer(RequestServerOptions aOptions,
                             const base::Clock& aClock,
                             base::EventLoop& aLoop,
                             protocol::Node& aNode,
                             ExecutorClient& aExecutor,
                             const telemetry::TargetMetrics& aMetrics)
  : options(std::move(aOptions))
  , clock(aClock)
  , loop(aLoop)
  , node(aNode)
  , executor(aExecutor)
  , metrics(aMetrics)
  , idempotencyTable(aClock.Now())
{
}

void
RequestServer::OnExecute(protocol::ConnectionId aConnection,
                         protocol::CorrelationId aCorrelation,
                         const protocol::Execute& aExecute)
{
  const auto now = this->clock.Now();
  PendingRequest request;
  request.ticket = Ticket(++this->lastTicket);
  request.kind = aExecute.kind.Text();
  request.body = aExecute.body;
  request.arrival = now;
  request.deadline = now + aExecute.deadline;
  request.witness = aExecute.witnessAddress;
  this->replyAddresses[request.ticket] = { aConnection, aCorrelation };
  if (aExecute.key.IsEmpty()) {
    if (this->isDraining) {
      this->ReplyNotRun(request.ticket,
                        { ErrorCode::Draining, this->options.id.Text() });
      return;
    }
    this->Enqueue(std::move(request));
    return;
  }
  request.tracked = MakeRequest(aExecute);
  const auto decision =
    this->idempotencyTable.Admit(now, *request.tracked, request.ticket);
  this->ApplyDecision(decision, std::move(request), aExecute.lostTargets);
}

void
RequestServer::ApplyDecision(const Decision& aDecision,
                             PendingRequest aRequest,
                             std::uint32_t aLostTargets)
{
  switch (aDecision.admissionResult) {
    case AdmissionResult::Claim:
      this->ClaimAtWitness(std::move(aRequest), aLostTargets);
      return;
    case AdmissionResult::Queue:
      this->Enqueue(std::move(aRequest));
      return;
    case AdmissionResult::RunUntracked:
      aRequest.tracked.reset();
      this->Enqueue(std::move(aRequest));
      return;
    case AdmissionResult::Wait:
      return;
    case AdmissionResult::Replay:
    case AdmissionResult::NotRun:
    case AdmissionResult::Unknown:
    case AdmissionResult::KeyReused:
      this->ReplyDecision(aRequest.ticket, aDecision);
      return;
  }
}

void
RequestServer::ClaimAtWitness(PendingRequest aRequest,
                              std::uint32_t aLostTargets)
{
  ++this->pendingClaims;
  if (aRequest.witness.empty()) {
    this->OnClaimResult(std::move(aRequest),
                        { ClaimResult::NoWitness, false, nullptr },
                        aLostTargets);
    return;
  }
  const auto& tracked = *aRequest.tracked;
  const protocol::Claim claim{ { tracked.key,
                                 tracked.fingerprint,
                                 tracked.attempt,
                                 this->options.id,
                                 this->options.incarnation } };
  const auto connection = this->ConnectToWitness(aRequest.witness);
  // The callback runs on an I/O thread, but the request may only be used on the
  // event loop.
  auto shared = std::make_shared<PendingRequest>(std::move(aRequest));
  this->node.Call(
    connection,
    claim,
    kClaimTimeout,
    [this, shared, aLostTargets](const protocol::CallResult& aResult) {
      const auto* reply = aResult.reply == nullptr
                            ? nullptr
                            : std::get_if<protocol::ClaimReply>(aResult.reply);
      const requests::ClaimReply answer =
        reply == nullptr
          ? requests::ClaimReply{ ClaimResult::Unreachable, false, nullptr }
          : reply->reply;
      this->loop.Post([this, shared, answer, aLostTargets] {
        this->OnClaimResult(std::move(*shared), answer, aLostTargets);
      });
    });
}

void
RequestServer::OnClaimResult(PendingRequest aRequest,
                             const requests::ClaimReply& aReply,
                             std::uint32_t aLostTargets)
{
  --this->pendingClaims;
  const auto decision = this->idempotencyTable.OnClaimReply(
    this->clock.Now(), aRequest.tracked->key, aReply, aLostTargets);
  if (decision.admissionResult == AdmissionResult::Queue) {
    this->Enqueue(std::move(aRequest));
    return;
  }
  for (const Ticket ticket : decision.tickets) {
    this->ReplyDecision(ticket, decision);
  }
}

void
RequestServer::NotifyWitness(const PendingRequest& aRequest,
                             bool aHasRun,
                             std::uint32_t aStatus,
                             std::span<const std::byte> aBody)
{
  const bool isClaimed = aRequest.tracked && !aRequest.tracked->isIdempotent;
  if (!isClaimed || aRequest.witness.empty()) {
    return;
  }
  this->node.Send(
    this->ConnectToWitness(aRequest.witness),
    protocol::ClaimEnded{ aRequest.tracked->key,
                          aHasRun,
                          { aStatus, { aBody.begin(), aBody.end() } } });
}

protocol::ConnectionId
RequestServer::ConnectToWitness(const std::string& aAddress)
{
  const auto found = this->witnessConnections.find(aAddress);
  if (found != this->witnessConnections.end()) {
    return found->second;
  }
  const auto connection = this->node.Connect(aAddress);
  this->witnessConnections[aAddress] = connection;
  return connection;
}

void
RequestServer::OnClosed(protocol::ConnectionId aConnection)
{
  std::erase_if(this->witnessConnections, [&](const auto& aWitness) {
    return aWitness.second == aConnection;
  });
}

void
RequestServer::Enqueue(PendingRequest aRequest)
{
  if (this->queue.size() >= this->options.maxQueued) {
    this->RefuseRequest(aRequest, ErrorCode::QueueFull);
    return;
  }
  this->queue.push_back(std::move(aRequest));
  this->StartNext();
}

void
RequestServer::RefuseRequest(const PendingRequest& aRequest, ErrorCode aCode)
{
  const Error error{ aCode, this->options.id.Text() };
  if (!aRequest.tracked) {
    this->ReplyNotRun(aRequest.ticket, error);
    return;
  }
  const auto now = this->clock.Now();
  const auto decision = this->idempotencyTable.Refuse(
    now, *aRequest.tracked, now - aRequest.arrival);
  if (decision.admissionResult == AdmissionResult::NotRun) {
    this->NotifyWitness(aRequest, false, 0, {});
  }
  for (const Ticket ticket : decision.tickets) {
    if (decision.admissionResult == AdmissionResult::NotRun) {
      this->ReplyNotRun(ticket, error);
    } else {
      this->ReplyDecision(ticket, decision);
    }
  }
}

void
RequestServer::StartNext()
{
  const auto now = this->clock.Now();
  while (!this->queue.empty() && this->running < this->options.slots) {
    PendingRequest request = std::move(this->queue.front());
    this->queue.pop_front();
    if (request.deadline <= now) {
      this->RefuseRequest(request, ErrorCode::QueueTimeout);
    } else if (!request.tracked ||
               this->idempotencyTable.Start(request.tracked->key)) {
      this->Run(std::move(request));
    }
  }
}

void
RequestServer::Run(PendingRequest aRequest)
{
  ++this->running;
  this->metrics.admittedRequests.Increment();
  const auto start = this->clock.Now();
  const auto timeout = aRequest.deadline - start;
  auto shared = std::make_shared<const PendingRequest>(std::move(aRequest));
  this->executor.Run(shared->kind,
                     shared->body,
                     timeout,
                     [this, shared, start](ExecutorResult aResult) {
                       this->loop.Post(
                         [this, shared, start, result = std::move(aResult)] {
                           this->OnResult(*shared, start, result);
                         });
                     });
}

void
RequestServer::OnResult(const PendingRequest& aRequest,
                        base::TimePoint aStart,
                        const ExecutorResult& aResult)
{
  --this->running;
  const auto now = this->clock.Now();
  this->metrics.serviceTime.Observe(now - aStart);
  const bool isAnswered = aResult.status != 0;
  std::vector<Ticket> tickets{ aRequest.ticket };
  ExecuteReply reply;
  if (isAnswered) {
    reply = MakeDoneReply(aResult.status, aResult.body);
    this->NotifyWitness(aRequest, true, aResult.status, aResult.body);
  } else {
    reply = aResult.mayHaveRun ? MakeUnknownReply(aResult.error)
                               : MakeNotRunReply(aResult.error);
  }
  if (aRequest.tracked) {
    // The outcome is unknown even if a tracked request never reached the
    // executor: the idempotency table has marked it as running and does not
    // revert that.
    tickets =
      isAnswered
        ? this->idempotencyTable.Finish(
            now, aRequest.tracked->key, aResult.status, aResult.body)
        : this->idempotencyTable.FinishUnknown(now, aRequest.tracked->key);
    if (!isAnswered) {
      reply = MakeUnknownReply(aResult.error);
    }
  }
  for (const Ticket ticket : tickets) {
    this->Reply(ticket, reply);
  }
  this->StartNext();
}

void
RequestServer::OnClaim(protocol::ConnectionId aConnection,
                       protocol::CorrelationId aCorrelation,
                       const protocol::Claim& aClaim)
{
  const auto reply =
    this->idempotencyTable.RecordClaim(this->clock.Now(), aClaim.claim);
  if (reply.result == ClaimResult::Granted) {
    this->metrics.witnessedClaims.Increment();
  }
  this->node.Reply(aConnection, aCorrelation, protocol::ClaimReply{ reply });
}

void
RequestServer::OnClaimEnded(const protocol::ClaimEnded& aEnded)
{
  const auto now = this->clock.Now();
  if (aEnded.hasRun) {
    this->idempotencyTable.RecordAnswer(
      now, aEnded.key, aEnded.answer.status, aEnded.answer.body);
  } else {
    this->idempotencyTable.RecordRefusal(now, aEnded.key);
  }
}

void
RequestServer::OnTick()
{
  const auto now = this->clock.Now();
  std::deque<PendingRequest> waiting;
  waiting.swap(this->queue);
  for (auto& request : waiting) {
    if (request.deadline <= now) {
      this->RefuseRequest(request, ErrorCode::QueueTimeout);
    } else {
      this->queue.push_back(std::move(request));
    }
  }
  this->StartNext();
}

void
RequestServer::Drain()
{
  this->isDraining = true;
  this->idempotencyTable.Drain();
}

RequestStatus
RequestServer::Status() const
{
  return { this->running,
           this->Queued(),
           this->pendingClaims,
           this->idempotencyTable.KeyCount(),
           this->idempotencyTable.ByteCount() };
}

bool
RequestServer::IsIdle() const
{
  return this->running == 0 && this->pendingClaims == 0 && this->queue.empty();
}

void
RequestServer::ReplyDecision(Ticket aTicket, const Decision& aDecision)
{
  const Error error = aDecision.reason.value_or(Error{});
  switch (aDecision.admissionResult) {
    case AdmissionResult::Replay:
      this->metrics.repeatedKeys.Increment();
      this->Reply(
        aTicket,
        MakeDoneReply(aDecision.answer->status, aDecision.answer->body));
      return;
    case AdmissionResult::NotRun:
    case AdmissionResult::KeyReused:
      this->ReplyNotRun(aTicket, error);
      return;
    default:
      this->Reply(aTicket, MakeUnknownReply(error));
  }
}

void
RequestServer::ReplyNotRun(Ticket aTicket, const Error& aError)
{
  this->metrics.refusedRequests.Increment();
  this->Reply(aTicket, MakeNotRunReply(aError));
}

void
RequestServer::Reply(Ticket aTicket, const ExecuteReply& aReply)
{
  const auto found = this->replyAddresses.find(aTicket);
  if (found == this->replyAddresses.end()) {
    return;
  }
  this->node.Reply(found->second.connection, found->second.correlation, aReply);
  this->replyAddresses.erase(found);
}

} // namespace amaranthwind::target
