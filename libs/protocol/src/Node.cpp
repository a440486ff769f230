#include "amaranthwind/protocol/Node.h"

#include "Connection.h"
#include "amaranthwind/base/RcuCell.h"
#include "amaranthwind/net/IoPool.h"
#include "amaranthwind/net/TcpAcceptor.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>

#include <mutex>
#include <unordered_map>

namespace amaranthwind::protocol {

namespace asio = boost::asio;
using asio::ip::tcp;
using base::Error;
using base::ErrorCode;

namespace {

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
  , public std::enable_shared_from_this<Node::Impl>
{
  Impl(net::IoPool& aPool,
       const NodeOptions& aOptions,
       MessageHandler& aHandler)
    : pool(aPool)
    , options(aOptions)
    , handler(aHandler)
  {
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

  std::shared_ptr<Connection> Find(ConnectionId aId) const
  {
    const auto guard = this->table.Read();
    const auto found = guard->find(aId);
    return found == guard->end() ? nullptr : found->second;
  }

  NewConnection Add(asio::io_context& aContext)
  {
    std::lock_guard lock(this->tableMutex);
    const ConnectionId id(++this->lastId);
    auto connection = std::make_shared<Connection>(
      id, aContext, this->options, this->counters, this->weak_from_this());
    auto next = std::make_unique<ConnectionTable>(*this->table.Read());
    next->emplace(id, connection);
    this->table.Publish(std::move(next));
    return { id, std::move(connection) };
  }

  void Remove(ConnectionId aId)
  {
    std::lock_guard lock(this->tableMutex);
    auto next = std::make_unique<ConnectionTable>(*this->table.Read());
    next->erase(aId);
    this->table.Publish(std::move(next));
  }

  void Accept()
  {
    // The socket is created on the io_context of the thread that will serve it.
    asio::io_context& context = this->pool.Next();
    this->acceptor->async_accept(
      context,
      [self = this->shared_from_this(),
       &context](const boost::system::error_code& aError, tcp::socket aSocket) {
        if (aError == asio::error::operation_aborted ||
            !self->acceptor->is_open()) {
          return;
        }
        if (!aError &&
            self->table.Read()->size() < self->options.maxConnections) {
          self->Add(context).connection->StartInbound(std::move(aSocket));
        }
        self->Accept();
      });
  }

  net::IoPool& pool;
  const NodeOptions options;
  MessageHandler& handler;
  std::shared_ptr<SharedCounters> counters = std::make_shared<SharedCounters>();
  std::mutex tableMutex;
  std::uint64_t lastId = 0;
  base::RcuCell<ConnectionTable> table{
    std::make_unique<const ConnectionTable>()
  };
  std::unique_ptr<tcp::acceptor> acceptor;
};

Node::Node(net::IoPool& aPool,
           const NodeOptions& aOptions,
           MessageHandler& aHandler)
  : impl(std::make_shared<Impl>(aPool, aOptions, aHandler))
{
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
  this->impl->acceptor = std::move(listening.acceptor);
  this->impl->Accept();
  return std::move(listening.address);
}

ConnectionId
Node::Connect(std::string_view aAddress)
{
  auto added = this->impl->Add(this->impl->pool.Next());
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
  return { shared.framesSent.load(),        shared.framesReceived.load(),
           shared.bytesSent.load(),         shared.bytesReceived.load(),
           shared.badFrames.load(),         shared.lateReplies.load(),
           shared.unmatchedReplies.load(),  shared.silentConnections.load(),
           this->impl->table.Read()->size() };
}

void
Node::Stop()
{
  if (this->impl->acceptor) {
    asio::post(this->impl->pool.At(0), [self = this->impl] {
      boost::system::error_code ignored;
      self->acceptor->close(ignored);
    });
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
