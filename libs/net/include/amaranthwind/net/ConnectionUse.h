#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace amaranthwind::net {

/** What one connection of a listener uses. */
struct ConnectionUse
{
  /**
   * Rises with each new connection and each complete request of the listener:
   * the connection with the lowest number has been longest without one.
   */
  std::uint64_t lastActivity = 0;
  /** Bytes that are kept of an incomplete request. */
  std::size_t bufferedBytes = 0;
  /** A complete request is being handled or answered. */
  bool isHandling = false;
};

/** Why connections have to be closed. */
enum class Shortage : std::uint8_t
{
  Connections,
  BufferedBytes,
};

/**
 * Chooses the connection to close, as an index; empty if none helps. A
 * connection whose request is being handled is never chosen.
 *
 * Load: clients that open connections without end, or leave large requests
 * incomplete. Closing the connections that are longest without a complete
 * request leaves those alone that send whole requests.
 */
std::optional<std::size_t>
ChooseToClose(std::span<const ConnectionUse> aConnections, Shortage aShortage);

} // namespace amaranthwind::net
