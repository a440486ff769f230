#include "amaranthwind/agent/CoordinatorLink.h"

#include "amaranthwind/base/Backoff.h"
#include "amaranthwind/codec/ClaimCodec.h"
#include "amaranthwind/journal/KeyedFollower.h"
#include "amaranthwind/membership/LeaderTopic.h"
#include "amaranthwind/protocol/Node.h"
#include "amaranthwind/protocol/ReportParts.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace amaranthwind::agent {

using protocol::ConnectionId;
using namespace std::chrono_literals;

namespace {

/**
 * The coordinator answers every report, so several answers arrive within the
 * silence timeout.
 */
const protocol::NodeOptions kNodeOptions{ .pingInterval = 1000ms,
                                          .silenceTimeout = 1800ms,
                                          .connectTimeout = 800ms };
/**
 * Limit of the silence timeout after connections on which the coordinator sent
 * nothing. It must stay below the silence after which the worker counts as
 * lost, so that another connection can be tried before.
 */
constexpr auto kMaxSilenceTimeout = 4000ms;
/**
 * Long-poll timeout for leadership claims, which are rare; a lost connection
 * triggers an immediate query.
 */
constexpr base::Duration kClaimPollTimeout = 10s;
constexpr base::BackoffOptions kConnectBackoff{ 100ms, 600ms };

} // namespace

struct CoordinatorLink::Impl final
  : std::enable_shared_from_this<Impl>
  , protocol::MessageHandler
  , journal::FollowerObserver
{
  Impl(const base::Clock& aClock,
       base::Executor& aExecutor,
       const protocol::MessagePortFactory& aMakePort,
       journal::KeyedLog& aLog,
       telemetry::Logger& aLogger)
    : executor(aExecutor)
    , logger(aLogger)
    , port(aMakePort(*this))
    , follower({ .topic = { std::string(membership::kLeaderTopic), 0 },
                 .wait = kClaimPollTimeout },
               aClock,
               aExecutor,
               aLog,
               *this)
  {
  }

  // Discovery of the coordinator.

  void OnLoaded(std::span<const journal::KeyedRecord> aNewest) override
  {
    this->OnRecords(aNewest);
  }

  void OnRecords(std::span<const journal::KeyedRecord> aRecords) override
  {
    for (const auto& record : aRecords) {
      const auto claim = codec::DecodeClaim(record.value);
      if (record.key != membership::kLeaderKey || claim.has_error()) {
        this->logger.Warning("failed to decode leadership claim",
                             { { "offset", record.offset } });
      } else if (!claim.value().isResigned) {
        this->SetCoordinator(membership::TokenOf(record.offset),
                             claim.value().address);
      }
    }
  }

  void OnCurrent(base::TimePoint) override {}

  void OnUnavailable(const base::Error& aError) override
  {
    this->logger.Warning("log unavailable",
                         { { "error", base::Describe(aError) } });
  }

  void SetCoordinator(base::FencingToken aToken, const std::string& aAddress)
  {
    if (aToken <= this->token) {
      return;
    }
    this->token = aToken;
    this->address = aAddress;
    this->logger.Info("following new coordinator",
                      { { "token", aToken }, { "address", aAddress } });
    this->agent->OnCoordinatorToken(aToken);
    if (this->connection) {
      this->port->Close(*std::exchange(this->connection, std::nullopt));
    }
    this->backoff.Reset();
    this->isUnanswered = false;
    this->silenceTimeout = kNodeOptions.silenceTimeout;
    this->Connect();
  }

  // Connection to the coordinator.

  void Connect()
  {
    if (this->isStopped || this->connection || this->address.empty()) {
      return;
    }
    this->connection = this->port->Connect(this->address);
  }

  template<typename Task>
  void Post(Task aTask)
  {
    this->executor.Post(
      [weak = this->weak_from_this(), task = std::move(aTask)] {
        const auto self = weak.lock();
        if (self != nullptr && !self->isStopped) {
          task(*self);
        }
      });
  }

  void OnOpened(ConnectionId aConnection, bool, std::string_view) override
  {
    this->Post([aConnection](Impl& aSelf) {
      if (aSelf.connection == aConnection) {
        aSelf.isUnanswered = true;
        aSelf.port->SetLiveness(
          aConnection, kNodeOptions.pingInterval, aSelf.silenceTimeout);
        aSelf.logger.Info("connected to coordinator",
                          { { "address", aSelf.address } });
        aSelf.agent->OnCoordinatorConnected();
      }
    });
  }

  void OnClosed(ConnectionId aConnection, const base::Error& aReason) override
  {
    this->Post([aConnection, aReason](Impl& aSelf) {
      if (aSelf.connection != aConnection) {
        return;
      }
      aSelf.connection.reset();
      if (std::exchange(aSelf.isUnanswered, false)) {
        // A busy coordinator accepts connections but answers late. Each new
        // connection would delay its answers further.
        aSelf.silenceTimeout =
          std::min(aSelf.silenceTimeout * 2, kMaxSilenceTimeout);
      }
      aSelf.logger.Warning(
        "connection to coordinator lost",
        { { "address", aSelf.address }, { "error", base::Describe(aReason) } });
      aSelf.ScheduleReconnect();
    });
  }

  void OnAnswered(ConnectionId aConnection)
  {
    if (!std::exchange(this->isUnanswered, false)) {
      return;
    }
    this->backoff.Reset();
    if (std::exchange(this->silenceTimeout, kNodeOptions.silenceTimeout) !=
        kNodeOptions.silenceTimeout) {
      this->port->SetLiveness(
        aConnection, kNodeOptions.pingInterval, kNodeOptions.silenceTimeout);
    }
  }

  void ScheduleReconnect()
  {
    // Another entry may have become the coordinator.
    this->follower.Confirm([](bool) {});
    this->executor.RunAfter(this->backoff.Next(),
                            [weak = this->weak_from_this()] {
                              if (const auto self = weak.lock()) {
                                self->Connect();
                              }
                            });
  }

  void OnMessage(ConnectionId aConnection,
                 const protocol::Envelope& aEnvelope) override
  {
    this->Post([aConnection, message = aEnvelope.message](Impl& aSelf) {
      if (aSelf.connection == aConnection) {
        aSelf.OnAnswered(aConnection);
        aSelf.Handle(message);
      }
    });
  }

  void Handle(const protocol::Message& aMessage)
  {
    if (const auto* grant = std::get_if<protocol::AgentGrant>(&aMessage)) {
      this->agent->OnGrant(grant->sequence, grant->token, grant->duration);
    } else if (const auto* ack = std::get_if<protocol::AgentAck>(&aMessage)) {
      this->agent->OnEndAcknowledged(ack->life, ack->number);
    } else if (const auto* start =
                 std::get_if<protocol::AgentStart>(&aMessage)) {
      this->agent->OnStart({ start->token, start->number },
                           start->life,
                           start->run,
                           start->payload,
                           start->checkpoint,
                           start->validity);
    } else if (const auto* stop = std::get_if<protocol::AgentStop>(&aMessage)) {
      this->agent->OnStop({ stop->token, stop->number }, stop->life, stop->run);
    } else if (const auto* notice =
                 std::get_if<protocol::LeaderNotice>(&aMessage)) {
      this->SetCoordinator(notice->token, notice->address);
    }
  }

  base::Executor& executor;
  telemetry::Logger& logger;
  std::unique_ptr<protocol::MessagePort> port;
  journal::KeyedFollower follower;
  WorkerAgent* agent = nullptr;
  base::FencingToken token;
  std::string address;
  std::optional<ConnectionId> connection;
  base::Backoff backoff{ kConnectBackoff };
  /** The connection is open and has brought no message yet. */
  bool isUnanswered = false;
  std::chrono::milliseconds silenceTimeout = kNodeOptions.silenceTimeout;
  bool isStopped = false;
};

CoordinatorLink::CoordinatorLink(const base::Clock& aClock,
                                 base::Executor& aExecutor,
                                 const protocol::MessagePortFactory& aMakePort,
                                 journal::KeyedLog& aLog,
                                 telemetry::Logger& aLogger)
  : impl(std::make_shared<Impl>(aClock, aExecutor, aMakePort, aLog, aLogger))
{
}

CoordinatorLink::~CoordinatorLink() = default;

protocol::MessagePortFactory
CoordinatorLink::MakePorts(net::IoPool& aPool)
{
  return protocol::MakeNodeFactory(aPool, kNodeOptions);
}

void
CoordinatorLink::Start(WorkerAgent& aAgent)
{
  this->impl->agent = &aAgent;
  this->impl->follower.Start();
}

void
CoordinatorLink::Stop()
{
  this->impl->isStopped = true;
  this->impl->follower.Stop();
  this->impl->port->Stop();
}

void
CoordinatorLink::SendReport(std::uint64_t aSequence,
                            base::FencingToken aToken,
                            const dispatch::WorkerReport& aReport)
{
  if (this->impl->connection) {
    for (const auto& message :
         protocol::DivideReport({ aSequence, aToken, aReport })) {
      this->impl->port->Send(*this->impl->connection, message);
    }
  }
}

void
CoordinatorLink::SendOutcome(const ledger::WorkerIncarnation& aIncarnation,
                             const job::TaskRun& aRun,
                             dispatch::OrderOutcome aOutcome)
{
  if (this->impl->connection) {
    this->impl->port->Send(
      *this->impl->connection,
      protocol::AgentOutcome{ aIncarnation, aRun, aOutcome });
  }
}

} // namespace amaranthwind::agent
