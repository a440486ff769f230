#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Ids.h"
#include "amaranthwind/settings/CommonSettings.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace amaranthwind::settings {

/** Limits on the memory and connections that callers can occupy. */
struct HttpLimits
{
  /** Largest request body; below the inner protocol's frame limit of 1 MiB. */
  std::uint32_t maxBodyBytes = 256 * 1024;
  /** Largest total size of request line and headers. */
  std::uint32_t maxHeaderBytes = 16 * 1024;
  /** Largest number of concurrent caller connections. */
  std::uint32_t maxConnections = 10'000;
  /** A connection is closed after this time without a request. */
  base::Duration idleTimeout = std::chrono::seconds(60);

  bool operator==(const HttpLimits&) const = default;
};

/** Settings of `amaranthwindd` in the role entry. */
struct EntrySettings
{
  base::EntryId id;
  CommonSettings common;
  /** Listen address for callers, "IP:port". */
  std::string httpListen;
  /** Address of the platform's log service, "IP:port". */
  std::string logService;
  /** Zones whose cells this entry may coordinate; defaults to its own zone. */
  std::vector<base::ZoneId> coordinatedZones;
  HttpLimits limits;
  /** On a planned stop: how long the entry serves after it reports not ready.
   */
  base::Duration noticePeriod = std::chrono::seconds(2);
  /**
   * Retention time of log records. A checkpoint is published every quarter of
   * it: too small a value costs extra appends; with a value above the log's
   * real retention, records expire before a checkpoint covers them and state
   * is lost.
   */
  base::Duration logRetention = std::chrono::hours(24);

  bool operator==(const EntrySettings&) const = default;
};

} // namespace amaranthwind::settings
