#include "amaranthwind/peering/EntryLinks.h"

#include "amaranthwind/net/IoPool.h"

#include <doctest/doctest.h>

#include <condition_variable>
#include <mutex>
#include <set>

using namespace amaranthwind;
using namespace amaranthwind::peering;
using namespace std::chrono_literals;

namespace {

constexpr auto kTimeout = 20s;

/** Replies to every message with a topology that lists the known entries. */
class FakeEntry : public protocol::MessageHandler
{
public:
  FakeEntry(net::IoPool& aPool, std::string_view aId)
    : node(aPool, {}, *this)
  {
    this->info = { base::EntryId(aId), node.Listen("127.0.0.1:0").value() };
  }

  void OnOpened(protocol::ConnectionId, bool, std::string_view) override {}

  void OnMessage(protocol::ConnectionId aConnection,
                 const protocol::Envelope& aEnvelope) override
  {
    std::lock_guard lock(this->mutex);
    if (std::holds_alternative<protocol::EntryHello>(aEnvelope.message)) {
      ++this->hellos;
    }
    protocol::Topology topology;
    topology.sender = this->info.id;
    topology.entries = this->knownEntries;
    this->node.Reply(aConnection, aEnvelope.correlation, topology);
  }

  void OnClosed(protocol::ConnectionId, const base::Error&) override {}

  void SetKnownEntries(std::vector<protocol::EntryInfo> aEntries)
  {
    std::lock_guard lock(this->mutex);
    this->knownEntries = std::move(aEntries);
  }

  std::mutex mutex;
  std::vector<protocol::EntryInfo> knownEntries;
  int hellos = 0;
  protocol::EntryInfo info;
  protocol::Node node;
};

/** The process under test. */
class Client
  : public protocol::MessageHandler
  , public EntryLinksObserver
{
public:
  Client(net::IoPool& aPool, EntryLinksOptions aOptions)
    : node(aPool, {}, *this)
    , links(
        node,
        aPool,
        std::move(aOptions),
        [] {
          return protocol::EntryHello{
            { base::EntryId("client"), "127.0.0.1:1" }, {}, {}, false
          };
        },
        *this)
  {
  }

  void OnOpened(protocol::ConnectionId aConnection,
                bool,
                std::string_view) override
  {
    this->links.OnOpened(aConnection);
  }
  void OnMessage(protocol::ConnectionId, const protocol::Envelope&) override {}
  void OnClosed(protocol::ConnectionId aConnection, const base::Error&) override
  {
    this->links.OnClosed(aConnection);
  }
  void OnLinkUp(const EntryLink& aLink, const protocol::Topology&) override
  {
    std::lock_guard lock(this->mutex);
    this->up.insert(aLink.entry.id.Text());
    this->changed.notify_all();
  }
  void OnLinkDown(const EntryLink& aLink) override
  {
    std::lock_guard lock(this->mutex);
    this->up.erase(aLink.entry.id.Text());
    this->changed.notify_all();
  }

  bool WaitForLinks(const std::set<std::string>& aUp)
  {
    std::unique_lock lock(this->mutex);
    return this->changed.wait_for(
      lock, kTimeout, [&] { return this->up == aUp; });
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::set<std::string> up;
  protocol::Node node;
  EntryLinks links;
};

} // namespace

TEST_CASE(
  "all entries are discovered from one address, and losses are reported")
{
  net::IoPool pool(2);
  FakeEntry first(pool, "e1");
  FakeEntry second(pool, "e2");
  first.SetKnownEntries({ first.info, second.info });
  second.SetKnownEntries({ first.info, second.info });
  Client client(pool,
                { .bootstrap = { first.info.address }, .retryInterval = 20ms });
  client.links.Start("127.0.0.1:1");
  CHECK(client.WaitForLinks({ "e1", "e2" }));
  CHECK(client.links.Links().size() == 2);
  second.node.Stop();
  CHECK(client.WaitForLinks({ "e1" }));
  client.links.Stop();
  pool.Stop();
}

// Guards against a process that registers twice at the same entry: through the
// load balancer and directly.
TEST_CASE("an entry reached through the load balancer is linked directly")
{
  net::IoPool pool(2);
  FakeEntry entry(pool, "e1");
  entry.SetKnownEntries({ entry.info });
  // A second listener with the id of the entry stands in for the load balancer.
  FakeEntry balancer(pool, "e1");
  balancer.SetKnownEntries({ entry.info });
  Client client(
    pool, { .bootstrap = { balancer.info.address }, .retryInterval = 20ms });
  client.links.Start("127.0.0.1:1");
  CHECK(client.WaitForLinks({ "e1" }));
  CHECK(balancer.hellos == 0);
  CHECK(entry.hellos == 1);
  client.links.Stop();
  pool.Stop();
}
