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

/** Sends the answer; call it once, on any thread. */
using HttpResponder = std::function<void(HttpResponse)>;

/** Serves requests. Called on I/O threads; must not block. */
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
  /** A connection without a request for this time is closed. */
  std::chrono::milliseconds idleTimeout{ 30'000 };
};

/**
 * HTTP/1.1 server on Boost.Beast. Answers requests that it cannot read itself:
 * 400 (malformed), 413 (body too large), 431 (header too large).
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

  /** Listens on "IP:port"; port 0 takes a free one. Returns the address. */
  base::Result<std::string> Listen(std::string_view aAddress);

  /** From now on each answer asks the client to close its connection. */
  void StartDraining();

  /** Requests that were read and not yet answered. */
  std::size_t ActiveRequests() const noexcept;
  std::size_t Connections() const noexcept;
  /** Closed at once because of the limit, since the start. */
  std::uint64_t RefusedConnections() const noexcept;

  /** Takes no new connection; those that exist go on. */
  void StopAccepting();

  /** Closes the listener and every connection. */
  void Stop();

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace amaranthwind::frontend
