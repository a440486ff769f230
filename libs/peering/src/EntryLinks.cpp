#include "amaranthwind/peering/EntryLinks.h"

#include "amaranthwind/net/IoPool.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <optional>

namespace amaranthwind::peering {

using protocol::ConnectionId;
using protocol::Topology;
using std::chrono::steady_clock;

namespace {

/** State of one address. */
struct Peer
{
  /** Set while the connection is open or being established. */
  std::optional<ConnectionId> connection;
  /** Set once the entry has replied to the hello message. */
  std::optional<protocol::EntryInfo> entry;
  bool isBootstrap = false;
  steady_clock::time_point lastListed;
  steady_clock::time_point nextAttempt;
};

} // namespace

struct EntryLinks::Impl : public std::enable_shared_from_this<EntryLinks::Impl>
{
  Impl(protocol::Node& aNode,
       net::IoPool& aPool,
       EntryLinksOptions aOptions,
       HelloFactory aHello,
       EntryLinksObserver& aObserver)
    : node(aNode)
    , pool(aPool)
    , options(std::move(aOptions))
    , makeHello(std::move(aHello))
    , observer(aObserver)
  {
  }

  void ScheduleConnectRound()
  {
    this->pool.RunAfter(this->options.retryInterval,
                        [weak = this->weak_from_this()] {
                          const auto self = weak.lock();
                          if (self != nullptr && self->ConnectPeers()) {
                            self->ScheduleConnectRound();
                          }
                        });
  }

  /** Connects to unconnected peers that are due. Returns false after Stop(). */
  bool ConnectPeers()
  {
    std::lock_guard lock(this->mutex);
    if (this->isStopped) {
      return false;
    }
    const auto now = steady_clock::now();
    this->RefreshPeers(now);
    for (auto& [address, peer] : this->peers) {
      if (!peer.connection && now >= peer.nextAttempt) {
        peer.connection = this->node.Connect(address);
        this->addresses[*peer.connection] = address;
      }
    }
    return true;
  }

  void RefreshPeers(steady_clock::time_point aNow)
  {
    std::erase_if(this->peers, [&](const auto& aPeer) {
      return !aPeer.second.isBootstrap && !aPeer.second.connection &&
             aNow - aPeer.second.lastListed > this->options.peerExpiry;
    });
    // If all entries are replaced at the same time, the new ones can only be
    // discovered through the bootstrap addresses.
    for (const auto& address : this->options.bootstrap) {
      if (address != this->ownAddress && !this->peers.contains(address)) {
        this->peers[address].isBootstrap = true;
      }
    }
  }

  bool HasLinks() const
  {
    return std::any_of(
      this->peers.begin(), this->peers.end(), [](const auto& aPeer) {
        return aPeer.second.entry.has_value();
      });
  }

  void SendHello(ConnectionId aConnection)
  {
    this->node.Call(aConnection,
                    this->makeHello(),
                    this->options.callTimeout,
                    [weak = this->weak_from_this(),
                     aConnection](const protocol::CallResult& aResult) {
                      if (const auto self = weak.lock()) {
                        self->OnHelloReply(aConnection, aResult);
                      }
                    });
  }

  void RequestTopology(ConnectionId aConnection)
  {
    this->node.Call(aConnection,
                    protocol::FetchTopology{},
                    this->options.callTimeout,
                    [weak = this->weak_from_this(),
                     aConnection](const protocol::CallResult& aResult) {
                      if (const auto self = weak.lock()) {
                        self->OnBootstrapTopology(aConnection, aResult);
                      }
                    });
  }

  static const Topology* AsTopology(const protocol::CallResult& aResult)
  {
    return aResult.reply == nullptr ? nullptr
                                    : std::get_if<Topology>(aResult.reply);
  }

  void OnBootstrapTopology(ConnectionId aConnection,
                           const protocol::CallResult& aResult)
  {
    const Topology* topology = AsTopology(aResult);
    if (topology == nullptr) {
      this->node.Close(aConnection);
      return;
    }
    this->AddPeers(*topology);
    const auto address = this->AddressOf(aConnection);
    const auto sender = FindSender(*topology);
    if (sender && sender->address == address && address != this->ownAddress) {
      this->SendHello(aConnection);
    } else {
      this->node.Close(aConnection);
      this->ConnectPeers();
    }
  }

  void OnHelloReply(ConnectionId aConnection,
                    const protocol::CallResult& aResult)
  {
    const Topology* topology = AsTopology(aResult);
    if (topology == nullptr) {
      this->node.Close(aConnection);
      return;
    }
    this->AddPeers(*topology);
    std::optional<EntryLink> link;
    {
      std::lock_guard lock(this->mutex);
      const auto address = this->addresses.find(aConnection);
      if (address == this->addresses.end()) {
        return;
      }
      Peer& peer = this->peers[address->second];
      peer.entry = protocol::EntryInfo{ topology->sender, address->second };
      link = EntryLink{ *peer.entry, aConnection };
    }
    this->observer.OnLinkUp(*link, *topology);
  }

  static std::optional<protocol::EntryInfo> FindSender(
    const Topology& aTopology)
  {
    for (const auto& entry : aTopology.entries) {
      if (entry.id == aTopology.sender) {
        return entry;
      }
    }
    return std::nullopt;
  }

  std::string AddressOf(ConnectionId aConnection)
  {
    std::lock_guard lock(this->mutex);
    const auto found = this->addresses.find(aConnection);
    return found == this->addresses.end() ? std::string{} : found->second;
  }

  void AddPeers(const Topology& aTopology)
  {
    std::lock_guard lock(this->mutex);
    const auto now = steady_clock::now();
    for (const auto& entry : aTopology.entries) {
      if (entry.address != this->ownAddress) {
        Peer& peer = this->peers[entry.address];
        peer.lastListed = now;
        peer.isBootstrap = false;
      }
    }
  }

  protocol::Node& node;
  net::IoPool& pool;
  const EntryLinksOptions options;
  const HelloFactory makeHello;
  EntryLinksObserver& observer;
  mutable std::mutex mutex;
  std::string ownAddress;
  bool isStopped = false;
  std::map<std::string, Peer> peers;
  std::map<ConnectionId, std::string> addresses;
};

EntryLinks::EntryLinks(protocol::Node& aNode,
                       net::IoPool& aPool,
                       EntryLinksOptions aOptions,
                       HelloFactory aHello,
                       EntryLinksObserver& aObserver)
  : impl(std::make_shared<Impl>(aNode,
                                aPool,
                                std::move(aOptions),
                                std::move(aHello),
                                aObserver))
{
}

EntryLinks::~EntryLinks()
{
  this->Stop();
}

void
EntryLinks::Start(std::string_view aOwnAddress)
{
  {
    std::lock_guard lock(this->impl->mutex);
    this->impl->ownAddress = aOwnAddress;
  }
  this->impl->ConnectPeers();
  this->impl->ScheduleConnectRound();
}

void
EntryLinks::Stop()
{
  std::lock_guard lock(this->impl->mutex);
  this->impl->isStopped = true;
}

bool
EntryLinks::OnOpened(ConnectionId aConnection)
{
  bool isBootstrap = false;
  {
    std::lock_guard lock(this->impl->mutex);
    const auto found = this->impl->addresses.find(aConnection);
    if (found == this->impl->addresses.end()) {
      return false;
    }
    isBootstrap = this->impl->peers[found->second].isBootstrap;
  }
  if (isBootstrap) {
    this->impl->RequestTopology(aConnection);
  } else {
    this->impl->SendHello(aConnection);
  }
  return true;
}

bool
EntryLinks::OnClosed(ConnectionId aConnection)
{
  std::optional<EntryLink> lost;
  {
    std::lock_guard lock(this->impl->mutex);
    const auto found = this->impl->addresses.find(aConnection);
    if (found == this->impl->addresses.end()) {
      return false;
    }
    Peer& peer = this->impl->peers[found->second];
    if (peer.entry) {
      lost = EntryLink{ *peer.entry, aConnection };
    }
    peer.connection.reset();
    peer.entry.reset();
    // Querying the load balancer periodically merges groups of entries that
    // have discovered only each other.
    const bool isRediscovery = peer.isBootstrap && this->impl->HasLinks();
    peer.nextAttempt = steady_clock::now() +
                       (isRediscovery ? this->impl->options.rediscoveryInterval
                                      : this->impl->options.retryInterval);
    this->impl->addresses.erase(found);
  }
  if (lost) {
    this->impl->observer.OnLinkDown(*lost);
  }
  return true;
}

void
EntryLinks::OnTopology(const Topology& aTopology)
{
  this->impl->AddPeers(aTopology);
  this->impl->ConnectPeers();
}

std::vector<EntryLink>
EntryLinks::Links() const
{
  std::vector<EntryLink> links;
  std::lock_guard lock(this->impl->mutex);
  for (const auto& [address, peer] : this->impl->peers) {
    if (peer.entry && peer.connection) {
      links.push_back({ *peer.entry, *peer.connection });
    }
  }
  return links;
}

void
EntryLinks::SendToAll(const protocol::Message& aMessage)
{
  for (const auto& link : this->Links()) {
    this->impl->node.Send(link.connection, aMessage);
  }
}

} // namespace amaranthwind::peering
