#pragma once

#include "amaranthwind/agent/CoordinatorLink.h"
#include "amaranthwind/agent/WorkerAgent.h"
#include "amaranthwind/base/Executor.h"
#include "amaranthwind/codec/LedgerCodec.h"
#include "amaranthwind/coordinator/Coordinator.h"
#include "amaranthwind/journal/testing/FakeKeyedLog.h"
#include "amaranthwind/protocol/MessagePort.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace amaranthwind::coordinator {

/** Processor time that the decision thread of an entry needs. */
struct ProcessorCosts
{
  base::Duration perTask{};
  /** For each worker that one call of Packing::Pack() looks at. */
  base::Duration perPackedWorker{};
  base::Duration perSentMessage{};
  /** For each task in a record that is encoded or decoded. */
  base::Duration perRecordTask{};
};

/**
 * Discrete-event simulation of time. Each process runs one task at a time, and
 * a task takes as long as the costs that it charges; tasks that become due
 * meanwhile wait. Everything else takes no time.
 */
class SimulatedTime final : public base::Clock
{
public:
  class Process final : public base::Executor
  {
  public:
    Process(SimulatedTime& aTime, base::Duration aCostPerTask);
    void Post(std::function<void()> aTask) override;
    void RunAfter(base::Duration aDelay, std::function<void()> aTask) override;

    /** No task starts before this time. */
    base::TimePoint busyUntil{};

  private:
    friend class SimulatedTime;
    SimulatedTime& time;
    const base::Duration costPerTask;
    std::multimap<base::TimePoint, std::function<void()>> tasks;
  };

  /**
   * Clock for the ProgressExecutor of a process. A task runs at once in the
   * simulation, so that others would see the progress at its end while it still
   * runs. Progress after a gap of 1 s or more is dated to the start of the gap.
   */
  class ProgressClock final : public base::Clock
  {
  public:
    ProgressClock(const SimulatedTime& aTime, const Process& aProcess)
      : time(aTime)
      , process(aProcess)
    {
    }
    base::TimePoint Now() const override;
    base::WallTime WallNow() const override { return this->time.WallNow(); }

  private:
    const SimulatedTime& time;
    const Process& process;
    mutable base::TimePoint lastProgress{};
  };

  base::TimePoint Now() const override { return this->now; }
  base::WallTime WallNow() const override;
  Process& AddProcess(base::Duration aCostPerTask);
  /** Runs outside of all processes after the delay. */
  void Schedule(base::Duration aDelay, std::function<void()> aEvent);
  /** Extends the running task of a process; ignored outside of processes. */
  void Charge(base::Duration aCost);
  void Run(base::Duration aTime);

private:
  base::TimePoint now{ std::chrono::hours(1) };
  bool isInProcess = false;
  const Process* running = nullptr;
  base::TimePoint taskStart{};
  std::multimap<base::TimePoint, std::function<void()>> events;
  std::deque<Process> processes;
};

/** Connections in memory with a fixed latency. */
class SimulatedNetwork
{
public:
  SimulatedNetwork(SimulatedTime& aTime, base::Duration aCostPerMessage);
  protocol::MessagePortFactory MakePorts();
  /** Closes all connections; messages that have not arrived are lost. */
  void CloseAll();

private:
  class Port;
  struct Peer
  {
    Port* port = nullptr;
    protocol::ConnectionId connection;
  };

  SimulatedTime& time;
  const base::Duration costPerMessage;
  std::uint64_t lastConnection = 0;
  std::map<std::string, Port*> listeners;
  std::map<std::pair<Port*, protocol::ConnectionId>, Peer> peers;
};

/** A healthy worker whose tasks run for a fixed time. */
class SimulatedWorker final : public agent::WorkerPort
{
public:
  SimulatedWorker(SimulatedTime& aTime, base::Duration aTaskTime);
  void Start(const agent::StartRequest& aRequest,
             std::function<void(agent::WorkerRequestReply)> aHandler) override;
  void Stop(const agent::StopRequest& aRequest,
            std::function<void(agent::WorkerRequestReply)> aHandler) override;
  void Hold(
    const agent::HoldRequest& aRequest,
    std::function<void(base::Result<agent::HoldReply>)> aHandler) override;

  std::map<job::TaskRun, dispatch::RunningTask> running;
  /** Size of the checkpoints of tasks that start from now on. */
  std::size_t checkpointBytes = 0;
  int stopped = 0;
  int lapsed = 0;
  std::uint32_t highestRun = 0;

private:
  struct ParkedHold
  {
    std::uint64_t number = 0;
    std::function<void(base::Result<agent::HoldReply>)> handler;
  };

  agent::WorkerClockTime ClockTime() const;
  agent::HoldReply MakeReply() const;
  void End(const job::TaskRun& aRun, dispatch::EndKind aKind);
  void CheckLease();

  SimulatedTime& time;
  const base::Duration taskTime;
  agent::WorkerClockTime lease{};
  std::set<job::TaskRun> barredRuns;
  std::map<std::uint64_t, dispatch::EndedTask> ended;
  std::uint64_t lastEnd = 0;
  std::uint64_t lastHold = 0;
  std::vector<ParkedHold> parked;
};

/**
 * A cell of entries and workers on one log, without any fault; only the
 * processor time of the entries is limited.
 */
class SimulatedCell
{
public:
  struct Options
  {
    std::uint32_t entries = 3;
    std::uint32_t workers = 24;
    base::Duration taskTime = std::chrono::seconds(3);
    /** Added to the time of the tasks for each worker. */
    base::Duration taskTimeStep{};
    /** Time until an append is answered. */
    base::Duration appendTime{};
    /**
     * Each partition takes one append at a time, for appendTime, and refuses
     * more when the queue is long, as the platform's log does. Reads are
     * answered after the same time.
     */
    bool appendsInTurn = false;
    /** Larger appends are refused. */
    std::size_t maxAppendBytes = SIZE_MAX;
    std::size_t checkpointBytes = 0;
    /** The limits that the log tells. */
    journal::SizeLimits toldLimits;
    ProcessorCosts costs;
  };

  /** What became of the submitted jobs and of the appends of the entries. */
  struct LogUse
  {
    std::size_t accepted = 0;
    std::size_t notAccepted = 0;
    base::Duration maxAcceptTime{};
    std::size_t appends = 0;
    std::size_t failedAppends = 0;
  };

  explicit SimulatedCell(const Options& aOptions);
  ~SimulatedCell();

  void Submit(const job::WorkflowSpec& aSpec, std::size_t aEntry = 0);
  /** Changes the time of the appends from now on. */
  void SetAppendTime(base::Duration aTime);
  const LogUse& Use() const noexcept { return this->use; }
  /** Jobs of which a task was placed. */
  std::size_t Placed() const;
  void Run(base::Duration aTime);
  /** Closes all connections of entries and agents after the delay. */
  void CloseConnections(base::Duration aDelay);
  std::size_t Completed() const;
  /** Whether two runs of one task are on workers now. */
  bool HasConcurrentRuns() const;
  /** Runs that were stopped, or ended because their lease expired. */
  int Interrupted() const;
  /** Size of the largest append that was tried. */
  std::size_t LargestAppend() const noexcept { return this->log.largestAppend; }
  /** Records of steps that were written. */
  std::size_t StepRecords();
  /** Highest run number of a task that has started. */
  std::uint32_t HighestRun() const;
  /** Fencing token of the newest leader, which counts the elections. */
  std::size_t Elections();

private:
  class DelayedLog;
  struct Entry;
  struct Agent;

  std::size_t CountJobs(std::span<const ledger::JobPhase> aPhases) const;

  const Options options;
  LogUse use;
  SimulatedTime time;
  /** When the log answers the reads that wait. */
  base::TimePoint nextReadTimeout{};
  SimulatedNetwork network;
  journal::testing::FakeKeyedLog log;
  std::unique_ptr<DelayedLog> delayedLog;
  std::vector<std::unique_ptr<Entry>> entries;
  std::vector<std::unique_ptr<Agent>> agents;
  std::vector<base::JobId> jobs;
};

} // namespace amaranthwind::coordinator
