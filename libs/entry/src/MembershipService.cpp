#include "MembershipService.h"

#include "amaranthwind/codec/NoteCodec.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace amaranthwind::entry {

using protocol::ConnectionId;
using protocol::CorrelationId;
using protocol::Envelope;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kLoopCapacity = 16384;
constexpr base::Duration kFetchTimeout = 2s;
// A status copies all targets, so it is not published at every tick.
constexpr base::Duration kStatusInterval = 1s;
// Number of losses assumed before the start of this entry. A key is claimed on
// two targets, so the loss of two targets can hide a claim.
constexpr std::uint32_t kAssumedEarlierLosses = 2;
// A connection is closed after this many heartbeat intervals without a message.
// The registry detects a silent target after two; the third is the interval in
// which the target has not learned of a longer one yet.
constexpr int kMaxSilentIntervals = 3;
constexpr std::chrono::milliseconds kIntervalChangeMargin = 1s;

std::unique_ptr<const Routes>
MakeEmptyRoutes(routing::TargetTable& aTable, base::TimePoint aNow)
{
  auto routes = std::make_unique<Routes>();
  routes->snapshot = aTable.Build(aNow);
  return routes;
}

} // namespace

MembershipService::MembershipService(const membership::EntryInfo& aSelf,
                                     const base::Clock& aClock,
                                     protocol::Node& aNode,
                                     PolicyKeeper& aPolicy,
                                     telemetry::Logger& aLogger,
                                     MembershipObserver& aObserver)
  : self(aSelf)
  , clock(aClock)
  , node(aNode)
  , policy(aPolicy)
  , logger(aLogger)
  , observer(aObserver)
  , entryRegistry(aSelf)
  , table(aClock.Now())
  , startedAt(aClock.Now())
  , routes(MakeEmptyRoutes(this->table, aClock.Now()))
  , loop(kLoopCapacity)
{
}

void
MembershipService::SetAddress(std::string_view aAddress)
{
  this->self.address = aAddress;
  this->entryRegistry = membership::EntryRegistry(this->self);
}

void
MembershipService::Start()
{
  this->loop.SetTick(membership::kTickInterval, [this] { this->OnTick(); });
  this->loop.Start();
}

void
MembershipService::Stop()
{
  this->loop.Stop();
}

void
MembershipService::Post(std::function<void()> aTask)
{
  this->loop.Post(std::move(aTask));
}

bool
MembershipService::OnMessage(ConnectionId aConnection,
                             const Envelope& aEnvelope)
{
  const auto& message = aEnvelope.message;
  const CorrelationId correlation = aEnvelope.correlation;
  if (const auto* hello = std::get_if<protocol::TargetHello>(&message)) {
    this->Post([this, aConnection, correlation, hello = *hello] {
      this->OnTargetHello(aConnection, correlation, hello);
    });
  } else if (const auto* entry = std::get_if<protocol::EntryHello>(&message)) {
    this->Post([this, aConnection, correlation, hello = *entry] {
      this->OnEntryHello(aConnection, correlation, hello);
    });
  } else if (const auto* heartbeat =
               std::get_if<protocol::Heartbeat>(&message)) {
    auto task = [this, aConnection, heartbeat = *heartbeat] {
      this->OnHeartbeat(aConnection, heartbeat);
    };
    if (heartbeat->isDraining) {
      this->Post(std::move(task));
    } else {
      // Most messages that an entry receives are heartbeats. Waking the loop
      // and an I/O thread for each costs far more than handling it.
      this->loop.PostDeferred(std::move(task));
    }
  } else if (std::holds_alternative<protocol::FetchTopology>(message)) {
    this->Post([this, aConnection, correlation] {
      this->node.Reply(aConnection, correlation, this->MakeTopology());
    });
  } else {
    return false;
  }
  return true;
}

void
MembershipService::OnClosed(ConnectionId aConnection)
{
  this->Post([this, aConnection] { this->OnClosedOnLoop(aConnection); });
}

void
MembershipService::OnTargetHello(ConnectionId aConnection,
                                 CorrelationId aCorrelation,
                                 const protocol::TargetHello& aHello)
{
  const auto& target = aHello.target;
  const auto effects = this->targetRegistry.OnHello(
    target.id, target.incarnation, false, this->clock.Now());
  KnownTarget& known = this->targets[target.id];
  if (known.target.incarnation <= target.incarnation) {
    if (known.target.incarnation != target.incarnation) {
      known.connections.clear();
    }
    known.target = target;
    known.connections.insert(aConnection);
    known.newest = aConnection;
    this->targetByConnection[aConnection] = target.id;
  }
  this->node.Reply(aConnection, aCorrelation, this->MakeTopology());
  this->Apply(effects);
  this->OnConnectionChanged(known);
}

void
MembershipService::OnConnectionChanged(const KnownTarget& aKnown)
{
  if (aKnown.target.kind == fleet::TargetKind::Worker) {
    this->observer.OnWorkerConnection(aKnown.target, aKnown.newest);
  } else {
    this->PublishRoutes();
  }
}

void
MembershipService::OnEntryHello(ConnectionId aConnection,
                                CorrelationId aCorrelation,
                                const protocol::EntryHello& aHello)
{
  const membership::EntryInfo peer{ aHello.entry.id,
                                    aHello.incarnation,
                                    aHello.entry.address };
  this->entryByConnection[aConnection] = peer;
  this->Apply(
    this->entryRegistry.OnSeen(peer, aHello.noteOffset, this->clock.Now()));
  this->node.Reply(aConnection, aCorrelation, this->MakeTopology());
}

void
MembershipService::OnEntryTopology(ConnectionId,
                                   const protocol::Topology& aTopology)
{
  this->Post([this, aTopology] {
    for (const auto& cell : aTopology.cells) {
      this->SetCell(cell);
    }
    if (aTopology.noteOffset > this->policy.Offset()) {
      this->policy.OnPeerOffset(aTopology.noteOffset);
      this->FetchPolicy(aTopology.sender);
    }
  });
}

void
MembershipService::OnHeartbeat(ConnectionId aConnection,
                               const protocol::Heartbeat& aHeartbeat)
{
  if (const auto found = this->targetByConnection.find(aConnection);
      found != this->targetByConnection.end()) {
    this->OnTargetHeartbeat(aConnection, found->second, aHeartbeat);
    return;
  }
  const auto entry = this->entryByConnection.find(aConnection);
  if (entry == this->entryByConnection.end()) {
    return;
  }
  if (aHeartbeat.isDraining) {
    const auto leaving = entry->second;
    this->Apply(this->entryRegistry.OnGone(leaving.id, leaving.incarnation));
    this->observer.OnEntryLeft(leaving.id);
  } else {
    this->Apply(this->entryRegistry.OnSeen(
      entry->second, aHeartbeat.noteOffset, this->clock.Now()));
  }
}

void
MembershipService::OnTargetHeartbeat(ConnectionId aConnection,
                                     const base::TargetId& aTarget,
                                     const protocol::Heartbeat& aHeartbeat)
{
  KnownTarget& known = this->targets[aTarget];
  known.inFlight = aHeartbeat.inFlight;
  known.queued = aHeartbeat.queued;
  const auto effects =
    this->targetRegistry.OnHeartbeat(aTarget,
                                     known.target.incarnation,
                                     aHeartbeat.isDraining,
                                     this->clock.Now());
  protocol::HeartbeatAck ack;
  ack.noteOffset = this->policy.Offset();
  ack.heartbeatInterval = this->HeartbeatInterval();
  this->node.Send(aConnection, ack);
  this->Apply(effects);
}

void
MembershipService::OnClosedOnLoop(ConnectionId aConnection)
{
  if (const auto entry = this->entryByConnection.find(aConnection);
      entry != this->entryByConnection.end()) {
    const membership::EntryInfo peer = entry->second;
    this->entryByConnection.erase(entry);
    this->Apply(this->entryRegistry.OnGone(peer.id, peer.incarnation));
    return;
  }
  const auto found = this->targetByConnection.find(aConnection);
  if (found == this->targetByConnection.end()) {
    return;
  }
  const base::TargetId id = found->second;
  this->targetByConnection.erase(found);
  KnownTarget& known = this->targets[id];
  known.connections.erase(aConnection);
  if (!known.connections.empty()) {
    known.newest = *known.connections.rbegin();
    this->OnConnectionChanged(known);
    return;
  }
  this->Apply(this->targetRegistry.OnConnectionClosed(
    id, known.target.incarnation, this->clock.Now()));
}

void
MembershipService::OnTick()
{
  const auto now = this->clock.Now();
  this->Apply(this->targetRegistry.OnTick(now));
  this->Apply(this->entryRegistry.OnTick(now));
  this->UpdateReady();
  if (now >= this->nextStatus) {
    this->nextStatus = now + kStatusInterval;
    this->PublishStatus();
  }
}

void
MembershipService::Apply(const membership::TargetEffects& aEffects)
{
  for (const auto& effect : aEffects) {
    if (const auto* usable = std::get_if<membership::BecameUsable>(&effect)) {
      this->OnUsable(usable->target);
    } else if (const auto* draining =
                 std::get_if<membership::StopNewWork>(&effect)) {
      this->OnDraining(draining->target);
    } else if (const auto* lost =
                 std::get_if<membership::TargetLost>(&effect)) {
      this->logger.Warning("target lost",
                           { { "target", lost->target },
                             { "reason", static_cast<int>(lost->reason) } });
      this->OnGone(lost->target);
    } else if (const auto* left =
                 std::get_if<membership::TargetLeft>(&effect)) {
      this->logger.Info("target left", { { "target", left->target } });
      this->OnGone(left->target);
    } else if (const auto* change =
                 std::get_if<membership::SendInterval>(&effect)) {
      this->OnInterval(change->target, change->interval);
    }
  }
}

void
MembershipService::Apply(const membership::EntryEffects& aEffects)
{
  bool hasChanged = false;
  for (const auto& effect : aEffects) {
    if (const auto* fetch = std::get_if<membership::FetchPolicyFrom>(&effect)) {
      this->policy.OnPeerOffset(fetch->offset);
      this->FetchPolicy(fetch->entry);
    } else {
      hasChanged = true;
    }
  }
  if (hasChanged) {
    this->UpdateLimits();
    this->PushTopology();
    this->observer.OnEntries(this->entryRegistry.LiveIds());
  }
  this->UpdateReady();
}

void
MembershipService::OnUsable(const base::TargetId& aTarget)
{
  const KnownTarget& known = this->targets[aTarget];
  this->logger.Info("target became usable",
                    { { "target", aTarget }, { "zone", known.target.zone } });
  if (known.target.kind == fleet::TargetKind::Worker) {
    this->observer.OnWorkerUsable(known.target, known.newest);
    return;
  }
  this->table.Put(aTarget,
                  known.target.incarnation,
                  this->ExecutorLimit(known.target),
                  this->clock.Now());
  this->PublishRoutes();
}

void
MembershipService::OnInterval(const base::TargetId& aTarget,
                              base::Duration aInterval)
{
  const auto found = this->targets.find(aTarget);
  if (found == this->targets.end()) {
    return;
  }
  // The target learns of a shorter interval only with its next heartbeat.
  const auto interval = std::chrono::ceil<std::chrono::milliseconds>(aInterval);
  for (const auto connection : found->second.connections) {
    this->node.SetLiveness(connection,
                           interval,
                           kMaxSilentIntervals * interval +
                             kIntervalChangeMargin);
  }
}

void
MembershipService::OnDraining(const base::TargetId& aTarget)
{
  const KnownTarget& known = this->targets[aTarget];
  this->logger.Info("target draining", { { "target", aTarget } });
  if (known.target.kind == fleet::TargetKind::Worker) {
    this->observer.OnWorkerDraining(known.target);
  } else if (this->table.SetDraining(aTarget).has_value()) {
    this->PublishRoutes();
  }
}

void
MembershipService::OnGone(const base::TargetId& aTarget)
{
  const auto found = this->targets.find(aTarget);
  if (found == this->targets.end()) {
    return;
  }
  for (const auto connection : found->second.connections) {
    this->node.Close(connection);
  }
  const fleet::Target target = found->second.target;
  if (target.kind == fleet::TargetKind::Worker) {
    this->observer.OnWorkerGone(target);
  } else if (this->table.Remove(aTarget, this->clock.Now()).has_value()) {
    this->executorLosses.push_back(this->clock.Now());
    this->PublishRoutes();
  }
}

void
MembershipService::FetchPolicy(const base::EntryId& aFrom)
{
  const auto found =
    std::find_if(this->entryByConnection.begin(),
                 this->entryByConnection.end(),
                 [&](const auto& aEntry) { return aEntry.second.id == aFrom; });
  if (found == this->entryByConnection.end()) {
    return;
  }
  this->node.Call(
    found->first,
    protocol::FetchPolicy{},
    kFetchTimeout,
    [this](const protocol::CallResult& aResult) {
      const auto* reply = aResult.reply == nullptr
                            ? nullptr
                            : std::get_if<protocol::PolicyReply>(aResult.reply);
      if (reply == nullptr) {
        return;
      }
      const auto fetched = codec::DecodePolicy(reply->document);
      if (fetched.has_value()) {
        this->policy.Adopt(fetched.value());
      } else {
        this->logger.Warning("failed to decode policy from peer",
                             { { "error", base::Describe(fetched.error()) } });
      }
    });
}

std::uint32_t
MembershipService::ExecutorLimit(const fleet::Target& aTarget) const
{
  // Each entry uses an equal share of the slots plus one: callers are not
  // distributed evenly, and the target's daemon queues a short excess.
  const auto entries =
    static_cast<std::uint32_t>(this->entryRegistry.Live().size());
  return (aTarget.slots + entries - 1) / entries + (entries > 1 ? 1 : 0);
}

void
MembershipService::UpdateLimits()
{
  for (const auto& [id, known] : this->targets) {
    if (known.target.kind == fleet::TargetKind::Executor) {
      // Fails for a target that is not in the table, which has no limit.
      (void)this->table.SetLimit(id, this->ExecutorLimit(known.target));
    }
  }
  this->observer.OnRoutes();
}

void
MembershipService::PublishRoutes()
{
  auto next = std::make_unique<Routes>();
  next->snapshot = this->table.Build(this->clock.Now());
  for (const auto& entry : next->snapshot->Entries()) {
    const auto found = this->targets.find(entry.id);
    if (found == this->targets.end() || entry.state == nullptr) {
      continue;
    }
    if (next->byIndex.size() <= entry.handle.index) {
      next->byIndex.resize(entry.handle.index + 1);
    }
    next->byIndex[entry.handle.index] = { entry.id,
                                          found->second.newest,
                                          found->second.target.address };
  }
  next->lostTargets = this->CountLostTargets();
  this->routes.Publish(std::move(next));
  this->observer.OnRoutes();
}

std::uint32_t
MembershipService::CountLostTargets()
{
  const auto now = this->clock.Now();
  while (!this->executorLosses.empty() &&
         now - this->executorLosses.front() >= routing::kIdempotencyKeyWindow) {
    this->executorLosses.pop_front();
  }
  const auto seen = static_cast<std::uint32_t>(this->executorLosses.size());
  // An entry does not know which executors were lost before it started.
  const bool startedRecently =
    now - this->startedAt < routing::kIdempotencyKeyWindow;
  return seen + (startedRecently ? kAssumedEarlierLosses : 0);
}

protocol::Topology
MembershipService::MakeTopology() const
{
  protocol::Topology topology;
  topology.sender = this->self.id;
  topology.noteOffset = this->policy.Offset();
  topology.heartbeatInterval = this->HeartbeatInterval();
  for (const auto& entry : this->entryRegistry.Live()) {
    const bool isLeaving = this->isDraining && entry.id == this->self.id;
    if (!isLeaving) {
      topology.entries.push_back({ entry.id, entry.address });
    }
  }
  std::lock_guard lock(this->cellsMutex);
  for (const auto& [zone, cell] : this->cells) {
    topology.cells.push_back(cell);
  }
  return topology;
}

void
MembershipService::PushTopology()
{
  const auto topology = this->MakeTopology();
  for (const auto& [connection, target] : this->targetByConnection) {
    this->node.Send(connection, topology);
  }
  for (const auto& [connection, entry] : this->entryByConnection) {
    this->node.Send(connection, topology);
  }
}

void
MembershipService::SetCell(const protocol::CellInfo& aCell)
{
  this->Post([this, aCell] {
    {
      std::lock_guard lock(this->cellsMutex);
      protocol::CellInfo& known = this->cells[aCell.zone];
      const bool isNewer =
        aCell.token > known.token ||
        (aCell.token == known.token && known.coordinator.id.IsEmpty());
      if (!isNewer) {
        return;
      }
      known = aCell;
      // A cell reports its coordinator without the address, which it does not
      // know.
      for (const auto& entry : this->entryRegistry.Live()) {
        if (entry.id == aCell.coordinator.id) {
          known.coordinator.address = entry.address;
        }
      }
    }
    this->PushTopology();
  });
}

std::optional<protocol::CellInfo>
MembershipService::FindCell(const base::ZoneId& aZone) const
{
  std::lock_guard lock(this->cellsMutex);
  const auto found = this->cells.find(aZone);
  if (found == this->cells.end()) {
    return std::nullopt;
  }
  return found->second;
}

void
MembershipService::OnPolicyOffset()
{
  this->Post([this] {
    this->entryRegistry.OnOwnOffset(this->policy.Offset(), this->clock.Now());
    this->UpdateReady();
    // Only entries are notified at once; targets learn the offset from the
    // reply to their next heartbeat. Notifying all targets would cost 775
    // messages for each of 23,000 changes per day at the planned size.
    const auto topology = this->MakeTopology();
    for (const auto& [connection, entry] : this->entryByConnection) {
      this->node.Send(connection, topology);
    }
  });
}

void
MembershipService::SetDraining()
{
  this->Post([this] {
    this->isDraining = true;
    this->UpdateReady();
    this->PushTopology();
  });
}

void
MembershipService::UpdateReady()
{
  const bool isNowReady = !this->isDraining && this->policy.IsLoaded() &&
                          this->entryRegistry.IsReady(this->clock.Now());
  if (this->isReady.exchange(isNowReady) != isNowReady) {
    this->logger.Info(isNowReady ? "ready" : "not ready",
                      { { "offset", this->policy.Offset() } });
  }
}

std::chrono::milliseconds
MembershipService::HeartbeatInterval() const
{
  return std::chrono::ceil<std::chrono::milliseconds>(
    this->targetRegistry.Interval());
}

protocol::Heartbeat
MembershipService::MakeHeartbeat() const
{
  protocol::Heartbeat heartbeat;
  heartbeat.noteOffset = this->policy.Offset();
  return heartbeat;
}

void
MembershipService::PublishStatus()
{
  MembershipStatus next;
  for (const auto& [id, known] : this->targets) {
    next.targets.push_back({ known.target,
                             this->targetRegistry.StateOf(id).value_or(
                               membership::TargetState::Lost),
                             known.inFlight,
                             known.queued });
  }
  const auto live = this->entryRegistry.Live();
  next.entries.assign(live.begin(), live.end());
  next.highestPeerOffset = this->entryRegistry.HighestPeerOffset();
  {
    std::lock_guard lock(this->cellsMutex);
    for (const auto& [zone, cell] : this->cells) {
      next.cells.push_back(cell);
    }
  }
  this->status.Publish(std::move(next));
}

} // namespace amaranthwind::entry
