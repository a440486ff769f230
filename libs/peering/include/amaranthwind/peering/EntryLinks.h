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

/** A connection that this process has opened to an entry. */
struct EntryLink
{
  protocol::EntryInfo entry;
  protocol::ConnectionId connection;
};

/** Told about links. Called on I/O threads; must not block. */
class EntryLinksObserver
{
public:
  virtual ~EntryLinksObserver() = default;
  /** The entry has answered the announcement; aTopology is its answer. */
  virtual void OnLinkUp(const EntryLink& aLink,
                        const protocol::Topology& aTopology) = 0;
  virtual void OnLinkDown(const EntryLink& aLink) = 0;
};

struct EntryLinksOptions
{
  /** Inner addresses of the load balancer or of entries. */
  std::vector<std::string> bootstrap{};
  std::chrono::milliseconds retryInterval{ 500 };
  /** How often a process with links asks the bootstrap addresses again. */
  std::chrono::milliseconds rediscoverInterval{ 10'000 };
  /** An address that no entry names any more is forgotten after this time. */
  std::chrono::milliseconds forgetAfter{ 30'000 };
  std::chrono::milliseconds callTimeout{ 2000 };
};

/** Makes the announcement for a new connection: TargetHello or EntryHello. */
using HelloFactory = std::function<protocol::Message()>;

/**
 * Keeps one connection open to every entry. Entries are found through the
 * bootstrap addresses and through what entries tell of each other; a process
 * that reaches an entry by way of the load balancer asks it for its own address
 * and connects there. Thread-safe.
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

  /** Connects from now on. aOwnAddress is not connected to. */
  void Start(std::string_view aOwnAddress);
  void Stop();

  /**
   * To be called by the node's handler. Each returns whether the connection
   * is one of these links.
   */
  bool OnOpened(protocol::ConnectionId aConnection);
  bool OnClosed(protocol::ConnectionId aConnection);

  /** To be called with each Topology that arrives. */
  void OnTopology(const protocol::Topology& aTopology);

  /** Links that are up. */
  std::vector<EntryLink> Links() const;
  /** Sends to every entry that is linked. */
  void SendToAll(const protocol::Message& aMessage);

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace amaranthwind::peering
