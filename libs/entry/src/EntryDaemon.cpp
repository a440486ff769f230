#include "amaranthwind/entry/EntryDaemon.h"

#include "CellService.h"
#include "EntryDump.h"
#include "EntrySampler.h"
#include "HttpReplies.h"
#include "JobService.h"
#include "MembershipService.h"
#include "PolicyKeeper.h"
#include "RequestService.h"
#include "amaranthwind/admin/AdminServer.h"
#include "amaranthwind/codec/JsonRecordCodec.h"
#include "amaranthwind/codec/NoteCodec.h"
#include "amaranthwind/frontend/HttpLogClient.h"
#include "amaranthwind/frontend/HttpServer.h"
#include "amaranthwind/net/IoPool.h"
#include "amaranthwind/peering/EntryLinks.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <utility>

namespace amaranthwind::entry {

using protocol::ConnectionId;
using protocol::Envelope;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view kRequestsPrefix = "/v1/requests/";
constexpr std::string_view kJobsPath = "/v1/jobs";
constexpr std::string_view kNotePath = "/v1/note";
constexpr std::chrono::milliseconds kHeartbeatInterval = 500ms;
// The stop proceeds after this time even with requests in flight, because the
// platform replaces VMs whether they are idle or not.
constexpr base::Duration kDrainLimit = 60s;
constexpr base::Duration kDrainPoll = 20ms;

frontend::HttpServerOptions
ToServerOptions(const settings::HttpLimits& aLimits)
{
  frontend::HttpServerOptions options;
  options.maxBodyBytes = aLimits.maxBodyBytes;
  options.maxHeaderBytes = aLimits.maxHeaderBytes;
  options.maxConnections = aLimits.maxConnections;
  options.idleTimeout =
    std::chrono::ceil<std::chrono::milliseconds>(aLimits.idleTimeout);
  return options;
}

/** An HTTP handler that calls a function. */
class FunctionHandler final : public frontend::HttpHandler
{
public:
  using Function =
    std::function<void(frontend::HttpRequest, frontend::HttpResponder)>;
  explicit FunctionHandler(Function aFunction)
    : function(std::move(aFunction))
  {
  }
  void Handle(frontend::HttpRequest aRequest,
              frontend::HttpResponder aRespond) override
  {
    this->function(std::move(aRequest), std::move(aRespond));
  }

private:
  const Function function;
};

} // namespace

class EntryDaemon::Impl
  : public protocol::MessageHandler
  , public peering::EntryLinksObserver
  , public MembershipObserver
  , public PolicyObserver
  , public CellObserver
  , public admin::Readiness
{
public:
  Impl(settings::EntrySettings aSettings,
       const base::Clock& aClock,
       telemetry::LogSink& aSink)
    : settings(std::move(aSettings))
    , clock(aClock)
    , logger(aSink, aClock, "entry")
    , policyLogger(aSink, aClock, "policy")
    , memberLogger(aSink, aClock, "membership")
    , requestLogger(aSink, aClock, "requests")
    , cellLogger(aSink, aClock, "cell")
    , adminServer(this->settings.id.View(), *this)
    , pool(this->settings.common.ioThreads)
    , node(this->pool, {}, *this)
    , log(this->pool, { .address = this->settings.logService })
    , policy(this->log,
             this->codec,
             aClock,
             this->settings.logRetention,
             telemetry::PolicyMetrics(this->adminServer.Metrics()),
             this->policyLogger,
             *this)
    , self{ this->settings.id,
            base::Incarnation(static_cast<std::uint64_t>(
              aClock.WallNow().time_since_epoch().count())),
            {} }
    , membership(this->self,
                 aClock,
                 this->node,
                 this->policy,
                 this->memberLogger,
                 *this)
    , requests(aClock,
               this->node,
               this->pool,
               this->membership,
               this->adminServer.Metrics(),
               this->requestLogger)
    , cells(this->MakeCells())
    , jobs(this->settings.common.zone,
           this->cells,
           this->policy,
           this->membership,
           this->node)
    , callerHandler([this](auto aRequest, auto aRespond) {
      this->HandleCaller(std::move(aRequest), std::move(aRespond));
    })
    , http(this->pool,
           ToServerOptions(this->settings.limits),
           this->callerHandler)
  {
  }

  ~Impl() override { this->StopNow(); }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  base::Result<EntryAddresses> Start()
  {
    EntryAddresses addresses;
    // Peers may connect as soon as the node listens.
    this->MakeLinks();
    BOOST_OUTCOME_TRY(addresses.inner,
                      this->node.Listen(this->settings.common.innerListen));
    this->self.address = addresses.inner;
    this->membership.SetAddress(addresses.inner);
    this->membership.Start();
    this->requests.Start();
    this->policy.Start();
    for (const auto& cell : this->cells) {
      cell->Start();
    }
    this->links->Start(addresses.inner);
    this->ScheduleHeartbeat();
    const EntryComponents components{ this->policy,   this->membership,
                                      this->requests, this->cells,
                                      *this->links,   this->node };
    AddEntryDump(this->adminServer, components);
    this->adminServer.AddSampler(std::make_shared<EntrySampler>(
      this->adminServer.Metrics(),
      components,
      *this,
      this->http,
      std::vector<const telemetry::Logger*>{ &this->logger,
                                             &this->policyLogger,
                                             &this->memberLogger,
                                             &this->requestLogger,
                                             &this->cellLogger }));
    BOOST_OUTCOME_TRY(
      addresses.admin,
      this->adminServer.Listen(this->settings.common.adminListen));
    BOOST_OUTCOME_TRY(addresses.http,
                      this->http.Listen(this->settings.httpListen));
    this->logger.Info(
      "started",
      { { "entry", this->self.id }, { "address", addresses.inner } });
    return addresses;
  }

  void Stop()
  {
    this->logger.Info("draining", { { "entry", this->self.id } });
    this->isDraining.store(true);
    this->membership.SetDraining();
    this->http.StartDraining();
    this->WaitFor(this->settings.noticePeriod, [] { return false; });
    for (const auto& cell : this->cells) {
      cell->HandOver();
    }
    this->http.StopAccepting();
    this->WaitFor(kDrainLimit,
                  [this] { return this->http.ActiveRequests() == 0; });
    if (const auto active = this->http.ActiveRequests(); active > 0) {
      // Logged, because the admin address, which serves the metrics, closes
      // with the process.
      this->logger.Error("interrupting requests in flight",
                         { { "count", active } });
    }
    protocol::Heartbeat finalHeartbeat = this->membership.MakeHeartbeat();
    finalHeartbeat.isDraining = true;
    this->links->SendToAll(finalHeartbeat);
    this->StopNow();
    this->logger.Info("stopped", { { "entry", this->self.id } });
  }

  // protocol::MessageHandler, on I/O threads.

  void OnOpened(ConnectionId aConnection, bool, std::string_view) override
  {
    this->links->OnOpened(aConnection);
  }

  void OnMessage(ConnectionId aConnection, const Envelope& aEnvelope) override
  {
    if (const auto* hello =
          std::get_if<protocol::EntryHello>(&aEnvelope.message)) {
      // Links back to the entry, because each needs the heartbeats of the
      // other.
      protocol::Topology topology;
      topology.entries.push_back(hello->entry);
      this->links->OnTopology(topology);
    }
    if (this->membership.OnMessage(aConnection, aEnvelope)) {
      return;
    }
    if (std::holds_alternative<protocol::FetchPolicy>(aEnvelope.message)) {
      const auto current = this->policy.Current();
      this->node.Reply(aConnection,
                       aEnvelope.correlation,
                       protocol::PolicyReply{ current->nextOffset,
                                              codec::EncodePolicy(*current) });
    } else if (const auto* topology =
                 std::get_if<protocol::Topology>(&aEnvelope.message)) {
      this->links->OnTopology(*topology);
      this->UpdateFromTopology(aConnection, *topology);
    } else if (const auto* forward =
                 std::get_if<protocol::ForwardJob>(&aEnvelope.message)) {
      this->jobs.HandleForwarded(aConnection, aEnvelope.correlation, *forward);
    } else {
      this->ForwardToCells(aConnection, aEnvelope.message);
    }
  }

  void OnClosed(ConnectionId aConnection, const base::Error&) override
  {
    this->links->OnClosed(aConnection);
    this->membership.OnClosed(aConnection);
  }

  // peering::EntryLinksObserver, on I/O threads.

  void OnLinkUp(const peering::EntryLink& aLink,
                const protocol::Topology& aTopology) override
  {
    this->UpdateFromTopology(aLink.connection, aTopology);
  }

  void OnLinkDown(const peering::EntryLink& aLink) override
  {
    this->logger.Warning("connection to entry lost",
                         { { "entry", aLink.entry.id } });
  }

  // MembershipObserver, on the membership loop.

  void OnWorkerUsable(const fleet::Target& aWorker,
                      ConnectionId aConnection) override
  {
    if (CellService* cell = FindCell(this->cells, aWorker.zone)) {
      cell->OnWorkerUsable(aWorker, aConnection);
    }
  }

  void OnWorkerConnection(const fleet::Target& aWorker,
                          ConnectionId aConnection) override
  {
    if (CellService* cell = FindCell(this->cells, aWorker.zone)) {
      cell->OnWorkerConnection(aWorker.id, aConnection);
    }
  }

  void OnWorkerDraining(const fleet::Target& aWorker) override
  {
    if (CellService* cell = FindCell(this->cells, aWorker.zone)) {
      cell->OnWorkerDraining(aWorker.id);
    }
  }

  void OnWorkerGone(const fleet::Target& aWorker) override
  {
    if (CellService* cell = FindCell(this->cells, aWorker.zone)) {
      cell->OnWorkerGone(aWorker.id);
    }
  }

  void OnEntries(const std::vector<base::EntryId>& aLive) override
  {
    for (const auto& cell : this->cells) {
      cell->OnEntries(aLive);
    }
  }

  void OnEntryLeft(const base::EntryId& aEntry) override
  {
    for (const auto& cell : this->cells) {
      cell->OnHandOver(aEntry);
    }
  }

  void OnRoutes() override { this->requests.OnRoutes(); }

  // PolicyObserver, on the thread that reads the log.

  void OnPolicy(const policy::Policy& aPolicy) override
  {
    this->requests.OnPolicy(aPolicy);
    this->membership.OnPolicyOffset();
    for (const auto& cell : this->cells) {
      cell->OnPolicy(aPolicy);
    }
  }

  // CellObserver, on the decision thread of the cell.

  void OnCoordinator(const base::ZoneId& aZone,
                     const base::EntryId& aCoordinator,
                     base::FencingToken aToken) override
  {
    this->membership.SetCell({ aZone, { aCoordinator, {} }, aToken });
  }

  // admin::Readiness

  std::optional<base::Error> CheckReadiness() const override
  {
    if (this->isDraining.load()) {
      return base::Error{ base::ErrorCode::Draining, this->settings.id.Text() };
    }
    if (!this->policy.IsLoaded()) {
      return base::Error{ base::ErrorCode::NotReady, "policy" };
    }
    if (!this->membership.IsReady()) {
      return base::Error{ base::ErrorCode::NotReady, "noteOffset" };
    }
    return std::nullopt;
  }

private:
  std::vector<std::unique_ptr<CellService>> MakeCells()
  {
    std::vector<std::unique_ptr<CellService>> made;
    for (const auto& zone : this->settings.coordinatedZones) {
      made.push_back(std::make_unique<CellService>(
        CellServiceOptions{
          zone,
          this->settings.id,
          this->settings.logRetention,
          telemetry::CellMetrics(this->adminServer.Metrics(), zone),
          telemetry::AppendMetrics(this->adminServer.Metrics()) },
        this->clock,
        this->log,
        this->codec,
        this->node,
        this->cellLogger,
        *this));
    }
    return made;
  }

  void UpdateFromTopology(ConnectionId aConnection,
                          const protocol::Topology& aTopology)
  {
    this->membership.OnEntryTopology(aConnection, aTopology);
    for (const auto& cellInfo : aTopology.cells) {
      if (CellService* cell = FindCell(this->cells, cellInfo.zone)) {
        cell->OnCoordinatorReported(cellInfo.token, cellInfo.coordinator.id);
      }
    }
  }

  /**
   * Forwards a gang message to all cells. It is handled by the cell of the
   * worker that sent it.
   */
  void ForwardToCells(ConnectionId aConnection,
                      const protocol::Message& aMessage)
  {
    for (const auto& cell : this->cells) {
      cell->OnMessage(aConnection, aMessage);
    }
  }

  void MakeLinks()
  {
    peering::EntryLinksOptions options;
    options.bootstrap = this->settings.common.bootstrap;
    this->links = std::make_unique<peering::EntryLinks>(
      this->node,
      this->pool,
      std::move(options),
      [this] {
        return protocol::EntryHello{ { this->self.id, this->self.address },
                                     this->self.incarnation,
                                     this->policy.Offset(),
                                     this->isDraining.load() };
      },
      *this);
    this->jobs.SetLinks(*this->links);
  }

  void ScheduleHeartbeat()
  {
    this->pool.RunAfter(kHeartbeatInterval, [this] {
      auto heartbeat = this->membership.MakeHeartbeat();
      this->links->SendToAll(heartbeat);
      this->ScheduleHeartbeat();
    });
  }

  void HandleCaller(frontend::HttpRequest aRequest,
                    frontend::HttpResponder aRespond)
  {
    const std::string path = aRequest.path;
    if (path == kNotePath) {
      this->RespondNote(aRespond);
    } else if (!this->policy.IsLoaded()) {
      aRespond(MakeErrorResponse(
        { { base::ErrorCode::NotReady, "policy" }, true, 1s }));
    } else if (path.starts_with(kJobsPath)) {
      this->jobs.Handle(aRequest, aRespond);
    } else if (path.starts_with(kRequestsPrefix) && aRequest.method == "POST") {
      this->requests.Handle(
        std::string_view(path).substr(kRequestsPrefix.size()),
        std::move(aRequest),
        std::move(aRespond));
    } else {
      aRespond(MakeErrorResponse(
        { { base::ErrorCode::UnknownPath, path }, true, std::nullopt }));
    }
  }

  void RespondNote(const frontend::HttpResponder& aRespond)
  {
    frontend::HttpResponse response;
    response.body = codec::EncodePolicy(*this->policy.Current());
    aRespond(std::move(response));
  }

  /** Blocks until aIsDone returns true, but no longer than aLimit. */
  void WaitFor(base::Duration aLimit, const std::function<bool()>& aIsDone)
  {
    const auto end = this->clock.Now() + aLimit;
    std::unique_lock lock(this->stopMutex);
    while (!aIsDone() && this->clock.Now() < end) {
      this->stopChanged.wait_for(
        lock, std::min<base::Duration>(kDrainPoll, end - this->clock.Now()));
    }
  }

  void StopNow()
  {
    if (std::exchange(this->isStopped, true)) {
      return;
    }
    if (this->links) {
      this->links->Stop();
    }
    this->http.Stop();
    this->adminServer.Stop();
    this->policy.Stop();
    for (const auto& cell : this->cells) {
      cell->Stop();
    }
    this->node.Stop();
    this->requests.Stop();
    this->membership.Stop();
    this->pool.Stop();
  }

  const settings::EntrySettings settings;
  const base::Clock& clock;
  telemetry::Logger logger;
  telemetry::Logger policyLogger;
  telemetry::Logger memberLogger;
  telemetry::Logger requestLogger;
  telemetry::Logger cellLogger;
  const codec::JsonRecordCodec codec;
  admin::AdminServer adminServer;
  net::IoPool pool;
  protocol::Node node;
  frontend::HttpLogClient log;
  PolicyKeeper policy;
  membership::EntryInfo self;
  MembershipService membership;
  RequestService requests;
  std::vector<std::unique_ptr<CellService>> cells;
  JobService jobs;
  FunctionHandler callerHandler;
  frontend::HttpServer http;
  /**
   * Created before the node listens, because peers may connect from then on;
   * started afterwards, because it needs the listen address.
   */
  std::unique_ptr<peering::EntryLinks> links;
  std::atomic<bool> isDraining{ false };
  bool isStopped = false;
  std::mutex stopMutex;
  std::condition_variable stopChanged;
};

EntryDaemon::EntryDaemon(settings::EntrySettings aSettings,
                         const base::Clock& aClock,
                         telemetry::LogSink& aSink)
  : impl(std::make_unique<Impl>(std::move(aSettings), aClock, aSink))
{
}

EntryDaemon::~EntryDaemon() = default;

base::Result<EntryAddresses>
EntryDaemon::Start()
{
  return this->impl->Start();
}

void
EntryDaemon::Stop()
{
  this->impl->Stop();
}

} // namespace amaranthwind::entry
