#pragma once

#include "amaranthwind/base/Error.h"
#include "amaranthwind/base/StrongId.h"
#include "amaranthwind/protocol/Messages.h"

#include <string_view>

namespace amaranthwind::protocol {

/** Identifies a connection within one Node; never reused after it closes. */
using ConnectionId = base::StrongNumber<struct ConnectionTag>;

/**
 * Receives connection events and messages from a Node. Called on the I/O thread
 * of the connection: in order for one connection, concurrently for different
 * ones. Must not block.
 */
class MessageHandler
{
public:
  virtual ~MessageHandler() = default;

  /** The connection is ready for use. aAddress is the peer's "IP:port". */
  virtual void OnOpened(ConnectionId aConnection,
                        bool aIsInbound,
                        std::string_view aAddress) = 0;

  /** A message other than a reply or a Ping. Reply with Node::Reply(). */
  virtual void OnMessage(ConnectionId aConnection,
                         const Envelope& aEnvelope) = 0;

  /**
   * The connection has closed, or could not be opened (ConnectFailed). Its
   * pending calls have already failed.
   */
  virtual void OnClosed(ConnectionId aConnection,
                        const base::Error& aReason) = 0;
};

} // namespace amaranthwind::protocol
