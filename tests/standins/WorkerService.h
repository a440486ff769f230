#pragma once

#include "amaranthwind/frontend/HttpServer.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace amaranthwind::standins {

/**
 * Stand-in for a worker that runs tasks under leases.
 *
 * POST /tasks {"task", "accelerators", "leaseMs", "payload", "label"} starts a
 * task; it runs for {"runMs": N} of its payload, and fails if that has "fail":
 * true. POST /tasks/<task>/renew {"leaseMs"}, POST /tasks/<task>/stop, GET
 * /tasks lists {"task", "state", "accelerators", "payload", "label"}, where the
 * state is "running", "succeeded", "failed", "stopped" or "expired".
 */
class WorkerService final : public frontend::HttpHandler
{
public:
  explicit WorkerService(std::uint32_t aAccelerators);

  void Handle(frontend::HttpRequest aRequest,
              frontend::HttpResponder aRespond) override;

private:
  using Clock = std::chrono::steady_clock;

  struct Task
  {
    std::string state = "running";
    std::uint32_t accelerators = 0;
    std::string payload;
    std::string label;
    bool fails = false;
    Clock::time_point end;
    Clock::time_point leaseEnd;
  };

  frontend::HttpResponse Serve(const frontend::HttpRequest& aRequest);
  frontend::HttpResponse Start(const std::string& aBody);
  frontend::HttpResponse ApplyAction(const std::string& aPath,
                                     const std::string& aBody);
  frontend::HttpResponse List() const;
  void Update();
  std::uint32_t UsedAccelerators() const;

  const std::uint32_t accelerators;
  std::mutex mutex;
  std::map<std::string, Task> tasks;
};

} // namespace amaranthwind::standins
