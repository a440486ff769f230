#include "RequestServer.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace amaranthwind::target {

using base::Error;
using base::ErrorCode;
using protocol::ExecuteOutcome;
using protocol::ExecuteReply;
using requests::ClaimResult;
using requests::Decision;
using requests::Verdict;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds kRetryAfter = 200ms;
// Longer than a connection attempt on a healthy network, well below the
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
MakeDone(std::uint32_t aStatus, std::span<const std::byte> aBody)
{
  return { ExecuteOutcome::Done,
           static_cast<std::uint16_t>(aStatus),
           {},
           {},
           { aBody.begin(), aBody.end() } };
}

ExecuteReply
MakeNotRun(const Error& aError)
{
  return { ExecuteOutcome::NotRun, 0, aError, kRetryAfter, {} };
}

ExecuteReply
MakeUnknown(const Error& aError)
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
  , ledger(aClock.Now())
{
}

void
RequestServer::OnExecute(protocol::ConnectionId aConnection,
                         protocol::CorrelationId aCorrelation,
                         const protocol::Execute& aExecute)
{
  const auto now = this->clock.Now();
  Work work;
  work.ticket = Ticket(++this->lastTicket);
  work.kind = aExecute.kind.Text();
  work.body = aExecute.body;
  work.arrival = now;
  work.deadline = now + aExecute.deadline;
  work.witness = aExecute.witnessAddress;
  this->replies[work.ticket] = { aConnection, aCorrelation };
  if (aExecute.key.IsEmpty()) {
    if (this->isDraining) {
      this->ReplyNotRun(work.ticket,
                        { ErrorCode::Draining, this->options.id.Text() });
      return;
    }
    this->Enqueue(std::move(work));
    return;
  }
  work.tracked = MakeRequest(aExecute);
  const auto decision = this->ledger.Admit(now, *work.tracked, work.ticket);
  this->Decide(decision, std::move(work), aExecute.lostTargets);
}

void
RequestServer::Decide(const Decision& aDecision,
                      Work aWork,
                      std::uint32_t aLostTargets)
{
  switch (aDecision.verdict) {
    case Verdict::Claim:
      this->AskWitness(std::move(aWork), aLostTargets);
      return;
    case Verdict::Queue:
      this->Enqueue(std::move(aWork));
      return;
    case Verdict::RunUntracked:
      aWork.tracked.reset();
      this->Enqueue(std::move(aWork));
      return;
    case Verdict::Wait:
      return;
    case Verdict::Replay:
    case Verdict::NotRun:
    case Verdict::Unknown:
    case Verdict::KeyReused:
      this->ReplyDecision(aWork.ticket, aDecision);
      return;
  }
}

void
RequestServer::AskWitness(Work aWork, std::uint32_t aLostTargets)
{
  ++this->claiming;
  if (aWork.witness.empty()) {
    this->OnClaimResult(std::move(aWork),
                        { ClaimResult::NoWitness, false, nullptr },
                        aLostTargets);
    return;
  }
  const auto& tracked = *aWork.tracked;
  const protocol::Claim claim{ { tracked.key,
                                 tracked.fingerprint,
                                 tracked.attempt,
                                 this->options.id,
                                 this->options.incarnation } };
  const auto connection = this->WitnessConnection(aWork.witness);
  // The callback runs on an I/O thread, and the work belongs to the loop.
  auto shared = std::make_shared<Work>(std::move(aWork));
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
RequestServer::OnClaimResult(Work aWork,
                             const requests::ClaimReply& aReply,
                             std::uint32_t aLostTargets)
{
  --this->claiming;
  const auto decision = this->ledger.OnClaimReply(
    this->clock.Now(), aWork.tracked->key, aReply, aLostTargets);
  if (decision.verdict == Verdict::Queue) {
    this->Enqueue(std::move(aWork));
    return;
  }
  for (const Ticket ticket : decision.tickets) {
    this->ReplyDecision(ticket, decision);
  }
}

void
RequestServer::TellWitness(const Work& aWork,
                           bool aHasRun,
                           std::uint32_t aStatus,
                           std::span<const std::byte> aBody)
{
  const bool isClaimed = aWork.tracked && !aWork.tracked->isIdempotent;
  if (!isClaimed || aWork.witness.empty()) {
    return;
  }
  this->node.Send(
    this->WitnessConnection(aWork.witness),
    protocol::ClaimEnded{ aWork.tracked->key,
                          aHasRun,
                          { aStatus, { aBody.begin(), aBody.end() } } });
}

protocol::ConnectionId
RequestServer::WitnessConnection(const std::string& aAddress)
{
  const auto found = this->witnesses.find(aAddress);
  if (found != this->witnesses.end()) {
    return found->second;
  }
  const auto connection = this->node.Connect(aAddress);
  this->witnesses[aAddress] = connection;
  return connection;
}

void
RequestServer::OnClosed(protocol::ConnectionId aConnection)
{
  std::erase_if(this->witnesses, [&](const auto& aWitness) {
    return aWitness.second == aConnection;
  });
}

void
RequestServer::Enqueue(Work aWork)
{
  if (this->queue.size() >= this->options.maxQueued) {
    this->RefuseQueued(aWork, ErrorCode::QueueFull);
    return;
  }
  this->queue.push_back(std::move(aWork));
  this->StartNext();
}

void
RequestServer::RefuseQueued(const Work& aWork, ErrorCode aCode)
{
  const Error error{ aCode, this->options.id.Text() };
  if (!aWork.tracked) {
    this->ReplyNotRun(aWork.ticket, error);
    return;
  }
  const auto now = this->clock.Now();
  const auto decision =
    this->ledger.Refuse(now, *aWork.tracked, now - aWork.arrival);
  if (decision.verdict == Verdict::NotRun) {
    this->TellWitness(aWork, false, 0, {});
  }
  for (const Ticket ticket : decision.tickets) {
    if (decision.verdict == Verdict::NotRun) {
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
    Work work = std::move(this->queue.front());
    this->queue.pop_front();
    if (work.deadline <= now) {
      this->RefuseQueued(work, ErrorCode::QueueTimeout);
    } else if (!work.tracked || this->ledger.Start(work.tracked->key)) {
      this->Run(std::move(work));
    }
  }
}

void
RequestServer::Run(Work aWork)
{
  ++this->running;
  this->metrics.admittedRequests.Increment();
  const auto start = this->clock.Now();
  const auto timeout = aWork.deadline - start;
  auto shared = std::make_shared<const Work>(std::move(aWork));
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
RequestServer::OnResult(const Work& aWork,
                        base::TimePoint aStart,
                        const ExecutorResult& aResult)
{
  --this->running;
  const auto now = this->clock.Now();
  this->metrics.serviceTime.Observe(now - aStart);
  const bool isAnswered = aResult.status != 0;
  std::vector<Ticket> tickets{ aWork.ticket };
  ExecuteReply reply;
  if (isAnswered) {
    reply = MakeDone(aResult.status, aResult.body);
    this->TellWitness(aWork, true, aResult.status, aResult.body);
  } else {
    reply = aResult.mayHaveRun ? MakeUnknown(aResult.error)
                               : MakeNotRun(aResult.error);
  }
  if (aWork.tracked) {
    // A tracked request that never reached the executor also counts as
    // unknown: it is marked as running, and that is not taken back.
    tickets = isAnswered
                ? this->ledger.Finish(
                    now, aWork.tracked->key, aResult.status, aResult.body)
                : this->ledger.FinishUnknown(now, aWork.tracked->key);
    if (!isAnswered) {
      reply = MakeUnknown(aResult.error);
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
  const auto reply = this->ledger.RecordClaim(this->clock.Now(), aClaim.claim);
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
    this->ledger.RecordAnswer(
      now, aEnded.key, aEnded.answer.status, aEnded.answer.body);
  } else {
    this->ledger.RecordRefusal(now, aEnded.key);
  }
}

void
RequestServer::OnTick()
{
  const auto now = this->clock.Now();
  std::deque<Work> waiting;
  waiting.swap(this->queue);
  for (auto& work : waiting) {
    if (work.deadline <= now) {
      this->RefuseQueued(work, ErrorCode::QueueTimeout);
    } else {
      this->queue.push_back(std::move(work));
    }
  }
  this->StartNext();
}

void
RequestServer::Drain()
{
  this->isDraining = true;
  this->ledger.Drain();
}

RequestStatus
RequestServer::Status() const
{
  return { this->running,
           this->Queued(),
           this->claiming,
           this->ledger.KeyCount(),
           this->ledger.ByteCount() };
}

bool
RequestServer::IsIdle() const
{
  return this->running == 0 && this->claiming == 0 && this->queue.empty();
}

void
RequestServer::ReplyDecision(Ticket aTicket, const Decision& aDecision)
{
  const Error error = aDecision.reason.value_or(Error{});
  switch (aDecision.verdict) {
    case Verdict::Replay:
      this->metrics.repeatedKeys.Increment();
      this->Reply(aTicket,
                  MakeDone(aDecision.answer->status, aDecision.answer->body));
      return;
    case Verdict::NotRun:
    case Verdict::KeyReused:
      this->ReplyNotRun(aTicket, error);
      return;
    default:
      this->Reply(aTicket, MakeUnknown(error));
  }
}

void
RequestServer::ReplyNotRun(Ticket aTicket, const Error& aError)
{
  this->metrics.refusedRequests.Increment();
  this->Reply(aTicket, MakeNotRun(aError));
}

void
RequestServer::Reply(Ticket aTicket, const ExecuteReply& aReply)
{
  const auto found = this->replies.find(aTicket);
  if (found == this->replies.end()) {
    return;
  }
  this->node.Reply(found->second.connection, found->second.correlation, aReply);
  this->replies.erase(found);
}

} // namespace amaranthwind::target
