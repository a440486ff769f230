#pragma once

#include "amaranthwind/base/Result.h"
#include "amaranthwind/protocol/MessageHandler.h"
#include "amaranthwind/protocol/Messages.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace amaranthwind::protocol {

/** Connections to peers that exchange messages without replies. Thread-safe. */
class MessagePort
{
public:
  virtual ~MessagePort() = default;
  /**
   * Listens on "IP:port"; port 0 selects a free port. Returns the bound
   * address. Errors: Malformed (address), ConnectFailed (operating system
   * error).
   */
  virtual base::Result<std::string> Listen(std::string_view aAddress) = 0;
  /** Starts to connect; OnOpened or OnClosed reports the result. */
  virtual ConnectionId Connect(std::string_view aAddress) = 0;
  /** Does nothing on a closed connection. */
  virtual void Send(ConnectionId aConnection, const Message& aMessage) = 0;
  virtual void Close(ConnectionId aConnection) = 0;
  /** Overrides the ping interval and silence timeout of one connection. */
  virtual void SetLiveness(ConnectionId aConnection,
                           std::chrono::milliseconds aPingInterval,
                           std::chrono::milliseconds aSilenceTimeout) = 0;
  /** Closes the listener and all connections. */
  virtual void Stop() = 0;
};

/** Makes a port whose events go to the handler, which must outlive it. */
using MessagePortFactory =
  std::function<std::unique_ptr<MessagePort>(MessageHandler&)>;

} // namespace amaranthwind::protocol
