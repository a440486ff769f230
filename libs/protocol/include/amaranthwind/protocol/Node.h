#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Result.h"
#include "amaranthwind/protocol/MessageHandler.h"
#include "amaranthwind/protocol/MessagePort.h"
#include "amaranthwind/protocol/Messages.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace amaranthwind::net {
class ConnectionBudget;
class IoPool;
}

namespace amaranthwind::protocol {

struct NodeOptions
{
  /** A Ping is sent after this long without outgoing traffic. */
  std::chrono::milliseconds pingInterval{ 1000 };
  /** A connection is closed after this long without incoming traffic. */
  std::chrono::milliseconds silenceTimeout{ 3000 };
  std::chrono::milliseconds connectTimeout{ 2000 };
  /** Send queue limit; beyond it, the peer is too slow and is disconnected. */
  std::size_t maxQueuedBytes = std::size_t{ 8 } * 1024 * 1024;
  /**
   * Limit of the send queues of all connections together; beyond it, the one
   * with the longest queue is closed.
   */
  std::size_t maxTotalQueuedBytes = std::size_t{ 16 } * 1024 * 1024;
  /**
   * Beyond it, the inbound connection that has been longest without a complete
   * frame is closed.
   */
  std::size_t maxConnections = 4096;
  /**
   * Limits the inbound connections, and what is kept of incomplete frames,
   * together with other listeners of the process. Null: limits of its own.
   */
  std::shared_ptr<net::ConnectionBudget> budget = nullptr;
};

/** Cumulative counters, except connections, which is the current number. */
struct NodeCounters
{
  std::uint64_t framesSent = 0;
  std::uint64_t framesReceived = 0;
  std::uint64_t bytesSent = 0;
  std::uint64_t bytesReceived = 0;
  std::uint64_t badFrames = 0;
  std::uint64_t lateReplies = 0;
  /** Replies whose correlation id was never issued. */
  std::uint64_t unmatchedReplies = 0;
  /** Connections closed by silenceTimeout. */
  std::uint64_t silentConnections = 0;
  /** Connections closed for a limit of all connections together. */
  std::uint64_t crowdedConnections = 0;
  std::uint64_t connections = 0;
};

/** Why a call failed, and whether its message may have left this process. */
struct CallError
{
  base::Error error;
  /** False if the message is known not to have been sent. */
  bool mayHaveBeenSent = true;
};

/** The reply to a call, or the error that ended it. */
struct CallResult
{
  /** Null if the call failed. Valid only during the callback. */
  const Message* reply = nullptr;
  CallError failure;
};

using CallHandler = std::function<void(const CallResult&)>;

/**
 * Manages the connections of one process to its peers: listens, connects, sends
 * messages and matches replies to calls. Thread-safe. Must be destroyed before
 * the pool. The handler must outlive the pool's threads, since it may be called
 * until they have stopped.
 */
class Node final : public MessagePort
{
public:
  Node(net::IoPool& aPool,
       const NodeOptions& aOptions,
       MessageHandler& aHandler);
  ~Node() override;
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  base::Result<std::string> Listen(std::string_view aAddress) override;
  ConnectionId Connect(std::string_view aAddress) override;
  void Send(ConnectionId aConnection, const Message& aMessage) override;

  /** Replies to the call with the given correlation id. */
  void Reply(ConnectionId aConnection,
             CorrelationId aCorrelation,
             const Message& aMessage);

  /**
   * Sends a message and passes its reply to aHandler, which is called once, on
   * an I/O thread. Failures: TimedOut, ConnectionClosed. A reply that arrives
   * after the timeout is counted and dropped.
   */
  void Call(ConnectionId aConnection,
            const Message& aMessage,
            base::Duration aTimeout,
            CallHandler aHandler);

  void Close(ConnectionId aConnection) override;

  void SetLiveness(ConnectionId aConnection,
                   std::chrono::milliseconds aPingInterval,
                   std::chrono::milliseconds aSilenceTimeout) override;

  NodeCounters Counters() const;

  void Stop() override;

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

/** Makes nodes on the pool, which must outlive them. */
MessagePortFactory
MakeNodeFactory(net::IoPool& aPool, const NodeOptions& aOptions);

} // namespace amaranthwind::protocol
