#pragma once

#include "amaranthwind/admin/Readiness.h"
#include "amaranthwind/base/Result.h"
#include "amaranthwind/telemetry/DumpSource.h"
#include "amaranthwind/telemetry/Metrics.h"

#include <memory>
#include <string>
#include <string_view>

namespace amaranthwind::net {
class ConnectionBudget;
}

namespace amaranthwind::admin {

/** Updates metrics whose values are kept outside the metrics registry. */
class MetricsSampler
{
public:
  virtual ~MetricsSampler() = default;
  /** Called before each rendering, by one thread at a time; must not block. */
  virtual void SampleMetrics() = 0;
};

/**
 * Serves liveness, readiness, metrics and the state dump of a process over HTTP
 * at its admin address, see docs/api.md. Runs on its own I/O thread, so that it
 * responds while the other I/O threads are busy and does not delay them.
 */
class AdminServer
{
public:
  /**
   * @param aProcess Name of the process as shown in the state dump.
   * @param aReadiness Must outlive the server.
   * @param aBudget Shared with other listeners of the process; may be null.
   */
  AdminServer(std::string_view aProcess,
              const Readiness& aReadiness,
              std::shared_ptr<net::ConnectionBudget> aBudget = nullptr);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  /** Registry for the metrics of the process; valid as long as the server. */
  telemetry::Metrics& Metrics() noexcept;
  /** Adds a section to the state dump; sections keep the order of addition. */
  void AddDump(std::shared_ptr<const telemetry::DumpSource> aSource);
  /** Must be called before Listen(). */
  void AddSampler(std::shared_ptr<MetricsSampler> aSampler);

  /**
   * Listens on "IP:port" and returns the bound address. Fails if the address
   * can't be bound.
   */
  base::Result<std::string> Listen(std::string_view aAddress);
  /** After it returns, no dump source or sampler is called any more. */
  void Stop();

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace amaranthwind::admin
