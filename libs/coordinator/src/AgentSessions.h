#pragma once

#include "LoadMonitor.h"
#include "amaranthwind/base/Executor.h"
#include "amaranthwind/protocol/MessagePort.h"
#include "amaranthwind/telemetry/Logger.h"

#include <map>
#include <memory>
#include <string>

namespace amaranthwind::coordinator {

/** Receives messages from agents and other entries, on the executor. */
class SessionObserver
{
public:
  virtual ~SessionObserver() = default;
  virtual void OnReport(protocol::ConnectionId aConnection,
                        const protocol::AgentReport& aReport,
                        base::TimePoint aReceivedAt) = 0;
  virtual void OnOutcome(const base::AgentId& aAgent,
                         const protocol::AgentOutcome& aOutcome) = 0;
  virtual void OnLeaderNotice(protocol::ConnectionId aConnection,
                              const protocol::LeaderNotice& aNotice) = 0;
  virtual void OnClosed(protocol::ConnectionId aConnection) = 0;
};

/** Connections to agents and other entries. Confined to one executor. */
class AgentSessions final : public protocol::MessageHandler
{
public:
  AgentSessions(const protocol::MessagePortFactory& aMakePort,
                const base::Clock& aClock,
                base::Executor& aExecutor,
                telemetry::Logger& aLogger,
                LoadMonitor& aLoad,
                SessionObserver& aObserver);

  /** Returns the bound address. Errors: those of protocol::Node::Listen(). */
  base::Result<std::string> Listen(std::string_view aAddress);
  void Stop();

  /** Does nothing if the agent is not connected. */
  void Send(const base::AgentId& aAgent, const protocol::Message& aMessage);
  void SendTo(protocol::ConnectionId aConnection,
              const protocol::Message& aMessage);
  void SendToAll(const protocol::Message& aMessage);
  protocol::ConnectionId Connect(std::string_view aAddress);
  void Close(protocol::ConnectionId aConnection);
  std::size_t Size() const noexcept { return this->agents.size(); }

  void OnOpened(protocol::ConnectionId aConnection,
                bool aIsInbound,
                std::string_view aAddress) override;
  void OnMessage(protocol::ConnectionId aConnection,
                 const protocol::Envelope& aEnvelope) override;
  void OnClosed(protocol::ConnectionId aConnection,
                const base::Error& aReason) override;

private:
  void HandleMessage(protocol::ConnectionId aConnection,
                     const protocol::Message& aMessage,
                     base::TimePoint aReceivedAt);
  void RemoveConnection(protocol::ConnectionId aConnection,
                        const base::Error& aReason);

  const base::Clock& clock;
  base::Executor& executor;
  telemetry::Logger& logger;
  LoadMonitor& load;
  SessionObserver& observer;
  std::unique_ptr<protocol::MessagePort> port;
  std::map<base::AgentId, protocol::ConnectionId> agents;
  std::map<protocol::ConnectionId, base::AgentId> connections;
};

} // namespace amaranthwind::coordinator
