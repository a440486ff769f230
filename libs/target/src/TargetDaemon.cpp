#include "amaranthwind/target/TargetDaemon.h"

#include "GangServer.h"
#include "RequestServer.h"
#include "TargetDump.h"
#include "TargetSampler.h"
#include "amaranthwind/admin/AdminServer.h"
#include "amaranthwind/base/EventLoop.h"
#include "amaranthwind/base/Random.h"
#include "amaranthwind/net/IoPool.h"
#include "amaranthwind/peering/EntryLinks.h"
#include "amaranthwind/target/HttpExecutorClient.h"
#include "amaranthwind/target/HttpWorkerClient.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>

namespace amaranthwind::target {

using protocol::ConnectionId;
using protocol::Envelope;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kLoopCapacity = 8192;
constexpr base::Duration kTickInterval = 50ms;
// A departing target gets no new work; the drain may take a few seconds to
// reach every entry.
constexpr base::Duration kDrainPropagationLimit = 5s;
// A snapshot copies all gangs, which is too expensive for every tick.
constexpr base::Duration kStatusInterval = 250ms;
constexpr std::chrono::milliseconds kInitialHeartbeatInterval = 1000ms;
// Silence timeout of a connection, in heartbeat intervals.
constexpr int kSilenceIntervals = 2;
// Added to the silence timeout, so that a busy entry that answers late is not
// considered silent.
constexpr std::chrono::milliseconds kSilenceMargin = 1000ms;
// The daemon stops after this time even if it is not idle, because the platform
// replaces VMs whether they are idle or not.
constexpr base::Duration kDrainTimeout = 60s;

/** Converts the messages that a gang member handles into its events. */
struct ToMemberEvent
{
  template<typename M>
  std::optional<gang::MemberEvent> operator()(const M& aMessage) const
  {
    if constexpr (std::is_constructible_v<gang::MemberEvent, const M&>) {
      return gang::MemberEvent(aMessage);
    } else {
      return std::nullopt;
    }
  }
};

} // namespace

class TargetDaemon::Impl
  : public protocol::MessageHandler
  , public peering::EntryLinksObserver
  , public EntryDirectory
  , public admin::Readiness
{
public:
  Impl(settings::TargetSettings aSettings,
       const base::Clock& aClock,
       telemetry::LogSink& aSink)
    : settings(std::move(aSettings))
    , clock(aClock)
    , logger(aSink, aClock, "target")
    , pool(this->settings.common.ioThreads)
    , node(this->pool, {}, *this)
    , adminServer(this->settings.id.View(), *this)
    , metrics(this->adminServer.Metrics())
    , loop(kLoopCapacity)
  {
    this->target.id = this->settings.id;
    this->target.kind = this->settings.kind;
    this->target.region = this->settings.common.region;
    this->target.zone = this->settings.common.zone;
    this->target.rack = this->settings.rack;
    this->target.resources = this->settings.resources;
    this->target.slots = this->settings.slots;
    // Entries treat the higher incarnation as the newer one. It is derived from
    // the time, because a VM without a disk cannot keep a counter over a
    // restart.
    this->target.incarnation = base::Incarnation(
      static_cast<std::uint64_t>(aClock.WallNow().time_since_epoch().count()));
  }

  ~Impl() override { this->StopNow(); }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  base::Result<TargetAddresses> Start()
  {
    peering::EntryLinksOptions options;
    options.bootstrap = this->settings.common.bootstrap;
    this->links = std::make_unique<peering::EntryLinks>(
      this->node,
      this->pool,
      std::move(options),
      [this] {
        return protocol::TargetHello{ this->target, this->NoteOffset() };
      },
      *this);
    // Peers may connect as soon as the node listens.
    BOOST_OUTCOME_TRY(this->target.address,
                      this->node.Listen(this->settings.common.innerListen));
    this->MakeServer();
    this->status.Publish(this->MakeStatus());
    this->loop.SetTick(kTickInterval, [this] { this->OnTick(); });
    this->loop.Start();
    this->loop.Post([this] { this->ConnectToEntries(); });
    const TargetParts parts{
      this->status, this->noteOffset, *this->links, this->node
    };
    AddTargetDump(this->adminServer, parts);
    this->adminServer.AddSampler(std::make_shared<TargetSampler>(
      this->adminServer.Metrics(), parts, *this, this->logger));
    TargetAddresses addresses{ this->target.address, {} };
    BOOST_OUTCOME_TRY(
      addresses.admin,
      this->adminServer.Listen(this->settings.common.adminListen));
    this->logger.Info(
      "started",
      { { "target", this->target.id }, { "address", this->target.address } });
    return addresses;
  }

  void Stop()
  {
    this->logger.Info("draining", { { "target", this->target.id } });
    this->isShuttingDown.store(true);
    this->loop.Post([this] { this->Drain(); });
    this->WaitUntilIdle();
    this->StopNow();
    this->logger.Info("stopped", { { "target", this->target.id } });
  }

  // protocol::MessageHandler, called on I/O threads.

  void OnOpened(ConnectionId aConnection, bool, std::string_view) override
  {
    this->links->OnOpened(aConnection);
  }

  void OnMessage(ConnectionId aConnection, const Envelope& aEnvelope) override
  {
    const bool isAccepted =
      this->loop.TryPost([this, aConnection, envelope = aEnvelope] {
        this->Handle(aConnection, envelope);
      });
    if (!isAccepted) {
      this->RejectOverload(aConnection, aEnvelope);
    }
  }

  void OnClosed(ConnectionId aConnection, const base::Error&) override
  {
    this->links->OnClosed(aConnection);
    this->loop.Post([this, aConnection] {
      if (this->requestServer) {
        this->requestServer->OnClosed(aConnection);
      }
      if (this->gangServer) {
        this->gangServer->OnClosed(aConnection);
      }
    });
  }

  // peering::EntryLinksObserver, called on I/O threads.

  void OnLinkUp(const peering::EntryLink& aLink,
                const protocol::Topology& aTopology) override
  {
    this->logger.Info("connected to entry", { { "entry", aLink.entry.id } });
    this->loop.Post([this, aLink, aTopology] {
      this->ApplyTopology(aTopology);
      this->SetLiveness(aLink.connection, aTopology.heartbeatInterval);
      this->SendHeartbeat(aLink.connection);
      this->SendGangReport(aLink.connection);
    });
  }

  void OnLinkDown(const peering::EntryLink& aLink) override
  {
    this->logger.Warning("connection to entry lost",
                         { { "entry", aLink.entry.id } });
  }

  // EntryDirectory, called on the event loop.

  std::optional<ConnectionId> CoordinatorOf(
    const base::ZoneId& aCell) const override
  {
    const auto cell = this->cells.find(aCell);
    if (cell == this->cells.end()) {
      return std::nullopt;
    }
    for (const auto& link : this->links->Links()) {
      if (link.entry.id == cell->second.coordinator.id) {
        return link.connection;
      }
    }
    return std::nullopt;
  }

  std::optional<ConnectionId> NextEntry() override
  {
    const auto linked = this->links->Links();
    if (linked.empty()) {
      return std::nullopt;
    }
    return linked[this->nextEntry++ % linked.size()].connection;
  }

  // admin::Readiness

  std::optional<base::Error> CheckReadiness() const override
  {
    if (this->isShuttingDown.load()) {
      return base::Error{ base::ErrorCode::Draining, this->settings.id.Text() };
    }
    if (this->links->Links().empty()) {
      return base::Error{ base::ErrorCode::NotReady, "entries" };
    }
    return std::nullopt;
  }

private:
  void MakeServer()
  {
    frontend::HttpClientOptions options;
    options.address = this->settings.serviceAddress;
    if (this->settings.kind == fleet::TargetKind::Executor) {
      options.maxConnections = this->settings.connections;
      this->executor =
        std::make_unique<HttpExecutorClient>(this->pool, options);
      RequestServerOptions serverOptions;
      serverOptions.id = this->target.id;
      serverOptions.incarnation = this->target.incarnation;
      serverOptions.slots = this->settings.slots;
      serverOptions.maxQueued = 2 * this->settings.slots;
      this->requestServer = std::make_unique<RequestServer>(serverOptions,
                                                            this->clock,
                                                            this->loop,
                                                            this->node,
                                                            *this->executor,
                                                            this->metrics);
    } else {
      this->worker = std::make_unique<HttpWorkerClient>(this->pool, options);
      this->gangServer = std::make_unique<GangServer>(this->target.id,
                                                      this->target.zone,
                                                      this->target.resources,
                                                      this->clock,
                                                      this->loop,
                                                      this->node,
                                                      *this->worker,
                                                      *this,
                                                      this->metrics,
                                                      this->logger);
    }
  }

  void ConnectToEntries()
  {
    if (this->gangServer) {
      this->gangServer->Start(
        [this] { this->links->Start(this->target.address); });
    } else {
      this->links->Start(this->target.address);
    }
  }

  base::LogOffset NoteOffset() const
  {
    return base::LogOffset(this->noteOffset.load());
  }

  void AdvanceNoteOffset(base::LogOffset aOffset)
  {
    std::uint64_t known = this->noteOffset.load();
    while (known < aOffset.Get() &&
           !this->noteOffset.compare_exchange_weak(known, aOffset.Get())) {
    }
  }

  void Handle(ConnectionId aConnection, const Envelope& aEnvelope)
  {
    if (const auto* topology =
          std::get_if<protocol::Topology>(&aEnvelope.message)) {
      this->ApplyTopology(*topology);
    } else if (const auto* ack =
                 std::get_if<protocol::HeartbeatAck>(&aEnvelope.message)) {
      this->AdvanceNoteOffset(ack->noteOffset);
      this->SetLiveness(aConnection, ack->heartbeatInterval);
    } else if (this->requestServer) {
      this->HandleRequest(aConnection, aEnvelope);
    } else if (const auto event =
                 std::visit(ToMemberEvent{}, aEnvelope.message)) {
      if (std::holds_alternative<gang::Prepare>(*event)) {
        this->CountWorkAfterLeaving();
      }
      this->gangServer->OnMessage(aConnection, *event);
    }
  }

  /**
   * Counts new work that arrives long after the drain was announced, although a
   * departing target gets no new work.
   */
  void CountWorkAfterLeaving() const
  {
    if (this->isDraining &&
        this->clock.Now() >= this->drainPropagationDeadline) {
      this->metrics.workAfterLeaving.Increment();
    }
  }

  void HandleRequest(ConnectionId aConnection, const Envelope& aEnvelope)
  {
    if (const auto* execute =
          std::get_if<protocol::Execute>(&aEnvelope.message)) {
      this->CountWorkAfterLeaving();
      this->requestServer->OnExecute(
        aConnection, aEnvelope.correlation, *execute);
    } else if (const auto* claim =
                 std::get_if<protocol::Claim>(&aEnvelope.message)) {
      this->requestServer->OnClaim(aConnection, aEnvelope.correlation, *claim);
    } else if (const auto* ended =
                 std::get_if<protocol::ClaimEnded>(&aEnvelope.message)) {
      this->requestServer->OnClaimEnded(*ended);
    }
  }

  /**
   * Rejects a request that did not fit into the queue of the event loop. It has
   * not run, but if it is a retry, an earlier attempt may have.
   */
  void RejectOverload(ConnectionId aConnection, const Envelope& aEnvelope)
  {
    const auto* execute = std::get_if<protocol::Execute>(&aEnvelope.message);
    if (execute == nullptr) {
      return;
    }
    protocol::ExecuteReply reply;
    reply.outcome = execute->retryAttempt == 0
                      ? protocol::ExecuteOutcome::NotRun
                      : protocol::ExecuteOutcome::Unknown;
    reply.error = { base::ErrorCode::QueueFull, this->target.id.Text() };
    this->node.Reply(aConnection, aEnvelope.correlation, reply);
  }

  void ApplyTopology(const protocol::Topology& aTopology)
  {
    this->AdvanceNoteOffset(aTopology.noteOffset);
    for (const auto& cell : aTopology.cells) {
      protocol::CellInfo& known = this->cells[cell.zone];
      const bool isNewer = cell.token > known.token;
      if (cell.token >= known.token) {
        known = cell;
      }
      if (isNewer && cell.zone == this->target.zone) {
        this->ReportToCoordinator(cell.zone);
      }
    }
    this->links->OnTopology(aTopology);
  }

  void ReportToCoordinator(const base::ZoneId& aCell)
  {
    if (const auto connection = this->CoordinatorOf(aCell)) {
      this->SendGangReport(*connection);
    }
  }

  void SendGangReport(ConnectionId aConnection)
  {
    if (this->gangServer) {
      this->node.Send(aConnection,
                      protocol::GangReport{ this->target.zone,
                                            this->gangServer->HeldGangs() });
    }
  }

  void SetLiveness(ConnectionId aConnection,
                   std::chrono::milliseconds aInterval)
  {
    if (aInterval > 0ms && aInterval != this->heartbeatInterval) {
      this->heartbeatInterval = aInterval;
    }
    this->node.SetLiveness(aConnection,
                           this->heartbeatInterval,
                           kSilenceIntervals * this->heartbeatInterval +
                             kSilenceMargin);
  }

  void OnTick()
  {
    if (this->requestServer) {
      this->requestServer->OnTick();
    }
    if (this->gangServer) {
      this->gangServer->OnTick();
    }
    const auto now = this->clock.Now();
    if (now >= this->nextHeartbeat) {
      this->nextHeartbeat = now + this->heartbeatInterval;
      this->links->SendToAll(this->MakeHeartbeat());
    }
    if (now >= this->nextStatus) {
      this->nextStatus = now + kStatusInterval;
      this->status.Publish(this->MakeStatus());
    }
    if (this->isDraining && this->IsIdle()) {
      this->ReportIdle();
    }
  }

  TargetStatus MakeStatus() const
  {
    TargetStatus next;
    next.target = this->target;
    next.isDraining = this->isDraining;
    next.heartbeatInterval = this->heartbeatInterval;
    if (this->requestServer) {
      next.requests = this->requestServer->Status();
    } else {
      next.gangs = this->gangServer->Status();
    }
    return next;
  }

  protocol::Heartbeat MakeHeartbeat() const
  {
    protocol::Heartbeat heartbeat;
    heartbeat.noteOffset = this->NoteOffset();
    heartbeat.isDraining = this->isDraining;
    if (this->requestServer) {
      heartbeat.inFlight = this->requestServer->InFlight();
      heartbeat.queued = this->requestServer->Queued();
    } else {
      heartbeat.inFlight = this->gangServer->GangCount();
    }
    return heartbeat;
  }

  void SendHeartbeat(ConnectionId aConnection)
  {
    this->node.Send(aConnection, this->MakeHeartbeat());
  }

  void Drain()
  {
    if (std::exchange(this->isDraining, true)) {
      return;
    }
    if (this->requestServer) {
      this->requestServer->Drain();
    }
    if (this->gangServer) {
      this->gangServer->Drain();
      this->gangServer->HandOver();
    }
    this->links->SendToAll(this->MakeHeartbeat());
    this->drainPropagationDeadline = this->clock.Now() + kDrainPropagationLimit;
    // Entries may have sent requests before they received the heartbeat.
    this->earliestIdleTime = this->clock.Now() + this->heartbeatInterval;
  }

  bool IsIdle() const
  {
    if (this->clock.Now() < this->earliestIdleTime) {
      return false;
    }
    // Tasks of gangs stay on the worker, where the next daemon adopts them.
    return !this->requestServer || this->requestServer->IsIdle();
  }

  void ReportIdle()
  {
    std::lock_guard lock(this->idleMutex);
    this->isIdle = true;
    this->idleChanged.notify_all();
  }

  void WaitUntilIdle()
  {
    std::unique_lock lock(this->idleMutex);
    this->idleChanged.wait_for(
      lock, kDrainTimeout, [this] { return this->isIdle; });
  }

  void StopNow()
  {
    if (std::exchange(this->isStopped, true)) {
      return;
    }
    this->adminServer.Stop();
    if (this->links) {
      this->links->Stop();
    }
    this->node.Stop();
    this->loop.Stop();
    this->pool.Stop();
  }

  settings::TargetSettings settings;
  const base::Clock& clock;
  telemetry::Logger logger;
  fleet::Target target;
  net::IoPool pool;
  protocol::Node node;
  admin::AdminServer adminServer;
  const telemetry::TargetMetrics metrics;
  base::EventLoop loop;
  /**
   * Created before the node listens, because peers may connect immediately;
   * started afterwards, because it needs the listen address.
   */
  std::unique_ptr<peering::EntryLinks> links;
  std::unique_ptr<ExecutorClient> executor;
  std::unique_ptr<WorkerClient> worker;
  std::unique_ptr<RequestServer> requestServer;
  std::unique_ptr<GangServer> gangServer;
  std::atomic<std::uint64_t> noteOffset{ 0 };
  std::map<base::ZoneId, protocol::CellInfo> cells;
  std::size_t nextEntry = 0;
  std::chrono::milliseconds heartbeatInterval = kInitialHeartbeatInterval;
  base::TimePoint nextHeartbeat{};
  base::TimePoint nextStatus{};
  base::SnapshotCell<TargetStatus> status;
  /** Read by the admin server; isDraining is confined to the event loop. */
  std::atomic<bool> isShuttingDown{ false };
  bool isDraining = false;
  base::TimePoint earliestIdleTime{};
  base::TimePoint drainPropagationDeadline{};
  bool isStopped = false;
  std::mutex idleMutex;
  std::condition_variable idleChanged;
  bool isIdle = false;
};

TargetDaemon::TargetDaemon(settings::TargetSettings aSettings,
                           const base::Clock& aClock,
                           telemetry::LogSink& aSink)
  : impl(std::make_unique<Impl>(std::move(aSettings), aClock, aSink))
{
}

TargetDaemon::~TargetDaemon() = default;

base::Result<TargetAddresses>
TargetDaemon::Start()
{
  return this->impl->Start();
}

void
TargetDaemon::Stop()
{
  this->impl->Stop();
}

} // namespace amaranthwind::target
