#pragma once

#include "TargetStatus.h"
#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/EventLoop.h"
#include "amaranthwind/protocol/Node.h"
#include "amaranthwind/requests/IdempotencyTable.h"
#include "amaranthwind/target/ExecutorClient.h"
#include "amaranthwind/telemetry/StandardMetrics.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace amaranthwind::target {

struct RequestServerOptions
{
  base::TargetId id;
  base::Incarnation incarnation;
  /** Maximum number of requests that the executor serves concurrently. */
  std::uint32_t slots = 8;
  /** Maximum number of requests queued for a slot; entries queue the rest. */
  std::uint32_t maxQueued = 16;
};

/**
 * Runs short requests on the local executor, each idempotency key at most once.
 * Confined to the daemon's event loop.
 */
class RequestServer
{
public:
  RequestServer(RequestServerOptions aOptions,
                const base::Clock& aClock,
                base::EventLoop& aLoop,
                protocol::Node& aNode,
                ExecutorClient& aExecutor,
                const telemetry::TargetMetrics& aMetrics);

  void OnExecute(protocol::ConnectionId aConnection,
                 protocol::CorrelationId aCorrelation,
                 const protocol::Execute& aExecute);
  void OnClaim(protocol::ConnectionId aConnection,
               protocol::CorrelationId aCorrelation,
               const protocol::Claim& aClaim);
  void OnClaimEnded(const protocol::ClaimEnded& aEnded);
  /** Discards the connection if it leads to a witness. */
  void OnClosed(protocol::ConnectionId aConnection);
  void OnTick();

  void Drain();
  bool IsIdle() const;
  std::uint32_t InFlight() const noexcept { return this->running; }
  std::uint32_t Queued() const noexcept
  {
    return static_cast<std::uint32_t>(this->queue.size());
  }
  RequestStatus Status() const;

private:
  using Ticket = requests::Ticket;

  /** Destination of a reply. */
  struct ReplyAddress
  {
    protocol::ConnectionId connection;
    protocol::CorrelationId correlation;
  };

  /** A request that waits for its claim or for a slot, or is running. */
  struct PendingRequest
  {
    Ticket ticket;
    /** Unset if the caller gave no idempotency key. */
    std::optional<requests::Request> tracked;
    std::string kind;
    std::vector<std::byte> body;
    base::TimePoint arrival;
    base::TimePoint deadline;
    std::string witness;
  };

  void ApplyDecision(const requests::Decision& aDecision,
                     PendingRequest aRequest,
                     std::uint32_t aLostTargets);
  void ClaimAtWitness(PendingRequest aRequest, std::uint32_t aLostTargets);
  void OnClaimResult(PendingRequest aRequest,
                     const requests::ClaimReply& aReply,
                     std::uint32_t aLostTargets);
  void NotifyWitness(const PendingRequest& aRequest,
                     bool aHasRun,
                     std::uint32_t aStatus,
                     std::span<const std::byte> aBody);
  /** Returns the existing connection, or opens one. */
  protocol::ConnectionId ConnectToWitness(const std::string& aAddress);
  void Enqueue(PendingRequest aRequest);
  void RefuseRequest(const PendingRequest& aRequest, base::ErrorCode aCode);
  void StartNext();
  void Run(PendingRequest aRequest);
  void OnResult(const PendingRequest& aRequest,
                base::TimePoint aStart,
                const ExecutorResult& aResult);
  void ReplyNotRun(Ticket aTicket, const base::Error& aError);
  void Reply(Ticket aTicket, const protocol::ExecuteReply& aReply);
  void ReplyDecision(Ticket aTicket, const requests::Decision& aDecision);

  const RequestServerOptions options;
  const base::Clock& clock;
  base::EventLoop& loop;
  protocol::Node& node;
  ExecutorClient& executor;
  const telemetry::TargetMetrics metrics;
  requests::IdempotencyTable idempotencyTable;
  bool isDraining = false;
  std::uint64_t lastTicket = 0;
  std::uint32_t running = 0;
  std::uint32_t pendingClaims = 0;
  std::unordered_map<Ticket, ReplyAddress> replyAddresses;
  std::deque<PendingRequest> queue;
  std::map<std::string, protocol::ConnectionId> witnessConnections;
};

} // namespace amaranthwind::target
