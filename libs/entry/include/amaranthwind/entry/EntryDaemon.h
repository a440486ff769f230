#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Result.h"
#include "amaranthwind/settings/EntrySettings.h"
#include "amaranthwind/telemetry/LogSink.h"

#include <memory>
#include <string>

namespace amaranthwind::entry {

/** Where a started daemon listens. */
struct EntryAddresses
{
  std::string http;
  std::string inner;
  std::string admin;
};

/**
 * The process on an entry VM. It serves callers, routes short requests to
 * executors, and coordinates the gang jobs of the cells that it leads.
 */
class EntryDaemon
{
public:
  /** aClock and aSink must outlive the daemon. */
  EntryDaemon(settings::EntrySettings aSettings,
              const base::Clock& aClock,
              telemetry::LogSink& aSink);
  ~EntryDaemon();
  EntryDaemon(const EntryDaemon&) = delete;
  EntryDaemon& operator=(const EntryDaemon&) = delete;

  /** Errors: those of listening. */
  base::Result<EntryAddresses> Start();

  /**
   * Graceful stop: turns not ready, serves for the notice period, finishes the
   * requests in flight and hands over its cells. Blocks until then.
   */
  void Stop();

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace amaranthwind::entry
