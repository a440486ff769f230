#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Result.h"
#include "amaranthwind/frontend/HttpMessage.h"

#include <chrono>
#include <cstddef>
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
  /** Requests that wait for a connection. */
  std::size_t maxQueued = 1024;
  std::size_t maxBodyBytes = std::size_t{ 8 } * 1024 * 1024;
  std::chrono::milliseconds connectTimeout{ 2000 };
  /**
   * Above 0: an answer of which a part has arrived may take longer than the
   * time of its request, as long as more of it arrives within this time. A
   * large answer thus passes a narrow link, while silence is noticed soon.
   */
  std::chrono::milliseconds stallTimeout{ 0 };
};

/** Either an answer or the reason why there is none. */
struct HttpResult
{
  base::Result<HttpResponse> response;
  /** False: the request was certainly never sent. */
  bool mayHaveBeenSent = true;
};

using HttpResultHandler = std::function<void(HttpResult)>;

/**
 * HTTP/1.1 client for one server, with kept connections. Thread-safe. Errors:
 * ConnectFailed, ConnectionClosed, TimedOut, QueueFull, Malformed (address).
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
            HttpResultHandler aHandler);

  /** Waits for the answer; not for I/O threads. */
  HttpResult SendAndWait(HttpRequest aRequest, base::Duration aTimeout);

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace amaranthwind::frontend
