#pragma once

// Include from source files only, since it pulls in Asio.

#include "amaranthwind/net/IoPool.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace amaranthwind::net {

/** Decides on new connections and takes them. Called on an I/O thread. */
class AcceptObserver
{
public:
  virtual ~AcceptObserver() = default;
  /** Whether another connection may be accepted; otherwise it is closed. */
  virtual bool MakeRoom() = 0;
  /** The socket belongs to the given context. */
  virtual void OnAccepted(boost::asio::io_context& aContext,
                          boost::asio::ip::tcp::socket aSocket) = 0;
  /** A connection waits, but there is no descriptor or memory for it. */
  virtual void OnOutOfDescriptors() = 0;
};

/**
 * Accepts connections and distributes them among the threads of a pool.
 *
 * A connection that cannot be accepted stays in the queue of the system, so
 * that another attempt fails at once. The loop therefore pauses after such an
 * attempt.
 */
class AcceptLoop : public std::enable_shared_from_this<AcceptLoop>
{
public:
  /** The pool must outlive the loop. */
  AcceptLoop(IoPool& aPool,
             std::unique_ptr<boost::asio::ip::tcp::acceptor> aAcceptor,
             std::weak_ptr<AcceptObserver> aObserver);

  void Start();
  /** Closes the listener. Thread-safe. */
  void Stop();

private:
  void Accept();
  void OnAttempt(const boost::system::error_code& aError,
                 boost::asio::io_context& aContext,
                 boost::asio::ip::tcp::socket aSocket);
  void AcceptLater();

  IoPool& pool;
  std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor;
  boost::asio::steady_timer pause;
  std::weak_ptr<AcceptObserver> observer;
};

} // namespace amaranthwind::net
