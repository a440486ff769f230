#pragma once

#include "amaranthwind/net/IoPool.h"

#include <chrono>
#include <memory>
#include <string>

namespace amaranthwind::soak {

/**
 * TCP proxy on loopback that injects network faults into its connections.
 * Thread-safe. Stop the pool before destroying the proxy.
 */
class LoopbackProxy
{
public:
  enum class Flow : std::uint8_t
  {
    Open,
    HeldToServer, // Client data is held back until the flow is Open.
    HeldToClient,
    Held,
  };

  /** Throws std::system_error if it cannot listen. */
  LoopbackProxy(net::IoPool& aPool,
                const std::string& aListen,
                const std::string& aTarget);
  ~LoopbackProxy();
  LoopbackProxy(const LoopbackProxy&) = delete;
  LoopbackProxy& operator=(const LoopbackProxy&) = delete;

  void SetFlow(Flow aFlow);
  void SetDelay(std::chrono::milliseconds aDelay);
  /** Resets all open connections; new connections are unaffected. */
  void ResetConnections();
  /**
   * Stops forwarding on all open connections without closing them; new
   * connections are unaffected.
   */
  void SilenceConnections();

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace amaranthwind::soak
