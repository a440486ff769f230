#pragma once

#include "LoadMonitor.h"
#include "amaranthwind/base/Executor.h"
#include "amaranthwind/protocol/MessagePort.h"
#include "amaranthwind/protocol/ReportParts.h"
#include "amaranthwind/telemetry/Logger.h"

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace amaranthwind::coordinator {

/** Receives messages from agents and other entries, on the executor. */
class SessionObserver
{
public:
  virtual ~SessionObserver() = default;
  virtual void OnReport(protocol::ConnectionId aConnection,
                        const protocol::AgentReport& aReport,
                        base::TimePoint aReceivedAt) = 0;
  virtual void OnOutcome(protocol::ConnectionId aConnection,
                         const base::AgentId& aAgent,
                         const protocol::AgentOutcome& aOutcome) = 0;
  virtual void OnLeaderNotice(protocol::ConnectionId aConnection,
                              const protocol::LeaderNotice& aNotice) = 0;
  virtual void OnAppendRecord(protocol::ConnectionId aConnection,
                              const protocol::AppendRecord& aAppend) = 0;
  virtual void OnAppendReply(protocol::ConnectionId aConnection,
                             const protocol::AppendRecordReply& aReply) = 0;
  virtual void OnClosed(protocol::ConnectionId aConnection) = 0;
  /** All messages received so far have been passed on. */
  virtual void OnBatchHandled() = 0;
};

/**
 * Connections to agents and other entries. Confined to one executor, except for
 * the functions of MessageHandler.
 *
 * Received messages wait until the executor is free and are then handled
 * together. A report that a newer one of the same agent supersedes is dropped,
 * so that the work of a batch is bounded by the number of agents. What waits is
 * bounded in bytes: a peer that sends too much is disconnected.
 */
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
  /** As Connect(), for messages that come irregularly. */
  protocol::ConnectionId ConnectToEntry(std::string_view aAddress);
  void Close(protocol::ConnectionId aConnection);
  /** Handles the messages received so far. */
  void HandleReceived();
  std::size_t Size() const noexcept { return this->agents.size(); }

  void OnOpened(protocol::ConnectionId aConnection,
                bool aIsInbound,
                std::string_view aAddress) override;
  void OnMessage(protocol::ConnectionId aConnection,
                 const protocol::Envelope& aEnvelope) override;
  void OnClosed(protocol::ConnectionId aConnection,
                const base::Error& aReason) override;

private:
  /** A message, or the reason for which the connection was closed. */
  struct Received
  {
    protocol::ConnectionId connection;
    std::variant<protocol::Message, base::Error> event;
    base::TimePoint at;
    /** What the message takes while it waits. */
    std::size_t bytes = 0;
  };

  void Enqueue(Received aReceived);
  /** Drops the reports that later ones supersede. Requires receivedMutex. */
  void DropSuperseded();
  /**
   * Closes the connections that sent most of what waits, and drops what they
   * sent, until the rest keeps to the limit. Requires receivedMutex.
   */
  void LimitReceived();
  void AddPart(const Received& aReceived,
               const protocol::AgentReportPart& aPart);
  /** Joins the parts of reports; those with missing parts are dropped. */
  void JoinReports(std::vector<Received>& aReceived);
  /**
   * Indices of the reports in the batch that a later one supersedes, or whose
   * connection is closed.
   */
  static std::set<std::size_t> FindSuperseded(
    std::span<const Received> aReceived);
  /**
   * Messages to the agent go to this connection from now on. Returns false if
   * the agent has opened a newer connection, or if the connection is that of
   * another agent and is therefore closed.
   */
  bool Identify(protocol::ConnectionId aConnection,
                const base::AgentId& aAgent);
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
  std::mutex receivedMutex;
  std::vector<Received> received;
  std::size_t receivedBytes = 0;
  std::map<base::AgentId, protocol::ConnectionId> agents;
  std::map<protocol::ConnectionId, base::AgentId> connections;
  /** Of connections that have sent a part of a report last. */
  std::map<protocol::ConnectionId, protocol::ReportJoiner> joiners;
};

} // namespace amaranthwind::coordinator
