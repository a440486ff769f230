#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Result.h"
#include "amaranthwind/settings/TargetSettings.h"
#include "amaranthwind/telemetry/LogSink.h"

#include <memory>
#include <string>

namespace amaranthwind::target {

/** Where a started daemon listens. */
struct TargetAddresses
{
  std::string inner;
  std::string admin;
};

/**
 * The process beside an executor or a worker. It announces its target to every
 * entry, runs what they send, and is the authority on what has run.
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

  /** Errors: those of listening. */
  base::Result<TargetAddresses> Start();

  /**
   * Graceful stop: gets no new work, finishes what it has, then leaves. Tasks
   * of gangs keep running on the worker. Blocks until then.
   */
  void Stop();

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace amaranthwind::target
