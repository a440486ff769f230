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

struct HttpServerOptions
{
  std::size_t maxBodyBytes = std::size_t{ 256 } * 1024;
  std::size_t maxHeaderBytes = std::size_t{ 16 } * 1024;
  std::size_t maxConnections = 1024;
  /** A connection is closed after this long without a request. */
  std::chrono::milliseconds idleTimeout{ 30'000 };
};

/**
 * HTTP/1.1 server based on Boost.Beast. Rejects requests that it cannot parse
 * without calling the handler: 400 (malformed), 413 (body too large), 431
 * (header too large).
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
  /** Number of connections rejected because of maxConnections since start. */
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
