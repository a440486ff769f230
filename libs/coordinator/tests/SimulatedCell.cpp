#include "SimulatedCell.h"

#include "DispatchRunner.h"
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

class NullLogSink final : public telemetry::LogSink
{
public:
  bool IsEnabled(telemetry::LogLevel) const noexcept override { return false; }
  void Write(telemetry::LogLevel, std::string_view) noexcept override {}
};

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
  this->tasks.emplace(this->time.now + aDelay, std::move(aTask));
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
  Port(SimulatedNetwork& aNetwork, protocol::MessageHandler& aHandler)
    : network(aNetwork)
    , handler(aHandler)
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
        const auto found = this->network.listeners.find(address);
        if (found == this->network.listeners.end()) {
          this->handler.OnClosed(own, { base::ErrorCode::ConnectFailed, {} });
          return;
        }
        Port* const peer = found->second;
        this->network.peers[{ this, own }] = { peer, other };
        this->network.peers[{ peer, other }] = { this, own };
        peer->handler.OnOpened(other, true, "client");
        this->handler.OnOpened(own, false, address);
      });
    return own;
  }

  void Send(ConnectionId aConnection,
            const protocol::Message& aMessage) override
  {
    this->network.time.Charge(this->network.costPerMessage);
    this->network.time.Schedule(
      kNetworkLatency, [this, aConnection, message = aMessage] {
        const auto found = this->network.peers.find({ this, aConnection });
        if (found != this->network.peers.end()) {
          found->second.port->handler.OnMessage(
            found->second.connection,
            { protocol::CorrelationId(0), false, message });
        }
      });
  }

  void Close(ConnectionId aConnection) override
  {
    // Messages that were sent before still arrive.
    this->network.time.Schedule(kNetworkLatency, [this, aConnection] {
      const auto found = this->network.peers.find({ this, aConnection });
      if (found == this->network.peers.end()) {
        return;
      }
      const Peer peer = found->second;
      this->network.peers.erase(found);
      this->network.peers.erase({ peer.port, peer.connection });
      const base::Error reason{ base::ErrorCode::ConnectionClosed, {} };
      this->handler.OnClosed(aConnection, reason);
      peer.port->handler.OnClosed(peer.connection, reason);
    });
  }

  void SetLiveness(ConnectionId,
                   std::chrono::milliseconds,
                   std::chrono::milliseconds) override
  {
    // Connections stay open until they are closed.
  }

  void Stop() override { this->network.listeners.erase(this->address); }

  void OnClosed(ConnectionId aConnection, const base::Error& aReason)
  {
    this->handler.OnClosed(aConnection, aReason);
  }

private:
  SimulatedNetwork& network;
  protocol::MessageHandler& handler;
  std::string address;
};

SimulatedNetwork::SimulatedNetwork(SimulatedTime& aTime,
                                   base::Duration aCostPerMessage)
  : time(aTime)
  , costPerMessage(aCostPerMessage)
{
}

protocol::MessagePortFactory
SimulatedNetwork::MakePorts()
{
  return [this](protocol::MessageHandler& aHandler) {
    return std::make_unique<Port>(*this, aHandler);
  };
}

void
SimulatedNetwork::CloseAll()
{
  const base::Error reason{ base::ErrorCode::ConnectionClosed, {} };
  for (const auto& [end, peer] : std::exchange(this->peers, {})) {
    end.first->OnClosed(end.second, reason);
  }
}

// Worker.

SimulatedWorker::SimulatedWorker(SimulatedTime& aTime, base::Duration aTaskTime)
  : time(aTime)
  , taskTime(aTaskTime)
{
}

void
SimulatedWorker::Start(const agent::StartRequest& aRequest,
                       std::function<void(WorkerRequestReply)> aHandler)
{
  this->time.Schedule(
    kWorkerLatency, [this, aRequest, handler = std::move(aHandler)] {
      this->lease = std::max(this->lease, aRequest.deadline);
      if (this->barredRuns.contains(aRequest.run)) {
        handler({ WorkerRequestResult::Refused, "old" });
        return;
      }
      const bool isNew =
        this->running
          .try_emplace(
            aRequest.run,
            dispatch::RunningTask{
              aRequest.run, std::string(this->checkpointBytes, 'c'), 0 })
          .second;
      if (isNew) {
        this->highestRun = std::max(this->highestRun, aRequest.run.run);
        this->time.Schedule(this->taskTime, [this, run = aRequest.run] {
          this->End(run, EndKind::Done);
        });
        this->CheckLease();
      }
      handler({ WorkerRequestResult::Accepted, {} });
    });
}

void
SimulatedWorker::Stop(const agent::StopRequest& aRequest,
                      std::function<void(WorkerRequestReply)> aHandler)
{
  this->time.Schedule(
    kWorkerLatency, [this, run = aRequest.run, handler = std::move(aHandler)] {
      this->barredRuns.insert(run);
      this->End(run, EndKind::Stopped);
      handler({ WorkerRequestResult::Accepted, {} });
    });
}

void
SimulatedWorker::Hold(
  const agent::HoldRequest& aRequest,
  std::function<void(base::Result<agent::HoldReply>)> aHandler)
{
  this->time.Schedule(
    kWorkerLatency, [this, aRequest, handler = std::move(aHandler)] {
      if (aRequest.deadline) {
        this->lease = std::max(this->lease, *aRequest.deadline);
      }
      this->ended.erase(this->ended.begin(),
                        this->ended.upper_bound(aRequest.lastSeen));
      if (!this->ended.empty() || aRequest.wait == 0ms) {
        handler(this->MakeReply());
        return;
      }
      const std::uint64_t number = ++this->lastHold;
      this->parked.push_back({ number, handler });
      this->time.Schedule(aRequest.wait, [this, number] {
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
    });
}

agent::WorkerClockTime
SimulatedWorker::ClockTime() const
{
  return std::chrono::duration_cast<agent::WorkerClockTime>(
    this->time.Now().time_since_epoch());
}

agent::HoldReply
SimulatedWorker::MakeReply() const
{
  agent::HoldReply reply;
  reply.clock = this->ClockTime();
  for (const auto& [run, task] : this->running) {
    reply.running.push_back(task);
  }
  for (const auto& [number, end] : this->ended) {
    reply.ended.push_back(end);
  }
  return reply;
}

void
SimulatedWorker::End(const job::TaskRun& aRun, EndKind aKind)
{
  if (this->running.erase(aRun) == 0) {
    return;
  }
  this->barredRuns.insert(aRun);
  this->stopped += aKind == EndKind::Stopped ? 1 : 0;
  this->lapsed += aKind == EndKind::Lapsed ? 1 : 0;
  ++this->lastEnd;
  this->ended[this->lastEnd] = { this->lastEnd, aRun, aKind, {} };
  for (const auto& hold : std::exchange(this->parked, {})) {
    hold.handler(this->MakeReply());
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
    this->time.Schedule(left, [this] { this->CheckLease(); });
    return;
  }
  while (!this->running.empty()) {
    this->End(this->running.begin()->first, EndKind::Lapsed);
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

struct SimulatedCell::Entry
{
  Entry(SimulatedCell& aCell, std::uint32_t aNumber)
    : process(aCell.time.AddProcess(aCell.options.costs.perTask))
    , heartbeats(aCell.time.AddProcess({}))
    , progressClock(aCell.time, process)
    , executor(process, progressClock)
    , codec(aCell.time, aCell.options.costs.perRecordTask)
    , logger(sink, aCell.time, "coordinator")
    , coordinator(MakeOptions(aCell, aNumber),
                  aCell.time,
                  executor,
                  heartbeats,
                  aCell.network.MakePorts(),
                  *aCell.delayedLog,
                  codec,
                  logger,
                  metrics)
  {
  }

  static CoordinatorOptions MakeOptions(SimulatedCell& aCell,
                                        std::uint32_t aNumber)
  {
    CoordinatorOptions options;
    options.self = base::EntryId("entry-" + std::to_string(aNumber));
    options.incarnation = base::Incarnation(1);
    options.innerListen = "entry-" + std::to_string(aNumber) + ":1";
    options.makePacking = [&aCell] {
      return std::make_unique<ChargedPacking>(
        aCell.time, aCell.options.costs.perPackedWorker);
    };
    return options;
  }

  NullLogSink sink;
  SimulatedTime::Process& process;
  SimulatedTime::Process& heartbeats;
  SimulatedTime::ProgressClock progressClock;
  base::ProgressExecutor executor;
  ChargedCodec codec;
  telemetry::Logger logger;
  telemetry::Metrics metrics;
  Coordinator coordinator;
};

struct SimulatedCell::Agent
{
  Agent(SimulatedCell& aCell, std::uint32_t aNumber)
    : process(aCell.time.AddProcess({}))
    , logger(sink, aCell.time, "agent")
    , worker(aCell.time,
             aCell.options.taskTime + aCell.options.taskTimeStep * aNumber)
    , link(aCell.time, process, aCell.network.MakePorts(), aCell.log, logger)
    , agent({ .id = base::AgentId("vm-" + std::to_string(aNumber)) },
            aCell.time,
            process,
            worker,
            link,
            logger)
  {
    this->worker.checkpointBytes = aCell.options.checkpointBytes;
    dispatch::WorkerInfo info;
    info.life = { base::TargetId("w-" + std::to_string(aNumber)), 1 };
    info.pool = base::PoolId("pool");
    info.rack = base::RackId("r" + std::to_string(aNumber / 8));
    info.capacity = { 64'000, 262'144, 8 };
    this->process.Post([this, info] {
      this->link.Start(this->agent);
      this->agent.Start();
      this->agent.OnRegistration(info, 1);
    });
  }

  NullLogSink sink;
  SimulatedTime::Process& process;
  telemetry::Logger logger;
  SimulatedWorker worker;
  agent::CoordinatorLink link;
  agent::WorkerAgent agent;
};

SimulatedCell::SimulatedCell(const Options& aOptions)
  : options(aOptions)
  , network(this->time, aOptions.costs.perSentMessage)
  , delayedLog(
      std::make_unique<DelayedLog>(this->time, this->log, aOptions, this->use))
{
  this->log.maxAppendBytes = aOptions.maxAppendBytes;
  this->log.limits = aOptions.toldLimits;
  for (std::uint32_t i = 0; i < aOptions.entries; ++i) {
    this->entries.push_back(std::make_unique<Entry>(*this, i));
    (void)this->entries.back()->coordinator.Start();
  }
  for (std::uint32_t i = 0; i < aOptions.workers; ++i) {
    this->agents.push_back(std::make_unique<Agent>(*this, i));
  }
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
SimulatedCell::CountJobs(std::span<const ledger::JobPhase> aPhases) const
{
  std::size_t count = 0;
  for (const auto& job : this->jobs) {
    this->entries.front()->coordinator.Find(job, [&](const auto& aStatus) {
      count +=
        aStatus.has_value()
          ? std::count(aPhases.begin(), aPhases.end(), aStatus.value().phase)
          : 0;
    });
  }
  return count;
}

std::size_t
SimulatedCell::Completed() const
{
  return this->CountJobs(std::array{ ledger::JobPhase::Completed });
}

std::size_t
SimulatedCell::Placed() const
{
  return this->CountJobs(
    std::array{ ledger::JobPhase::Running, ledger::JobPhase::Completed });
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
  for (const auto& agent : this->agents) {
    for (const auto& [run, task] : agent->worker.running) {
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
  for (const auto& agent : this->agents) {
    interrupted += agent->worker.stopped + agent->worker.lapsed;
  }
  return interrupted;
}

std::uint32_t
SimulatedCell::HighestRun() const
{
  std::uint32_t highest = 0;
  for (const auto& agent : this->agents) {
    highest = std::max(highest, agent->worker.highestRun);
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

std::size_t
SimulatedCell::Elections()
{
  return this->log.PartitionOf({ std::string(membership::kLeaderTopic), 0 })
    .records.size();
}

} // namespace amaranthwind::coordinator
