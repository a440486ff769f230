#pragma once

#include <memory>

namespace amaranthwind::protocol {

enum class ConnectionPhase
{
  Connecting,
  Open,
  Closed,
};

/**
 * Life cycle of a connection. Each function returns whether the event changed
 * the state, so that its consequences happen once.
 */
class ConnectionState
{
public:
  ConnectionState();
  ~ConnectionState();
  ConnectionState(const ConnectionState&) = delete;
  ConnectionState& operator=(const ConnectionState&) = delete;

  ConnectionPhase Phase() const noexcept;
  bool OnEstablished();
  /** By request, by an error, or because the peer was silent for too long. */
  bool OnClosing();

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace amaranthwind::protocol
