#pragma once

#include "amaranthwind/admin/Readiness.h"
#include "amaranthwind/base/Result.h"
#include "amaranthwind/telemetry/DumpSource.h"
#include "amaranthwind/telemetry/Metrics.h"

#include <memory>
#include <string>
#include <string_view>

namespace amaranthwind::admin {

/** Brings metrics up to date that are read from totals kept elsewhere. */
class MetricsSampler
{
public:
  virtual ~MetricsSampler() = default;
  /** Called before each rendering, by one thread at a time; must not wait. */
  virtual void SampleMetrics() = 0;
};

/**
 * The admin address of a process: liveness, readiness, metrics and state dump
 * over HTTP, see docs/api.md. Has an I/O thread of its own, so that it answers
 * while the other I/O threads are busy and does not hold them up.
 */
class AdminServer
{
public:
  /**
   * @param aProcess Name of the process in the dump.
   * @param aReadiness Must outlive the server.
   */
  AdminServer(std::string_view aProcess, const Readiness& aReadiness);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  /** Metrics to register in; valid as long as the server. */
  telemetry::Metrics& Metrics() noexcept;
  /** Sections appear in the order in which they were added. */
  void AddDump(std::shared_ptr<const telemetry::DumpSource> aSource);
  /** Call it before Listen(). */
  void AddSampler(std::shared_ptr<MetricsSampler> aSampler);

  /** Listens on "IP:port" and returns the address. Errors: those of listening.
   */
  base::Result<std::string> Listen(std::string_view aAddress);
  /** No source or sampler is in use after it. */
  void Stop();

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace amaranthwind::admin
