#include "SimulatedCell.h"

#include "DispatchRunner.h"
#include "amaranthwind/agent/KeyedEndLog.h"
#include "amaranthwind/membership/LeaderTopic.h"

#include <algorithm>
#include <array>

namespace amaranthwind::coordinator {

using namespace std::chrono_literals;
using agent::WorkerRequestReply;
using agent::WorkerRequestResult;
using dispatch::EndKind;
using protocol::ConnectionId;

namespace {

constexpr base::Duration kNetworkLatency = 1ms;
constexpr base::Duration kWorkerLatency = 1ms;
constexpr base::Duration kLogReadTimeout = 600ms;
/** After this time without a message a connection is closed. */
constexpr base::Duration kSilenceTimeout = 2000ms;
constexpr base::Duration kConnectTimeout = 800ms;
constexpr base::Duration kRequestTimeout = 500ms;
constexpr base::Duration kHoldMargin = 700ms;
constexpr base::Duration kRegistrationInterval = 400ms;
constexpr std::string_view kEvacuationTopic = "evacuations";
/** Limit of the lease of a worker. */
constexpr auto kMaxLease = 6000ms;
constexpr base::Duration kGangTimeout = 4000ms;
constexpr double kSlowClockRate = 0.98;
/** An end counts once it has been listed for more than 100 ms, undisturbed. */
constexpr base::Duration kListedTime = 101ms;
/** How long after its end a fault of the log still excuses late records. */
constexpr base::Duration kContactTime = 3000ms;
/** Until the event that triggers a fault has taken effect elsewhere. */
constexpr std::uint64_t kMaxTriggerDelayMs = 40;
constexpr std::uint64_t kMaxListedDelayMs = 600;

/** Charges processor time for records by their number of tasks. */
class ChargedCodec final : public ledger::RecordCodec
{
public:
  ChargedCodec(SimulatedTime& aTime, base::Duration aCostPerTask)
    : time(aTime)
    , costPerTask(aCostPerTask)
  {
  }
  std::string EncodeWorkflow(const job::WorkflowSpec& aSpec) const override
  {
    return this->codec.EncodeWorkflow(aSpec);
  }
  base::Result<job::WorkflowSpec> DecodeWorkflow(
    std::string_view aValue) const override
  {
    return this->codec.DecodeWorkflow(aValue);
  }
  std::string EncodeStep(const ledger::StepRecord& aStep) const override
  {
    this->time.Charge(this->costPerTask * aStep.tasks.size());
    return this->codec.EncodeStep(aStep);
  }
  base::Result<ledger::StepRecord> DecodeStep(
    std::string_view aValue) const override
  {
    auto step = this->codec.DecodeStep(aValue);
    if (step.has_value()) {
      this->time.Charge(this->costPerTask * step.value().tasks.size());
    }
    return step;
  }

private:
  SimulatedTime& time;
  const base::Duration costPerTask;
  const codec::LedgerCodec codec;
};

class ChargedPacking final : public dispatch::Packing
{
public:
  ChargedPacking(SimulatedTime& aTime, base::Duration aCostPerWorker)
    : time(aTime)
    , costPerWorker(aCostPerWorker)
  {
  }
  std::vector<std::uint32_t> Pack(
    std::span<const dispatch::PackingWorker> aWorkers,
    const dispatch::PackingRequest& aRequest) const override
  {
    this->time.Charge(this->costPerWorker * aWorkers.size());
    return this->packing.Pack(aWorkers, aRequest);
  }

private:
  SimulatedTime& time;
  const base::Duration costPerWorker;
  const dispatch::BestFitPacking packing;
};

} // namespace

// Time.

SimulatedTime::Process::Process(SimulatedTime& aTime,
                                base::Duration aCostPerTask)
  : time(aTime)
  , costPerTask(aCostPerTask)
{
}

void
SimulatedTime::Process::Post(std::function<void()> aTask)
{
  this->RunAfter(base::Duration::zero(), std::move(aTask));
}

void
SimulatedTime::Process::RunAfter(base::Duration aDelay,
                                 std::function<void()> aTask)
{
  if (this->isKilled) {
    return;
  }
  this->tasks.emplace(this->time.now + aDelay, std::move(aTask));
}

void
SimulatedTime::Process::Kill()
{
  this->isKilled = true;
  this->tasks.clear();
}

base::WallTime
SimulatedTime::WallNow() const
{
  return base::WallTime{ 1000h } +
         std::chrono::duration_cast<base::WallTime::duration>(
           this->now.time_since_epoch());
}

base::TimePoint
SimulatedTime::ProgressClock::Now() const
{
  const base::TimePoint now = this->time.now;
  if (this->time.running != &this->process) {
    return now;
  }
  const base::TimePoint last =
    std::max(this->lastProgress, this->time.taskStart);
  this->lastProgress = now;
  return now - last < 1s ? now : last;
}

SimulatedTime::Process&
SimulatedTime::AddProcess(base::Duration aCostPerTask)
{
  return this->processes.emplace_back(*this, aCostPerTask);
}

void
SimulatedTime::Schedule(base::Duration aDelay, std::function<void()> aEvent)
{
  this->events.emplace(this->now + aDelay, std::move(aEvent));
}

void
SimulatedTime::Charge(base::Duration aCost)
{
  if (this->isInProcess) {
    this->now += aCost;
  }
}

void
SimulatedTime::Run(base::Duration aTime)
{
  const base::TimePoint end = this->now + aTime;
  while (true) {
    base::TimePoint next = end;
    Process* nextProcess = nullptr;
    bool isEvent = false;
    if (!this->events.empty() && this->events.begin()->first <= next) {
      next = this->events.begin()->first;
      isEvent = true;
    }
    for (Process& process : this->processes) {
      if (process.tasks.empty()) {
        continue;
      }
      const auto due =
        std::max(process.tasks.begin()->first, process.busyUntil);
      if (due < next || (due == next && !isEvent && nextProcess == nullptr)) {
        next = due;
        nextProcess = &process;
      }
    }
    if (nextProcess == nullptr && !isEvent) {
      break;
    }
    this->now = next;
    if (nextProcess == nullptr) {
      const auto event = this->events.extract(this->events.begin());
      event.mapped()();
      continue;
    }
    const auto task = nextProcess->tasks.extract(nextProcess->tasks.begin());
    this->isInProcess = true;
    this->running = nextProcess;
    this->taskStart = this->now;
    this->Charge(nextProcess->costPerTask);
    task.mapped()();
    this->isInProcess = false;
    this->running = nullptr;
    nextProcess->busyUntil = this->now;
  }
  this->now = end;
}

// Network.

class SimulatedNetwork::Port final : public protocol::MessagePort
{
public:
  Port(SimulatedNetwork& aNetwork,
       protocol::MessageHandler& aHandler,
       std::shared_ptr<SimulatedNode> aNode)
    : node(std::move(aNode))
    , handler(aHandler)
    , network(aNetwork)
  {
  }

  base::Result<std::string> Listen(std::string_view aAddress) override
  {
    this->address = aAddress;
    this->network.listeners[this->address] = this;
    return this->address;
  }

  ConnectionId Connect(std::string_view aAddress) override
  {
    const ConnectionId own(++this->network.lastConnection);
    const ConnectionId other(++this->network.lastConnection);
    this->network.time.Schedule(
      kNetworkLatency, [this, own, other, address = std::string(aAddress)] {
        this->Open(own, other, address);
      });
    return own;
  }

  void Send(ConnectionId aConnection,
            const protocol::Message& aMessage) override
  {
    this->network.time.Charge(this->network.costPerMessage);
    this->network.time.Schedule(kNetworkLatency,
                                [this, aConnection, message = aMessage] {
                                  this->network.Deliver(aConnection, message);
                                });
  }

  void Close(ConnectionId aConnection) override
  {
    // Messages that were sent before still arrive.
    this->network.time.Schedule(kNetworkLatency, [this, aConnection] {
      const auto found = this->network.peers.find(aConnection);
      if (found == this->network.peers.end()) {
        return;
      }
      const auto [self, peer, other, held] = found->second;
      this->network.CloseEnd(aConnection);
      if (!this->network.IsCut(self->node->name, peer->node->name)) {
        this->network.CloseEnd(other);
      }
    });
  }

  void SetLiveness(ConnectionId,
                   std::chrono::milliseconds,
                   std::chrono::milliseconds) override
  {
    // The network has a silence timeout of its own.
  }

  void Stop() override
  {
    const auto found = this->network.listeners.find(this->address);
    if (found != this->network.listeners.end() && found->second == this) {
      this->network.listeners.erase(found);
    }
  }

  const std::shared_ptr<SimulatedNode> node;
  protocol::MessageHandler& handler;

private:
  void Open(ConnectionId aOwn, ConnectionId aOther, const std::string& aAddress)
  {
    if (!this->node->isUp) {
      return;
    }
    const auto found = this->network.listeners.find(aAddress);
    const bool isCut =
      found != this->network.listeners.end() &&
      this->network.IsCut(this->node->name, found->second->node->name);
    if (found == this->network.listeners.end() || isCut) {
      this->network.time.Schedule(
        isCut ? kConnectTimeout : base::Duration::zero(), [this, aOwn] {
          this->network.Notify(*this, [this, aOwn] {
            this->handler.OnClosed(aOwn,
                                   { base::ErrorCode::ConnectFailed, {} });
          });
        });
      return;
    }
    Port* const peer = found->second;
    this->network.peers[aOwn] = { this, peer, aOther, {} };
    this->network.peers[aOther] = { peer, this, aOwn, {} };
    this->network.Notify(*peer, [peer, aOther] {
      peer->handler.OnOpened(aOther, true, "client");
    });
    this->network.Notify(*this, [this, aOwn, aAddress] {
      this->handler.OnOpened(aOwn, false, aAddress);
    });
  }

  SimulatedNetwork& network;
  std::string address;
};

SimulatedNetwork::SimulatedNetwork(SimulatedTime& aTime,
                                   base::Duration aCostPerMessage)
  : time(aTime)
  , costPerMessage(aCostPerMessage)
{
}

protocol::MessagePortFactory
SimulatedNetwork::MakePorts(const std::shared_ptr<SimulatedNode>& aNode)
{
  return [this, aNode](protocol::MessageHandler& aHandler) {
    return std::make_unique<Port>(*this, aHandler, aNode);
  };
}

void
SimulatedNetwork::CloseAll()
{
  const base::Error reason{ base::ErrorCode::ConnectionClosed, {} };
  for (const auto& [end, peer] : std::exchange(this->peers, {})) {
    peer.self->handler.OnClosed(end, reason);
  }
}

void
SimulatedNetwork::Notify(Port& aPort, std::function<void()> aAction)
{
  if (!aPort.node->isUp) {
    return;
  }
  const base::TimePoint thaw = aPort.node->frozenUntil;
  if (thaw > this->time.Now()) {
    this->time.Schedule(thaw - this->time.Now(),
                        [this, &aPort, action = std::move(aAction)] {
                          this->Notify(aPort, action);
                        });
    return;
  }
  aAction();
}

void
SimulatedNetwork::Deliver(ConnectionId aConnection,
                          const protocol::Message& aMessage)
{
  const auto found = this->peers.find(aConnection);
  if (found == this->peers.end()) {
    return;
  }
  Peer& peer = found->second;
  if (this->IsCut(peer.self->node->name, peer.port->node->name)) {
    peer.held.push_back(aMessage);
    return;
  }
  if (this->peers.contains(peer.connection)) {
    this->Notify(*peer.port,
                 [port = peer.port, id = peer.connection, aMessage] {
                   port->handler.OnMessage(
                     id, { protocol::CorrelationId(0), false, aMessage });
                 });
  }
}

void
SimulatedNetwork::CloseEnd(ConnectionId aConnection)
{
  const auto found = this->peers.find(aConnection);
  if (found == this->peers.end()) {
    return;
  }
  Port* const self = found->second.self;
  this->peers.erase(found);
  this->Notify(*self, [self, aConnection] {
    self->handler.OnClosed(aConnection,
                           { base::ErrorCode::ConnectionClosed, {} });
  });
}

void
SimulatedNetwork::CloseAfterSilence(ConnectionId aConnection,
                                    std::function<bool(const Peer&)> aIsSilent)
{
  this->time.Schedule(
    kSilenceTimeout, [this, aConnection, isSilent = std::move(aIsSilent)] {
      const auto found = this->peers.find(aConnection);
      if (found != this->peers.end() && isSilent(found->second)) {
        this->CloseEnd(aConnection);
      }
    });
}

void
SimulatedNetwork::CloseHalfOpen()
{
  std::vector<ConnectionId> halfOpen;
  for (const auto& [id, peer] : this->peers) {
    if (!this->peers.contains(peer.connection) && peer.port->node->isUp &&
        !this->IsCut(peer.self->node->name, peer.port->node->name)) {
      halfOpen.push_back(id);
    }
  }
  for (const auto& id : halfOpen) {
    this->CloseEnd(id);
  }
}

bool
SimulatedNetwork::IsCut(const std::string& aNode,
                        const std::string& aOther) const
{
  return this->cuts.contains(std::minmax(aNode, aOther));
}

void
SimulatedNetwork::Cut(const std::string& aNode, const std::string& aOther)
{
  this->cuts.insert(std::minmax(aNode, aOther));
  for (const auto& [id, peer] : this->peers) {
    if (std::minmax(peer.self->node->name, peer.port->node->name) ==
        std::minmax(aNode, aOther)) {
      this->CloseAfterSilence(id, [this](const Peer& aPeer) {
        return this->IsCut(aPeer.self->node->name, aPeer.port->node->name);
      });
    }
  }
}

void
SimulatedNetwork::Restore(const std::string& aNode, const std::string& aOther)
{
  const auto cut = this->cuts.find(std::minmax(aNode, aOther));
  if (cut != this->cuts.end()) {
    this->cuts.erase(cut);
  }
  if (this->IsCut(aNode, aOther)) {
    return;
  }
  for (auto& [id, peer] : this->peers) {
    for (auto& message : std::exchange(peer.held, {})) {
      this->Deliver(id, message);
    }
  }
  this->CloseHalfOpen();
}

void
SimulatedNetwork::Freeze(SimulatedNode& aNode, base::Duration aTime)
{
  aNode.frozenUntil = std::max(aNode.frozenUntil, this->time.Now() + aTime);
  for (const auto& [id, peer] : this->peers) {
    if (peer.port->node.get() == &aNode) {
      this->CloseAfterSilence(id, [this](const Peer& aPeer) {
        return aPeer.port->node->frozenUntil > this->time.Now();
      });
    }
  }
  this->time.Schedule(aTime + kNetworkLatency,
                      [this] { this->CloseHalfOpen(); });
}

void
SimulatedNetwork::Remove(SimulatedNode& aNode, bool aHasLostPower)
{
  aNode.isUp = false;
  std::erase_if(this->listeners, [&](const auto& aListener) {
    return aListener.second->node.get() == &aNode;
  });
  std::erase_if(this->peers, [&](const auto& aPeer) {
    return aPeer.second.self->node.get() == &aNode;
  });
  std::vector<ConnectionId> closed;
  for (const auto& [id, peer] : this->peers) {
    if (peer.port->node.get() != &aNode) {
      continue;
    }
    if (aHasLostPower ||
        this->IsCut(peer.self->node->name, peer.port->node->name)) {
      this->CloseAfterSilence(id, [](const Peer&) { return true; });
    } else {
      closed.push_back(id);
    }
  }
  for (const auto& id : closed) {
    this->CloseEnd(id);
  }
}

// Rules.

void
RunMonitor::Event(const std::string& aText) const
{
  if (this->onEvent) {
    this->onEvent(aText);
  }
}

void
RunMonitor::Violation(const job::TaskRun& aRun, const std::string& aText)
{
  const std::string text =
    job::ToText(aRun.task) + "#" + std::to_string(aRun.run) + " " + aText;
  this->Event("VIOLATION " + text);
  this->violations.push_back(text);
}

void
RunMonitor::OnStarted(const std::string& aWorker, const job::TaskRun& aRun)
{
  this->Event("start " + job::ToText(aRun.task) + "#" +
              std::to_string(aRun.run) + " on " + aWorker);
  TaskState& task = this->tasks[aRun.task];
  if (!task.done.empty()) {
    this->Violation(aRun, "started after " + task.done);
  } else if (this->doneGangs.contains(aRun.task.step)) {
    this->Violation(aRun, "started after the completion of its gang");
  }
  if (!task.running.empty()) {
    this->Violation(aRun,
                    "started on " + aWorker + " while it runs on " +
                      task.running.begin()->first.first);
  }
  task.running[{ aWorker, aRun.run }] = this->time.Now();
  task.starts.emplace_back(aRun.run, this->time.Now());
}

void
RunMonitor::OnEnded(const std::string& aWorker,
                    const job::TaskRun& aRun,
                    dispatch::EndKind aKind)
{
  this->Event("end " + job::ToText(aRun.task) + "#" + std::to_string(aRun.run) +
              " on " + aWorker + " kind " +
              std::to_string(static_cast<unsigned>(aKind)));
  this->tasks[aRun.task].running.erase({ aWorker, aRun.run });
}

void
RunMonitor::OnWorkerGone(const std::string& aWorker)
{
  this->Event("gone " + aWorker);
  for (auto& [id, task] : this->tasks) {
    std::erase_if(task.running, [&](const auto& aEntry) {
      return aEntry.first.first == aWorker;
    });
  }
}

void
RunMonitor::OnDoneAcknowledged(const job::TaskRun& aRun,
                               base::TimePoint aEndedAt)
{
  this->Event("acknowledged " + job::ToText(aRun.task) + "#" +
              std::to_string(aRun.run));
  if (this->isDoneInLog && !this->isDoneInLog(aRun.task)) {
    this->Violation(aRun, "its completion is acknowledged but not in the log");
  }
  this->CountDone(aRun, aEndedAt, "an acknowledged completion");
}

void
RunMonitor::OnDoneListed(const job::TaskRun& aRun, base::TimePoint aEndedAt)
{
  this->Event("listed " + job::ToText(aRun.task) + "#" +
              std::to_string(aRun.run));
  this->CountDone(aRun, aEndedAt, "a listed completion");
}

void
RunMonitor::CountDone(const job::TaskRun& aRun,
                      base::TimePoint aEndedAt,
                      std::string_view aDescription)
{
  const bool isInGang = this->isGang && this->isGang(aRun);
  if (isInGang) {
    this->doneGangs.insert(aRun.task.step);
  }
  for (auto& [id, task] : this->tasks) {
    if (id != aRun.task && (!isInGang || id.step != aRun.task.step)) {
      continue;
    }
    for (const auto& [run, at] : task.starts) {
      if (at > aEndedAt) {
        this->Violation({ id, run },
                        "started before " + std::string(aDescription) +
                          " of run " + std::to_string(aRun.run) + " counted");
      }
    }
    if (id == aRun.task && task.done.empty()) {
      task.done = aDescription;
    }
  }
}

// Gangs.

void
SimulatedGangs::OnStarted(SimulatedWorker& aWorker, const job::TaskRun& aRun)
{
  const GangRun id{ aRun.task.step, aRun.run };
  Gang& gang = this->gangs[id];
  gang.members[aRun] = { &aWorker, aWorker.lifeNumber };
  if (gang.isBroken) {
    this->time.Schedule(1ms, [this, id] { this->EndAll(id, EndKind::Broken); });
    return;
  }
  if (gang.members.size() == this->sizes.at(id.first)) {
    this->time.Schedule(this->taskTime, [this, id] {
      if (!this->gangs[id].isBroken) {
        this->EndAll(id, EndKind::Done);
      }
    });
    return;
  }
  this->time.Schedule(
    kGangTimeout,
    [this, id, worker = &aWorker, life = aWorker.lifeNumber, aRun] {
      const Gang& waiting = this->gangs[id];
      if (waiting.members.size() < this->sizes.at(id.first) &&
          worker->lifeNumber == life) {
        worker->End(aRun, EndKind::Alone);
      }
    });
}

void
SimulatedGangs::OnEnded(const job::TaskRun& aRun)
{
  const GangRun id{ aRun.task.step, aRun.run };
  Gang& gang = this->gangs[id];
  gang.members.erase(aRun);
  if (!std::exchange(gang.isBroken, true)) {
    this->time.Schedule(1ms, [this, id] { this->EndAll(id, EndKind::Broken); });
  }
}

void
SimulatedGangs::EndAll(const GangRun& aGang, EndKind aKind)
{
  Gang& gang = this->gangs[aGang];
  gang.isBroken = true;
  for (const auto& [run, member] : std::exchange(gang.members, {})) {
    if (member.first->lifeNumber == member.second) {
      member.first->End(run, aKind);
    }
  }
}

// Worker.

SimulatedWorker::SimulatedWorker(SimulatedTime& aTime,
                                 RunMonitor& aMonitor,
                                 SimulatedGangs& aGangs,
                                 base::Duration aTaskTime)
  : time(aTime)
  , monitor(aMonitor)
  , gangs(aGangs)
  , taskTime(aTaskTime)
{
}

void
SimulatedWorker::Begin(const ledger::WorkerIncarnation& aLife,
                       double aClockRate)
{
  this->life = aLife;
  ++this->lifeNumber;
  this->clockRate = aClockRate;
  this->bornAt = this->time.Now();
}

void
SimulatedWorker::Crash()
{
  if (!this->life) {
    return;
  }
  this->monitor.OnWorkerGone(this->Name());
  this->life.reset();
  ++this->lifeNumber;
  this->token = {};
  this->lease = {};
  this->lapseSeenAt = {};
  this->barredRuns.clear();
  this->ended.clear();
  this->lastEnd = 0;
  this->parked.clear();
  for (const auto& [run, task] : std::exchange(this->running, {})) {
    if (this->gangs.IsGang(run)) {
      this->gangs.OnEnded(run);
    }
  }
}

void
SimulatedWorker::Schedule(base::Duration aDelay, std::function<void()> aAction)
{
  this->time.Schedule(
    aDelay, [this, number = this->lifeNumber, action = std::move(aAction)] {
      if (this->life && this->lifeNumber == number) {
        action();
      }
    });
}

std::string
SimulatedWorker::Name() const
{
  return std::string(this->life->id.Text()) + "/" +
         std::to_string(this->life->born);
}

bool
SimulatedWorker::CheckToken(base::FencingToken aToken)
{
  if (aToken < this->token) {
    return false;
  }
  this->token = aToken;
  return true;
}

void
SimulatedWorker::ExtendLease(agent::WorkerClockTime aDeadline)
{
  const auto now = this->ClockTime();
  if (now >= this->lease) {
    this->lapseSeenAt = this->time.Now();
  }
  this->lease = std::max(this->lease, std::min(aDeadline, now + kMaxLease));
}

void
SimulatedWorker::Start(const agent::StartRequest& aRequest,
                       const std::function<void(WorkerRequestReply)>& aHandler)
{
  if (!this->life) {
    return;
  }
  if (aRequest.worker != this->life->id) {
    aHandler({ WorkerRequestResult::WorkerReplaced, {} });
    return;
  }
  if (!this->CheckToken(aRequest.token)) {
    aHandler({ WorkerRequestResult::Fenced, "fence" });
    return;
  }
  if (aRequest.deadline <= this->ClockTime()) {
    aHandler({ WorkerRequestResult::Refused, "late" });
    return;
  }
  this->ExtendLease(aRequest.deadline);
  const auto barred = this->barredRuns.find(aRequest.run.task);
  if (barred != this->barredRuns.end() && aRequest.run.run <= barred->second) {
    aHandler({ WorkerRequestResult::Refused, "old" });
    return;
  }
  const bool isNew =
    this->running
      .try_emplace(aRequest.run,
                   dispatch::RunningTask{
                     aRequest.run, std::string(this->checkpointBytes, 'c'), 0 })
      .second;
  if (isNew) {
    this->highestRun = std::max(this->highestRun, aRequest.run.run);
    this->monitor.OnStarted(this->Name(), aRequest.run);
    if (this->gangs.IsGang(aRequest.run)) {
      this->gangs.OnStarted(*this, aRequest.run);
    } else {
      this->Schedule(this->taskTime, [this, run = aRequest.run] {
        this->End(run, EndKind::Done);
      });
    }
    this->CheckLease();
    if (this->onStarted) {
      this->onStarted();
    }
  }
  aHandler({ WorkerRequestResult::Accepted, {} });
}

void
SimulatedWorker::Stop(const agent::StopRequest& aRequest,
                      const std::function<void(WorkerRequestReply)>& aHandler)
{
  if (!this->life) {
    return;
  }
  if (aRequest.worker != this->life->id) {
    aHandler({ WorkerRequestResult::WorkerReplaced, {} });
    return;
  }
  if (!this->CheckToken(aRequest.token)) {
    aHandler({ WorkerRequestResult::Fenced, "fence" });
    return;
  }
  std::uint32_t& barred = this->barredRuns[aRequest.run.task];
  barred = std::max(barred, aRequest.run.run);
  if (this->stopTime == base::Duration::zero()) {
    this->End(aRequest.run, EndKind::Stopped);
  } else {
    this->Schedule(this->stopTime, [this, run = aRequest.run] {
      this->End(run, EndKind::Stopped);
    });
  }
  aHandler({ WorkerRequestResult::Accepted, {} });
}

void
SimulatedWorker::Hold(
  const agent::HoldRequest& aRequest,
  const std::function<void(base::Result<agent::HoldReply>)>& aHandler)
{
  if (!this->life) {
    return;
  }
  if (aRequest.worker != this->life->id) {
    aHandler(base::Fail(base::ErrorCode::UnknownPath));
    return;
  }
  if (!this->CheckToken(aRequest.token)) {
    aHandler(base::Fail(base::ErrorCode::StaleToken));
    return;
  }
  // Notes an expired lease even if the request does not extend it.
  this->ExtendLease(aRequest.deadline.value_or(0ms));
  this->ForgetEnds(aRequest.lastSeen);
  if (!this->ended.empty() || aRequest.wait == 0ms) {
    aHandler(this->MakeReply());
    return;
  }
  const std::uint64_t number = ++this->lastHold;
  this->parked.push_back({ number, aHandler });
  this->Schedule(aRequest.wait, [this, number] {
    const auto found = std::find_if(
      this->parked.begin(),
      this->parked.end(),
      [number](const ParkedHold& aHold) { return aHold.number == number; });
    if (found != this->parked.end()) {
      const auto reply = std::move(found->handler);
      this->parked.erase(found);
      reply(this->MakeReply());
    }
  });
}

void
SimulatedWorker::ForgetEnds(std::uint64_t aLastSeen)
{
  const auto last = this->ended.upper_bound(aLastSeen);
  for (auto known = this->ended.begin(); known != last; ++known) {
    // An end does not count if the lease has expired since.
    if (known->second.end.kind == EndKind::Done &&
        this->lapseSeenAt < known->second.endedAt) {
      this->monitor.OnDoneAcknowledged(known->second.end.run,
                                       known->second.endedAt);
    }
  }
  this->ended.erase(this->ended.begin(), last);
}

agent::WorkerClockTime
SimulatedWorker::ClockTime() const
{
  return std::chrono::duration_cast<agent::WorkerClockTime>(
    (this->time.Now() - this->bornAt) * this->clockRate);
}

agent::HoldReply
SimulatedWorker::MakeReply() const
{
  agent::HoldReply reply;
  reply.clock = this->ClockTime();
  reply.born = this->life->born;
  for (const auto& [run, task] : this->running) {
    reply.running.push_back(task);
  }
  for (const auto& [number, known] : this->ended) {
    reply.ended.push_back(known.end);
  }
  return reply;
}

void
SimulatedWorker::End(const job::TaskRun& aRun, EndKind aKind)
{
  if (this->running.erase(aRun) == 0) {
    return;
  }
  std::uint32_t& barred = this->barredRuns[aRun.task];
  barred = std::max(barred, aRun.run);
  this->stopped += aKind == EndKind::Stopped ? 1 : 0;
  this->lapsed += aKind == EndKind::Lapsed ? 1 : 0;
  ++this->lastEnd;
  this->ended[this->lastEnd] = { { this->lastEnd, aRun, aKind, {} },
                                 this->time.Now(),
                                 {} };
  this->monitor.OnEnded(this->Name(), aRun, aKind);
  if (this->gangs.IsGang(aRun) && aKind != EndKind::Done) {
    this->gangs.OnEnded(aRun);
  }
  for (const auto& hold : std::exchange(this->parked, {})) {
    hold.handler(this->MakeReply());
  }
}

void
SimulatedWorker::OnListed(const agent::HoldReply& aReply)
{
  if (!this->life || aReply.born != this->life->born) {
    return;
  }
  const base::TimePoint now = this->time.Now();
  for (const auto& end : aReply.ended) {
    const auto found = this->ended.find(end.number);
    if (found == this->ended.end() || end.kind != EndKind::Done) {
      continue;
    }
    auto& listedAt = found->second.listedAt;
    if (!listedAt && this->onDoneListed) {
      this->onDoneListed();
    }
    if (!listedAt || *listedAt < this->disturbedUntil) {
      listedAt = now;
      this->Schedule(kListedTime, [this, number = end.number, now] {
        this->CountListed(number, now);
      });
    }
  }
}

void
SimulatedWorker::CountListed(std::uint64_t aNumber, base::TimePoint aListedAt)
{
  const auto found = this->ended.find(aNumber);
  if (found == this->ended.end() || found->second.listedAt != aListedAt ||
      this->disturbedUntil > aListedAt) {
    return;
  }
  // An end does not count if the lease has expired since.
  const KnownEnd& known = found->second;
  if (this->lapseSeenAt < known.endedAt && this->ClockTime() < this->lease) {
    this->monitor.OnDoneListed(known.end.run, known.endedAt);
  }
}

void
SimulatedWorker::CheckLease()
{
  if (this->running.empty()) {
    return;
  }
  const auto left = this->lease - this->ClockTime();
  if (left > 0ms) {
    this->Schedule(
      std::chrono::duration_cast<base::Duration>(left / this->clockRate),
      [this] { this->CheckLease(); });
    return;
  }
  while (!this->running.empty()) {
    const job::TaskRun run = this->running.begin()->first;
    this->End(run, EndKind::Lapsed);
  }
}

// Cell.

/** The log as the entries see it. */
class SimulatedCell::DelayedLog final : public journal::KeyedLog
{
public:
  DelayedLog(SimulatedTime& aTime,
             journal::KeyedLog& aLog,
             const Options& aOptions,
             LogUse& aUse)
    : appendTime(aOptions.appendTime)
    , time(aTime)
    , log(aLog)
    , takesTurns(aOptions.appendsInTurn)
    , use(aUse)
  {
  }

  journal::SizeLimits Limits() const override { return this->log.Limits(); }

  void Append(const journal::KeyedTopic& aTopic,
              std::span<const journal::KeyedValue> aRecords,
              const journal::AppendConditions& aConditions,
              journal::KeyedAppendHandler aHandler) override
  {
    if (!this->takesTurns) {
      this->log.Append(
        aTopic,
        aRecords,
        aConditions,
        [this, handler = std::move(aHandler)](const auto& aResult) {
          this->time.Schedule(this->appendTime,
                              [handler, result = aResult] { handler(result); });
        });
      return;
    }
    // Heartbeats are not counted: each one supersedes the earlier ones.
    const bool isCounted = aTopic.name == kJobTopic;
    this->use.appends += isCounted ? 1 : 0;
    const auto answer = this->AnswerOnce(std::move(aHandler), isCounted);
    base::TimePoint& busyUntil =
      this->partitions[{ aTopic.name, aTopic.partition }];
    const base::TimePoint now = this->time.Now();
    const base::TimePoint start = std::max(now, busyUntil);
    if (start - now > kMaxLogQueue) {
      this->time.Schedule(this->appendTime, [answer] {
        answer(base::Fail(base::ErrorCode::LogUnavailable, "queue"));
      });
      return;
    }
    busyUntil = start + this->appendTime;
    this->time.Schedule(
      busyUntil - now,
      [this,
       aTopic,
       records =
         std::vector<journal::KeyedValue>(aRecords.begin(), aRecords.end()),
       aConditions,
       answer] { this->log.Append(aTopic, records, aConditions, answer); });
    this->time.Schedule(aConditions.timeout, [answer] {
      answer(base::Fail(base::ErrorCode::AppendUnconfirmed, "timeout"));
    });
  }

  void Read(const journal::KeyedTopic& aTopic,
            base::LogOffset aFrom,
            base::Duration aWait,
            journal::KeyedReadHandler aHandler) override
  {
    if (!this->takesTurns) {
      this->log.Read(aTopic, aFrom, aWait, std::move(aHandler));
      return;
    }
    this->log.Read(
      aTopic,
      aFrom,
      aWait,
      [this, sentAt = this->time.Now(), handler = std::move(aHandler)](
        const auto& aResult) {
        this->time.Schedule(
          this->appendTime, [this, sentAt, handler, result = aResult] {
            this->answeredAsOf = std::max(this->answeredAsOf, sentAt);
            handler(result);
          });
      });
  }

  base::TimePoint AnsweredAsOf() const override { return this->answeredAsOf; }

  void ReadNewest(const journal::KeyedTopic& aTopic,
                  std::string_view aAfterKey,
                  journal::NewestHandler aHandler) override
  {
    this->log.ReadNewest(aTopic, aAfterKey, std::move(aHandler));
  }

  base::Duration appendTime;

private:
  static constexpr base::Duration kMaxLogQueue = 2s;

  /** Passes on the first result only. */
  journal::KeyedAppendHandler AnswerOnce(journal::KeyedAppendHandler aHandler,
                                         bool aIsCounted)
  {
    return [this,
            aIsCounted,
            handler = std::make_shared<journal::KeyedAppendHandler>(
              std::move(aHandler))](base::Result<base::LogOffset> aResult) {
      if (*handler) {
        this->use.failedAppends += aIsCounted && aResult.has_error() ? 1 : 0;
        std::exchange(*handler, nullptr)(std::move(aResult));
      }
    };
  }

  SimulatedTime& time;
  journal::KeyedLog& log;
  const bool takesTurns;
  LogUse& use;
  base::TimePoint answeredAsOf{};
  /** Until when each partition is busy with appends. */
  std::map<std::pair<std::string, std::uint32_t>, base::TimePoint> partitions;
};

/** The log as one process sees it, which may be frozen, gone or cut off. */
class SimulatedCell::GatedLog final : public journal::KeyedLog
{
public:
  GatedLog(SimulatedCell& aCell,
           journal::KeyedLog& aLog,
           std::shared_ptr<SimulatedNode> aNode)
    : cell(aCell)
    , log(aLog)
    , appendLog(*aCell.delayedLog)
    , node(std::move(aNode))
  {
  }

  journal::SizeLimits Limits() const override { return this->log.Limits(); }

  void Append(const journal::KeyedTopic& aTopic,
              std::span<const journal::KeyedValue> aRecords,
              const journal::AppendConditions& aConditions,
              journal::KeyedAppendHandler aHandler) override
  {
    const auto answer = this->Gate(std::move(aHandler),
                                   base::ErrorCode::AppendUnconfirmed,
                                   aConditions.timeout);
    if (!this->node->isUp) {
      return;
    }
    if (!this->IsCut()) {
      this->appendLog.Append(aTopic, aRecords, aConditions, answer);
      return;
    }
    // A call over a cut link may still be carried out, seconds later.
    if (this->cell.random() % 4 == 0) {
      this->cell.time.Schedule(
        std::chrono::milliseconds(this->cell.random() % 4000),
        [this,
         aTopic,
         records =
           std::vector<journal::KeyedValue>(aRecords.begin(), aRecords.end()),
         aConditions] {
          this->appendLog.Append(
            aTopic, records, aConditions, [](const auto&) {});
        });
    }
  }

  void Read(const journal::KeyedTopic& aTopic,
            base::LogOffset aFrom,
            base::Duration aWait,
            journal::KeyedReadHandler aHandler) override
  {
    if (!this->node->isUp) {
      return;
    }
    const auto answer = this->Gate(std::move(aHandler),
                                   base::ErrorCode::LogUnavailable,
                                   aWait + kConnectTimeout);
    if (!this->IsCut()) {
      this->log.Read(aTopic, aFrom, aWait, answer);
    }
  }

  base::TimePoint AnsweredAsOf() const override { return this->answeredAsOf; }

  void ReadNewest(const journal::KeyedTopic& aTopic,
                  std::string_view aAfterKey,
                  journal::NewestHandler aHandler) override
  {
    if (!this->node->isUp) {
      return;
    }
    const auto answer = this->Gate(
      std::move(aHandler), base::ErrorCode::LogUnavailable, kConnectTimeout);
    if (!this->IsCut()) {
      this->log.ReadNewest(aTopic, aAfterKey, answer);
    }
  }

private:
  bool IsCut() const
  {
    return this->cell.network.IsCut(this->node->name, "log");
  }

  /** Passes on one result, unless the process is gone; fails at the timeout. */
  template<typename Handler>
  Handler Gate(Handler aHandler,
               base::ErrorCode aError,
               base::Duration aTimeout)
  {
    const auto once = std::make_shared<Handler>(std::move(aHandler));
    this->cell.time.Schedule(aTimeout, [this, once, aError] {
      this->PassOn(once, base::Fail(aError));
    });
    return [this, once, sentAt = this->cell.time.Now()](const auto& aResult) {
      if (!this->IsCut()) {
        if (*once && this->node->isUp) {
          this->answeredAsOf = std::max(this->answeredAsOf, sentAt);
        }
        this->PassOn(once, aResult);
      }
    };
  }

  template<typename Handler, typename Answer>
  void PassOn(const std::shared_ptr<Handler>& aHandler, const Answer& aAnswer)
  {
    if (!*aHandler || !this->node->isUp) {
      return;
    }
    const base::TimePoint now = this->cell.time.Now();
    if (this->node->frozenUntil > now) {
      this->cell.time.Schedule(
        this->node->frozenUntil - now,
        [this, aHandler, aAnswer] { this->PassOn(aHandler, aAnswer); });
      return;
    }
    std::exchange(*aHandler, nullptr)(aAnswer);
  }

  SimulatedCell& cell;
  journal::KeyedLog& log;
  /** Takes time for an append, whoever sends it. */
  journal::KeyedLog& appendLog;
  const std::shared_ptr<SimulatedNode> node;
  base::TimePoint answeredAsOf{};
};

class SimulatedCell::TraceSink final : public telemetry::LogSink
{
public:
  TraceSink(SimulatedCell& aCell, std::string aName)
    : cell(aCell)
    , name(std::move(aName))
  {
  }
  bool IsEnabled(telemetry::LogLevel aLevel) const noexcept override
  {
    return this->cell.options.trace != nullptr &&
           aLevel >= telemetry::LogLevel::Info;
  }
  void Write(telemetry::LogLevel, std::string_view aLine) noexcept override
  {
    this->cell.Trace(this->name, std::string(aLine));
  }

private:
  SimulatedCell& cell;
  const std::string name;
};

/** Tells a coordinator the evacuated zones, as of when they were read. */
class SimulatedCell::EvacuationFollower final : public journal::FollowerObserver
{
public:
  EvacuationFollower(const base::Clock& aClock,
                     base::Executor& aExecutor,
                     journal::KeyedLog& aLog,
                     Coordinator& aCoordinator)
    : coordinator(aCoordinator)
    , follower({ .topic = { std::string(kEvacuationTopic), 0 } },
               aClock,
               aExecutor,
               aLog,
               *this)
  {
  }
  void Start() { this->follower.Start(); }

  void OnLoaded(std::span<const journal::KeyedRecord> aNewest) override
  {
    this->zones.clear();
    this->OnRecords(aNewest);
  }
  void OnRecords(std::span<const journal::KeyedRecord> aRecords) override
  {
    for (const auto& record : aRecords) {
      if (record.value.empty()) {
        this->zones.erase(base::ZoneId(record.key));
      } else {
        this->zones.insert(base::ZoneId(record.key));
      }
    }
  }
  void OnCurrent(base::TimePoint aAsOf) override
  {
    this->coordinator.SetEvacuations({ this->zones.begin(), this->zones.end() },
                                     aAsOf);
  }
  void OnUnavailable(const base::Error&) override {}

private:
  Coordinator& coordinator;
  std::set<base::ZoneId> zones;
  journal::KeyedFollower follower;
};

struct SimulatedCell::Entry
{
  Entry(SimulatedCell& aCell, std::uint32_t aNumber, std::uint64_t aIncarnation)
    : node(std::make_shared<SimulatedNode>(
        SimulatedNode{ "entry-" + std::to_string(aNumber), true, {} }))
    , sink(aCell, node->name)
    , log(aCell, *aCell.delayedLog, node)
    , process(aCell.time.AddProcess(aCell.options.costs.perTask))
    , heartbeats(aCell.time.AddProcess({}))
    , progressClock(aCell.time, process)
    , executor(process, progressClock)
    , codec(aCell.time, aCell.options.costs.perRecordTask)
    , logger(sink, aCell.time, "coordinator")
    , coordinator(MakeOptions(aCell, node->name, aIncarnation),
                  aCell.time,
                  executor,
                  heartbeats,
                  aCell.network.MakePorts(node),
                  aCell.options.repeatsRegistrations
                    ? static_cast<journal::KeyedLog&>(log)
                    : *aCell.delayedLog,
                  codec,
                  logger,
                  metrics)
    , evacuations(aCell.time, heartbeats, log, coordinator)
  {
  }

  static CoordinatorOptions MakeOptions(SimulatedCell& aCell,
                                        const std::string& aName,
                                        std::uint64_t aIncarnation)
  {
    CoordinatorOptions options;
    options.self = base::EntryId(aName);
    options.incarnation = base::Incarnation(aIncarnation);
    options.innerListen = aName + ":1";
    options.evacuationLimit = aCell.options.evacuationLimit;
    options.makePacking = [&aCell] {
      return std::make_unique<ChargedPacking>(
        aCell.time, aCell.options.costs.perPackedWorker);
    };
    options.makeLearner = aCell.options.makeLearner;
    return options;
  }

  std::shared_ptr<SimulatedNode> node;
  TraceSink sink;
  GatedLog log;
  SimulatedTime::Process& process;
  SimulatedTime::Process& heartbeats;
  SimulatedTime::ProgressClock progressClock;
  base::ProgressExecutor executor;
  ChargedCodec codec;
  telemetry::Logger logger;
  telemetry::Metrics metrics;
  Coordinator coordinator;
  EvacuationFollower evacuations;
};

/** How requests to a worker, and its registrations, go wrong for some time. */
struct SimulatedCell::CallFaults
{
  base::TimePoint until{};
  std::mt19937_64 random;
};

/** An agent's requests to the worker on its VM. */
class SimulatedCell::WorkerLink final : public agent::WorkerPort
{
public:
  WorkerLink(SimulatedCell& aCell,
             Vm& aVm,
             std::shared_ptr<SimulatedNode> aNode)
    : cell(aCell)
    , vm(aVm)
    , node(std::move(aNode))
  {
  }
  void Start(const agent::StartRequest& aRequest,
             std::function<void(WorkerRequestReply)> aHandler) override
  {
    this->Call("start " + job::ToText(aRequest.run.task) + "#" +
                 std::to_string(aRequest.run.run),
               kRequestTimeout,
               WorkerRequestReply{ WorkerRequestResult::NoReply, {} },
               std::move(aHandler),
               [aRequest](SimulatedWorker& aWorker, const auto& aAnswer) {
                 aWorker.Start(aRequest, aAnswer);
               });
  }
  void Stop(const agent::StopRequest& aRequest,
            std::function<void(WorkerRequestReply)> aHandler) override
  {
    this->Call("stop " + job::ToText(aRequest.run.task) + "#" +
                 std::to_string(aRequest.run.run),
               kRequestTimeout,
               WorkerRequestReply{ WorkerRequestResult::NoReply, {} },
               std::move(aHandler),
               [aRequest](SimulatedWorker& aWorker, const auto& aAnswer) {
                 aWorker.Stop(aRequest, aAnswer);
               });
  }
  void Hold(
    const agent::HoldRequest& aRequest,
    std::function<void(base::Result<agent::HoldReply>)> aHandler) override
  {
    this->Call(
      "hold last-seen " + std::to_string(aRequest.lastSeen),
      aRequest.wait + kHoldMargin,
      base::Result<agent::HoldReply>(base::Fail(base::ErrorCode::TimedOut)),
      std::function<void(base::Result<agent::HoldReply>)>(
        [this, handler = std::move(aHandler)](
          const base::Result<agent::HoldReply>& aReply) {
          if (aReply.has_value()) {
            this->OnListed(aReply.value());
          }
          handler(aReply);
        }),
      [aRequest](SimulatedWorker& aWorker, const auto& aAnswer) {
        aWorker.Hold(aRequest, aAnswer);
      });
  }

private:
  template<typename Reply, typename Action>
  void Call(const std::string& aText,
            base::Duration aTimeout,
            const Reply& aNoReply,
            std::function<void(Reply)> aHandler,
            Action aAction);
  void OnListed(const agent::HoldReply& aReply);

  SimulatedCell& cell;
  Vm& vm;
  const std::shared_ptr<SimulatedNode> node;
};

struct SimulatedCell::Agent
{
  Agent(SimulatedCell& aCell, Vm& aVm);

  std::shared_ptr<SimulatedNode> node;
  TraceSink sink;
  GatedLog log;
  SimulatedTime::Process& process;
  telemetry::Logger logger;
  WorkerLink worker;
  agent::CoordinatorLink link;
  telemetry::Metrics metrics;
  agent::KeyedEndLog endLog{ log };
  agent::EndRecorder endRecorder;
  agent::WorkerAgent agent;
};

struct SimulatedCell::Vm
{
  Vm(SimulatedCell& aCell, std::uint32_t aNumber)
    : number(aNumber)
    , name("vm-" + std::to_string(aNumber))
    , worker(aCell.time,
             aCell.monitor,
             aCell.gangs,
             aCell.options.taskTime + aCell.options.taskTimeStep * aNumber)
  {
    this->worker.checkpointBytes = aCell.options.checkpointBytes;
    this->worker.stopTime = aCell.options.stopTime;
    this->worker.onStarted = [this, &aCell] {
      aCell.CheckEvacuation(*this);
      aCell.OnTrigger(FaultTrigger::StartAccepted);
    };
    this->worker.onDoneListed = [&aCell] {
      aCell.OnTrigger(FaultTrigger::DoneListed);
    };
  }

  const std::uint32_t number;
  const std::string name;
  std::uint32_t workerIds = 0;
  std::uint64_t registrations = 0;
  bool isLeaving = false;
  CallFaults callFaults;
  SimulatedWorker worker;
  std::unique_ptr<Agent> agent;
};

void
SimulatedCell::WorkerLink::OnListed(const agent::HoldReply& aReply)
{
  this->vm.worker.OnListed(aReply);
}

template<typename Reply, typename Action>
void
SimulatedCell::WorkerLink::Call(const std::string& aText,
                                base::Duration aTimeout,
                                const Reply& aNoReply,
                                std::function<void(Reply)> aHandler,
                                Action aAction)
{
  const auto once =
    std::make_shared<std::function<void(Reply)>>(std::move(aHandler));
  const std::function<void(Reply)> answer = [this, once](const Reply& aReply) {
    if (*once && this->node->isUp) {
      std::exchange(*once, nullptr)(aReply);
    }
  };
  this->cell.time.Schedule(aTimeout, [answer, aNoReply] { answer(aNoReply); });
  const auto carryOut = [this, aAction](base::Duration aDelay,
                                        std::function<void(Reply)> aAnswer) {
    this->cell.time.Schedule(
      aDelay, [this, aAction, aAnswer] { aAction(this->vm.worker, aAnswer); });
  };
  const std::function<void(Reply)> noAnswer = [](const Reply&) {};
  const std::function<void(Reply)> answerUnlessCut =
    [this, answer](const Reply& aReply) {
      if (!this->cell.network.IsCut(this->vm.name, this->vm.name + "-worker")) {
        answer(aReply);
      }
    };
  CallFaults& callFaults = this->vm.callFaults;
  const bool isDisturbed = this->cell.time.Now() < callFaults.until;
  const bool isCut =
    this->cell.network.IsCut(this->vm.name, this->vm.name + "-worker");
  if (!isDisturbed && !isCut) {
    carryOut(kWorkerLatency, answerUnlessCut);
    return;
  }
  auto& random = callFaults.random;
  const auto lateBy = [&random] {
    return 2000ms + std::chrono::milliseconds(random() % 10'000);
  };
  const auto fate = random() % 8;
  if (isCut || fate >= 3) {
    this->cell.Trace(this->vm.name,
                     "call " + aText + " fate " + std::to_string(fate) +
                       (isCut ? " cut" : ""));
  }
  if (isCut) {
    if (fate < 2) {
      carryOut(lateBy(), noAnswer);
    }
  } else if (fate < 3) {
    carryOut(kWorkerLatency, answerUnlessCut);
  } else if (fate == 3) {
    carryOut(kWorkerLatency, noAnswer);
  } else if (fate == 4) {
    // Lost.
  } else if (fate == 5) {
    carryOut(lateBy(), noAnswer);
  } else if (fate == 6) {
    carryOut(kWorkerLatency, answerUnlessCut);
    carryOut(lateBy(), noAnswer);
  } else {
    carryOut(lateBy(), noAnswer);
    carryOut(lateBy(), noAnswer);
  }
}

SimulatedCell::Agent::Agent(SimulatedCell& aCell, Vm& aVm)
  : node(std::make_shared<SimulatedNode>(SimulatedNode{ aVm.name, true, {} }))
  , sink(aCell, aVm.name)
  , log(aCell, aCell.log, node)
  , process(aCell.time.AddProcess({}))
  , logger(sink, aCell.time, "agent")
  , worker(aCell, aVm, node)
  , link(aCell.time,
         process,
         aCell.network.MakePorts(node),
         aCell.options.repeatsRegistrations
           ? static_cast<journal::KeyedLog&>(log)
           : aCell.log,
         logger)
  , endRecorder({ .agent = base::AgentId(aVm.name) },
                aCell.time,
                process,
                endLog,
                logger,
                metrics)
  , agent({ .id = base::AgentId(aVm.name) },
          aCell.time,
          process,
          worker,
          link,
          endRecorder,
          logger)
{
  this->process.Post([this] {
    this->link.Start(this->agent);
    this->agent.Start();
  });
}

SimulatedCell::SimulatedCell(const Options& aOptions)
  : options(aOptions)
  , network(this->time, aOptions.costs.perSentMessage)
  , delayedLog(
      std::make_unique<DelayedLog>(this->time, this->log, aOptions, this->use))
  , monitor(this->time)
  , gangs(this->time, aOptions.taskTime)
{
  this->log.maxAppendBytes = aOptions.maxAppendBytes;
  this->log.limits = aOptions.toldLimits;
  if (aOptions.trace) {
    this->monitor.onEvent = [this](const std::string& aText) {
      this->Trace("worker", aText);
    };
  }
  this->monitor.isDoneInLog = [this](const job::TaskId& aTask) {
    return this->IsDoneInLog(aTask);
  };
  this->monitor.isGang = [this](const job::TaskRun& aRun) {
    return this->gangs.IsGang(aRun);
  };
  for (std::uint32_t i = 0; i < aOptions.entries; ++i) {
    this->entryIncarnations.push_back(0);
    this->entries.emplace_back();
    this->StartEntry(i);
  }
  for (std::uint32_t i = 0; i < aOptions.workers; ++i) {
    this->vms.push_back(std::make_unique<Vm>(*this, i));
    this->StartAgent(*this->vms.back());
    this->StartWorker(*this->vms.back(), false);
    if (aOptions.repeatsRegistrations) {
      this->RegistrationLoop(*this->vms.back());
    }
  }
}

void
SimulatedCell::Trace(const std::string& aSource, const std::string& aText)
{
  if (this->options.trace) {
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                      this->time.Now().time_since_epoch()) -
                    1h;
    this->options.trace(std::to_string(ms.count()) + " " + aSource + " " +
                        aText);
  }
}

void
SimulatedCell::KillEntry(std::size_t aEntry, bool aHasLostPower)
{
  if (this->entries[aEntry] == nullptr) {
    return;
  }
  Entry& entry = *this->entries[aEntry];
  this->network.Remove(*entry.node, aHasLostPower);
  entry.process.Kill();
  entry.heartbeats.Kill();
  this->endedEntries.push_back(std::move(this->entries[aEntry]));
}

void
SimulatedCell::StartEntry(std::size_t aEntry)
{
  if (this->entries[aEntry] == nullptr) {
    this->entries[aEntry] =
      std::make_unique<Entry>(*this,
                              static_cast<std::uint32_t>(aEntry),
                              ++this->entryIncarnations[aEntry]);
    (void)this->entries[aEntry]->coordinator.Start();
    if (this->options.evacuationLimit) {
      this->entries[aEntry]->evacuations.Start();
    }
  }
}

void
SimulatedCell::DisturbAgent(Vm& aVm, base::Duration aLength)
{
  aVm.worker.Disturb(this->time.Now() + aLength);
}

void
SimulatedCell::DisturbLogOf(Vm& aVm, base::Duration aLength)
{
  this->DisturbAgent(aVm, aLength + kContactTime);
}

void
SimulatedCell::KillAgent(Vm& aVm, bool aHasLostPower)
{
  this->DisturbAgent(aVm, 0ms);
  if (aVm.agent != nullptr) {
    this->network.Remove(*aVm.agent->node, aHasLostPower);
    aVm.agent->process.Kill();
    this->endedAgents.push_back(std::move(aVm.agent));
  }
}

void
SimulatedCell::StartAgent(Vm& aVm)
{
  if (aVm.agent == nullptr) {
    aVm.agent = std::make_unique<Agent>(*this, aVm);
  }
}

void
SimulatedCell::StartWorker(Vm& aVm, bool aKeepsId)
{
  if (aVm.worker.life) {
    return;
  }
  if (!aKeepsId) {
    ++aVm.workerIds;
  }
  aVm.isLeaving = false;
  aVm.registrations = 0;
  const auto born = std::chrono::duration_cast<std::chrono::milliseconds>(
                      this->time.WallNow().time_since_epoch())
                      .count();
  aVm.worker.Begin(
    { base::TargetId("w-" + std::to_string(aVm.number) + "-" +
                     std::to_string(aVm.workerIds)),
      static_cast<std::uint64_t>(born) },
    this->options.hasSlowClocks && aVm.number % 2 == 1 ? kSlowClockRate : 1);
  this->Register(aVm, false);
}

void
SimulatedCell::Register(Vm& aVm, bool aIsDraining)
{
  dispatch::WorkerInfo info;
  info.life = *aVm.worker.life;
  info.pool = base::PoolId("pool");
  info.zone = ZoneOf(aVm.number);
  info.rack = base::RackId("r" + std::to_string(aVm.number / 8));
  info.capacity = { 64'000, 262'144, 8 };
  info.isDraining = aIsDraining;
  const auto deliver = [this, &aVm, info, sequence = ++aVm.registrations] {
    if (aVm.agent != nullptr &&
        !this->network.IsCut(aVm.name, aVm.name + "-worker")) {
      aVm.agent->process.Post([agent = aVm.agent.get(), info, sequence] {
        agent->agent.OnRegistration(info, sequence);
      });
    }
  };
  if (this->time.Now() >= aVm.callFaults.until) {
    deliver();
    return;
  }
  const auto fate = aVm.callFaults.random() % 4;
  if (fate < 2) {
    deliver();
  } else if (fate == 2) {
    this->time.Schedule(
      std::chrono::milliseconds(aVm.callFaults.random() % 8000), deliver);
  }
}

void
SimulatedCell::RegistrationLoop(Vm& aVm)
{
  this->time.Schedule(kRegistrationInterval, [this, &aVm] {
    if (aVm.worker.life) {
      this->Register(aVm, aVm.isLeaving);
    }
    this->RegistrationLoop(aVm);
  });
}

bool
SimulatedCell::IsDoneInLog(const job::TaskId& aTask)
{
  const auto& newest =
    this->log.PartitionOf({ std::string(kJobTopic), 0 }).newest;
  const auto found = newest.find(ledger::StepKey(aTask.step));
  if (found == newest.end()) {
    return false;
  }
  const auto step = codec::LedgerCodec().DecodeStep(found->second.value);
  return step.has_value() &&
         std::any_of(step.value().tasks.begin(),
                     step.value().tasks.end(),
                     [&](const ledger::TaskRecord& aRecord) {
                       return aRecord.index == aTask.index &&
                              aRecord.phase == ledger::TaskPhase::Done;
                     });
}

void
SimulatedCell::Deregister(Vm& aVm, bool aLosesAnswer)
{
  static constexpr base::Duration kAnswerTimeout = 1s;
  constexpr base::Duration kUnansweredTime = 3s;
  const auto end = [this, &aVm, life = aVm.worker.lifeNumber] {
    if (aVm.worker.lifeNumber == life) {
      aVm.worker.Crash();
    }
  };
  this->time.Schedule(kUnansweredTime, end);
  // 0: answered, 1: the request is lost, 2: the answer is lost.
  const bool isDisturbed = this->time.Now() < aVm.callFaults.until;
  const auto fate = aLosesAnswer  ? 2
                    : isDisturbed ? aVm.callFaults.random() % 3
                                  : 0;
  const auto isCut = [this, &aVm] {
    return this->network.IsCut(aVm.name, aVm.name + "-worker");
  };
  if (aVm.agent == nullptr || isCut() || fate == 1) {
    return;
  }
  aVm.agent->process.Post([this,
                           agent = aVm.agent.get(),
                           life = *aVm.worker.life,
                           sentAt = this->time.Now(),
                           isCut,
                           end,
                           fate] {
    agent->agent.OnDeregistration(life);
    if (fate == 0 && !isCut() && this->time.Now() - sentAt < kAnswerTimeout) {
      this->time.Schedule(kWorkerLatency, end);
    }
  });
}

void
SimulatedCell::Inject(const Fault& aFault)
{
  this->time.Schedule(aFault.at, [this, aFault] {
    if (aFault.trigger == FaultTrigger::Time) {
      this->Begin(aFault);
    } else {
      this->waitingFaults.push_back(aFault);
    }
  });
}

base::ZoneId
SimulatedCell::ZoneOf(std::uint32_t aVm)
{
  return base::ZoneId("z" + std::to_string(aVm % 2));
}

void
SimulatedCell::Evacuate(const base::ZoneId& aZone,
                        base::Duration aAt,
                        base::Duration aLength)
{
  this->time.Schedule(aAt, [this, aZone] { this->SetEvacuated(aZone, true); });
  this->time.Schedule(aAt + aLength,
                      [this, aZone] { this->SetEvacuated(aZone, false); });
}

void
SimulatedCell::SetEvacuated(const base::ZoneId& aZone, bool aIsEvacuated)
{
  this->Trace("operator",
              (aIsEvacuated ? "evacuate " : "take back ") + aZone.Text());
  const journal::KeyedValue record{ aZone.Text(), aIsEvacuated ? "{}" : "" };
  this->log.Append({ std::string(kEvacuationTopic), 0 },
                   { &record, 1 },
                   {},
                   [](const auto&) {});
  if (aIsEvacuated) {
    this->evacuatedSince.try_emplace(aZone, this->time.Now());
  } else {
    this->evacuatedSince.erase(aZone);
  }
}

void
SimulatedCell::CheckEvacuation(const Vm& aVm)
{
  const auto found = this->evacuatedSince.find(ZoneOf(aVm.number));
  if (this->options.evacuationLimit && found != this->evacuatedSince.end() &&
      this->time.Now() - found->second > *this->options.evacuationLimit) {
    this->monitor.violations.push_back("start on " + aVm.name +
                                       " in an evacuated zone");
  }
}

void
SimulatedCell::OnTrigger(FaultTrigger aTrigger)
{
  std::erase_if(this->waitingFaults, [&](const Fault& aFault) {
    if (aFault.trigger != aTrigger) {
      return false;
    }
    const std::uint64_t maxDelay = aTrigger == FaultTrigger::DoneListed
                                     ? kMaxListedDelayMs
                                     : kMaxTriggerDelayMs;
    this->time.Schedule(std::chrono::milliseconds(aFault.seed % maxDelay),
                        [this, aFault] { this->Begin(aFault); });
    return true;
  });
}

void
SimulatedCell::Begin(const Fault& aFault)
{
  this->Trace("fault",
              "kind " + std::to_string(static_cast<unsigned>(aFault.kind)) +
                " targets " + std::to_string(aFault.targets));
  std::mt19937_64 draw(aFault.seed);
  std::vector<std::size_t> hitEntries;
  std::vector<Vm*> hitVms;
  const bool hitsAll = aFault.kind == FaultKind::PowerLossOfAll ||
                       aFault.kind == FaultKind::KillAllProcesses;
  for (std::size_t i = 0; i < this->entries.size(); ++i) {
    if (hitsAll || ((aFault.targets >> i) & 1U) != 0) {
      hitEntries.push_back(i);
    }
  }
  for (std::size_t i = 0; i < this->vms.size(); ++i) {
    if (hitsAll || ((aFault.targets >> i) & 1U) != 0) {
      hitVms.push_back(this->vms[i].get());
    }
  }
  const auto restartEntries = [&](bool aHasLostPower) {
    for (const std::size_t entry : hitEntries) {
      this->KillEntry(entry, aHasLostPower);
      this->time.Schedule(aFault.length +
                            std::chrono::milliseconds(draw() % 500),
                          [this, entry] { this->StartEntry(entry); });
    }
  };
  const auto restartAgents = [&](bool aHasLostPower) {
    for (Vm* const vm : hitVms) {
      this->KillAgent(*vm, aHasLostPower);
      this->time.Schedule(aFault.length +
                            std::chrono::milliseconds(draw() % 500),
                          [this, vm] { this->StartAgent(*vm); });
    }
  };
  const auto restartWorkers = [&](bool aKeepsId, base::Duration aLength) {
    for (Vm* const vm : hitVms) {
      vm->worker.Crash();
      this->time.Schedule(
        aLength + std::chrono::milliseconds(draw() % 500),
        [this, vm, aKeepsId] { this->StartWorker(*vm, aKeepsId); });
    }
  };
  const auto cut = [&](const std::string& aNode, const std::string& aOther) {
    this->network.Cut(aNode, aOther);
    this->time.Schedule(aFault.length, [this, aNode, aOther] {
      this->network.Restore(aNode, aOther);
    });
  };
  switch (aFault.kind) {
    case FaultKind::KillEntries:
      restartEntries(draw() % 2 == 0);
      break;
    case FaultKind::KillAgents:
      restartAgents(false);
      break;
    case FaultKind::PowerLossOfVms:
      restartAgents(true);
      restartWorkers(false, aFault.length);
      break;
    case FaultKind::PowerLossOfAll:
      restartEntries(true);
      restartAgents(true);
      restartWorkers(false, aFault.length);
      break;
    case FaultKind::KillAllProcesses:
      restartEntries(false);
      restartAgents(false);
      break;
    case FaultKind::CrashWorkers:
      restartWorkers(false, aFault.length);
      break;
    case FaultKind::CrashWorkersSameId:
      restartWorkers(true, draw() % 2 == 0 ? 0ms : aFault.length);
      break;
    case FaultKind::LeavingWorkers:
    case FaultKind::UnansweredLeavingWorkers:
      for (Vm* const vm : hitVms) {
        if (!vm->worker.life) {
          continue;
        }
        vm->isLeaving = true;
        this->Register(*vm, true);
        this->time.Schedule(
          1500ms, [this, vm, life = vm->worker.lifeNumber, fault = aFault] {
            if (vm->worker.lifeNumber != life) {
              return;
            }
            this->Deregister(*vm,
                             fault.kind == FaultKind::UnansweredLeavingWorkers);
            this->time.Schedule(3500ms + fault.length,
                                [this, vm] { this->StartWorker(*vm, false); });
          });
      }
      break;
    case FaultKind::FreezeEntries:
      for (const std::size_t entry : hitEntries) {
        if (this->entries[entry] != nullptr) {
          Entry& frozen = *this->entries[entry];
          this->network.Freeze(*frozen.node, aFault.length);
          frozen.process.busyUntil = frozen.node->frozenUntil;
          frozen.heartbeats.busyUntil = frozen.node->frozenUntil;
        }
      }
      break;
    case FaultKind::FreezeAgents:
      for (Vm* const vm : hitVms) {
        if (vm->agent != nullptr) {
          this->network.Freeze(*vm->agent->node, aFault.length);
          vm->agent->process.busyUntil = vm->agent->node->frozenUntil;
          this->DisturbAgent(*vm, aFault.length);
        }
      }
      break;
    case FaultKind::CutEntriesFromLog:
      for (const std::size_t entry : hitEntries) {
        cut("entry-" + std::to_string(entry), "log");
      }
      break;
    case FaultKind::CutAgentsFromLog:
      for (Vm* const vm : hitVms) {
        cut(vm->name, "log");
        this->DisturbLogOf(*vm, aFault.length);
      }
      break;
    case FaultKind::CutAgentsFromEntries:
      for (Vm* const vm : hitVms) {
        for (std::size_t i = 0; i < this->entries.size(); ++i) {
          cut(vm->name, "entry-" + std::to_string(i));
        }
      }
      break;
    case FaultKind::CutEntriesFromEntries:
      for (const std::size_t entry : hitEntries) {
        for (std::size_t i = 0; i < this->entries.size(); ++i) {
          if (i != entry) {
            cut("entry-" + std::to_string(entry), "entry-" + std::to_string(i));
          }
        }
      }
      break;
    case FaultKind::CutAgentsFromWorkers:
      for (Vm* const vm : hitVms) {
        vm->callFaults.random.seed(draw());
        cut(vm->name, vm->name + "-worker");
        this->DisturbAgent(*vm, aFault.length);
      }
      break;
    case FaultKind::DisturbWorkerCalls:
      for (Vm* const vm : hitVms) {
        vm->callFaults.random.seed(draw());
        vm->callFaults.until =
          std::max(vm->callFaults.until, this->time.Now() + aFault.length);
        this->DisturbAgent(*vm, aFault.length);
      }
      break;
  }
}

void
SimulatedCell::SubmitUntilAccepted(const job::WorkflowSpec& aSpec)
{
  this->jobs.push_back(aSpec.id);
  for (std::uint32_t i = 0; i < aSpec.steps.size(); ++i) {
    if (aSpec.steps[i].isGang) {
      this->gangs.sizes[{ aSpec.id, 0, i }] = aSpec.steps[i].count;
    }
  }
  this->TrySubmit(aSpec, 0);
}

void
SimulatedCell::TrySubmit(const job::WorkflowSpec& aSpec, std::uint32_t aAttempt)
{
  constexpr std::uint32_t kMaxAttempts = 30;
  if (this->acceptedJobs.contains(aSpec.id) || aAttempt >= kMaxAttempts) {
    return;
  }
  this->time.Schedule(
    2500ms, [this, aSpec, aAttempt] { this->TrySubmit(aSpec, aAttempt + 1); });
  const auto& entry = this->entries[this->random() % this->entries.size()];
  if (entry == nullptr || entry->node->frozenUntil > this->time.Now()) {
    return;
  }
  job::WorkflowSpec spec = aSpec;
  spec.acceptedAt = this->time.WallNow();
  entry->coordinator.Submit(
    std::move(spec),
    2s,
    [this, id = aSpec.id, node = entry->node](const auto& aResult) {
      if (aResult.has_value() && node->isUp) {
        this->acceptedJobs.insert(id);
        this->Trace("client", "accepted " + std::string(id.Text()));
        this->OnTrigger(FaultTrigger::JobAccepted);
      }
    });
}

const std::vector<std::string>&
SimulatedCell::Violations() const
{
  return this->monitor.violations;
}

std::vector<std::string>
SimulatedCell::Unfinished()
{
  std::vector<std::string> unfinished;
  for (const auto& job : this->acceptedJobs) {
    this->entries.front()->coordinator.Find(job, [&](const auto& aStatus) {
      if (aStatus.has_error() ||
          aStatus.value().phase != ledger::JobPhase::Completed) {
        unfinished.push_back(
          std::string(job.Text()) + " " +
          (aStatus.has_error()
             ? base::Describe(aStatus.error())
             : std::to_string(static_cast<unsigned>(aStatus.value().phase))));
      }
    });
  }
  return unfinished;
}

SimulatedCell::~SimulatedCell() = default;

void
SimulatedCell::Submit(const job::WorkflowSpec& aSpec, std::size_t aEntry)
{
  this->jobs.push_back(aSpec.id);
  job::WorkflowSpec spec = aSpec;
  spec.acceptedAt = this->time.WallNow();
  this->entries[aEntry]->coordinator.Submit(
    std::move(spec),
    3s,
    [this, sentAt = this->time.Now()](const auto& aResult) {
      ++(aResult.has_value() ? this->use.accepted : this->use.notAccepted);
      this->use.maxAcceptTime =
        std::max(this->use.maxAcceptTime, this->time.Now() - sentAt);
    });
}

void
SimulatedCell::SetAppendTime(base::Duration aTime)
{
  this->delayedLog->appendTime = aTime;
  if (aTime > this->options.appendTime) {
    for (const auto& vm : this->vms) {
      vm->worker.Disturb(base::TimePoint::max());
    }
  }
}

void
SimulatedCell::Run(base::Duration aTime)
{
  const base::TimePoint end = this->time.Now() + aTime;
  while (this->time.Now() < end) {
    this->time.Run(std::min(end, this->nextReadTimeout) - this->time.Now());
    if (this->time.Now() >= this->nextReadTimeout) {
      this->log.TimeOutWaitingReads();
      this->nextReadTimeout = this->time.Now() + kLogReadTimeout;
    }
  }
}

std::size_t
SimulatedCell::Completed() const
{
  std::size_t count = 0;
  for (const auto& job : this->jobs) {
    this->entries.front()->coordinator.Find(job, [&](const auto& aStatus) {
      count += aStatus.has_value() &&
                   aStatus.value().phase == ledger::JobPhase::Completed
                 ? 1
                 : 0;
    });
  }
  return count;
}

std::size_t
SimulatedCell::Placed()
{
  std::set<base::JobId> placed;
  for (const auto& [key, record] :
       this->log.PartitionOf({ std::string(kJobTopic), 0 }).newest) {
    const auto parsed = ledger::ParseKey(key);
    if (parsed.kind == ledger::RecordKind::Step) {
      placed.insert(parsed.step.job);
    }
  }
  return placed.size();
}

void
SimulatedCell::CloseConnections(base::Duration aDelay)
{
  this->time.Schedule(aDelay, [this] { this->network.CloseAll(); });
}

bool
SimulatedCell::HasConcurrentRuns() const
{
  std::set<job::TaskId> tasks;
  for (const auto& vm : this->vms) {
    for (const auto& [run, task] : vm->worker.running) {
      if (!tasks.insert(run.task).second) {
        return true;
      }
    }
  }
  return false;
}

int
SimulatedCell::Interrupted() const
{
  int interrupted = 0;
  for (const auto& vm : this->vms) {
    interrupted += vm->worker.stopped + vm->worker.lapsed;
  }
  return interrupted;
}

std::uint32_t
SimulatedCell::HighestRun() const
{
  std::uint32_t highest = 0;
  for (const auto& vm : this->vms) {
    highest = std::max(highest, vm->worker.highestRun);
  }
  return highest;
}

std::size_t
SimulatedCell::StepRecords()
{
  const auto& records =
    this->log.PartitionOf({ std::string("jobs"), 0 }).records;
  return static_cast<std::size_t>(
    std::count_if(records.begin(), records.end(), [](const auto& aRecord) {
      return ledger::ParseKey(aRecord.key).kind == ledger::RecordKind::Step;
    }));
}

std::vector<std::string>
SimulatedCell::RecordsOf(std::string_view aKey)
{
  std::vector<std::string> values;
  for (const auto& record :
       this->log.PartitionOf({ std::string("jobs"), 0 }).records) {
    if (record.key == aKey) {
      values.push_back(record.value);
    }
  }
  return values;
}

void
SimulatedCell::WriteRecord(const journal::KeyedValue& aRecord)
{
  this->log.Append({ std::string("jobs"), 0 },
                   std::span(&aRecord, 1),
                   {},
                   [](const base::Result<base::LogOffset>&) {});
}

std::size_t
SimulatedCell::Elections()
{
  return this->log.PartitionOf({ std::string(membership::kLeaderTopic), 0 })
    .records.size();
}

} // namespace amaranthwind::coordinator
