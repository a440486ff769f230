#include "AgentSessions.h"

namespace amaranthwind::coordinator {

using protocol::ConnectionId;

AgentSessions::AgentSessions(const protocol::MessagePortFactory& aMakePort,
                             const base::Clock& aClock,
                             base::Executor& aExecutor,
                             telemetry::Logger& aLogger,
                             LoadMonitor& aLoad,
                             SessionObserver& aObserver)
  : clock(aClock)
  , executor(aExecutor)
  , logger(aLogger)
  , load(aLoad)
  , observer(aObserver)
  , port(aMakePort(*this))
{
}

base::Result<std::string>
AgentSessions::Listen(std::string_view aAddress)
{
  return this->port->Listen(aAddress);
}

void
AgentSessions::Stop()
{
  this->port->Stop();
}

void
AgentSessions::Send(const base::AgentId& aAgent,
                    const protocol::Message& aMessage)
{
  const auto found = this->agents.find(aAgent);
  if (found != this->agents.end()) {
    this->port->Send(found->second, aMessage);
  }
}

void
AgentSessions::SendTo(ConnectionId aConnection,
                      const protocol::Message& aMessage)
{
  this->port->Send(aConnection, aMessage);
}

void
AgentSessions::SendToAll(const protocol::Message& aMessage)
{
  for (const auto& [agent, connection] : this->agents) {
    this->port->Send(connection, aMessage);
  }
}

ConnectionId
AgentSessions::Connect(std::string_view aAddress)
{
  return this->port->Connect(aAddress);
}

void
AgentSessions::Close(ConnectionId aConnection)
{
  this->port->Close(aConnection);
}

void
AgentSessions::OnOpened(ConnectionId, bool, std::string_view)
{
}

void
AgentSessions::OnMessage(ConnectionId aConnection,
                         const protocol::Envelope& aEnvelope)
{
  this->load.OnQueued();
  this->executor.Post([this,
                       aConnection,
                       message = aEnvelope.message,
                       receivedAt = this->clock.Now()] {
    this->load.OnHandled(receivedAt);
    this->HandleMessage(aConnection, message, receivedAt);
  });
}

void
AgentSessions::OnClosed(ConnectionId aConnection, const base::Error& aReason)
{
  this->executor.Post([this, aConnection, aReason] {
    this->RemoveConnection(aConnection, aReason);
  });
}

void
AgentSessions::HandleMessage(ConnectionId aConnection,
                             const protocol::Message& aMessage,
                             base::TimePoint aReceivedAt)
{
  if (const auto* report = std::get_if<protocol::AgentReport>(&aMessage)) {
    const auto& agent = report->report.agent;
    if (this->agents[agent] != aConnection) {
      this->logger.Info("agent connected", { { "agent", agent } });
      this->connections.erase(this->agents[agent]);
      this->agents[agent] = aConnection;
      this->connections[aConnection] = agent;
    }
    this->observer.OnReport(aConnection, *report, aReceivedAt);
  } else if (const auto* outcome =
               std::get_if<protocol::AgentOutcome>(&aMessage)) {
    const auto found = this->connections.find(aConnection);
    if (found != this->connections.end()) {
      this->observer.OnOutcome(found->second, *outcome);
    }
  } else if (const auto* notice =
               std::get_if<protocol::LeaderNotice>(&aMessage)) {
    this->observer.OnLeaderNotice(aConnection, *notice);
  }
}

void
AgentSessions::RemoveConnection(ConnectionId aConnection,
                                const base::Error& aReason)
{
  const auto found = this->connections.find(aConnection);
  if (found != this->connections.end()) {
    this->logger.Warning(
      "agent disconnected",
      { { "agent", found->second }, { "error", base::Describe(aReason) } });
    this->agents.erase(found->second);
    this->connections.erase(found);
  }
  this->observer.OnClosed(aConnection);
}

} // namespace amaranthwind::coordinator
