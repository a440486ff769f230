#pragma once

#include "amaranthwind/base/StrongId.h"
#include "amaranthwind/net/ConnectionUse.h"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace amaranthwind::net {

/** Limits of what the listeners of a process keep together. */
struct ConnectionBudgetOptions
{
  /** Also limited by the descriptors that the process may open. */
  std::size_t maxConnections = 2048;
  /** Bytes of messages that are not complete. */
  std::size_t maxBufferedBytes = std::size_t{ 16 } * 1024 * 1024;
  /** Bytes of complete requests that are being handled. */
  std::size_t maxHandledBytes = std::size_t{ 8 } * 1024 * 1024;
};

/** A listener whose connections count against a budget. Thread-safe. */
class BudgetedListener
{
public:
  virtual ~BudgetedListener() = default;
  /**
   * Begins to close the connection that ChooseToClose() chooses, which no
   * longer counts against the budget. Returns false if there is none.
   */
  virtual bool CloseOne(Shortage aShortage) = 0;
};

using ListenerId = base::StrongNumber<struct ListenerTag, std::size_t>;

/**
 * Shares the connections and buffers of a process among its listeners.
 *
 * When the budget is exceeded, the listener that uses most of it closes a
 * connection. A crowd at one listener therefore leaves the others alone, among
 * them those for readiness and for other VMs. Thread-safe.
 */
class ConnectionBudget
{
public:
  explicit ConnectionBudget(const ConnectionBudgetOptions& aOptions = {});
  ~ConnectionBudget();
  ConnectionBudget(const ConnectionBudget&) = delete;
  ConnectionBudget& operator=(const ConnectionBudget&) = delete;

  /**
   * The listener is asked to close connections as long as it exists.
   * @param aMaxBufferedBytes Limit of this listener alone.
   */
  ListenerId Add(std::weak_ptr<BudgetedListener> aListener,
                 std::size_t aMaxBufferedBytes = SIZE_MAX);

  /**
   * Returns whether another connection may be opened. At the limit, one is
   * closed; a few more are allowed while such connections close.
   */
  bool MakeRoom();
  /** Closes a connection because no descriptor was left for a new one. */
  void OnOutOfDescriptors();
  void AddConnections(ListenerId aListener, std::ptrdiff_t aChange) noexcept;

  /** Closes connections if the buffered bytes have come to exceed a limit. */
  void AddBufferedBytes(ListenerId aListener, std::ptrdiff_t aChange);

  /** Returns false, and counts nothing, if the limit would be exceeded. */
  bool TryAddHandledBytes(std::size_t aBytes) noexcept;
  void RemoveHandledBytes(std::size_t aBytes) noexcept;

  std::size_t Connections() const noexcept;
  std::size_t BufferedBytes() const noexcept;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

/**
 * Number of descriptors that connections of clients may use: what the process
 * may open, less a part for its own connections and files.
 */
std::size_t
DescriptorsForConnections();

} // namespace amaranthwind::net
