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
// A snapshot for the dump copies all targets, so that it is not made at each
// tick.
constexpr base::Duration kStatusInterval = 1s;
// A key is claimed on two targets, so that two losses may hide a claim.
constexpr std::uint32_t kUnknownLosses = 2;
// A connection without a message for this many intervals is given up. The
// registry finds a silent target after two; this one also counts the interval
// in which the target has not yet heard of a longer one.
constexpr int kSilentIntervals = 3;
constexpr std::chrono::milliseconds kIntervalNotice = 1s;

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
  } else if (const auto* beat = std::get_if<protocol::Heartbeat>(&message)) {
    auto task = [this, aConnection, beat = *beat] {
      this->OnHeartbeat(aConnection, beat);
    };
    if (beat->isDraining) {
      this->Post(std::move(task));
    } else {
      // Heartbeats are most of what an entry gets. Waking the loop and an I/O
      // thread for each one costs far more than handling it.
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
    this->targetOf[aConnection] = target.id;
  }
  this->node.Reply(aConnection, aCorrelation, this->MakeTopology());
  this->CarryOut(effects);
  this->OnOtherConnection(known);
}

void
MembershipService::OnOtherConnection(const KnownTarget& aKnown)
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
  this->entryOf[aConnection] = peer;
  this->CarryOut(
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
      this->FetchPolicy(aTopology.sender);
    }
  });
}

void
MembershipService::OnHeartbeat(ConnectionId aConnection,
                               const protocol::Heartbeat& aBeat)
{
  if (const auto found = this->targetOf.find(aConnection);
      found != this->targetOf.end()) {
    this->OnTargetHeartbeat(aConnection, found->second, aBeat);
    return;
  }
  const auto entry = this->entryOf.find(aConnection);
  if (entry == this->entryOf.end()) {
    return;
  }
  if (aBeat.isDraining) {
    const auto leaving = entry->second;
    this->CarryOut(this->entryRegistry.OnGone(leaving.id, leaving.incarnation));
    this->observer.OnEntryLeft(leaving.id);
  } else {
    this->CarryOut(this->entryRegistry.OnSeen(
      entry->second, aBeat.noteOffset, this->clock.Now()));
  }
}

void
MembershipService::OnTargetHeartbeat(ConnectionId aConnection,
                                     const base::TargetId& aTarget,
                                     const protocol::Heartbeat& aBeat)
{
  KnownTarget& known = this->targets[aTarget];
  known.inFlight = aBeat.inFlight;
  known.queued = aBeat.queued;
  const auto effects = this->targetRegistry.OnHeartbeat(
    aTarget, known.target.incarnation, aBeat.isDraining, this->clock.Now());
  protocol::HeartbeatAck ack;
  ack.noteOffset = this->policy.Offset();
  ack.heartbeatInterval = this->HeartbeatInterval();
  this->node.Send(aConnection, ack);
  this->CarryOut(effects);
}

void
MembershipService::OnClosedOnLoop(ConnectionId aConnection)
{
  if (const auto entry = this->entryOf.find(aConnection);
      entry != this->entryOf.end()) {
    const membership::EntryInfo peer = entry->second;
    this->entryOf.erase(entry);
    this->CarryOut(this->entryRegistry.OnGone(peer.id, peer.incarnation));
    return;
  }
  const auto found = this->targetOf.find(aConnection);
  if (found == this->targetOf.end()) {
    return;
  }
  const base::TargetId id = found->second;
  this->targetOf.erase(found);
  KnownTarget& known = this->targets[id];
  known.connections.erase(aConnection);
  if (!known.connections.empty()) {
    known.newest = *known.connections.rbegin();
    this->OnOtherConnection(known);
    return;
  }
  this->CarryOut(this->targetRegistry.OnConnectionClosed(
    id, known.target.incarnation, this->clock.Now()));
}

void
MembershipService::OnTick()
{
  const auto now = this->clock.Now();
  this->CarryOut(this->targetRegistry.OnTick(now));
  this->CarryOut(this->entryRegistry.OnTick(now));
  this->UpdateReady();
  if (now >= this->nextStatus) {
    this->nextStatus = now + kStatusInterval;
    this->PublishStatus();
  }
}

void
MembershipService::CarryOut(const membership::TargetEffects& aEffects)
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
    } else if (const auto* told =
                 std::get_if<membership::SendInterval>(&effect)) {
      this->OnInterval(told->target, told->interval);
    }
  }
}

void
MembershipService::CarryOut(const membership::EntryEffects& aEffects)
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
  this->logger.Info("target usable",
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
  // The target hears of a shorter interval only with its next heartbeat.
  const auto interval = std::chrono::ceil<std::chrono::milliseconds>(aInterval);
  for (const auto connection : found->second.connections) {
    this->node.SetLiveness(
      connection, interval, kSilentIntervals * interval + kIntervalNotice);
  }
}

void
MembershipService::OnDraining(const base::TargetId& aTarget)
{
  const KnownTarget& known = this->targets[aTarget];
  this->logger.Info("target drains", { { "target", aTarget } });
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
    std::find_if(this->entryOf.begin(),
                 this->entryOf.end(),
                 [&](const auto& aEntry) { return aEntry.second.id == aFrom; });
  if (found == this->entryOf.end()) {
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
        this->logger.Warning("policy of a peer is not readable",
                             { { "error", base::Describe(fetched.error()) } });
      }
    });
}

std::uint32_t
MembershipService::ExecutorLimit(const fleet::Target& aTarget) const
{
  // Each entry takes its share of the slots, and one more: callers are not
  // spread evenly, and the daemon queues what is too much for a moment.
  const auto entries =
    static_cast<std::uint32_t>(this->entryRegistry.Live().size());
  return (aTarget.slots + entries - 1) / entries + (entries > 1 ? 1 : 0);
}

void
MembershipService::UpdateLimits()
{
  for (const auto& [id, known] : this->targets) {
    if (known.target.kind == fleet::TargetKind::Executor) {
      // A target that is not in the table has no limit to change.
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
  // An entry does not know what was lost before it started.
  const bool isYoung = now - this->startedAt < routing::kIdempotencyKeyWindow;
  return seen + (isYoung ? kUnknownLosses : 0);
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
  for (const auto& [connection, target] : this->targetOf) {
    this->node.Send(connection, topology);
  }
  for (const auto& [connection, entry] : this->entryOf) {
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
      const bool isNews =
        aCell.token > known.token ||
        (aCell.token == known.token && known.coordinator.id.IsEmpty());
      if (!isNews) {
        return;
      }
      known = aCell;
      // A coordinator names itself before its address is known to the cell.
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
MembershipService::OnOwnPolicy()
{
  this->Post([this] {
    this->entryRegistry.OnOwnOffset(this->policy.Offset(), this->clock.Now());
    this->UpdateReady();
    // Targets learn the offset with the answer to their next heartbeat. Telling
    // all of them at once would cost 775 messages for each of 23,000 changes a
    // day at the planned size.
    const auto topology = this->MakeTopology();
    for (const auto& [connection, entry] : this->entryOf) {
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
  protocol::Heartbeat beat;
  beat.noteOffset = this->policy.Offset();
  return beat;
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
