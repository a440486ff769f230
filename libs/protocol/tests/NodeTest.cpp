#include "amaranthwind/protocol/Node.h"

#include "amaranthwind/net/IoPool.h"
#include "amaranthwind/net/TcpAcceptor.h"
#include "amaranthwind/protocol/FrameCodec.h"

#include <doctest/doctest.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <condition_variable>
#include <deque>
#include <functional>
#include <future>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

using namespace amaranthwind;
using namespace amaranthwind::protocol;
using namespace std::chrono_literals;
using base::ErrorCode;

namespace {

constexpr base::Duration kTestTimeout = 20s;

/** Echoes the body of each ForwardJob and records all events. */
class EchoHandler : public MessageHandler
{
public:
  void OnOpened(ConnectionId aConnection, bool, std::string_view) override
  {
    std::lock_guard lock(this->mutex);
    this->opened.push_back(aConnection);
    this->changed.notify_all();
  }

  void OnMessage(ConnectionId aConnection, const Envelope& aEnvelope) override
  {
    std::lock_guard lock(this->mutex);
    ++this->messages;
    this->changed.notify_all();
    const auto* forward = std::get_if<ForwardJob>(&aEnvelope.message);
    if (forward != nullptr && forward->method != "IGNORE") {
      this->node->Reply(aConnection,
                        aEnvelope.correlation,
                        ForwardJobReply{ 200, {}, forward->body });
    }
  }

  void OnClosed(ConnectionId, const base::Error& aReason) override
  {
    std::lock_guard lock(this->mutex);
    this->closed.push_back(aReason.code);
    this->changed.notify_all();
  }

  template<typename Predicate>
  bool WaitUntil(Predicate aPredicate)
  {
    std::unique_lock lock(this->mutex);
    return this->changed.wait_for(lock, kTestTimeout, aPredicate);
  }

  Node* node = nullptr;
  std::mutex mutex;
  std::condition_variable changed;
  std::vector<ConnectionId> opened;
  std::vector<ErrorCode> closed;
  int messages = 0;
};

/** Runs the given blocks on the I/O thread, one for each message. */
class BlockingHandler : public MessageHandler
{
public:
  void OnOpened(ConnectionId aConnection, bool, std::string_view) override
  {
    std::lock_guard lock(this->mutex);
    this->opened.push_back(aConnection);
    this->changed.notify_all();
  }
  void OnMessage(ConnectionId, const Envelope&) override
  {
    if (!this->blocks.empty()) {
      const auto block = std::move(this->blocks.front());
      this->blocks.pop_front();
      block();
    }
    this->Count(this->messages);
  }
  void OnClosed(ConnectionId, const base::Error&) override
  {
    this->Count(this->closed);
  }

  /** Must not be called once the node receives messages. */
  void AddBlock(std::function<void()> aBlock)
  {
    this->blocks.push_back(std::move(aBlock));
  }
  /** Connections in the order in which they opened. */
  std::vector<ConnectionId> WaitForOpened(std::size_t aCount)
  {
    std::unique_lock lock(this->mutex);
    this->changed.wait_for(
      lock, kTestTimeout, [&] { return this->opened.size() >= aCount; });
    return this->opened;
  }
  bool WaitForMessages(int aCount)
  {
    return this->WaitFor(this->messages, aCount);
  }
  int Closed()
  {
    std::lock_guard lock(this->mutex);
    return this->closed;
  }

private:
  void Count(int& aCounter)
  {
    std::lock_guard lock(this->mutex);
    ++aCounter;
    this->changed.notify_all();
  }
  bool WaitFor(const int& aCounter, int aCount)
  {
    std::unique_lock lock(this->mutex);
    return this->changed.wait_for(
      lock, kTestTimeout, [&] { return aCounter >= aCount; });
  }

  std::deque<std::function<void()>> blocks;
  std::mutex mutex;
  std::condition_variable changed;
  std::vector<ConnectionId> opened;
  int messages = 0;
  int closed = 0;
};

/** A peer that sends nothing on its own, not even pings. */
class RawPeer
{
public:
  RawPeer(boost::asio::io_context& aContext, const std::string& aAddress)
    : socket(aContext)
  {
    this->socket.connect(net::ToEndpoint(aAddress).value());
  }
  void Send(Message aMessage)
  {
    this->Write({ CorrelationId(0), false, std::move(aMessage) });
  }
  void Reply(CorrelationId aCorrelation, Message aMessage)
  {
    this->Write({ aCorrelation, true, std::move(aMessage) });
  }

private:
  void Write(const Envelope& aEnvelope)
  {
    boost::asio::write(this->socket,
                       boost::asio::buffer(EncodeFrame(aEnvelope)));
  }

  boost::asio::ip::tcp::socket socket;
};

/** Two nodes with a connection from the client to the server. */
struct NodePair
{
  explicit NodePair(const NodeOptions& aOptions = {})
    : server(pool, aOptions, serverHandler)
    , client(pool, aOptions, clientHandler)
  {
    this->serverHandler.node = &this->server;
    this->clientHandler.node = &this->client;
    this->address = this->server.Listen("127.0.0.1:0").value();
    this->connection = this->client.Connect(this->address);
  }
  ~NodePair()
  {
    this->client.Stop();
    this->server.Stop();
    this->pool.Stop();
  }
  NodePair(const NodePair&) = delete;
  NodePair& operator=(const NodePair&) = delete;

  net::IoPool pool{ 2 };
  EchoHandler serverHandler;
  EchoHandler clientHandler;
  Node server;
  Node client;
  std::string address;
  ConnectionId connection;
};

ForwardJob
MakeCall(std::string_view aBody, std::string_view aMethod = "POST")
{
  return { std::string(aMethod), "/", {}, {}, std::string(aBody) };
}

} // namespace

// Guards against a reply delivered to the wrong call on a shared connection.
TEST_CASE("each of many calls on one connection gets its own reply")
{
  constexpr int kCalls = 500;
  NodePair pair;
  std::vector<std::promise<std::string>> promises(kCalls);
  for (int i = 0; i < kCalls; ++i) {
    pair.client.Call(
      pair.connection,
      MakeCall(std::to_string(i)),
      kTestTimeout,
      [&promises, i](const CallResult& aResult) {
        const auto* reply = aResult.reply == nullptr
                              ? nullptr
                              : std::get_if<ForwardJobReply>(aResult.reply);
        promises[i].set_value(reply == nullptr ? "failed" : reply->body);
      });
  }
  for (int i = 0; i < kCalls; ++i) {
    CHECK(promises[i].get_future().get() == std::to_string(i));
  }
}

TEST_CASE("a call without a reply fails once with TimedOut")
{
  NodePair pair;
  std::promise<CallError> failed;
  pair.client.Call(
    pair.connection,
    MakeCall("x", "IGNORE"),
    10ms,
    [&](const CallResult& aResult) { failed.set_value(aResult.failure); });
  const CallError failure = failed.get_future().get();
  CHECK(failure.error.code == ErrorCode::TimedOut);
  CHECK(failure.mayHaveBeenSent);
}

// Guards against reporting "not run" for a request that was sent.
TEST_CASE("a failed call reports whether it may have been sent")
{
  NodePair pair;
  std::promise<CallError> sent;
  pair.client.Call(
    pair.connection,
    MakeCall("x", "IGNORE"),
    kTestTimeout,
    [&](const CallResult& aResult) { sent.set_value(aResult.failure); });
  REQUIRE(pair.serverHandler.WaitUntil(
    [&] { return pair.serverHandler.messages == 1; }));
  pair.server.Stop();
  CHECK(sent.get_future().get().mayHaveBeenSent);

  std::promise<CallError> notSent;
  pair.client.Call(
    ConnectionId(999),
    MakeCall("x"),
    kTestTimeout,
    [&](const CallResult& aResult) { notSent.set_value(aResult.failure); });
  CHECK_FALSE(notSent.get_future().get().mayHaveBeenSent);
}

TEST_CASE("a connection to a port without a listener fails")
{
  NodePair pair;
  pair.client.Connect("127.0.0.1:1");
  CHECK(pair.clientHandler.WaitUntil([&] {
    return pair.clientHandler.closed ==
           std::vector<ErrorCode>{ ErrorCode::ConnectFailed };
  }));
}

// Guards against half-open connections, such as those dropped by a firewall or
// a NAT gateway without notice to either end.
TEST_CASE("a silent peer is disconnected, a peer that only pings is not")
{
  NodeOptions options;
  options.pingInterval = 50ms;
  options.silenceTimeout = 1s;
  NodePair pair(options);
  REQUIRE(pair.serverHandler.WaitUntil(
    [&] { return pair.serverHandler.opened.size() == 1; }));

  boost::asio::io_context context;
  boost::asio::ip::tcp::socket silent(context);
  const auto colon = pair.address.rfind(':');
  silent.connect(
    { boost::asio::ip::make_address("127.0.0.1"),
      static_cast<std::uint16_t>(std::stoi(pair.address.substr(colon + 1))) });
  CHECK(pair.serverHandler.WaitUntil(
    [&] { return pair.serverHandler.closed.size() == 1; }));
  CHECK(pair.serverHandler.closed.front() == ErrorCode::TimedOut);
  CHECK(pair.clientHandler.closed.empty());
}

// Guards against closing connections after a pause of this process, whose
// peers were not silent: their messages wait in the socket.
TEST_CASE("a peer is not silent while its messages wait to be read")
{
  NodeOptions options;
  options.pingInterval = 50ms;
  options.silenceTimeout = 1s;
  net::IoPool pool(1);
  BlockingHandler handler;
  Node node(pool, options, handler);
  const auto address = node.Listen("127.0.0.1:0").value();
  boost::asio::io_context context;
  RawPeer blocking(context, address);
  RawPeer other(context, address);
  handler.AddBlock([&] {
    blocking.Send(MakeCall("second"));
    std::this_thread::sleep_for(2 * options.pingInterval);
  });
  // The liveness timers are due by now: they run right after this message,
  // before the sockets are read again.
  handler.AddBlock([&] {
    blocking.Send(Ping{});
    other.Send(Ping{});
    std::this_thread::sleep_for(options.silenceTimeout);
  });
  REQUIRE(handler.WaitForOpened(2).size() == 2);
  blocking.Send(MakeCall("first"));
  REQUIRE(handler.WaitForMessages(2));
  other.Send(MakeCall("third"));
  CHECK(handler.WaitForMessages(3));
  CHECK(handler.Closed() == 0);
  node.Stop();
  pool.Stop();
}

// Guards against an unknown outcome of a request whose reply had arrived when
// this process continued after a pause.
TEST_CASE("a call does not time out while its reply waits to be read")
{
  constexpr auto kCallTimeout = 500ms;
  net::IoPool pool(1);
  BlockingHandler handler;
  Node node(pool, {}, handler);
  const auto address = node.Listen("127.0.0.1:0").value();
  boost::asio::io_context context;
  RawPeer blocking(context, address);
  RawPeer other(context, address);
  std::promise<bool> hasReply;
  handler.AddBlock([&] {
    blocking.Send(MakeCall("second"));
    std::this_thread::sleep_for(kCallTimeout);
  });
  // The timer of the call is due by now: it runs right after this message,
  // before the sockets are read again.
  handler.AddBlock([&] {
    other.Reply(CorrelationId(1), ForwardJobReply{ 200, {}, "reply" });
  });
  const auto opened = handler.WaitForOpened(2);
  REQUIRE(opened.size() == 2);
  node.Call(
    opened[1], MakeCall("x"), kCallTimeout, [&](const CallResult& aResult) {
      hasReply.set_value(aResult.reply != nullptr);
    });
  blocking.Send(MakeCall("first"));
  CHECK(hasReply.get_future().get());
  node.Stop();
  pool.Stop();
}

TEST_CASE("a peer that sends an oversized or malformed frame is disconnected")
{
  NodePair pair;
  const std::vector<std::vector<unsigned char>> cases{
    { 0xFF, 0xFF, 0xFF, 0xFF },
    { 4, 0, 0, 0, 1, 2, 3, 4 },
  };
  boost::asio::io_context context;
  const auto colon = pair.address.rfind(':');
  for (std::size_t i = 0; i < cases.size(); ++i) {
    boost::asio::ip::tcp::socket peer(context);
    peer.connect({ boost::asio::ip::make_address("127.0.0.1"),
                   static_cast<std::uint16_t>(
                     std::stoi(pair.address.substr(colon + 1))) });
    boost::asio::write(peer, boost::asio::buffer(cases[i]));
    CHECK(pair.serverHandler.WaitUntil(
      [&] { return pair.serverHandler.closed.size() == i + 1; }));
  }
  CHECK(pair.server.Counters().badFrames == cases.size());
  CHECK(pair.serverHandler.closed ==
        std::vector<ErrorCode>{ ErrorCode::TooLarge, ErrorCode::Malformed });
}
