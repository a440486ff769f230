#pragma once

#include "amaranthwind/base/Error.h"
#include "amaranthwind/base/StrongId.h"
#include "amaranthwind/protocol/Messages.h"

#include <string_view>

namespace amaranthwind::protocol {

/** Names a connection of one Node; never used again after it has closed. */
using ConnectionId = base::StrongNumber<struct ConnectionTag>;

/**
 * Receives what happens on the connections of a Node. Called on the I/O thread
 * of the connection, in order for each connection, at the same time for
 * different ones. Must not block.
 */
class MessageHandler
{
public:
  virtual ~MessageHandler() = default;

  /** The connection can be used. aAddress is the peer's "IP:port". */
  virtual void OnOpened(ConnectionId aConnection,
                        bool aIsInbound,
                        std::string_view aAddress) = 0;

  /** A message that is not a reply. Answer with Node::Reply(). */
  virtual void OnMessage(ConnectionId aConnection,
                         const Envelope& aEnvelope) = 0;

  /**
   * The connection has closed, or could not be opened (ConnectFailed). Calls
   * that waited on it have failed before.
   */
  virtual void OnClosed(ConnectionId aConnection,
                        const base::Error& aReason) = 0;
};

} // namespace amaranthwind::protocol
