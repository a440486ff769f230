#pragma once

#include "TargetStatus.h"
#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/EventLoop.h"
#include "amaranthwind/protocol/Node.h"
#include "amaranthwind/requests/RequestLedger.h"
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
  /** Requests that the executor serves at the same time. */
  std::uint32_t slots = 8;
  /** Requests that wait here for a slot; entries queue the rest. */
  std::uint32_t maxQueued = 16;
};

/**
 * Serves short requests on the local executor, each key at most once. All
 * functions run on the daemon's event loop.
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
  /** A connection to a witness has closed. */
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

  /** Where an answer has to go. */
  struct ReplyAddress
  {
    protocol::ConnectionId connection;
    protocol::CorrelationId correlation;
  };

  /** A request that waits for a slot or for its claim. */
  struct Work
  {
    Ticket ticket;
    /** Empty if the caller gave no key. */
    std::optional<requests::Request> tracked;
    std::string kind;
    std::vector<std::byte> body;
    base::TimePoint arrival;
    base::TimePoint deadline;
    std::string witness;
  };

  void Decide(const requests::Decision& aDecision,
              Work aWork,
              std::uint32_t aLostTargets);
  void AskWitness(Work aWork, std::uint32_t aLostTargets);
  void OnClaimResult(Work aWork,
                     const requests::ClaimReply& aReply,
                     std::uint32_t aLostTargets);
  void TellWitness(const Work& aWork,
                   bool aHasRun,
                   std::uint32_t aStatus,
                   std::span<const std::byte> aBody);
  protocol::ConnectionId WitnessConnection(const std::string& aAddress);
  void Enqueue(Work aWork);
  void RefuseQueued(const Work& aWork, base::ErrorCode aCode);
  void StartNext();
  void Run(Work aWork);
  void OnResult(const Work& aWork,
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
  requests::RequestLedger ledger;
  bool isDraining = false;
  std::uint64_t lastTicket = 0;
  std::uint32_t running = 0;
  std::uint32_t claiming = 0;
  std::unordered_map<Ticket, ReplyAddress> replies;
  std::deque<Work> queue;
  std::map<std::string, protocol::ConnectionId> witnesses;
};

} // namespace amaranthwind::target
