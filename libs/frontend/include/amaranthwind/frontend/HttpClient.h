#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Result.h"
#include "amaranthwind/frontend/HttpMessage.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace amaranthwind::net {
class IoPool;
}

namespace amaranthwind::frontend {

struct HttpClientOptions
{
  /** "IP:port". */
  std::string address;
  std::size_t maxConnections = 64;
  /** Limit on requests that wait for a connection; beyond it, QueueFull. */
  std::size_t maxQueued = 1024;
  std::size_t maxBodyBytes = std::size_t{ 8 } * 1024 * 1024;
  std::chrono::milliseconds connectTimeout{ 2000 };
  /**
   * If above 0, a response that has started to arrive may exceed the request
   * timeout, as long as more data arrives within this time. Large responses can
   * thus pass a slow link, while a silent server is still detected soon.
   */
  std::chrono::milliseconds stallTimeout{ 0 };
};

/** The response to a request, or the error that ended it. */
struct HttpResult
{
  base::Result<HttpResponse> response;
  /** False if the request is known not to have been sent. */
  bool mayHaveBeenSent = true;
  /** Set by SendRepeatedly(): how long the attempt with this result took. */
  base::Duration elapsed{};
};

using HttpResultHandler = std::function<void(HttpResult)>;

/** Which connection of the pool sends a request. */
enum class ConnectionChoice : std::uint8_t
{
  Any,
  /**
   * One that is opened for the request. Idle connections are closed: they may
   * have gone silent together with that of an earlier request.
   */
  New,
};

struct RepeatOptions
{
  /** Limit of each attempt. */
  base::Duration timeout{};
  /** Without a response for this long, the request is sent again. */
  base::Duration repeatAfter{};
  /**
   * The request fails when the response to the last attempt is overdue, too,
   * and none is arriving. Attempts in flight end by their own timeout, so that
   * a caller that then sends the request anew never has more than
   * timeout / repeatAfter + 1 of them in flight, rounded up.
   */
  std::uint32_t maxAttempts = 4;
};

/**
 * HTTP/1.1 client for one server with a pool of keep-alive connections.
 * Thread-safe. Errors:
 * ConnectFailed (refused), ConnectionClosed, TimedOut, QueueFull, Malformed
 * (address).
 */
class HttpClient
{
public:
  HttpClient(net::IoPool& aPool, const HttpClientOptions& aOptions);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /** aHandler is called once, on an I/O thread. */
  void Send(HttpRequest aRequest,
            base::Duration aTimeout,
            HttpResultHandler aHandler,
            ConnectionChoice aConnection = ConnectionChoice::Any);

  /**
   * Sends the request again on a new connection each time that a response is
   * overdue, and returns the first response, or the error of the latest
   * attempt; TimedOut if the last attempt is overdue as well. The server may
   * handle the request several times.
   */
  void SendRepeatedly(HttpRequest aRequest,
                      const RepeatOptions& aOptions,
                      HttpResultHandler aHandler);

  /** Blocks until the request completes. Do not call it on I/O threads. */
  HttpResult SendAndWait(HttpRequest aRequest, base::Duration aTimeout);

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace amaranthwind::frontend
