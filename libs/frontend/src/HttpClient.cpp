#include "amaranthwind/frontend/HttpClient.h"

#include "BeastConversion.h"
#include "RepeatedRequest.h"
#include "amaranthwind/net/IoPool.h"
#include "amaranthwind/net/TcpAcceptor.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>

#include <algorithm>
#include <deque>
#include <future>
#include <mutex>
#include <optional>
#include <utility>

namespace amaranthwind::frontend {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using base::ErrorCode;
using std::chrono::steady_clock;

namespace {

/**
 * Minimum time for each step of a request, so that a process that is late
 * itself does not take its own delay for that of the server.
 */
constexpr base::Duration kMinStepTime = std::chrono::milliseconds(200);

/** Limit of what is kept of a response that is not parsed yet. */
constexpr std::size_t kMaxBufferBytes = std::size_t{ 128 } * 1024;

struct PendingRequest
{
  HttpRequest request;
  base::TimePoint deadline;
  HttpResultHandler handler;
  /** Called if there is no result by this time; may be empty. */
  std::function<void()> onOverdue;
  base::TimePoint overdueAt{};
  /** Called when a part of the response has arrived; may be empty. */
  std::function<void()> onArriving;
};

HttpResult
MakeFailure(ErrorCode aCode, std::string_view aSubject, bool aMayHaveBeenSent)
{
  return { base::Fail(aCode, aSubject), aMayHaveBeenSent };
}

BeastRequest
Convert(HttpRequest& aRequest, std::string_view aHost)
{
  std::string target = aRequest.path;
  if (!aRequest.query.empty()) {
    target += '?';
    target += aRequest.query;
  }
  BeastRequest request;
  request.version(11);
  request.method_string(aRequest.method);
  request.target(target);
  request.set(http::field::host, std::string(aHost));
  for (const auto& header : aRequest.headers) {
    request.set(header.name, header.value);
  }
  request.keep_alive(true);
  request.body() = std::move(aRequest.body);
  request.prepare_payload();
  return request;
}

/** A connection to the server that handles one request at a time. */
class ClientSession : public std::enable_shared_from_this<ClientSession>
{
public:
  /** Called after each request; the session is null if it cannot be reused. */
  using ReleaseHandler = std::function<void(std::shared_ptr<ClientSession>,
                                            const HttpResult& aResult)>;

  ClientSession(asio::io_context& aContext, const HttpClientOptions& aOptions)
    : stream(aContext)
    , overdueTimer(aContext)
    , options(aOptions)
  {
  }

  void Run(PendingRequest aPending, ReleaseHandler aOnRelease)
  {
    asio::post(this->stream.get_executor(),
               [self = this->shared_from_this(),
                pending = std::move(aPending),
                onRelease = std::move(aOnRelease)]() mutable {
                 self->pending = std::move(pending);
                 self->onRelease = std::move(onRelease);
                 self->ScheduleOverdue();
                 self->isConnected ? self->Write() : self->Connect();
               });
  }

private:
  void ScheduleOverdue()
  {
    if (!this->pending.onOverdue) {
      return;
    }
    this->overdueTimer.expires_at(this->pending.overdueAt);
    this->overdueTimer.async_wait(
      [onOverdue = this->pending.onOverdue](beast::error_code aError) {
        if (!aError) {
          onOverdue();
        }
      });
  }

  base::TimePoint StepDeadline() const
  {
    return std::max(this->pending.deadline, steady_clock::now() + kMinStepTime);
  }

  void Connect()
  {
    const auto endpoint = net::ToEndpoint(this->options.address);
    if (endpoint.has_error()) {
      this->Finish(
        MakeFailure(ErrorCode::Malformed, endpoint.error().subject, false),
        false);
      return;
    }
    this->stream.expires_at(
      std::min(steady_clock::now() + this->options.connectTimeout,
               this->pending.deadline));
    this->stream.async_connect(
      endpoint.value(),
      [self = this->shared_from_this()](beast::error_code aError) {
        if (aError) {
          // Only a refusal tells that nothing listens at the address.
          const ErrorCode code =
            aError == asio::error::connection_refused ? ErrorCode::ConnectFailed
            : aError == beast::error::timeout         ? ErrorCode::TimedOut
                                              : ErrorCode::ConnectionClosed;
          self->Finish(MakeFailure(code, aError.message(), false), false);
          return;
        }
        self->isConnected = true;
        beast::error_code ignored;
        self->stream.socket().set_option(tcp::no_delay(true), ignored);
        self->Write();
      });
  }

  void Write()
  {
    this->request = Convert(this->pending.request, this->options.address);
    this->stream.expires_at(this->StepDeadline());
    http::async_write(
      this->stream,
      this->request,
      [self = this->shared_from_this()](beast::error_code aError, std::size_t) {
        if (aError) {
          self->Finish(ToFailure(aError), false);
          return;
        }
        self->Read();
      });
  }

  void Read()
  {
    this->parser.emplace();
    this->parser->body_limit(this->options.maxBodyBytes);
    this->stream.expires_at(this->StepDeadline());
    this->ReadSome();
  }

  void ReadSome()
  {
    http::async_read_some(
      this->stream,
      this->buffer,
      *this->parser,
      [self = this->shared_from_this()](beast::error_code aError, std::size_t) {
        if (aError || self->parser->is_done()) {
          self->OnRead(aError);
          return;
        }
        if (self->pending.onArriving) {
          self->pending.onArriving();
        }
        if (self->options.stallTimeout.count() > 0) {
          self->stream.expires_at(
            std::max(self->pending.deadline,
                     steady_clock::now() + self->options.stallTimeout));
        }
        self->ReadSome();
      });
  }

  void OnRead(beast::error_code aError)
  {
    if (aError) {
      this->Finish(ToFailure(aError), false);
      return;
    }
    BeastResponse beastResponse = this->parser->release();
    HttpResponse response;
    response.status = static_cast<std::uint16_t>(beastResponse.result_int());
    response.contentType = ToView(beastResponse[http::field::content_type]);
    response.headers = ToHeaders(beastResponse);
    response.body = std::move(beastResponse.body());
    this->Finish({ std::move(response), true }, beastResponse.keep_alive());
  }

  static HttpResult ToFailure(beast::error_code aError)
  {
    const ErrorCode code = aError == beast::error::timeout
                             ? ErrorCode::TimedOut
                             : ErrorCode::ConnectionClosed;
    return MakeFailure(code, aError.message(), true);
  }

  void Finish(HttpResult aResult, bool aIsReusable)
  {
    this->stream.expires_never();
    this->overdueTimer.cancel();
    if (!aIsReusable) {
      this->stream.close();
      this->isConnected = false;
    }
    auto handler = std::exchange(this->pending, {}).handler;
    auto releaseHandler = std::move(this->onRelease);
    releaseHandler(aIsReusable ? this->shared_from_this() : nullptr, aResult);
    handler(std::move(aResult));
  }

  beast::tcp_stream stream;
  asio::steady_timer overdueTimer;
  const HttpClientOptions options;
  bool isConnected = false;
  /** Bounded, since it holds a chunk header or trailers until their end. */
  beast::flat_buffer buffer{ kMaxBufferBytes };
  PendingRequest pending;
  ReleaseHandler onRelease;
  BeastRequest request;
  std::optional<http::response_parser<http::string_body>> parser;
};

} // namespace

struct HttpClient::Impl : public std::enable_shared_from_this<HttpClient::Impl>
{
  Impl(net::IoPool& aPool, const HttpClientOptions& aOptions)
    : pool(aPool)
    , options(aOptions)
  {
  }

  void Send(PendingRequest aPending)
  {
    std::shared_ptr<ClientSession> session;
    {
      std::lock_guard lock(this->mutex);
      session = this->AcquireSession();
      if (session == nullptr && this->queue.size() < this->options.maxQueued) {
        this->queue.push_back(std::move(aPending));
        return;
      }
    }
    if (session == nullptr) {
      aPending.handler(
        MakeFailure(ErrorCode::QueueFull, this->options.address, false));
      return;
    }
    this->Run(session, std::move(aPending));
  }

  void DropIdle()
  {
    std::vector<std::shared_ptr<ClientSession>> dropped;
    std::lock_guard lock(this->mutex);
    dropped.swap(this->idle);
  }

  /** Returns an idle or a new session; null if all connections are in use. */
  std::shared_ptr<ClientSession> AcquireSession()
  {
    if (!this->idle.empty()) {
      auto session = std::move(this->idle.back());
      this->idle.pop_back();
      ++this->busy;
      return session;
    }
    if (this->busy >= this->options.maxConnections) {
      return nullptr;
    }
    ++this->busy;
    return std::make_shared<ClientSession>(this->pool.Next(), this->options);
  }

  void Run(const std::shared_ptr<ClientSession>& aSession,
           PendingRequest aPending)
  {
    aSession->Run(
      std::move(aPending),
      [weak = this->weak_from_this()](std::shared_ptr<ClientSession> aReleased,
                                      const HttpResult& aResult) {
        if (const auto self = weak.lock()) {
          self->OnSessionReleased(std::move(aReleased), aResult);
        }
      });
  }

  void OnSessionReleased(std::shared_ptr<ClientSession> aSession,
                         const HttpResult& aResult)
  {
    std::optional<PendingRequest> next;
    std::vector<PendingRequest> expired;
    std::vector<std::shared_ptr<ClientSession>> dropped;
    {
      std::lock_guard lock(this->mutex);
      --this->busy;
      if (aResult.response.has_error() &&
          aResult.response.error().code == ErrorCode::TimedOut) {
        // Idle connections that were open at the time of the timeout may be
        // dead as well, so later requests use new connections.
        dropped.swap(this->idle);
      }
      if (aSession != nullptr) {
        this->idle.push_back(std::move(aSession));
      }
      const auto now = steady_clock::now();
      while (!this->queue.empty() && !next.has_value()) {
        PendingRequest first = std::move(this->queue.front());
        this->queue.pop_front();
        if (first.deadline <= now) {
          expired.push_back(std::move(first));
        } else {
          next.emplace(std::move(first));
        }
      }
      if (next.has_value()) {
        aSession = this->AcquireSession();
      }
    }
    for (auto& late : expired) {
      late.handler(
        MakeFailure(ErrorCode::TimedOut, "no free connection", false));
    }
    if (next.has_value()) {
      this->Run(aSession, std::move(*next));
    }
  }

  void SendAttempt(const std::shared_ptr<RepeatedRequest>& aRequest)
  {
    const std::uint32_t attempt = aRequest->NextAttempt();
    if (attempt == 0) {
      return;
    }
    if (attempt > 1) {
      this->DropIdle();
    }
    const auto now = steady_clock::now();
    const RepeatOptions& options = aRequest->Options();
    this->Send({ aRequest->Request(),
                 now + options.timeout,
                 [aRequest, attempt, now](HttpResult aResult) {
                   aResult.elapsed = steady_clock::now() - now;
                   aRequest->OnResult(attempt, std::move(aResult));
                 },
                 [weak = this->weak_from_this(), aRequest] {
                   if (const auto self = weak.lock()) {
                     self->SendAttempt(aRequest);
                   }
                 },
                 now + options.repeatAfter,
                 [aRequest, attempt] { aRequest->OnArriving(attempt); } });
  }

  net::IoPool& pool;
  const HttpClientOptions options;
  std::mutex mutex;
  std::vector<std::shared_ptr<ClientSession>> idle;
  std::size_t busy = 0;
  std::deque<PendingRequest> queue;
};

HttpClient::HttpClient(net::IoPool& aPool, const HttpClientOptions& aOptions)
  : impl(std::make_shared<Impl>(aPool, aOptions))
{
}

HttpClient::~HttpClient() = default;

void
HttpClient::Send(HttpRequest aRequest,
                 base::Duration aTimeout,
                 HttpResultHandler aHandler,
                 ConnectionChoice aConnection)
{
  if (aConnection == ConnectionChoice::New) {
    this->impl->DropIdle();
  }
  PendingRequest pending;
  pending.request = std::move(aRequest);
  pending.deadline = steady_clock::now() + aTimeout;
  pending.handler = std::move(aHandler);
  this->impl->Send(std::move(pending));
}

void
HttpClient::SendRepeatedly(HttpRequest aRequest,
                           const RepeatOptions& aOptions,
                           HttpResultHandler aHandler)
{
  this->impl->SendAttempt(std::make_shared<RepeatedRequest>(
    std::move(aRequest), aOptions, std::move(aHandler)));
}

HttpResult
HttpClient::SendAndWait(HttpRequest aRequest, base::Duration aTimeout)
{
  auto promise = std::make_shared<std::promise<HttpResult>>();
  auto future = promise->get_future();
  this->Send(std::move(aRequest), aTimeout, [promise](HttpResult aResult) {
    promise->set_value(std::move(aResult));
  });
  return future.get();
}

} // namespace amaranthwind::frontend
