#include "AgentSessions.h"

#include <algorithm>

namespace amaranthwind::coordinator {

using protocol::ConnectionId;
using namespace std::chrono_literals;

namespace {

/**
 * Between entries, the answers to requests show whether a connection works, so
 * that few pings are needed.
 */
constexpr auto kEntryPingInterval = 10'000ms;
constexpr auto kEntrySilenceTimeout = 30'000ms;
/** Limit of the messages that wait to be handled, by their frames. */
constexpr std::size_t kMaxReceivedBytes = std::size_t{ 4 } * 1024 * 1024;
/** A message that waits takes this much beside its frame's bytes. */
constexpr std::size_t kMessageBytes = 512;
/** Runs in the parts of all reports that are not complete. */
constexpr std::size_t kMaxJoinedRuns = protocol::kMaxReportRuns;

} // namespace

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

ConnectionId
AgentSessions::ConnectToEntry(std::string_view aAddress)
{
  const ConnectionId connection = this->port->Connect(aAddress);
  this->port->SetLiveness(connection, kEntryPingInterval, kEntrySilenceTimeout);
  return connection;
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
  this->Enqueue({ aConnection,
                  aEnvelope.message,
                  this->clock.Now(),
                  aEnvelope.frameBytes + kMessageBytes });
}

void
AgentSessions::OnClosed(ConnectionId aConnection, const base::Error& aReason)
{
  this->load.OnQueued();
  this->Enqueue({ aConnection, aReason, this->clock.Now() });
}

void
AgentSessions::Enqueue(Received aReceived)
{
  bool isFirst = false;
  {
    const std::lock_guard lock(this->receivedMutex);
    isFirst = this->received.empty();
    this->receivedBytes += aReceived.bytes;
    this->received.push_back(std::move(aReceived));
    this->LimitReceived();
  }
  if (isFirst) {
    this->executor.Post([this] { this->HandleReceived(); });
  }
}

void
AgentSessions::DropSuperseded()
{
  const auto superseded = FindSuperseded(this->received);
  std::vector<Received> kept;
  for (std::size_t i = 0; i < this->received.size(); ++i) {
    if (superseded.contains(i)) {
      this->load.OnHandled(this->received[i].at);
      this->receivedBytes -= this->received[i].bytes;
    } else {
      kept.push_back(std::move(this->received[i]));
    }
  }
  this->received = std::move(kept);
}

void
AgentSessions::LimitReceived()
{
  if (this->receivedBytes <= kMaxReceivedBytes) {
    return;
  }
  // After a pause of the process, several reports of each agent may wait.
  this->DropSuperseded();
  while (this->receivedBytes > kMaxReceivedBytes) {
    std::map<ConnectionId, std::size_t> bytesOf;
    for (const Received& each : this->received) {
      bytesOf[each.connection] += each.bytes;
    }
    const auto most =
      std::max_element(bytesOf.begin(),
                       bytesOf.end(),
                       [](const auto& aLeft, const auto& aRight) {
                         return aLeft.second < aRight.second;
                       });
    std::erase_if(this->received, [&](const Received& aEach) {
      const bool isDropped =
        aEach.connection == most->first &&
        std::holds_alternative<protocol::Message>(aEach.event);
      if (isDropped) {
        this->load.OnHandled(aEach.at);
      }
      return isDropped;
    });
    this->receivedBytes -= most->second;
    this->port->Close(most->first);
    this->logger.Warning(
      "peer disconnected",
      { { "reason", "too many messages wait" }, { "bytes", most->second } });
  }
}

void
AgentSessions::HandleReceived()
{
  std::vector<Received> batch;
  {
    const std::lock_guard lock(this->receivedMutex);
    batch.swap(this->received);
    this->receivedBytes = 0;
  }
  if (batch.empty()) {
    return;
  }
  this->JoinReports(batch);
  const auto superseded = FindSuperseded(batch);
  for (std::size_t i = 0; i < batch.size(); ++i) {
    const Received& each = batch[i];
    this->load.OnHandled(each.at);
    if (const auto* reason = std::get_if<base::Error>(&each.event)) {
      this->RemoveConnection(each.connection, *reason);
      continue;
    }
    const auto& message = std::get<protocol::Message>(each.event);
    const auto* report = std::get_if<protocol::AgentReport>(&message);
    const bool isOutdated =
      report != nullptr &&
      !this->Identify(each.connection, report->report.agent);
    if (!isOutdated && !superseded.contains(i)) {
      this->HandleMessage(each.connection, message, each.at);
    }
  }
  this->observer.OnBatchHandled();
}

void
AgentSessions::JoinReports(std::vector<Received>& aReceived)
{
  std::erase_if(aReceived, [&](Received& aEach) {
    auto* message = std::get_if<protocol::Message>(&aEach.event);
    if (message == nullptr) {
      this->joiners.erase(aEach.connection);
      return false;
    }
    if (const auto* part = std::get_if<protocol::AgentReportPart>(message)) {
      this->load.OnHandled(aEach.at);
      this->AddPart(aEach, *part);
      return true;
    }
    auto* report = std::get_if<protocol::AgentReport>(message);
    if (report == nullptr || report->parts == 0) {
      return false;
    }
    const auto joiner = this->joiners.extract(aEach.connection);
    if (!joiner.empty() && joiner.mapped().Complete(*report)) {
      return false;
    }
    this->load.OnHandled(aEach.at);
    this->logger.Warning("incomplete report ignored",
                         { { "agent", report->report.agent },
                           { "sequence", report->sequence },
                           { "parts", report->parts } });
    return true;
  });
}

void
AgentSessions::AddPart(const Received& aReceived,
                       const protocol::AgentReportPart& aPart)
{
  std::size_t runs = 0;
  for (const auto& [connection, joiner] : this->joiners) {
    runs += joiner.Runs();
  }
  const std::size_t added =
    aPart.running.size() + aPart.ended.size() + aPart.pastEnds.size();
  if (runs + added <= kMaxJoinedRuns &&
      this->joiners[aReceived.connection].Add(aPart)) {
    return;
  }
  this->logger.Warning("peer disconnected",
                       { { "reason", "report too large" }, { "runs", runs } });
  this->joiners.erase(aReceived.connection);
  this->port->Close(aReceived.connection);
}

std::set<std::size_t>
AgentSessions::FindSuperseded(std::span<const Received> aReceived)
{
  std::set<std::size_t> superseded;
  std::set<ConnectionId> closed;
  std::map<ConnectionId, std::size_t> newest;
  const auto reportAt = [&](std::size_t aIndex) {
    const auto* message =
      std::get_if<protocol::Message>(&aReceived[aIndex].event);
    return message == nullptr ? nullptr
                              : std::get_if<protocol::AgentReport>(message);
  };
  for (std::size_t i = aReceived.size(); i-- > 0;) {
    const ConnectionId connection = aReceived[i].connection;
    if (std::holds_alternative<base::Error>(aReceived[i].event)) {
      closed.insert(connection);
    }
    const protocol::AgentReport* report = reportAt(i);
    if (report == nullptr) {
      continue;
    }
    if (closed.contains(connection)) {
      // It cannot be answered; the agent reports again on its next connection.
      superseded.insert(i);
      continue;
    }
    const auto [found, isNewest] = newest.try_emplace(connection, i);
    if (isNewest) {
      continue;
    }
    // A report lists all ends that are not acknowledged, but only those of the
    // worker's current incarnation.
    const auto& worker = report->report.worker;
    const auto& newestWorker = reportAt(found->second)->report.worker;
    if (worker && newestWorker && worker->life == newestWorker->life) {
      superseded.insert(i);
    } else {
      found->second = i;
    }
  }
  return superseded;
}

bool
AgentSessions::Identify(ConnectionId aConnection, const base::AgentId& aAgent)
{
  const auto known = this->connections.find(aConnection);
  if (known != this->connections.end() && known->second != aAgent) {
    this->logger.Warning(
      "peer disconnected",
      { { "reason", "several agents" }, { "agent", known->second } });
    this->port->Close(aConnection);
    return false;
  }
  // Connections are numbered as they are accepted, but read by several threads.
  ConnectionId& current = this->agents[aAgent];
  if (aConnection < current) {
    return false;
  }
  if (current != aConnection) {
    this->logger.Info("agent connected", { { "agent", aAgent } });
    this->connections.erase(current);
    current = aConnection;
    this->connections[aConnection] = aAgent;
  }
  return true;
}

void
AgentSessions::HandleMessage(ConnectionId aConnection,
                             const protocol::Message& aMessage,
                             base::TimePoint aReceivedAt)
{
  if (const auto* report = std::get_if<protocol::AgentReport>(&aMessage)) {
    this->observer.OnReport(aConnection, *report, aReceivedAt);
  } else if (const auto* outcome =
               std::get_if<protocol::AgentOutcome>(&aMessage)) {
    const auto found = this->connections.find(aConnection);
    if (found != this->connections.end()) {
      this->observer.OnOutcome(aConnection, found->second, *outcome);
    }
  } else if (const auto* notice =
               std::get_if<protocol::LeaderNotice>(&aMessage)) {
    this->observer.OnLeaderNotice(aConnection, *notice);
  } else if (const auto* append =
               std::get_if<protocol::AppendRecord>(&aMessage)) {
    this->port->SetLiveness(
      aConnection, kEntryPingInterval, kEntrySilenceTimeout);
    this->observer.OnAppendRecord(aConnection, *append);
  } else if (const auto* reply =
               std::get_if<protocol::AppendRecordReply>(&aMessage)) {
    this->observer.OnAppendReply(aConnection, *reply);
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
  } else if (aReason.code == base::ErrorCode::TooLarge) {
    this->logger.Warning("peer disconnected",
                         { { "reason", aReason.subject } });
  }
  this->observer.OnClosed(aConnection);
}

} // namespace amaranthwind::coordinator
