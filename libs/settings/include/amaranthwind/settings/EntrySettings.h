#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Ids.h"
#include "amaranthwind/settings/CommonSettings.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace amaranthwind::settings {

/** Bounds on what callers can make an entry hold. */
struct HttpLimits
{
  /** Largest request body. Below the inner protocol's frame limit of 1 MiB. */
  std::uint32_t maxBodyBytes = 256 * 1024;
  /** Largest request line and headers together. */
  std::uint32_t maxHeaderBytes = 16 * 1024;
  /** Connections of callers at the same time. */
  std::uint32_t maxConnections = 10'000;
  /** A connection without a request for this long is closed. */
  base::Duration idleTimeout = std::chrono::seconds(60);

  bool operator==(const HttpLimits&) const = default;
};

/** Settings of `amaranthwindd` in the role entry. */
struct EntrySettings
{
  base::EntryId id;
  CommonSettings common;
  /** Where callers connect, "IP:port". */
  std::string httpListen;
  /** The platform's log service, "IP:port". */
  std::string logService;
  /** Cells that this entry may coordinate; its own zone unless stated. */
  std::vector<base::ZoneId> coordinatedZones;
  HttpLimits limits;
  /** How long it still serves after it became not ready on a stop. */
  base::Duration noticePeriod = std::chrono::seconds(2);
  /**
   * How long the log keeps a record. Checkpoints are published every quarter
   * of it, so a value that is too small costs appends, and one that is too
   * large loses state.
   */
  base::Duration logRetention = std::chrono::hours(24);

  bool operator==(const EntrySettings&) const = default;
};

} // namespace amaranthwind::settings
