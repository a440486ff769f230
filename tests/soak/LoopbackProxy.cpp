#include "soak/LoopbackProxy.h"

#include <boost/asio.hpp>

#include <array>
#include <set>

namespace amaranthwind::soak {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kBufferBytes = 16384;
/** Interval at which held data checks whether the flow is open again. */
constexpr auto kHeldPollInterval = 20ms;

tcp::endpoint
ToEndpoint(const std::string& aAddress)
{
  const auto colon = aAddress.rfind(':');
  return { asio::ip::make_address(aAddress.substr(0, colon)),
           static_cast<std::uint16_t>(std::stoul(aAddress.substr(colon + 1))) };
}

} // namespace

/** All handlers of a proxy run on a single thread of the pool. */
struct LoopbackProxy::Impl : std::enable_shared_from_this<Impl>
{
  struct Connection;

  Impl(asio::io_context& aContext,
       const std::string& aListen,
       const std::string& aTarget)
    : context(aContext)
    , acceptor(aContext, ToEndpoint(aListen))
    , target(ToEndpoint(aTarget))
  {
  }

  void Accept();

  asio::io_context& context;
  tcp::acceptor acceptor;
  const tcp::endpoint target;
  Flow flow = Flow::Open;
  std::chrono::milliseconds delay{};
  std::set<std::shared_ptr<Connection>> connections;
};

struct LoopbackProxy::Impl::Connection
  : std::enable_shared_from_this<Connection>
{
  struct Direction
  {
    tcp::socket& from;
    tcp::socket& to;
    Flow heldBy;
    asio::steady_timer timer;
    std::array<char, kBufferBytes> buffer{};
    std::size_t size = 0;
  };

  Connection(std::shared_ptr<Impl> aProxy, tcp::socket aClient)
    : proxy(std::move(aProxy))
    , client(std::move(aClient))
    , server(this->proxy->context)
    , toServer{ this->client,
                this->server,
                Flow::HeldToServer,
                asio::steady_timer(this->proxy->context) }
    , toClient{ this->server,
                this->client,
                Flow::HeldToClient,
                asio::steady_timer(this->proxy->context) }
  {
  }

  void Start()
  {
    this->server.async_connect(
      this->proxy->target,
      [self = this->shared_from_this()](const error_code& aError) {
        if (aError) {
          self->Close(true);
          return;
        }
        self->Read(self->toServer);
        self->Read(self->toClient);
      });
  }

  void Read(Direction& aDirection)
  {
    aDirection.from.async_read_some(
      asio::buffer(aDirection.buffer),
      [self = this->shared_from_this(), &aDirection](const error_code& aError,
                                                     std::size_t aSize) {
        if (aError) {
          self->Close(false);
          return;
        }
        aDirection.size = aSize;
        self->ForwardAfter(aDirection, self->proxy->delay);
      });
  }

  void ForwardAfter(Direction& aDirection, std::chrono::milliseconds aDelay)
  {
    if (aDelay == 0ms) {
      this->Forward(aDirection);
      return;
    }
    aDirection.timer.expires_after(aDelay);
    aDirection.timer.async_wait(
      [self = this->shared_from_this(), &aDirection](const error_code& aError) {
        if (!aError) {
          self->Forward(aDirection);
        }
      });
  }

  void Forward(Direction& aDirection)
  {
    const Flow flow = this->proxy->flow;
    if (this->isSilent || flow == Flow::Held || flow == aDirection.heldBy) {
      this->ForwardAfter(aDirection, kHeldPollInterval);
      return;
    }
    asio::async_write(aDirection.to,
                      asio::buffer(aDirection.buffer.data(), aDirection.size),
                      [self = this->shared_from_this(),
                       &aDirection](const error_code& aError, std::size_t) {
                        if (aError) {
                          self->Close(false);
                        } else {
                          self->Read(aDirection);
                        }
                      });
  }

  void Close(bool aIsReset)
  {
    // A silent connection must not reveal that its other end has closed.
    if (this->isSilent && !aIsReset) {
      return;
    }
    error_code ignored;
    for (auto* socket : { &this->client, &this->server }) {
      if (aIsReset && socket->is_open()) {
        socket->set_option(asio::socket_base::linger(true, 0), ignored);
      }
      socket->close(ignored);
    }
    this->toServer.timer.cancel();
    this->toClient.timer.cancel();
    this->proxy->connections.erase(this->shared_from_this());
  }

  std::shared_ptr<Impl> proxy;
  tcp::socket client;
  tcp::socket server;
  Direction toServer;
  Direction toClient;
  bool isSilent = false;
};

void
LoopbackProxy::Impl::Accept()
{
  this->acceptor.async_accept([self = this->shared_from_this()](
                                const error_code& aError, tcp::socket aSocket) {
    if (aError) {
      return;
    }
    auto connection = std::make_shared<Connection>(self, std::move(aSocket));
    self->connections.insert(connection);
    connection->Start();
    self->Accept();
  });
}

LoopbackProxy::LoopbackProxy(net::IoPool& aPool,
                             const std::string& aListen,
                             const std::string& aTarget)
  : impl(std::make_shared<Impl>(aPool.Next(), aListen, aTarget))
{
  asio::post(this->impl->context, [self = this->impl] { self->Accept(); });
}

LoopbackProxy::~LoopbackProxy()
{
  this->impl->connections.clear();
}

void
LoopbackProxy::SetFlow(Flow aFlow)
{
  asio::post(this->impl->context,
             [self = this->impl, aFlow] { self->flow = aFlow; });
}

void
LoopbackProxy::SetDelay(std::chrono::milliseconds aDelay)
{
  asio::post(this->impl->context,
             [self = this->impl, aDelay] { self->delay = aDelay; });
}

void
LoopbackProxy::ResetConnections()
{
  asio::post(this->impl->context, [self = this->impl] {
    for (const auto& connection : std::set(self->connections)) {
      connection->Close(true);
    }
  });
}

void
LoopbackProxy::SilenceConnections()
{
  asio::post(this->impl->context, [self = this->impl] {
    for (const auto& connection : self->connections) {
      connection->isSilent = true;
    }
  });
}

} // namespace amaranthwind::soak
