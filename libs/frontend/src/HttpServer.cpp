#include "amaranthwind/frontend/HttpServer.h"

#include "BeastConversion.h"
#include "amaranthwind/net/IoPool.h"
#include "amaranthwind/net/TcpAcceptor.h"

#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>

#include <atomic>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace amaranthwind::frontend {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using base::ErrorCode;

namespace {

/** State shared by all sessions of a server. */
struct ServerState
{
  HttpServerOptions options;
  HttpHandler* handler = nullptr;
  std::atomic<bool> isDraining{ false };
  std::atomic<std::size_t> activeRequests{ 0 };
  std::atomic<std::size_t> connections{ 0 };
  std::atomic<std::uint64_t> refusedConnections{ 0 };
};

/** A client connection; all state is confined to its socket's thread. */
class ServerSession : public std::enable_shared_from_this<ServerSession>
{
public:
  ServerSession(tcp::socket aSocket, std::shared_ptr<ServerState> aState)
    : stream(std::move(aSocket))
    , state(std::move(aState))
  {
    this->state->connections.fetch_add(1);
  }
  ~ServerSession() { this->state->connections.fetch_sub(1); }
  ServerSession(const ServerSession&) = delete;
  ServerSession& operator=(const ServerSession&) = delete;

  void Start()
  {
    asio::post(this->stream.get_executor(),
               [self = this->shared_from_this()] { self->Read(); });
  }

  void Close()
  {
    asio::post(this->stream.get_executor(),
               [self = this->shared_from_this()] { self->stream.close(); });
  }

private:
  void Read()
  {
    this->parser.emplace();
    this->parser->body_limit(this->state->options.maxBodyBytes);
    this->parser->header_limit(
      static_cast<std::uint32_t>(this->state->options.maxHeaderBytes));
    this->stream.expires_after(this->state->options.idleTimeout);
    http::async_read(
      this->stream,
      this->buffer,
      *this->parser,
      [self = this->shared_from_this()](beast::error_code aError, std::size_t) {
        self->OnRead(aError);
      });
  }

  void OnRead(beast::error_code aError)
  {
    if (aError) {
      this->OnReadError(aError);
      return;
    }
    this->stream.expires_never();
    this->state->activeRequests.fetch_add(1);
    BeastRequest request = this->parser->release();
    this->keepAlive = request.keep_alive();
    this->state->handler->Handle(
      Convert(request),
      [self = this->shared_from_this()](HttpResponse aResponse) {
        asio::post(self->stream.get_executor(),
                   [self, response = std::move(aResponse)]() mutable {
                     self->Write(std::move(response), true);
                   });
      });
  }

  void OnReadError(beast::error_code aError)
  {
    if (aError == http::error::body_limit) {
      this->Reject(413, ErrorCode::TooLarge, "body");
    } else if (aError == http::error::header_limit) {
      this->Reject(431, ErrorCode::TooLarge, "header");
    } else if (aError.category() ==
                 make_error_code(http::error::bad_method).category() &&
               aError != http::error::end_of_stream &&
               aError != http::error::partial_message) {
      this->Reject(400, ErrorCode::Malformed, "HTTP request");
    } else {
      this->stream.close();
    }
  }

  void Reject(std::uint16_t aStatus, ErrorCode aCode, std::string_view aSubject)
  {
    HttpResponse response;
    response.status = aStatus;
    response.body = R"({"error":")" + std::string(base::ToString(aCode)) +
                    R"(","subject":")" + std::string(aSubject) +
                    R"(","notRun":true})";
    this->keepAlive = false;
    this->Write(std::move(response), false);
  }

  void Write(HttpResponse aResponse, bool aIsRequest)
  {
    this->response.emplace();
    this->response->version(11);
    this->response->result(aResponse.status);
    this->response->set(http::field::content_type, aResponse.contentType);
    for (const auto& header : aResponse.headers) {
      this->response->set(header.name, header.value);
    }
    this->response->keep_alive(this->keepAlive &&
                               !this->state->isDraining.load());
    this->response->body() = std::move(aResponse.body);
    this->response->prepare_payload();
    this->stream.expires_after(this->state->options.idleTimeout);
    http::async_write(this->stream,
                      *this->response,
                      [self = this->shared_from_this(),
                       aIsRequest](beast::error_code aError, std::size_t) {
                        if (aIsRequest) {
                          self->state->activeRequests.fetch_sub(1);
                        }
                        self->OnWritten(aError);
                      });
  }

  void OnWritten(beast::error_code aError)
  {
    if (aError) {
      this->stream.close();
      return;
    }
    if (!this->response->keep_alive()) {
      beast::error_code ignored;
      this->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
      return;
    }
    this->Read();
  }

  static HttpRequest Convert(BeastRequest& aRequest)
  {
    HttpRequest request;
    request.method = ToView(aRequest.method_string());
    const std::string_view target = ToView(aRequest.target());
    const std::size_t queryStart = std::min(target.find('?'), target.size());
    request.path = target.substr(0, queryStart);
    request.query = target.substr(std::min(queryStart + 1, target.size()));
    request.headers = ToHeaders(aRequest);
    request.body = std::move(aRequest.body());
    return request;
  }

  beast::tcp_stream stream;
  std::shared_ptr<ServerState> state;
  beast::flat_buffer buffer;
  std::optional<http::request_parser<http::string_body>> parser;
  std::optional<BeastResponse> response;
  bool keepAlive = false;
};

} // namespace

struct HttpServer::Impl : public std::enable_shared_from_this<HttpServer::Impl>
{
  explicit Impl(net::IoPool& aPool)
    : pool(aPool)
  {
  }

  void Accept()
  {
    asio::io_context& context = this->pool.Next();
    this->acceptor->async_accept(
      context,
      [self = this->shared_from_this()](const beast::error_code& aError,
                                        tcp::socket aSocket) {
        if (aError == asio::error::operation_aborted ||
            !self->acceptor->is_open()) {
          return;
        }
        const bool isFull = self->state->connections.load() >=
                            self->state->options.maxConnections;
        if (!aError && isFull) {
          self->state->refusedConnections.fetch_add(1);
        } else if (!aError) {
          self->AddSession(std::move(aSocket));
        }
        self->Accept();
      });
  }

  void AddSession(tcp::socket aSocket)
  {
    beast::error_code ignored;
    aSocket.set_option(tcp::no_delay(true), ignored);
    auto session =
      std::make_shared<ServerSession>(std::move(aSocket), this->state);
    {
      std::lock_guard lock(this->mutex);
      std::erase_if(this->sessions,
                    [](const auto& aEntry) { return aEntry.second.expired(); });
      this->sessions.emplace(++this->lastSession, session);
    }
    session->Start();
  }

  net::IoPool& pool;
  std::shared_ptr<ServerState> state = std::make_shared<ServerState>();
  std::unique_ptr<tcp::acceptor> acceptor;
  std::mutex mutex;
  std::uint64_t lastSession = 0;
  std::unordered_map<std::uint64_t, std::weak_ptr<ServerSession>> sessions;
};

HttpServer::HttpServer(net::IoPool& aPool,
                       const HttpServerOptions& aOptions,
                       HttpHandler& aHandler)
  : impl(std::make_shared<Impl>(aPool))
{
  this->impl->state->options = aOptions;
  this->impl->state->handler = &aHandler;
}

HttpServer::~HttpServer()
{
  this->Stop();
}

base::Result<std::string>
HttpServer::Listen(std::string_view aAddress)
{
  BOOST_OUTCOME_TRY(auto listening,
                    net::ListenOn(this->impl->pool.At(0), aAddress));
  this->impl->acceptor = std::move(listening.acceptor);
  this->impl->Accept();
  return std::move(listening.address);
}

void
HttpServer::StartDraining()
{
  this->impl->state->isDraining.store(true);
}

std::size_t
HttpServer::ActiveRequests() const noexcept
{
  return this->impl->state->activeRequests.load();
}

std::size_t
HttpServer::Connections() const noexcept
{
  return this->impl->state->connections.load();
}

std::uint64_t
HttpServer::RefusedConnections() const noexcept
{
  return this->impl->state->refusedConnections.load();
}

void
HttpServer::StopAccepting()
{
  if (this->impl->acceptor == nullptr) {
    return;
  }
  asio::post(this->impl->pool.At(0), [self = this->impl] {
    beast::error_code ignored;
    self->acceptor->close(ignored);
  });
}

void
HttpServer::Stop()
{
  this->StopAccepting();
  std::lock_guard lock(this->impl->mutex);
  for (const auto& [id, weak] : this->impl->sessions) {
    if (const auto session = weak.lock()) {
      session->Close();
    }
  }
}

} // namespace amaranthwind::frontend
