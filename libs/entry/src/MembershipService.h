#pragma once

#include "PolicyKeeper.h"
#include "Routes.h"
#include "amaranthwind/base/EventLoop.h"
#include "amaranthwind/base/RcuCell.h"
#include "amaranthwind/base/SnapshotCell.h"
#include "amaranthwind/fleet/Target.h"
#include "amaranthwind/membership/EntryRegistry.h"
#include "amaranthwind/membership/TargetRegistry.h"
#include "amaranthwind/protocol/Node.h"
#include "amaranthwind/routing/TargetTable.h"
#include "amaranthwind/telemetry/Logger.h"

#include <atomic>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace amaranthwind::entry {

/** Told about members, on the membership loop. */
class MembershipObserver
{
public:
  virtual ~MembershipObserver() = default;
  virtual void OnWorkerUsable(const fleet::Target& aWorker,
                              protocol::ConnectionId aConnection) = 0;
  virtual void OnWorkerConnection(const fleet::Target& aWorker,
                                  protocol::ConnectionId aConnection) = 0;
  virtual void OnWorkerDraining(const fleet::Target& aWorker) = 0;
  virtual void OnWorkerGone(const fleet::Target& aWorker) = 0;
  virtual void OnEntries(const std::vector<base::EntryId>& aLive) = 0;
  /** The entry has announced that it ends; it coordinates nothing any more. */
  virtual void OnEntryLeft(const base::EntryId& aEntry) = 0;
  virtual void OnRoutes() = 0;
};

/** A line of the list of targets. */
struct TargetStatus
{
  fleet::Target target;
  membership::TargetState state = membership::TargetState::Announced;
  std::uint32_t inFlight = 0;
  std::uint32_t queued = 0;
};

/** The entry's view of all members, for dump and metrics. */
struct MembershipStatus
{
  std::vector<TargetStatus> targets;
  std::vector<membership::EntryInfo> entries;
  std::vector<protocol::CellInfo> cells;
  base::LogOffset highestPeerOffset;
};

/**
 * Knows the targets and the entries: follows their announcements and
 * heartbeats, publishes the routes, and tells everybody who coordinates which
 * cell. All state belongs to one event loop.
 */
class MembershipService
{
public:
  MembershipService(const membership::EntryInfo& aSelf,
                    const base::Clock& aClock,
                    protocol::Node& aNode,
                    PolicyKeeper& aPolicy,
                    telemetry::Logger& aLogger,
                    MembershipObserver& aObserver);

  void Start();
  void Stop();

  /** Address under which this entry listens; call it before Start(). */
  void SetAddress(std::string_view aAddress);

  /** Returns false if the message is none of the membership's. */
  bool OnMessage(protocol::ConnectionId aConnection,
                 const protocol::Envelope& aEnvelope);
  void OnClosed(protocol::ConnectionId aConnection);
  /** A heartbeat or an announcement of a linked entry came back. */
  void OnEntryTopology(protocol::ConnectionId aConnection,
                       const protocol::Topology& aTopology);
  /** This entry coordinates the cell, or has learned who does. */
  void SetCell(const protocol::CellInfo& aCell);
  /** The policy here has a new offset. */
  void OnOwnPolicy();
  void SetDraining();

  base::RcuCell<Routes>::ReadGuard CurrentRoutes() const noexcept
  {
    return this->routes.Read();
  }
  /** Whether callers may be sent here. Thread-safe. */
  bool IsReady() const noexcept { return this->isReady.load(); }
  /** As of the last tick of the loop. Thread-safe. */
  std::shared_ptr<const MembershipStatus> Status() const
  {
    return this->status.Get();
  }
  /** Who coordinates the cell, as far as is known here. Thread-safe. */
  std::optional<protocol::CellInfo> FindCell(const base::ZoneId& aZone) const;

  /** Heartbeat that this entry sends to the others. */
  protocol::Heartbeat MakeHeartbeat() const;

private:
  struct KnownTarget
  {
    fleet::Target target;
    std::set<protocol::ConnectionId> connections;
    protocol::ConnectionId newest;
    std::uint32_t inFlight = 0;
    std::uint32_t queued = 0;
  };

  void Post(std::function<void()> aTask);
  void OnTargetHello(protocol::ConnectionId aConnection,
                     protocol::CorrelationId aCorrelation,
                     const protocol::TargetHello& aHello);
  void OnEntryHello(protocol::ConnectionId aConnection,
                    protocol::CorrelationId aCorrelation,
                    const protocol::EntryHello& aHello);
  void OnHeartbeat(protocol::ConnectionId aConnection,
                   const protocol::Heartbeat& aBeat);
  void OnTargetHeartbeat(protocol::ConnectionId aConnection,
                         const base::TargetId& aTarget,
                         const protocol::Heartbeat& aBeat);
  void OnClosedOnLoop(protocol::ConnectionId aConnection);
  void OnTick();
  void CarryOut(const membership::TargetEffects& aEffects);
  void CarryOut(const membership::EntryEffects& aEffects);
  void OnUsable(const base::TargetId& aTarget);
  void OnOtherConnection(const KnownTarget& aKnown);
  void OnInterval(const base::TargetId& aTarget, base::Duration aInterval);
  void OnDraining(const base::TargetId& aTarget);
  void OnGone(const base::TargetId& aTarget);
  void FetchPolicy(const base::EntryId& aFrom);
  std::uint32_t ExecutorLimit(const fleet::Target& aTarget) const;
  void UpdateLimits();
  void PublishRoutes();
  /** Executors that left, restarted or were lost within the key window. */
  std::uint32_t CountLostTargets();
  protocol::Topology MakeTopology() const;
  void PushTopology();
  void UpdateReady();
  void PublishStatus();
  std::chrono::milliseconds HeartbeatInterval() const;

  membership::EntryInfo self;
  const base::Clock& clock;
  protocol::Node& node;
  PolicyKeeper& policy;
  telemetry::Logger& logger;
  MembershipObserver& observer;
  membership::TargetRegistry targetRegistry;
  membership::EntryRegistry entryRegistry;
  routing::TargetTable table;
  base::TimePoint startedAt;
  base::TimePoint nextStatus{};
  std::deque<base::TimePoint> executorLosses;
  std::map<base::TargetId, KnownTarget> targets;
  std::map<protocol::ConnectionId, base::TargetId> targetOf;
  /** Inbound connections of entries, and links to them. */
  std::map<protocol::ConnectionId, membership::EntryInfo> entryOf;
  mutable std::mutex cellsMutex;
  std::map<base::ZoneId, protocol::CellInfo> cells;
  bool isDraining = false;
  std::atomic<bool> isReady{ false };
  base::RcuCell<Routes> routes;
  base::SnapshotCell<MembershipStatus> status;
  base::EventLoop loop;
};

} // namespace amaranthwind::entry
