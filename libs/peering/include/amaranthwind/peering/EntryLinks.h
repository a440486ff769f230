#pragma once

#include "amaranthwind/base/Ids.h"
#include "amaranthwind/protocol/Messages.h"
#include "amaranthwind/protocol/Node.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthwind::net {
class IoPool;
}

namespace amaranthwind::peering {

/** An outgoing connection of this process to an entry. */
struct EntryLink
{
  protocol::EntryInfo entry;
  protocol::ConnectionId connection;
};

/** Receives link events. Called on I/O threads; must not block. */
class EntryLinksObserver
{
public:
  virtual ~EntryLinksObserver() = default;
  /** The entry has replied to the hello message with aTopology. */
  virtual void OnLinkUp(const EntryLink& aLink,
                        const protocol::Topology& aTopology) = 0;
  virtual void OnLinkDown(const EntryLink& aLink) = 0;
};

struct EntryLinksOptions
{
  /** Inner addresses of the load balancer or of entries. */
  std::vector<std::string> bootstrap{};
  std::chrono::milliseconds retryInterval{ 500 };
  /** Interval of queries to the bootstrap addresses while links are up. */
  std::chrono::milliseconds rediscoveryInterval{ 10'000 };
  /** Unconnected addresses that no topology has listed for this long expire. */
  std::chrono::milliseconds peerExpiry{ 30'000 };
  std::chrono::milliseconds callTimeout{ 2000 };
};

/** Creates the hello message of a connection: TargetHello or EntryHello. */
using HelloFactory = std::function<protocol::Message()>;

/**
 * Maintains one connection to every entry. Entries are discovered through the
 * bootstrap addresses and the topologies that entries send. When a bootstrap
 * address is that of the load balancer, the entry behind it is queried for its
 * own address, and the link is established there. Thread-safe.
 */
class EntryLinks
{
public:
  EntryLinks(protocol::Node& aNode,
             net::IoPool& aPool,
             EntryLinksOptions aOptions,
             HelloFactory aHello,
             EntryLinksObserver& aObserver);
  ~EntryLinks();
  EntryLinks(const EntryLinks&) = delete;
  EntryLinks& operator=(const EntryLinks&) = delete;

  /** Starts connecting. aOwnAddress is excluded. */
  void Start(std::string_view aOwnAddress);
  void Stop();

  /**
   * Must be called by the node's message handler. Both return whether this
   * object opened the connection.
   */
  bool OnOpened(protocol::ConnectionId aConnection);
  bool OnClosed(protocol::ConnectionId aConnection);

  /** Must be called with each received Topology. */
  void OnTopology(const protocol::Topology& aTopology);

  /** Returns the links that are up. */
  std::vector<EntryLink> Links() const;
  /** Sends aMessage on all links that are up. */
  void SendToAll(const protocol::Message& aMessage);

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace amaranthwind::peering
