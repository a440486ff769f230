#pragma once

#include "amaranthwind/frontend/HttpClient.h"

#include <cstdint>
#include <mutex>
#include <set>

namespace amaranthwind::frontend {

/**
 * Decides when a request that is sent repeatedly is sent again and when it
 * ends. Has no connection and no timer of its own. Thread-safe.
 */
class RepeatedRequest
{
public:
  RepeatedRequest(HttpRequest aRequest,
                  const RepeatOptions& aOptions,
                  HttpResultHandler aHandler);

  const HttpRequest& Request() const noexcept { return this->request; }
  const RepeatOptions& Options() const noexcept { return this->options; }

  /**
   * Called first, and when the response to the newest attempt is overdue.
   * Returns the number of the attempt to send, or 0 for none. Ends the request
   * if the newest attempt was the last one and no response is arriving:
   * waiting for that attempt to time out would leave a server that is back
   * unnoticed for that long.
   */
  std::uint32_t NextAttempt();
  /** A part of the response has arrived. */
  void OnArriving(std::uint32_t aAttempt);
  void OnResult(std::uint32_t aAttempt, HttpResult aResult);

private:
  const HttpRequest request;
  const RepeatOptions options;
  std::mutex mutex;
  /** Empty once it was called. */
  HttpResultHandler handler;
  std::uint32_t attempts = 0;
  /** Whether the response to the last attempt is overdue. */
  bool isExhausted = false;
  /** Attempts of whose response a part has arrived. */
  std::set<std::uint32_t> arriving;
};

} // namespace amaranthwind::frontend
