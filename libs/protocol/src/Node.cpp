#include "amaranthwind/protocol/Node.h"

#include "Connection.h"
#include "amaranthwind/base/RcuCell.h"
#include "amaranthwind/net/AcceptLoop.h"
#include "amaranthwind/net/ConnectionBudget.h"
#include "amaranthwind/net/IoPool.h"
#include "amaranthwind/net/TcpAcceptor.h"

#include <boost/asio/ip/tcp.hpp>

#include <mutex>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace amaranthwind::protocol {

namespace asio = boost::asio;
using asio::ip::tcp;
using base::Error;
using base::ErrorCode;

namespace {

/** Beyond the limit of connections by this part, new ones are refused. */
constexpr std::size_t kExcessDivisor = 8;

using ConnectionTable =
  std::unordered_map<ConnectionId, std::shared_ptr<Connection>>;

struct NewConnection
{
  ConnectionId id;
  std::shared_ptr<Connection> connection;
};

} // namespace

struct Node::Impl
  : public ConnectionOwner
  , public net::AcceptObserver
  , public net::BudgetedListener
  , public std::enable_shared_from_this<Node::Impl>
{
  Impl(net::IoPool& aPool,
       const NodeOptions& aOptions,
       MessageHandler& aHandler)
    : pool(aPool)
    , options(aOptions)
    , handler(aHandler)
    , budget(aOptions.budget)
  {
    if (this->budget == nullptr) {
      this->budget =
        std::make_shared<net::ConnectionBudget>(net::ConnectionBudgetOptions{
          .maxConnections = 2 * aOptions.maxConnections });
    }
  }

  void OnConnectionOpened(ConnectionId aId,
                          bool aIsInbound,
                          std::string_view aAddress) override
  {
    this->handler.OnOpened(aId, aIsInbound, aAddress);
  }

  void OnConnectionMessage(ConnectionId aId, const Envelope& aEnvelope) override
  {
    this->handler.OnMessage(aId, aEnvelope);
  }

  void OnConnectionClosed(ConnectionId aId, const Error& aReason) override
  {
    this->handler.OnClosed(aId, aReason);
    this->Remove(aId);
  }

  void OnBufferedBytes(std::ptrdiff_t aChange) override
  {
    this->budget->AddBufferedBytes(this->listener, aChange);
  }

  void OnQueuesFull() override
  {
    const auto guard = this->table.Read();
    std::shared_ptr<Connection> longest;
    for (const auto& [id, connection] : *guard) {
      if (longest == nullptr ||
          connection->QueuedBytes() > longest->QueuedBytes()) {
        longest = connection;
      }
    }
    if (longest != nullptr && longest->QueuedBytes() > 0) {
      longest->CloseForLimit("send queues");
    }
  }

  std::shared_ptr<Connection> Find(ConnectionId aId) const
  {
    const auto guard = this->table.Read();
    const auto found = guard->find(aId);
    return found == guard->end() ? nullptr : found->second;
  }

  NewConnection Add(asio::io_context& aContext, bool aIsInbound)
  {
    std::lock_guard lock(this->tableMutex);
    const ConnectionId id(++this->lastId);
    auto connection = std::make_shared<Connection>(
      id, aContext, this->options, this->counters, this->weak_from_this());
    auto next = std::make_unique<ConnectionTable>(*this->table.Read());
    next->emplace(id, connection);
    this->table.Publish(std::move(next));
    if (aIsInbound) {
      this->inbound.insert(id);
      this->budget->AddConnections(this->listener, 1);
    }
    return { id, std::move(connection) };
  }

  void Remove(ConnectionId aId)
  {
    std::lock_guard lock(this->tableMutex);
    auto next = std::make_unique<ConnectionTable>(*this->table.Read());
    next->erase(aId);
    this->table.Publish(std::move(next));
    if (this->inbound.erase(aId) > 0) {
      this->budget->AddConnections(this->listener, -1);
    }
  }

  bool CloseOne(net::Shortage aShortage) override
  {
    std::vector<std::shared_ptr<Connection>> open;
    std::vector<net::ConnectionUse> uses;
    {
      const auto guard = this->table.Read();
      for (const auto& [id, connection] : *guard) {
        if (const auto use = connection->Use()) {
          open.push_back(connection);
          uses.push_back(*use);
        }
      }
    }
    const auto chosen = net::ChooseToClose(uses, aShortage);
    if (!chosen) {
      return false;
    }
    open[*chosen]->CloseForLimit(aShortage == net::Shortage::Connections
                                   ? "connections"
                                   : "incomplete frames");
    return true;
  }

  bool MakeRoom() override
  {
    const std::size_t limit = this->options.maxConnections;
    const std::size_t open = this->table.Read()->size();
    if (open < limit) {
      return this->budget->MakeRoom();
    }
    return this->CloseOne(net::Shortage::Connections) &&
           open < limit + limit / kExcessDivisor;
  }

  void OnAccepted(asio::io_context& aContext, tcp::socket aSocket) override
  {
    this->Add(aContext, true).connection->StartInbound(std::move(aSocket));
  }

  void OnOutOfDescriptors() override { this->budget->OnOutOfDescriptors(); }

  net::IoPool& pool;
  const NodeOptions options;
  MessageHandler& handler;
  std::shared_ptr<SharedCounters> counters = std::make_shared<SharedCounters>();
  std::shared_ptr<net::ConnectionBudget> budget;
  net::ListenerId listener;
  std::mutex tableMutex;
  std::uint64_t lastId = 0;
  std::unordered_set<ConnectionId> inbound;
  base::RcuCell<ConnectionTable> table{
    std::make_unique<const ConnectionTable>()
  };
  std::shared_ptr<net::AcceptLoop> acceptLoop;
};

Node::Node(net::IoPool& aPool,
           const NodeOptions& aOptions,
           MessageHandler& aHandler)
  : impl(std::make_shared<Impl>(aPool, aOptions, aHandler))
{
  this->impl->listener = this->impl->budget->Add(this->impl);
}

Node::~Node()
{
  this->Stop();
}

base::Result<std::string>
Node::Listen(std::string_view aAddress)
{
  BOOST_OUTCOME_TRY(auto listening,
                    net::ListenOn(this->impl->pool.At(0), aAddress));
  this->impl->acceptLoop = std::make_shared<net::AcceptLoop>(
    this->impl->pool, std::move(listening.acceptor), this->impl);
  this->impl->acceptLoop->Start();
  return std::move(listening.address);
}

ConnectionId
Node::Connect(std::string_view aAddress)
{
  auto added = this->impl->Add(this->impl->pool.Next(), false);
  const auto endpoint = net::ToEndpoint(aAddress);
  if (endpoint.has_error()) {
    added.connection->Close(
      { ErrorCode::ConnectFailed, endpoint.error().subject });
  } else {
    added.connection->StartOutbound(endpoint.value());
  }
  return added.id;
}

void
Node::Send(ConnectionId aConnection, const Message& aMessage)
{
  if (const auto connection = this->impl->Find(aConnection)) {
    connection->Send(EncodeFrame({ CorrelationId(0), false, aMessage }));
  }
}

void
Node::Reply(ConnectionId aConnection,
            CorrelationId aCorrelation,
            const Message& aMessage)
{
  if (const auto connection = this->impl->Find(aConnection)) {
    connection->Send(EncodeFrame({ aCorrelation, true, aMessage }));
  }
}

void
Node::Call(ConnectionId aConnection,
           const Message& aMessage,
           base::Duration aTimeout,
           CallHandler aHandler)
{
  const auto connection = this->impl->Find(aConnection);
  if (connection == nullptr) {
    this->impl->pool.Post([handler = std::move(aHandler)] {
      handler({ nullptr, { { ErrorCode::ConnectionClosed, {} }, false } });
    });
    return;
  }
  connection->Call(
    { CorrelationId(0), false, aMessage }, aTimeout, std::move(aHandler));
}

void
Node::Close(ConnectionId aConnection)
{
  if (const auto connection = this->impl->Find(aConnection)) {
    connection->Close({ ErrorCode::ConnectionClosed, "closed by this side" });
  }
}

void
Node::SetLiveness(ConnectionId aConnection,
                  std::chrono::milliseconds aPingInterval,
                  std::chrono::milliseconds aSilenceTimeout)
{
  if (const auto connection = this->impl->Find(aConnection)) {
    connection->SetLiveness(aPingInterval, aSilenceTimeout);
  }
}

NodeCounters
Node::Counters() const
{
  const auto& shared = *this->impl->counters;
  return { shared.framesSent.load(),         shared.framesReceived.load(),
           shared.bytesSent.load(),          shared.bytesReceived.load(),
           shared.badFrames.load(),          shared.lateReplies.load(),
           shared.unmatchedReplies.load(),   shared.silentConnections.load(),
           shared.crowdedConnections.load(), this->impl->table.Read()->size() };
}

void
Node::Stop()
{
  if (this->impl->acceptLoop != nullptr) {
    this->impl->acceptLoop->Stop();
  }
  std::vector<std::shared_ptr<Connection>> open;
  {
    const auto guard = this->impl->table.Read();
    for (const auto& [id, connection] : *guard) {
      open.push_back(connection);
    }
  }
  for (const auto& connection : open) {
    connection->Close({ ErrorCode::ConnectionClosed, "shutdown" });
  }
}

MessagePortFactory
MakeNodeFactory(net::IoPool& aPool, const NodeOptions& aOptions)
{
  return [&aPool, aOptions](MessageHandler& aHandler) {
    return std::make_unique<Node>(aPool, aOptions, aHandler);
  };
}

} // namespace amaranthwind::protocol
