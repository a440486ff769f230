#pragma once

#include "amaranthwind/base/Ids.h"
#include "amaranthwind/settings/LogSettings.h"

#include <cstdint>
#include <string>
#include <vector>

namespace amaranthwind::settings {

/** What every daemon needs. Addresses are "IP:port" or "[IPv6]:port". */
struct CommonSettings
{
  base::RegionId region;
  base::ZoneId zone;
  /**
   * Where the inner protocol listens. Also announced to peers, so it is never
   * a wildcard address. Port 0 lets the system choose one.
   */
  std::string innerListen;
  /** Where /live, /ready, /metrics and /dump are served. */
  std::string adminListen;
  /** Number of I/O threads, 1 to 64. */
  std::uint32_t ioThreads = 2;
  /** Inner addresses of the load balancer or of entries. */
  std::vector<std::string> bootstrap;
  LogSettings log;

  bool operator==(const CommonSettings&) const = default;
};

} // namespace amaranthwind::settings
