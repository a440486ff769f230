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
 * Stand-in for an executor: POST /run/<kind> answers after the service time,
 * which a body {"serviceMs": N} overrides. At most `slots` requests are served
 * at the same time, the rest wait. GET /runs tells how often each request body
 * has run.
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
  struct Waiting
  {
    frontend::HttpRequest request;
    frontend::HttpResponder respond;
  };

  void Start(Waiting aWaiting);
  void Finish(const Waiting& aWaiting);
  std::chrono::milliseconds ServiceTime(const std::string& aBody) const;
  frontend::HttpResponse Runs();

  net::IoPool& pool;
  const std::string name;
  const std::uint32_t slots;
  const std::chrono::milliseconds serviceTime;
  std::mutex mutex;
  std::uint32_t busy = 0;
  std::deque<Waiting> queue;
  std::map<std::string, std::uint64_t> runs;
};

} // namespace amaranthwind::standins
