#pragma once

#include "amaranthwind/base/Result.h"
#include "amaranthwind/frontend/HttpMessage.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace amaranthwind::net {
class ConnectionBudget;
class IoPool;
}

namespace amaranthwind::frontend {

/** Sends the response. Must be called exactly once; any thread may call it. */
using HttpResponder = std::function<void(HttpResponse)>;

/** Handles HTTP requests. Called on I/O threads; must not block. */
class HttpHandler
{
public:
  virtual ~HttpHandler() = default;
  virtual void Handle(HttpRequest aRequest, HttpResponder aRespond) = 0;
};

/** Why a connection was closed or a request refused before it was handled. */
enum class RejectionReason : std::uint8_t
{
  Malformed,
  HeaderTooLarge, // Also chunk extensions and trailers.
  BodyTooLarge,
  TooSlow,            // To send a request, or to read its response.
  BufferBudget,       // The requests of all connections are too large together.
  TooManyConnections, // It was the longest without a complete request.
};

std::string_view
ToString(RejectionReason aReason) noexcept;

/** Notified of rejections. Called on I/O threads; must not block. */
class HttpServerObserver
{
public:
  virtual ~HttpServerObserver() = default;
  virtual void OnRejected(RejectionReason aReason) = 0;
};

struct HttpServerOptions
{
  std::size_t maxBodyBytes = std::size_t{ 256 } * 1024;
  /** Limit of the request line and headers, and of trailers. */
  std::size_t maxHeaderBytes = std::size_t{ 16 } * 1024;
  std::size_t maxConnections = 1024;
  /** Limit of the incomplete requests of all connections together. */
  std::size_t maxBufferedBytes = std::size_t{ 16 } * 1024 * 1024;
  /** A connection is closed after this long without a request. */
  std::chrono::milliseconds idleTimeout{ 30'000 };
  /** Limits from the first byte of a request to the end of its headers, and to
   * its end. */
  std::chrono::milliseconds headerTimeout{ 10'000 };
  std::chrono::milliseconds requestTimeout{ 20'000 };
  /** Limit of the time in which a client takes a response. */
  std::chrono::milliseconds responseTimeout{ 10'000 };
  /** Must outlive the server if it is not null. */
  HttpServerObserver* observer = nullptr;
  /** Shared with other listeners of the process; null: limits of its own. */
  std::shared_ptr<net::ConnectionBudget> budget = nullptr;
};

/**
 * HTTP/1.1 server based on Boost.Beast. Rejects requests that it cannot parse
 * without calling the handler: 400 (malformed), 413 (body too large), 431
 * (header too large).
 *
 * Clients need not be trusted: what is kept of requests that are not complete
 * is bounded for each connection, for all of them and for all listeners that
 * share a budget, and so is the number of connections. If one of these limits
 * is reached, the connection that has been longest without a complete request
 * is closed, so that others are served. Requests beyond the budget's limit of
 * what is being handled are answered with 503.
 */
class HttpServer
{
public:
  HttpServer(net::IoPool& aPool,
             const HttpServerOptions& aOptions,
             HttpHandler& aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /** Listens on "IP:port"; 0 selects a free port. Returns the bound address. */
  base::Result<std::string> Listen(std::string_view aAddress);

  /** Sends "Connection: close" with each response from now on. */
  void StartDraining();

  /** Number of requests that were received and not yet answered. */
  std::size_t ActiveRequests() const noexcept;
  std::size_t Connections() const noexcept;
  /** Number of connections closed because of maxConnections since start. */
  std::uint64_t RefusedConnections() const noexcept;

  /** Closes the listener; existing connections stay open. */
  void StopAccepting();

  /** Closes the listener and all connections. */
  void Stop();

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace amaranthwind::frontend
