#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Result.h"
#include "amaranthwind/protocol/MessageHandler.h"
#include "amaranthwind/protocol/Messages.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace amaranthwind::net {
class IoPool;
}

namespace amaranthwind::protocol {

struct NodeOptions
{
  /** A Ping is sent on a connection that has sent nothing for this time. */
  std::chrono::milliseconds pingInterval{ 1000 };
  /** A connection on which nothing arrived for this time is closed. */
  std::chrono::milliseconds silenceTimeout{ 3000 };
  std::chrono::milliseconds connectTimeout{ 2000 };
  /** A connection whose peer reads too slowly is closed beyond this. */
  std::size_t maxQueuedBytes = std::size_t{ 8 } * 1024 * 1024;
  std::size_t maxConnections = 4096;
};

/** Totals since the start. */
struct NodeCounters
{
  std::uint64_t framesSent = 0;
  std::uint64_t framesReceived = 0;
  std::uint64_t bytesSent = 0;
  std::uint64_t bytesReceived = 0;
  std::uint64_t badFrames = 0;
  std::uint64_t lateReplies = 0;
  /** Replies with a correlation id that was never used. */
  std::uint64_t unmatchedReplies = 0;
  /** Connections closed because nothing arrived on them. */
  std::uint64_t silentConnections = 0;
  std::uint64_t connections = 0;
};

/** Told whether a call was written to the connection before it failed. */
struct CallError
{
  base::Error error;
  /** False: the message was certainly never sent. */
  bool mayHaveBeenSent = true;
};

/** Either a reply or the reason why there is none. */
struct CallResult
{
  /** Null if the call failed. Valid during the callback. */
  const Message* reply = nullptr;
  CallError failure;
};

using CallHandler = std::function<void(const CallResult&)>;

/**
 * Connections of one process to its peers: listens, connects, sends messages
 * and matches replies to calls. Thread-safe. Must be destroyed before the pool.
 * The handler may be called until the pool has stopped, so that it must live
 * until then.
 */
class Node
{
public:
  Node(net::IoPool& aPool,
       const NodeOptions& aOptions,
       MessageHandler& aHandler);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /**
   * Listens on "IP:port"; port 0 takes a free one. Returns the address.
   * Errors: Malformed (address), ConnectFailed (the system's reason).
   */
  base::Result<std::string> Listen(std::string_view aAddress);

  /** Opens a connection; OnOpened or OnClosed follows. */
  ConnectionId Connect(std::string_view aAddress);

  /** Sends without expecting a reply. Does nothing on a closed connection. */
  void Send(ConnectionId aConnection, const Message& aMessage);

  /** Answers the envelope with the given correlation id. */
  void Reply(ConnectionId aConnection,
             CorrelationId aCorrelation,
             const Message& aMessage);

  /**
   * Sends and waits for the reply. aHandler is called once, on an I/O thread.
   * Failures: TimedOut, ConnectionClosed. A reply that comes after the
   * time-out is counted and dropped.
   */
  void Call(ConnectionId aConnection,
            const Message& aMessage,
            base::Duration aTimeout,
            CallHandler aHandler);

  void Close(ConnectionId aConnection);

  /** Replaces the heartbeat times of one connection. */
  void SetLiveness(ConnectionId aConnection,
                   std::chrono::milliseconds aPingInterval,
                   std::chrono::milliseconds aSilenceTimeout);

  NodeCounters Counters() const;

  /** Closes the listener and all connections. */
  void Stop();

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace amaranthwind::protocol
