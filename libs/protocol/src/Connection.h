#pragma once

#include "ConnectionState.h"
#include "amaranthwind/base/Error.h"
#include "amaranthwind/net/ConnectionUse.h"
#include "amaranthwind/protocol/FrameCodec.h"
#include "amaranthwind/protocol/Node.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace amaranthwind::protocol {

/** Counters shared by all connections of a node. */
struct SharedCounters
{
  std::atomic<std::uint64_t> framesSent{ 0 };
  std::atomic<std::uint64_t> framesReceived{ 0 };
  std::atomic<std::uint64_t> bytesSent{ 0 };
  std::atomic<std::uint64_t> bytesReceived{ 0 };
  std::atomic<std::uint64_t> badFrames{ 0 };
  std::atomic<std::uint64_t> lateReplies{ 0 };
  std::atomic<std::uint64_t> unmatchedReplies{ 0 };
  std::atomic<std::uint64_t> silentConnections{ 0 };
  std::atomic<std::uint64_t> crowdedConnections{ 0 };
  /** Bytes in the send queues of all connections. */
  std::atomic<std::size_t> queuedBytes{ 0 };
  /** Rises with each complete frame and each new connection. */
  std::atomic<std::uint64_t> lastActivity{ 0 };
};

/** Receives the events of a Connection; implemented by Node. */
class ConnectionOwner
{
public:
  virtual ~ConnectionOwner() = default;
  virtual void OnConnectionOpened(ConnectionId aId,
                                  bool aIsInbound,
                                  std::string_view aAddress) = 0;
  virtual void OnConnectionMessage(ConnectionId aId,
                                   const Envelope& aEnvelope) = 0;
  virtual void OnConnectionClosed(ConnectionId aId,
                                  const base::Error& aReason) = 0;
  /** What an inbound connection keeps of incomplete frames has changed. */
  virtual void OnBufferedBytes(std::ptrdiff_t aChange) = 0;
  /** The send queues have come to exceed their limit together. */
  virtual void OnQueuesFull() = 0;
};

/**
 * One TCP connection. All state is confined to the thread of its io_context;
 * the public functions may be called from any thread and post to that thread.
 */
class Connection : public std::enable_shared_from_this<Connection>
{
public:
  using Socket = boost::asio::ip::tcp::socket;
  using Endpoint = boost::asio::ip::tcp::endpoint;

  Connection(ConnectionId aId,
             boost::asio::io_context& aContext,
             const NodeOptions& aOptions,
             std::shared_ptr<SharedCounters> aCounters,
             std::weak_ptr<ConnectionOwner> aOwner);

  /** Takes ownership of an accepted socket of the same io_context. */
  void StartInbound(Socket aSocket);
  void StartOutbound(const Endpoint& aEndpoint);
  void Send(std::vector<std::byte> aFrame);
  /** aHandler is called on the connection's thread. */
  void Call(Envelope aEnvelope, base::Duration aTimeout, CallHandler aHandler);
  void SetLiveness(std::chrono::milliseconds aPingInterval,
                   std::chrono::milliseconds aSilenceTimeout);
  void Close(const base::Error& aReason);
  /** As Close(), for a limit of all connections together. */
  void CloseForLimit(std::string_view aLimit);

  /**
   * What an inbound connection uses; empty if it is outbound or about to be
   * closed. Thread-safe.
   */
  std::optional<net::ConnectionUse> Use() const;
  /** Size of the send queue; 0 if it is about to be closed. Thread-safe. */
  std::size_t QueuedBytes() const noexcept;

private:
  using Deadline = std::pair<base::TimePoint, std::uint64_t>;
  struct PendingCall
  {
    CallHandler handler;
    base::TimePoint deadline;
  };

  void Open(bool aIsInbound);
  /** Requires that the frame was counted with AddQueuedBytes(). */
  void Enqueue(std::vector<std::byte> aFrame);
  /** Counts the frame and enqueues it, on the connection's thread. */
  void EnqueueNow(std::vector<std::byte> aFrame);
  void WriteQueued();
  void OnWritten(const boost::system::error_code& aError);
  void Read();
  void ParseFrames();
  void GrowReceiveBuffer(std::size_t aBytes);
  void ShrinkBuffers();
  void SetBufferedBytes(std::size_t aBytes);
  /** Counts a frame for the send queue. Thread-safe. */
  void AddQueuedBytes(std::size_t aBytes);
  /** Removes at most what is counted. Thread-safe. */
  void RemoveQueuedBytes(std::size_t aBytes);
  void OnFrame();
  void CompleteCall(const Envelope& aEnvelope);
  void ArmCallTimer();
  void WaitForCallTimer();
  void ExpireCalls();
  void ArmLivenessTimer();
  void CheckLiveness();
  void CloseNow(const base::Error& aReason);
  void FailCalls(const base::Error& aReason);

  const ConnectionId id;
  boost::asio::io_context& context;
  Socket socket;
  const NodeOptions options;
  std::chrono::milliseconds pingInterval;
  std::chrono::milliseconds silenceTimeout;
  std::shared_ptr<SharedCounters> counters;
  std::weak_ptr<ConnectionOwner> owner;
  ConnectionState state;

  /** Holds bytes that were received but not yet split into frames. */
  std::vector<std::byte> receiveBuffer;
  std::size_t receivedBytes = 0;
  std::vector<std::byte> frame;
  std::deque<std::vector<std::byte>> sendQueue;
  std::vector<std::vector<std::byte>> framesInWrite;
  /** Also of frames that another thread has passed on to this one. */
  std::atomic<std::size_t> queuedBytes{ 0 };
  /** Size of the receive buffer while it holds an incomplete frame. */
  std::atomic<std::size_t> bufferedBytes{ 0 };
  std::atomic<std::uint64_t> activity{ 0 };
  std::atomic<bool> isInbound{ false };
  std::atomic<bool> isClosing{ false };

  std::uint64_t nextCorrelation = 1;
  std::unordered_map<std::uint64_t, PendingCall> calls;
  std::set<Deadline> deadlines;
  /** As isConfirmingSilence, for the replies to overdue calls. */
  bool isConfirmingExpiry = false;
  boost::asio::steady_timer callTimer;
  boost::asio::steady_timer livenessTimer;
  boost::asio::steady_timer connectTimer;
  base::TimePoint lastReceived{};
  base::TimePoint lastSent{};
  /**
   * Set while a second check is due, which runs after everything that waits in
   * the socket has been read. After a pause of the process or a long task on
   * this thread, the first check may come before those reads.
   */
  bool isConfirmingSilence = false;
};

} // namespace amaranthwind::protocol
