#pragma once

#include "amaranthwind/agent/CoordinatorLink.h"
#include "amaranthwind/agent/WorkerAgent.h"
#include "amaranthwind/base/Executor.h"
#include "amaranthwind/base/Random.h"
#include "amaranthwind/codec/LedgerCodec.h"
#include "amaranthwind/coordinator/Coordinator.h"
#include "amaranthwind/journal/KeyedFollower.h"
#include "amaranthwind/journal/testing/FakeKeyedLog.h"
#include "amaranthwind/protocol/MessagePort.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
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
    /** Drops all tasks, now and later. Must be called outside of processes. */
    void Kill();

    /** No task starts before this time. */
    base::TimePoint busyUntil{};

  private:
    friend class SimulatedTime;
    SimulatedTime& time;
    const base::Duration costPerTask;
    std::multimap<base::TimePoint, std::function<void()>> tasks;
    bool isKilled = false;
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

/** A process as the network and the log see it, from its start to its end. */
struct SimulatedNode
{
  /** Stays the same when the process is started again. */
  std::string name;
  bool isUp = true;
  /** What arrives before this time is handled then. */
  base::TimePoint frozenUntil{};
};

/**
 * Connections in memory with a fixed latency. What is sent over a cut link
 * arrives when the link is restored, unless either side has closed the
 * connection; a side closes it after a silence.
 */
class SimulatedNetwork
{
public:
  SimulatedNetwork(SimulatedTime& aTime, base::Duration aCostPerMessage);
  protocol::MessagePortFactory MakePorts(
    const std::shared_ptr<SimulatedNode>& aNode);
  /** Closes all connections; messages that have not arrived are lost. */
  void CloseAll();
  /** Each cut of a link lasts until it is restored as often. */
  void Cut(const std::string& aNode, const std::string& aOther);
  void Restore(const std::string& aNode, const std::string& aOther);
  bool IsCut(const std::string& aNode, const std::string& aOther) const;
  /** Peers of a frozen node close their connections after a silence. */
  void Freeze(SimulatedNode& aNode, base::Duration aTime);
  /**
   * Ends the connections of a node. Its peers notice at once that the process
   * has ended, and after a silence that the machine has lost power.
   */
  void Remove(SimulatedNode& aNode, bool aHasLostPower);

private:
  class Port;
  struct Peer
  {
    Port* self = nullptr;
    Port* port = nullptr;
    protocol::ConnectionId connection;
    /** Messages to the peer that a cut holds up. */
    std::deque<protocol::Message> held;
  };

  void Deliver(protocol::ConnectionId aConnection,
               const protocol::Message& aMessage);
  /** Runs the action as soon as the process of the port is not frozen. */
  void Notify(Port& aPort, std::function<void()> aAction);
  void CloseEnd(protocol::ConnectionId aConnection);
  void CloseAfterSilence(protocol::ConnectionId aConnection,
                         std::function<bool(const Peer&)> aIsSilent);
  void CloseHalfOpen();

  SimulatedTime& time;
  const base::Duration costPerMessage;
  std::uint64_t lastConnection = 0;
  std::map<std::string, Port*> listeners;
  std::map<protocol::ConnectionId, Peer> peers;
  std::multiset<std::pair<std::string, std::string>> cuts;
};

class SimulatedWorker;

/** Checks the runs that the workers see against the rules. */
class RunMonitor
{
public:
  explicit RunMonitor(const SimulatedTime& aTime)
    : time(aTime)
  {
  }
  /** @param aWorker Name of the worker's life. */
  void OnStarted(const std::string& aWorker, const job::TaskRun& aRun);
  void OnEnded(const std::string& aWorker,
               const job::TaskRun& aRun,
               dispatch::EndKind aKind);
  /** The life of a worker has ended, and its runs with it. */
  void OnWorkerGone(const std::string& aWorker);
  /** The end of a completed run has been acknowledged. */
  void OnDoneAcknowledged(const job::TaskRun& aRun, base::TimePoint aEndedAt);
  /** It has been listed for as long as makes it count, undisturbed. */
  void OnDoneListed(const job::TaskRun& aRun, base::TimePoint aEndedAt);

  /** Whether the log says that the task is done. */
  std::function<bool(const job::TaskId&)> isDoneInLog;
  std::function<bool(const job::TaskRun&)> isGang;
  /** Called for each event, with a description. */
  std::function<void(const std::string&)> onEvent;
  std::vector<std::string> violations;

private:
  struct TaskState
  {
    std::map<std::pair<std::string, std::uint32_t>, base::TimePoint> running;
    std::vector<std::pair<std::uint32_t, base::TimePoint>> starts;
    /** Why it must not start any more; empty if it may. */
    std::string done;
  };

  /** Neither the task nor another member of its gang may start after the end.
   */
  void CountDone(const job::TaskRun& aRun,
                 base::TimePoint aEndedAt,
                 std::string_view aDescription);

  void Violation(const job::TaskRun& aRun, const std::string& aText);
  void Event(const std::string& aText) const;

  const SimulatedTime& time;
  std::map<job::TaskId, TaskState> tasks;
  std::set<job::StepId> doneGangs;
};

/** Gang runs, whose members are on several workers. */
class SimulatedGangs
{
public:
  SimulatedGangs(SimulatedTime& aTime, base::Duration aTaskTime)
    : time(aTime)
    , taskTime(aTaskTime)
  {
  }
  /** Members of each gang step; other tasks are independent. */
  std::map<job::StepId, std::uint32_t> sizes;
  bool IsGang(const job::TaskRun& aRun) const
  {
    return this->sizes.contains(aRun.task.step);
  }
  void OnStarted(SimulatedWorker& aWorker, const job::TaskRun& aRun);
  /** The run has ended without being done. */
  void OnEnded(const job::TaskRun& aRun);

private:
  using GangRun = std::pair<job::StepId, std::uint32_t>;
  struct Gang
  {
    std::map<job::TaskRun, std::pair<SimulatedWorker*, std::uint64_t>> members;
    bool isBroken = false;
  };

  void EndAll(const GangRun& aGang, dispatch::EndKind aKind);

  SimulatedTime& time;
  const base::Duration taskTime;
  std::map<GangRun, Gang> gangs;
};

/**
 * A worker whose tasks run for a fixed time. It can crash and start again; what
 * it knows and runs is lost with each life.
 */
class SimulatedWorker
{
public:
  SimulatedWorker(SimulatedTime& aTime,
                  RunMonitor& aMonitor,
                  SimulatedGangs& aGangs,
                  base::Duration aTaskTime);
  /** Starts a life. The rate is that of the steady clock to real time. */
  void Begin(const ledger::WorkerIncarnation& aLife, double aClockRate);
  void Crash();

  // Requests, carried out at once. The handler is not called if the worker is
  // down.
  void Start(const agent::StartRequest& aRequest,
             const std::function<void(agent::WorkerRequestReply)>& aHandler);
  void Stop(const agent::StopRequest& aRequest,
            const std::function<void(agent::WorkerRequestReply)>& aHandler);
  void Hold(
    const agent::HoldRequest& aRequest,
    const std::function<void(base::Result<agent::HoldReply>)>& aHandler);

  void End(const job::TaskRun& aRun, dispatch::EndKind aKind);
  /** The agent has received the reply. */
  void OnListed(const agent::HoldReply& aReply);
  /** Ends that are listed until then count only if they are listed again. */
  void Disturb(base::TimePoint aUntil)
  {
    this->disturbedUntil = std::max(this->disturbedUntil, aUntil);
  }

  std::optional<ledger::WorkerIncarnation> life;
  /** Counts the lives. */
  std::uint64_t lifeNumber = 0;
  std::map<job::TaskRun, dispatch::RunningTask> running;
  /** Size of the checkpoints of tasks that start from now on. */
  std::size_t checkpointBytes = 0;
  /** Time from a stop request to the end of the run. */
  base::Duration stopTime{};
  int stopped = 0;
  int lapsed = 0;
  std::uint32_t highestRun = 0;
  std::function<void()> onStarted;
  /** A done end was listed for the first time. */
  std::function<void()> onDoneListed;

private:
  struct ParkedHold
  {
    std::uint64_t number = 0;
    std::function<void(base::Result<agent::HoldReply>)> handler;
  };
  struct KnownEnd
  {
    dispatch::EndedTask end;
    base::TimePoint endedAt{};
    /** Since when the agent knows it, with no fault of its own or the log. */
    std::optional<base::TimePoint> listedAt;
  };

  /** Runs the action after the delay unless the life has ended. */
  void Schedule(base::Duration aDelay, std::function<void()> aAction);
  std::string Name() const;
  agent::WorkerClockTime ClockTime() const;
  agent::HoldReply MakeReply() const;
  /** Returns false if the request is fenced. */
  bool CheckToken(base::FencingToken aToken);
  void ExtendLease(agent::WorkerClockTime aDeadline);
  void ForgetEnds(std::uint64_t aLastSeen);
  void CheckLease();
  void CountListed(std::uint64_t aNumber, base::TimePoint aListedAt);

  SimulatedTime& time;
  RunMonitor& monitor;
  SimulatedGangs& gangs;
  const base::Duration taskTime;
  double clockRate = 1;
  base::TimePoint bornAt{};
  base::FencingToken token;
  agent::WorkerClockTime lease{};
  /** When the lease was last found to have expired. */
  base::TimePoint lapseSeenAt{};
  base::TimePoint disturbedUntil{};
  std::map<job::TaskId, std::uint32_t> barredRuns;
  std::map<std::uint64_t, KnownEnd> ended;
  std::uint64_t lastEnd = 0;
  std::uint64_t lastHold = 0;
  std::vector<ParkedHold> parked;
};

enum class FaultKind : std::uint8_t
{
  KillEntries,
  KillAgents,
  /** Agents and workers; the workers come back with other ids. */
  PowerLossOfVms,
  PowerLossOfAll,
  KillAllProcesses,
  CrashWorkers,
  /** The workers come back with the same ids. */
  CrashWorkersSameId,
  LeavingWorkers,
  FreezeEntries,
  FreezeAgents,
  CutEntriesFromLog,
  CutAgentsFromLog,
  CutAgentsFromEntries,
  CutEntriesFromEntries,
  CutAgentsFromWorkers,
  /** Requests to workers are lost, unanswered, late or repeated. */
  DisturbWorkerCalls,
  /** As LeavingWorkers, but the answer to the deregistration is lost. */
  UnansweredLeavingWorkers,
};
/** Kinds that are drawn at random; the last one is not. */
inline constexpr std::uint8_t kFaultKinds = 16;

enum class FaultTrigger : std::uint8_t
{
  Time,
  StartAccepted,
  JobAccepted,
  DoneListed,
};
/** Triggers that are drawn at random; the last one is not. */
inline constexpr std::uint8_t kFaultTriggers = 3;

struct Fault
{
  FaultKind kind = FaultKind::KillEntries;
  FaultTrigger trigger = FaultTrigger::Time;
  /** When it begins, or when it begins to wait for its trigger. */
  base::Duration at{};
  /** Until everything is back. */
  base::Duration length{};
  /** Bit mask of entries or VMs. */
  std::uint32_t targets = 0;
  std::uint64_t seed = 0;
};

/**
 * A cell of entries and workers on one log. The processor time of the entries
 * is limited, and faults can be injected.
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
    /** Time from a stop request to the end of a run, on each worker. */
    base::Duration stopTime{};
    /** Workers register again and again, as needed after a fault. */
    bool repeatsRegistrations = false;
    /** Every other worker has a clock that is 2% slow. */
    bool hasSlowClocks = false;
    /** As CoordinatorOptions::makeLearner. */
    std::function<std::unique_ptr<estimation::RunTimeLearner>()> makeLearner;
    /**
     * A start in a zone that was evacuated for longer is a violation. Empty:
     * zones are not evacuated.
     */
    std::optional<base::Duration> evacuationLimit;
    /** Receives the log lines of all processes and the events of workers. */
    std::function<void(const std::string&)> trace;
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
  /** Submits again, at any entry, until the job is accepted. */
  void SubmitUntilAccepted(const job::WorkflowSpec& aSpec);
  void Inject(const Fault& aFault);
  /** Evacuates a zone at a time from now, for a time. */
  void Evacuate(const base::ZoneId& aZone,
                base::Duration aAt,
                base::Duration aLength);
  /** The VMs take turns in two zones. */
  static base::ZoneId ZoneOf(std::uint32_t aVm);
  const std::vector<std::string>& Violations() const;
  /** Accepted jobs that an entry does not show as completed. */
  std::vector<std::string> Unfinished();
  /**
   * Changes the time of the appends from now on. Ends do not count as listed
   * any more once it has been longer than at first.
   */
  void SetAppendTime(base::Duration aTime);
  const LogUse& Use() const noexcept { return this->use; }
  /** Jobs of which the log has a placement. */
  std::size_t Placed();
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
  /** Values of the records of a key in the topic of the jobs. */
  std::vector<std::string> RecordsOf(std::string_view aKey);
  /** Writes a record into the topic of the jobs, past the entries. */
  void WriteRecord(const journal::KeyedValue& aRecord);
  /** Records of steps that were written. */
  std::size_t StepRecords();
  /** Highest run number of a task that has started. */
  std::uint32_t HighestRun() const;
  /** Fencing token of the newest leader, which counts the elections. */
  std::size_t Elections();

private:
  class DelayedLog;
  class GatedLog;
  class WorkerLink;
  class TraceSink;
  class EvacuationFollower;
  struct Entry;
  struct Agent;
  struct Vm;
  struct CallFaults;

  /** Whether the newest record of its step says that the task is done. */
  bool IsDoneInLog(const job::TaskId& aTask);
  /** Tells the agent that the worker ends; without an answer it ends later. */
  void Deregister(Vm& aVm, bool aLosesAnswer);
  void Trace(const std::string& aSource, const std::string& aText);
  void Begin(const Fault& aFault);
  void OnTrigger(FaultTrigger aTrigger);
  void KillEntry(std::size_t aEntry, bool aHasLostPower);
  void StartEntry(std::size_t aEntry);
  /**
   * An end does not count as listed while its agent is down, frozen, or cut off
   * from its worker or the log. Nothing that happens to the entries excuses it.
   */
  void DisturbAgent(Vm& aVm, base::Duration aLength);
  /** As DisturbAgent(), and for the time in which a hanging append fails. */
  void DisturbLogOf(Vm& aVm, base::Duration aLength);
  void KillAgent(Vm& aVm, bool aHasLostPower);
  void StartAgent(Vm& aVm);
  void StartWorker(Vm& aVm, bool aKeepsId);
  void RegistrationLoop(Vm& aVm);
  void Register(Vm& aVm, bool aIsDraining);
  /** Writes the operator's record of the zone. */
  void SetEvacuated(const base::ZoneId& aZone, bool aIsEvacuated);
  /** A task has started on the worker of the VM. */
  void CheckEvacuation(const Vm& aVm);
  void TrySubmit(const job::WorkflowSpec& aSpec, std::uint32_t aAttempt);

  const Options options;
  base::ScopedSeeds seeds{ 1 };
  LogUse use;
  SimulatedTime time;
  /** When the log answers the reads that wait. */
  base::TimePoint nextReadTimeout{};
  SimulatedNetwork network;
  journal::testing::FakeKeyedLog log;
  std::unique_ptr<DelayedLog> delayedLog;
  RunMonitor monitor;
  SimulatedGangs gangs;
  std::vector<std::unique_ptr<Entry>> entries;
  std::vector<std::uint64_t> entryIncarnations;
  /** Ended processes; callbacks to them may still be scheduled. */
  std::vector<std::unique_ptr<Entry>> endedEntries;
  std::vector<std::unique_ptr<Agent>> endedAgents;
  std::vector<std::unique_ptr<Vm>> vms;
  std::vector<base::JobId> jobs;
  std::set<base::JobId> acceptedJobs;
  std::vector<Fault> waitingFaults;
  /** Since when each zone is evacuated. */
  std::map<base::ZoneId, base::TimePoint> evacuatedSince;
  std::mt19937_64 random{ 1 };
};

} // namespace amaranthwind::coordinator
