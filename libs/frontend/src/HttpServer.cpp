#include "amaranthwind/frontend/HttpServer.h"

#include "BeastConversion.h"
#include "amaranthwind/net/AcceptLoop.h"
#include "amaranthwind/net/ConnectionBudget.h"
#include "amaranthwind/net/IoPool.h"
#include "amaranthwind/net/TcpAcceptor.h"

#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>

#include <atomic>
#include <cstdint>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace amaranthwind::frontend {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using base::ErrorCode;
using net::ConnectionUse;
using net::Shortage;

namespace {

using std::chrono::steady_clock;

/** Room for chunk headers and trailers beside a part of the body. */
constexpr std::size_t kReadBytes = std::size_t{ 64 } * 1024;
/**
 * Limit of the bytes of a request by those of its largest body: chunks of one
 * byte without extensions take six bytes each.
 */
constexpr std::size_t kMaxOverheadFactor = 8;
/** Beyond the limit of connections by this part, new ones are refused. */
constexpr std::size_t kExcessDivisor = 8;
/**
 * After a refusal, what the client still sends is read and discarded up to
 * these limits: closing at once would reset the connection, and the client
 * might never read the response.
 */
constexpr std::size_t kLingerBytes = std::size_t{ 1024 } * 1024;
constexpr std::chrono::seconds kLingerTime{ 2 };
constexpr std::size_t kLingerBufferBytes = std::size_t{ 4 } * 1024;
/** A connection without a request keeps no larger buffer. */
constexpr std::size_t kIdleBufferBytes = std::size_t{ 4 } * 1024;
constexpr std::string_view kRetryAfterSeconds = "1";

class ServerSession;

/** State shared by all sessions of a server. */
struct ServerState : public net::BudgetedListener
{
  HttpServerOptions options;
  /** Never null. */
  std::shared_ptr<net::ConnectionBudget> budget;
  net::ListenerId listener;
  HttpHandler* handler = nullptr;
  std::atomic<bool> isDraining{ false };
  std::atomic<std::size_t> activeRequests{ 0 };
  std::atomic<std::size_t> connections{ 0 };
  std::atomic<std::uint64_t> refusedConnections{ 0 };
  std::atomic<std::uint64_t> lastActivity{ 0 };
  std::mutex mutex;
  std::vector<std::weak_ptr<ServerSession>> sessions;

  void OnRejected(RejectionReason aReason) const
  {
    if (this->options.observer != nullptr) {
      this->options.observer->OnRejected(aReason);
    }
  }
  /** Closes one connection; returns false if there is none to close. */
  bool CloseOne(Shortage aShortage) override;
};

/** A client connection; all state is confined to its socket's thread. */
class ServerSession : public std::enable_shared_from_this<ServerSession>
{
public:
  ServerSession(tcp::socket aSocket, std::shared_ptr<ServerState> aState)
    : stream(std::move(aSocket))
    , state(std::move(aState))
    , buffer(this->state->options.maxHeaderBytes + kReadBytes)
  {
    this->state->connections.fetch_add(1);
    this->state->budget->AddConnections(this->state->listener, 1);
    this->NoteActivity();
  }
  ~ServerSession()
  {
    this->SetBufferedBytes(0);
    this->ReleaseHandledBytes();
    this->state->connections.fetch_sub(1);
    this->state->budget->AddConnections(this->state->listener, -1);
  }
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

  /** Closes the connection unless it has begun to handle a request. */
  void CloseUnlessHandling(RejectionReason aReason)
  {
    this->isClosing.store(true);
    // Another thread frees it, but no further connection has to be closed.
    this->SetBufferedBytes(0);
    asio::post(this->stream.get_executor(),
               [self = this->shared_from_this(), aReason] {
                 if (self->isHandling.load()) {
                   self->isClosing.store(false);
                 } else {
                   self->state->OnRejected(aReason);
                   self->stream.close();
                 }
               });
  }

  /** Empty if the connection is about to be closed. Thread-safe. */
  std::optional<ConnectionUse> Use() const
  {
    if (this->isClosing.load()) {
      return std::nullopt;
    }
    return ConnectionUse{ this->activity.load(),
                          this->bufferedBytes.load(),
                          this->isHandling.load() };
  }

private:
  void NoteActivity()
  {
    this->activity.store(this->state->lastActivity.fetch_add(1));
  }

  /** May close connections, this one among them, if the bytes increase. */
  void SetBufferedBytes(std::size_t aBytes)
  {
    const std::size_t former = this->bufferedBytes.exchange(aBytes);
    this->state->budget->AddBufferedBytes(
      this->state->listener,
      static_cast<std::ptrdiff_t>(aBytes) -
        static_cast<std::ptrdiff_t>(former));
  }

  void ReleaseHandledBytes()
  {
    this->state->budget->RemoveHandledBytes(
      std::exchange(this->handledBytes, 0));
  }

  void Read()
  {
    this->parser.emplace();
    this->parser->body_limit(this->state->options.maxBodyBytes);
    this->parser->header_limit(
      static_cast<std::uint32_t>(this->state->options.maxHeaderBytes));
    this->parser->eager(true);
    this->requestBytes = 0;
    this->requestStart.reset();
    this->ReadSome();
  }

  /** An idle connection has another limit than one with a part of a request. */
  steady_clock::time_point ReadDeadline() const
  {
    const HttpServerOptions& options = this->state->options;
    if (!this->requestStart) {
      return steady_clock::now() + options.idleTimeout;
    }
    return *this->requestStart + (this->parser->is_header_done()
                                    ? options.requestTimeout
                                    : options.headerTimeout);
  }

  void ReadSome()
  {
    this->stream.expires_at(this->ReadDeadline());
    http::async_read_some(this->stream,
                          this->buffer,
                          *this->parser,
                          [self = this->shared_from_this()](
                            beast::error_code aError, std::size_t aBytes) {
                            self->OnReadSome(aError, aBytes);
                          });
  }

  void OnReadSome(beast::error_code aError, std::size_t aBytes)
  {
    if (aError) {
      this->OnReadError(aError);
      return;
    }
    if (this->parser->is_done()) {
      this->OnRead();
      return;
    }
    if (!this->requestStart) {
      this->requestStart = steady_clock::now();
    }
    const HttpServerOptions& options = this->state->options;
    this->requestBytes += aBytes;
    if (this->requestBytes >
        options.maxHeaderBytes + kMaxOverheadFactor * options.maxBodyBytes) {
      this->Reject(413, RejectionReason::BodyTooLarge, "body");
      return;
    }
    if (!this->isClosing.load()) {
      // The body's capacity is what the client has announced.
      this->SetBufferedBytes(this->buffer.capacity() +
                             this->parser->get().body().capacity());
    }
    this->ReadSome();
  }

  void OnRead()
  {
    this->isHandling.store(true);
    this->NoteActivity();
    this->SetBufferedBytes(0);
    if (this->buffer.capacity() > kIdleBufferBytes) {
      this->buffer.shrink_to_fit();
    }
    const std::size_t bodyBytes = this->parser->get().body().size();
    if (!this->state->budget->TryAddHandledBytes(bodyBytes)) {
      this->Reject(503, RejectionReason::BufferBudget, "request bodies");
      return;
    }
    this->handledBytes = bodyBytes;
    this->stream.expires_never();
    this->state->activeRequests.fetch_add(1);
    BeastRequest request = this->parser->release();
    this->keepAlive = request.keep_alive();
    this->state->handler->Handle(
      Convert(request),
      [self = this->shared_from_this()](HttpResponse aResponse) {
        asio::post(self->stream.get_executor(),
                   [self, response = std::move(aResponse)]() mutable {
                     self->ReleaseHandledBytes();
                     self->Write(std::move(response), true);
                   });
      });
  }

  void OnReadError(beast::error_code aError)
  {
    if (aError == http::error::body_limit) {
      this->Reject(413, RejectionReason::BodyTooLarge, "body");
    } else if (aError == http::error::header_limit ||
               aError == http::error::buffer_overflow) {
      this->Reject(431, RejectionReason::HeaderTooLarge, "header");
    } else if (aError.category() ==
                 make_error_code(http::error::bad_method).category() &&
               aError != http::error::end_of_stream &&
               aError != http::error::partial_message) {
      this->Reject(400, RejectionReason::Malformed, "HTTP request");
    } else {
      if (aError == beast::error::timeout && this->requestStart) {
        this->state->OnRejected(RejectionReason::TooSlow);
      }
      this->SetBufferedBytes(0);
      this->stream.close();
    }
  }

  /** Responds without calling the handler; the request has not run. */
  void Reject(std::uint16_t aStatus,
              RejectionReason aReason,
              std::string_view aSubject)
  {
    this->state->OnRejected(aReason);
    this->isHandling.store(true);
    this->SetBufferedBytes(0);
    const ErrorCode code =
      aReason == RejectionReason::Malformed      ? ErrorCode::Malformed
      : aReason == RejectionReason::BufferBudget ? ErrorCode::QueueFull
                                                 : ErrorCode::TooLarge;
    HttpResponse response;
    response.status = aStatus;
    if (aReason == RejectionReason::BufferBudget) {
      response.headers.push_back(
        { "Retry-After", std::string(kRetryAfterSeconds) });
    }
    response.body = R"({"error":")" + std::string(base::ToString(code)) +
                    R"(","subject":")" + std::string(aSubject) +
                    R"(","notRun":true})";
    this->keepAlive = false;
    this->isRefused = true;
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
    this->stream.expires_after(this->state->options.responseTimeout);
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
      if (aError == beast::error::timeout) {
        this->state->OnRejected(RejectionReason::TooSlow);
      }
      this->stream.close();
      return;
    }
    const bool isLast = !this->response->keep_alive();
    this->response.reset();
    if (isLast) {
      beast::error_code ignored;
      this->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
      if (!this->isRefused) {
        return;
      }
      this->isHandling.store(false);
      this->parser.reset();
      this->lingerBuffer.resize(kLingerBufferBytes);
      this->lingerBytes = 0;
      this->stream.expires_after(kLingerTime);
      this->Linger();
      return;
    }
    this->isHandling.store(false);
    this->Read();
  }

  void Linger()
  {
    this->stream.async_read_some(
      asio::buffer(this->lingerBuffer),
      [self = this->shared_from_this()](beast::error_code aError,
                                        std::size_t aBytes) {
        self->lingerBytes += aBytes;
        if (aError || self->lingerBytes > kLingerBytes) {
          self->stream.close();
        } else {
          self->Linger();
        }
      });
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
  /** Bounded, since it holds a chunk header or trailers until their end. */
  beast::flat_buffer buffer;
  std::optional<http::request_parser<http::string_body>> parser;
  /** When the first bytes of the request were read; empty without any. */
  std::optional<steady_clock::time_point> requestStart;
  /** Bytes of the request that were parsed. */
  std::size_t requestBytes = 0;
  std::atomic<std::uint64_t> activity{ 0 };
  std::atomic<std::size_t> bufferedBytes{ 0 };
  /** Counted for the request that is being handled. */
  std::size_t handledBytes = 0;
  std::atomic<bool> isHandling{ false };
  std::atomic<bool> isClosing{ false };
  std::optional<BeastResponse> response;
  bool keepAlive = false;
  bool isRefused = false;
  std::vector<char> lingerBuffer;
  std::size_t lingerBytes = 0;
};

bool
ServerState::CloseOne(Shortage aShortage)
{
  const std::lock_guard lock(this->mutex);
  std::vector<std::shared_ptr<ServerSession>> open;
  std::vector<ConnectionUse> uses;
  for (const auto& each : this->sessions) {
    const auto session = each.lock();
    if (const auto use = session == nullptr ? std::nullopt : session->Use()) {
      open.push_back(session);
      uses.push_back(*use);
    }
  }
  const auto chosen = net::ChooseToClose(uses, aShortage);
  if (!chosen) {
    return false;
  }
  open[*chosen]->CloseUnlessHandling(aShortage == Shortage::Connections
                                       ? RejectionReason::TooManyConnections
                                       : RejectionReason::BufferBudget);
  return true;
}

} // namespace

std::string_view
ToString(RejectionReason aReason) noexcept
{
  switch (aReason) {
    case RejectionReason::Malformed:
      return "malformed";
    case RejectionReason::HeaderTooLarge:
      return "header-too-large";
    case RejectionReason::BodyTooLarge:
      return "body-too-large";
    case RejectionReason::TooSlow:
      return "too-slow";
    case RejectionReason::BufferBudget:
      return "buffer-budget";
    case RejectionReason::TooManyConnections:
      break;
  }
  return "too-many-connections";
}

struct HttpServer::Impl
  : public net::AcceptObserver
  , public std::enable_shared_from_this<HttpServer::Impl>
{
  explicit Impl(net::IoPool& aPool)
    : pool(aPool)
  {
  }

  bool MakeRoom() override
  {
    const std::size_t limit = this->state->options.maxConnections;
    const std::size_t open = this->state->connections.load();
    if (open < limit) {
      const bool hasRoom = this->state->budget->MakeRoom();
      this->state->refusedConnections.fetch_add(hasRoom ? 0 : 1);
      return hasRoom;
    }
    this->state->refusedConnections.fetch_add(1);
    // The chosen connection is closed by its own thread a little later.
    return this->state->CloseOne(Shortage::Connections) &&
           open < limit + limit / kExcessDivisor;
  }

  void OnAccepted(asio::io_context&, tcp::socket aSocket) override
  {
    this->AddSession(std::move(aSocket));
  }

  void OnOutOfDescriptors() override
  {
    this->state->budget->OnOutOfDescriptors();
  }

  void AddSession(tcp::socket aSocket)
  {
    beast::error_code ignored;
    aSocket.set_option(tcp::no_delay(true), ignored);
    auto session =
      std::make_shared<ServerSession>(std::move(aSocket), this->state);
    {
      const std::lock_guard lock(this->state->mutex);
      std::erase_if(this->state->sessions,
                    [](const auto& aEntry) { return aEntry.expired(); });
      this->state->sessions.push_back(session);
    }
    session->Start();
  }

  net::IoPool& pool;
  std::shared_ptr<ServerState> state = std::make_shared<ServerState>();
  std::shared_ptr<net::AcceptLoop> acceptLoop;
};

HttpServer::HttpServer(net::IoPool& aPool,
                       const HttpServerOptions& aOptions,
                       HttpHandler& aHandler)
  : impl(std::make_shared<Impl>(aPool))
{
  ServerState& state = *this->impl->state;
  state.options = aOptions;
  state.handler = &aHandler;
  state.budget = aOptions.budget;
  if (state.budget == nullptr) {
    state.budget =
      std::make_shared<net::ConnectionBudget>(net::ConnectionBudgetOptions{
        .maxConnections = 2 * aOptions.maxConnections,
        .maxBufferedBytes = SIZE_MAX / 2,
        .maxHandledBytes = SIZE_MAX / 2 });
  }
  state.listener =
    state.budget->Add(this->impl->state, aOptions.maxBufferedBytes);
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
  this->impl->acceptLoop = std::make_shared<net::AcceptLoop>(
    this->impl->pool, std::move(listening.acceptor), this->impl);
  this->impl->acceptLoop->Start();
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
  if (this->impl->acceptLoop != nullptr) {
    this->impl->acceptLoop->Stop();
  }
}

void
HttpServer::Stop()
{
  this->StopAccepting();
  const std::lock_guard lock(this->impl->state->mutex);
  for (const auto& weak : this->impl->state->sessions) {
    if (const auto session = weak.lock()) {
      session->Close();
    }
  }
}

} // namespace amaranthwind::frontend
