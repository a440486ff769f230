#pragma once

#include "amaranthwind/frontend/HttpServer.h"
#include "amaranthwind/net/IoPool.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace amaranthwind::standins {

/**
 * Stand-in for an executor. POST /run/<kind> replies after the service time,
 * which a body {"serviceMs": N} overrides. At most `slots` requests are served
 * concurrently; further ones are queued. GET /runs returns how often each
 * request body has run.
 */
class ExecutorService final : public frontend::HttpHandler
{
public:
  ExecutorService(net::IoPool& aPool,
                  std::string aName,
                  std::uint32_t aSlots,
                  std::chrono::milliseconds aServiceTime);

  void Handle(frontend::HttpRequest aRequest,
              frontend::HttpResponder aRespond) override;

private:
  struct PendingRequest
  {
    frontend::HttpRequest request;
    frontend::HttpResponder respond;
  };

  void Start(PendingRequest aPending);
  void Finish(const PendingRequest& aPending);
  std::chrono::milliseconds ServiceTime(const std::string& aBody) const;
  frontend::HttpResponse Runs();

  net::IoPool& pool;
  const std::string name;
  const std::uint32_t slots;
  const std::chrono::milliseconds serviceTime;
  std::mutex mutex;
  std::uint32_t busy = 0;
  std::deque<PendingRequest> queue;
  std::map<std::string, std::uint64_t> runs;
};

} // namespace amaranthwind::standins
