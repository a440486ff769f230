#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Result.h"
#include "amaranthwind/settings/TargetSettings.h"
#include "amaranthwind/telemetry/LogSink.h"

#include <memory>
#include <string>

namespace amaranthwind::target {

/** Listen addresses of a running daemon. */
struct TargetAddresses
{
  std::string inner;
  std::string admin;
};

/**
 * Sidecar daemon of an executor or a worker. It registers its target with every
 * entry, runs the work that entries send, and holds the authoritative record of
 * what has run.
 */
class TargetDaemon
{
public:
  /** aClock and aSink must outlive the daemon. */
  TargetDaemon(settings::TargetSettings aSettings,
               const base::Clock& aClock,
               telemetry::LogSink& aSink);
  ~TargetDaemon();
  TargetDaemon(const TargetDaemon&) = delete;
  TargetDaemon& operator=(const TargetDaemon&) = delete;

  /** Errors: those of opening the listeners. */
  base::Result<TargetAddresses> Start();

  /**
   * Shuts down gracefully: announces that it is draining, finishes pending
   * requests, then disconnects. Tasks of gangs keep running on the worker.
   * Blocks until the shutdown is complete.
   */
  void Stop();

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace amaranthwind::target
