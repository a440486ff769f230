#pragma once

#include "amaranthwind/base/Ids.h"
#include "amaranthwind/settings/LogSettings.h"

#include <cstdint>
#include <string>
#include <vector>

namespace amaranthwind::settings {

/**
 * Settings that the entry and target roles share. Addresses are "IP:port" or
 * "[IPv6]:port".
 */
struct CommonSettings
{
  base::RegionId region;
  base::ZoneId zone;
  /**
   * Listen address of the inner protocol. It is also announced to peers, so it
   * must not be a wildcard address. Port 0 lets the system choose a port.
   */
  std::string innerListen;
  /** Listen address of /live, /ready, /metrics and /dump. */
  std::string adminListen;
  /** Number of I/O threads, 1 to 64. */
  std::uint32_t ioThreads = 2;
  /** Inner addresses of the load balancer or of entries, for the first contact.
   */
  std::vector<std::string> bootstrap;
  LogSettings log;

  bool operator==(const CommonSettings&) const = default;
};

} // namespace amaranthwind::settings
