#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Result.h"
#include "amaranthwind/settings/EntrySettings.h"
#include "amaranthwind/telemetry/LogSink.h"

#include <memory>
#include <string>

namespace amaranthwind::entry {

/** Bound listen addresses of a started daemon. */
struct EntryAddresses
{
  std::string http;
  std::string inner;
  std::string admin;
};

/**
 * The process on an entry VM. It accepts requests from callers, routes short
 * requests to executors, and coordinates the gang jobs of the cells for which
 * it is the elected coordinator.
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

  /** Fails if one of the listen addresses can't be bound. */
  base::Result<EntryAddresses> Start();

  /**
   * Stops gracefully: reports not ready, serves for the notice period, hands
   * its cells over and completes the requests in flight. Blocks until done.
   */
  void Stop();

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace amaranthwind::entry
