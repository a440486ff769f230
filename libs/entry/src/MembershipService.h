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

/** Notified of changes in the membership, on the membership loop. */
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
  /** The entry has announced its stop and no longer coordinates any cell. */
  virtual void OnEntryLeft(const base::EntryId& aEntry) = 0;
  virtual void OnRoutes() = 0;
};

/** State of a target, for the state dump and metrics. */
struct TargetStatus
{
  fleet::Target target;
  membership::TargetState state = membership::TargetState::Announced;
  std::uint32_t inFlight = 0;
  std::uint32_t queued = 0;
};

/** Snapshot of all known members, for the state dump and metrics. */
struct MembershipStatus
{
  std::vector<TargetStatus> targets;
  std::vector<membership::EntryInfo> entries;
  std::vector<protocol::CellInfo> cells;
  base::LogOffset highestPeerOffset;
};

/**
 * Tracks the targets and entries by their announcements and heartbeats,
 * publishes the routes, and distributes to all members which entry coordinates
 * which cell. All state is owned by one event loop.
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

  /** Sets the listen address of this entry; must be called before Start(). */
  void SetAddress(std::string_view aAddress);

  /** Returns false if it is not a membership message. */
  bool OnMessage(protocol::ConnectionId aConnection,
                 const protocol::Envelope& aEnvelope);
  void OnClosed(protocol::ConnectionId aConnection);
  /** A linked entry has sent its topology. */
  void OnEntryTopology(protocol::ConnectionId aConnection,
                       const protocol::Topology& aTopology);
  /** Records the coordinator of a cell, which may be this entry. */
  void SetCell(const protocol::CellInfo& aCell);
  /** The policy of this entry has a new offset. */
  void OnPolicyOffset();
  void SetDraining();

  base::RcuCell<Routes>::ReadGuard CurrentRoutes() const noexcept
  {
    return this->routes.Read();
  }
  /** Whether this entry is ready to serve callers. Thread-safe. */
  bool IsReady() const noexcept { return this->isReady.load(); }
  /** The last published status, which may be a second old. Thread-safe. */
  std::shared_ptr<const MembershipStatus> Status() const
  {
    return this->status.Get();
  }
  /** Returns the coordinator of the cell, if known. Thread-safe. */
  std::optional<protocol::CellInfo> FindCell(const base::ZoneId& aZone) const;

  /** Makes the heartbeat that this entry sends to other entries. */
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
                   const protocol::Heartbeat& aHeartbeat);
  void OnTargetHeartbeat(protocol::ConnectionId aConnection,
                         const base::TargetId& aTarget,
                         const protocol::Heartbeat& aHeartbeat);
  void OnClosedOnLoop(protocol::ConnectionId aConnection);
  void OnTick();
  void Apply(const membership::TargetEffects& aEffects);
  void Apply(const membership::EntryEffects& aEffects);
  void OnUsable(const base::TargetId& aTarget);
  void OnConnectionChanged(const KnownTarget& aKnown);
  void OnInterval(const base::TargetId& aTarget, base::Duration aInterval);
  void OnDraining(const base::TargetId& aTarget);
  void OnGone(const base::TargetId& aTarget);
  void FetchPolicy(const base::EntryId& aFrom);
  std::uint32_t ExecutorLimit(const fleet::Target& aTarget) const;
  void UpdateLimits();
  void PublishRoutes();
  /**
   * Number of executors that left, restarted or were lost within the
   * idempotency key window.
   */
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
  std::map<protocol::ConnectionId, base::TargetId> targetByConnection;
  /** Connections on which another entry has sent its EntryHello. */
  std::map<protocol::ConnectionId, membership::EntryInfo> entryByConnection;
  mutable std::mutex cellsMutex;
  std::map<base::ZoneId, protocol::CellInfo> cells;
  bool isDraining = false;
  std::atomic<bool> isReady{ false };
  base::RcuCell<Routes> routes;
  base::SnapshotCell<MembershipStatus> status;
  base::EventLoop loop;
};

} // namespace amaranthwind::entry
