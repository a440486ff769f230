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
 * State machine of a connection. Each event function returns whether it changed
 * the state, so that the caller acts on each transition only once.
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
  /** Closed on request, after an error, or by the silence timeout. */
  bool OnClosing();

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace amaranthwind::protocol
