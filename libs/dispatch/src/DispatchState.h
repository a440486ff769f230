#pragma once

#include "LateStarts.h"
#include "amaranthwind/dispatch/Dispatcher.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace amaranthwind::dispatch {

/** Phase of a task as the dispatcher sees it. */
enum class Phase : std::uint8_t
{
  Idle,
  Placing,  // The placement is being persisted.
  Ordered,  // The start order was sent.
  Running,  // The agent has confirmed the start.
  Stopping, // The stop order was sent.
  Done,
};

/** Progress of a run, in percent, at a time. */
struct ProgressMark
{
  base::TimePoint at{};
  std::uint32_t percent = 0;
};

struct Task
{
  Phase phase = Phase::Idle;
  std::uint32_t run = 0;
  std::uint32_t failures = 0;
  ledger::WorkerIncarnation incarnation;
  /**
   * Empty if a previous coordinator placed the task and its worker has not
   * reported yet.
   */
  base::AgentId agent;
  /** Agent named in the placement record. */
  base::AgentId placedOn;
  std::string checkpoint;
  /**
   * Where the progress of the current run is measured from: its start, or its
   * first report if it resumes from a checkpoint or was inherited.
   */
  std::optional<ProgressMark> firstProgress;
  std::optional<ProgressMark> lastProgress;
  /** The learner was told of the progress of the current run. */
  bool isProgressLearned = false;
  /** The current run resumes from a checkpoint. */
  bool isResumed = false;
  /** When the current phase began. */
  base::TimePoint phaseStartedAt{};
  /** When the current run was placed. */
  base::TimePoint startedAt{};
  /** When the stop of the current run was first ordered. */
  base::TimePoint stopRequestedAt{};
  /** When the latest failed run ended. */
  base::TimePoint failedAt{};
  /** When its latest run was released without an end; zero if it was not. */
  base::TimePoint releasedAt{};
  /** Number of times it was preempted. */
  std::uint32_t preemptions = 0;
  /** Placed by a previous coordinator and not reported since. */
  bool isInherited = false;
  /** Latest order for the current run. */
  OrderNumber order;
  /**
   * The start order was sent again because it was lost with its session. An
   * agent process that has ended since may have received it and passed it on.
   */
  bool isStartRepeated = false;
  /** Agent of the latest failed run; other workers are preferred. */
  base::AgentId failedOn;

  bool IsOnWorker() const noexcept
  {
    return this->phase != Phase::Idle && this->phase != Phase::Done;
  }
};

struct Step
{
  job::StepId id;
  std::vector<Task> tasks;
  bool hasFailed = false;
  /** Latest gang run whose failure was counted. */
  std::uint32_t failedRun = 0;
  std::optional<base::TimePoint> readyAt;
  /**
   * Prediction for its tasks at predictedAt. All runs of a pool ask for it in
   * one pass.
   */
  mutable std::optional<estimation::RunTimePrediction> prediction;
  mutable base::TimePoint predictedAt{};
  /** By what its gang was slower at that time; 0 if it is none. */
  mutable double gangSlowdown = 0;

  bool IsDone() const noexcept;
};

struct Job
{
  std::shared_ptr<const job::WorkflowSpec> spec;
  base::LogOffset acceptedOffset;
  bool isCancelled = false;
  /** A task is known to have begun to run. */
  bool hasBegun = false;
  bool hasEnded = false;
  base::TimePoint endedAt{};
  /** Keyed by occurrence and step. */
  std::map<std::pair<std::uint32_t, std::uint32_t>, Step> steps;
  /** Longest chain of dependent steps, by the caller's estimates. */
  base::Duration criticalPath{};
};

/** What is known of an order to an agent when a report is handled. */
enum class OrderFate : std::uint8_t
{
  InTransit, // May still arrive; the report says nothing of its effect.
  Received,
  Lost, // Will never arrive.
};

/** A stop order for a run that no task is on. */
struct OrphanStop
{
  OrderNumber order;
  base::TimePoint sentAt;
  base::TimePoint firstSentAt;
};

struct Worker
{
  base::AgentId agent;
  SessionId session;
  /** Latest order that was sent before the session began. */
  OrderNumber lastOrderBeforeSession;
  /** As in the latest report. */
  std::optional<OrderNumber> receivedOrder;
  std::optional<WorkerInfo> info;
  /** Without another report, tasks may run on the worker until this time. */
  base::TimePoint grantExpiresAt{};
  /** When the latest report was received. */
  base::TimePoint reportedAt{};
  /** Until then it is cold, by its latest report. */
  base::TimePoint coldUntil{};
  /** Placements on it since it became cold. */
  std::uint32_t coldStarts = 0;
  /** State::warmStarts of its pool when it became cold. */
  double warmStartsBefore = 0;
  fleet::TaskResources used;
  /** Runs that may be using resources of the worker. */
  std::map<job::TaskRun, fleet::TaskResources> allocations;
  /** Failed runs since the last completed one. */
  std::uint32_t failureStreak = 0;
  base::TimePoint avoidUntil{};
  /** Failed starts since the last one that was confirmed, up to a limit. */
  std::uint32_t startFailures = 0;
  /** Latest stop order for each orphaned run. */
  std::map<job::TaskRun, OrphanStop> orphanStops;
  /** Durable placements of independent tasks whose start waits for its turn. */
  std::deque<job::TaskRun> readyStarts;
  /** Size of the start orders whose outcome is not known yet. */
  std::map<job::TaskRun, std::size_t> awaitedStarts;
  std::size_t awaitedBytes = 0;
  /** Number of the latest end that was handled. */
  std::uint64_t lastEnd = 0;
  /**
   * Runs whose recorded end was handled, and when: a report that was sent
   * before may still list them as running.
   */
  std::map<job::TaskRun, base::TimePoint> recordedEnds;

  /** Whether another start may be ordered now. */
  bool HasRoomForStart() const noexcept;

  fleet::TaskResources Free() const noexcept
  {
    fleet::TaskResources free = this->info->capacity;
    free -= this->used;
    return free;
  }
};

/** Resources of a worker that a step will need. */
struct Reservation
{
  /** When the step is expected to start. Runs that end before are unaffected.
   */
  base::TimePoint from;
  fleet::TaskResources need;
  /** What runs on the worker are expected to release until then. */
  fleet::TaskResources released;
  /** Made for a step that stopped other tasks, which end for certain. */
  bool isFirm = false;
};

/** A worker that accepts tasks, as the current scheduling pass sees it. */
struct PoolWorker
{
  Worker* worker = nullptr;
  /** Racks are numbered from 0 within the pool. */
  std::uint32_t rack = 0;
  std::vector<Reservation> reservations;
  /** Index of its first run in Pool::runs, which has them in this order. */
  std::size_t firstRun = 0;
};

/** A run that may be using resources of a worker of the pool. */
struct PoolRun
{
  fleet::TaskResources need;
  /** Estimated time until the run has ended; empty if it may never end. */
  std::optional<base::Duration> remaining;
  /** It was ordered to stop and is expected to do so in time. */
  bool isEnding = false;
  /** The remaining time follows from the progress of the run. */
  bool isMeasured = false;
};

/** A task that a less important step runs on a worker of the pool. */
struct PreemptibleTask
{
  const Job* job = nullptr;
  Step* step = nullptr;
  std::uint32_t index = 0;
  /** Index into Pool::workers. */
  std::uint32_t worker = 0;
  fleet::TaskResources need;
  /** Core-seconds of work that are lost if it is stopped. */
  double cost = 0;
};

/** A preemptible task on a worker that a candidate may use. */
struct UsableTask
{
  const PreemptibleTask* task = nullptr;
  /** Index into UsableWorkers. */
  std::uint32_t position = 0;
};

/** Tasks that end together if one of them is preempted. */
struct Victim
{
  /** Range in VictimList::tasks. */
  std::size_t first = 0;
  std::size_t end = 0;
  /** Core-seconds of lost work. */
  double cost = 0;
};

/** What it costs at least to free an amount of one resource. */
struct FreeingCosts
{
  struct Sum
  {
    std::uint64_t amount = 0;
    double cost = 0;
  };
  /** Sums over the victims up to each one, cheapest by unit first. */
  std::vector<Sum> sums;

  /** No victims that free the amount cost less. */
  double LowerBound(std::uint64_t aAmount) const;
};

/** What a candidate may preempt on its usable workers. */
struct VictimList
{
  /** The usable workers, as indices into Pool::workers. */
  std::vector<std::uint32_t> workers;
  bool isGuaranteed = false;
  std::vector<UsableTask> tasks;
  /** Cheapest first. */
  std::vector<Victim> victims;
  FreeingCosts accelerators;
  FreeingCosts milliCores;
};

/** The workers of a pool that accept tasks, for one scheduling pass. */
struct Pool
{
  /** In order of their agents' ids. */
  std::vector<PoolWorker> workers;
  std::uint32_t racks = 0;
  std::uint64_t usedAccelerators = 0;
  std::uint64_t accelerators = 0;
  std::uint64_t usedMilliCores = 0;
  std::uint64_t milliCores = 0;
  /** Number of workers by whether they are cold, also of those not in use. */
  std::uint32_t coldWorkers = 0;
  std::uint32_t warmWorkers = 0;
  /** Number of blocked steps with reservations. */
  std::size_t reservations = 0;
  /** By worker; nullopt if it has to be collected. */
  std::optional<std::vector<PoolRun>> runs;
  /** By job, step and index; nullopt if it has to be collected. */
  std::optional<std::vector<PreemptibleTask>> preemptibleTasks;
  /** Of the last candidate that looked for victims. */
  std::optional<VictimList> victims;

  /** Fraction of the accelerators in use, or of the cores if there are none. */
  double Utilization() const noexcept;
  /** Fraction of the cores in use; an accelerator counts as several cores. */
  double UsedWork() const noexcept;
  /** Most of the pool is free, whatever the steps need that wait. */
  bool IsMostlyIdle() const noexcept;
};

/** A ready step with unplaced tasks. */
struct Candidate
{
  Job* job = nullptr;
  Step* step = nullptr;
  Pool* pool = nullptr;
  std::vector<std::uint32_t> idleTasks;
  bool isGuaranteed = false;
  /** Too late to be of value to the caller; it must still run. */
  bool isExpired = false;
  /** Expected to meet its objective even if a task must be stopped first. */
  bool canMeetObjective = false;
  /**
   * How much later the job could start and still be expected to meet its
   * objective on workers of normal speed.
   */
  base::Duration slack{};

  const job::StepSpec& Spec() const
  {
    return this->job->spec->steps[this->step->id.step];
  }
};

/** The workers that a candidate may use; all vectors have the same order. */
struct UsableWorkers
{
  /** Indices into Pool::workers, ascending. */
  std::vector<std::uint32_t> indices;
  std::vector<PackingWorker> packing;
  /** What others have reserved of all resources; empty if nothing is. */
  std::vector<fleet::TaskResources> reserved;
  /** Run time relative to a normal worker; empty if they are alike. */
  std::vector<double> slowness;
  /** Whether the worker is cold; empty if none of the pool is. */
  std::vector<bool> isCold;

  /** What is left of the given resources of the worker at this position. */
  fleet::TaskResources Unreserved(std::size_t aPosition,
                                  fleet::TaskResources aResources) const
  {
    if (!this->reserved.empty()) {
      aResources -= this->reserved[aPosition];
    }
    return aResources;
  }
  UsableWorkers Without(const Pool& aPool, const base::AgentId& aAgent) const;
  /** Leaves no room on cold workers. */
  UsableWorkers WithoutCold() const;
};

/** Request to place a number of a candidate's tasks. */
struct RackedRequest
{
  PackingRequest request;
  /** Whether the tasks may leave the rack of their data if they do not fit. */
  bool mayLeaveRack = false;
};

struct Dispatcher::State
{
  State(const DispatcherOptions& aOptions,
        std::unique_ptr<Packing> aPacking,
        DispatchObserver& aObserver,
        std::unique_ptr<estimation::RunTimeLearner> aRunTimes)
    : options(aOptions)
    , packing(std::move(aPacking))
    , observer(aObserver)
    , runTimes(std::move(aRunTimes))
  {
  }

  // Jobs and tasks (JobState.cpp).
  void Restore(const ledger::JobEntry& aEntry);
  void Add(const ledger::JobEntry& aEntry);
  void Cancel(Job& aJob);
  void UpdateJobOutcome(Job& aJob);
  void ForgetOldJobs();
  Job* FindJob(const base::JobId& aJob);
  Step* FindStep(const job::StepId& aStep);
  Step& EnsureStep(Job& aJob, std::uint32_t aOccurrence, std::uint32_t aStep);
  /** The task if it is on the given run, or null. */
  Task* FindRun(const job::TaskRun& aRun);
  const job::StepSpec* SpecOf(const job::StepId& aStep);
  void MarkDirty(const Step& aStep) { this->dirtySteps.insert(aStep.id); }
  /**
   * Writes the records of all changed steps, each with a version of its own.
   * Any number of the first ones may be all that a successor reads.
   */
  void FlushWrites();
  ledger::StepRecord ToRecord(const Step& aStep);
  void WriteStep(const job::StepId& aStep);

  // Workers (WorkerState.cpp).
  void HandleReport(const WorkerReport& aReport,
                    SessionId aSession,
                    base::Duration aQueueTime);
  void SetWorker(Worker& aWorker, const WorkerInfo& aInfo);
  /**
   * Adopts the tasks that a previous coordinator placed on the worker, and
   * marks those lost that it placed on an earlier worker of the same VM.
   */
  void AdoptInheritedTasks(Worker& aWorker);
  /**
   * Counts the ends of lives of the worker that are over, before a report of
   * its next life, or of none, releases the tasks of the life that was known.
   */
  void HandlePastEnds(Worker& aWorker, const WorkerReport& aReport);
  void HandleRecordedEnds(const EndRecord& aRecord);
  /**
   * Counts the recorded failure of a run that was released before the record
   * was read.
   */
  void CountReleasedFailure(Worker& aWorker, const EndedTask& aEnd);
  /** aLife is that of the run, which may be over; aWorker may have none. */
  void HandleEnd(Worker& aWorker,
                 const ledger::WorkerIncarnation& aLife,
                 const EndedTask& aEnd);
  /** Why a done end changed nothing; empty if that is usual. */
  std::string_view ReasonIgnored(const ledger::WorkerIncarnation& aLife,
                                 const job::TaskRun& aRun,
                                 bool aHeldResources);
  /**
   * Returns the idle task that the run on the worker completes, after stopping
   * any other run of it, or null if the completion changes nothing. A task that
   * runs for long stays as it is.
   */
  Task* TakeCompletedTask(const ledger::WorkerIncarnation& aLife,
                          const job::TaskRun& aCompleted);
  /**
   * Handles the running tasks of a report except those that have ended by a
   * record that is newer than the report.
   */
  void HandleAllRunning(Worker& aWorker, const WorkerReport& aReport);
  void HandleRunning(Worker& aWorker, const RunningTask& aRunning);
  /** A run of the job has begun, whatever became of it since. */
  void NoteBegun(const base::JobId& aJob);
  void Reconcile(Worker& aWorker, const WorkerReport& aReport);
  /** Handles a run that the report does not list but its task is on. */
  void HandleMissingRun(Worker& aWorker, const job::TaskRun& aRun, Task& aTask);
  /** Whether the start of a run that ended early may not be listed yet. */
  bool MayStillStart(const Worker& aWorker, const Task& aTask) const;
  /**
   * An agent that does not count its orders is assumed to have received them
   * after the timeout.
   */
  OrderFate FateOf(const Worker& aWorker,
                   OrderNumber aOrder,
                   base::TimePoint aSentAt,
                   base::Duration aTimeout) const;
  /** Whether to repeat the stop order of a run that is still on the worker. */
  bool MustRepeatStop(const Worker& aWorker,
                      OrderNumber aOrder,
                      base::TimePoint aSentAt) const;
  void StopOrphanedRun(Worker& aWorker, const job::TaskRun& aRun);
  /** Stops the runs that a late start may begin and that are not reported. */
  void RuleOutLateStarts(Worker& aWorker, const WorkerReport& aReport);
  void EndIncarnation(Worker& aWorker, std::string_view aReason);
  void ExpireSilentWorkers();
  void ExpireInheritedTasks();
  void HandleOutcome(Worker& aWorker,
                     const job::TaskRun& aRun,
                     OrderOutcome aOutcome);
  /** Avoids the worker for a short time after a failed start. */
  void DeferPlacement(Worker& aWorker) const;
  void AllocateResources(Worker& aWorker,
                         const job::TaskRun& aRun,
                         const fleet::TaskResources& aNeed);
  bool ReleaseResources(Worker& aWorker, const job::TaskRun& aRun);
  /**
   * The task's run is released without an end, which may have been recorded;
   * the task waits until that is known.
   */
  void ReleaseWithoutEnd(Task& aTask);
  /**
   * Whether the task's latest run, if it was released without an end, has none
   * among the recorded ends that were not read yet.
   */
  bool AreEndsKnown(const Task& aTask) const;
  /** A task was released and the recorded ends are not known as of then. */
  bool HasUnrecordedRelease(const Step& aStep) const;
  /** Writes the steps again whose releases may be recorded by now. */
  void RecordReleases();
  void MarkLost(Step& aStep, std::uint32_t aIndex, std::string_view aReason);
  void RequestStop(Step& aStep, std::uint32_t aIndex, std::string_view aReason);
  OrderNumber NextOrder();
  SessionId SessionOf(const base::AgentId& aAgent) const;
  void SendStart(Task& aTask, const job::TaskRun& aRun);
  /** The outcome of the start order is known, or no longer of interest. */
  static void SettleStart(Worker& aWorker, const job::TaskRun& aRun);
  void SendStop(Task& aTask, const job::TaskRun& aRun);
  /** Stops the other members of a gang run after one has ended. */
  void StopGangMembers(Step& aStep,
                       std::uint32_t aRun,
                       std::string_view aReason);
  void RecordTaskFailure(Worker& aWorker, Step& aStep, std::uint32_t aIndex);

  // Run times and speeds that are learned (RunTimes.cpp).
  void OnProgress(const Worker& aWorker,
                  Step& aStep,
                  std::uint32_t aIndex,
                  std::uint32_t aPercent);
  /** What is known of the task's current run but for its time. */
  estimation::RunObservation Observe(const Worker& aWorker,
                                     const Step& aStep,
                                     std::uint32_t aIndex) const;
  /** The current run of the task has started. */
  void BeginProgress(Task& aTask) const;
  /** The current run has ended by itself or was stopped. */
  void LearnFrom(const Worker& aWorker,
                 const Step& aStep,
                 std::uint32_t aIndex,
                 EndKind aKind);
  /** By what a run is slower than on a normal worker near its data. */
  double SlowdownOf(const Step& aStep,
                    const Task& aTask,
                    const Worker& aWorker) const;
  /** Slowness of the slowest worker of the gang's current run. */
  double SlownessOfGang(const Step& aStep) const;
  double SlownessOf(const Worker& aWorker) const;
  /** Expected run time of one task of the step; zero if it is not known. */
  base::Duration ExpectedRunTime(const job::WorkflowSpec& aSpec,
                                 std::uint32_t aStep) const;
  /** Expected time of the longest chain of dependent steps. */
  base::Duration ExpectedPath(const Job& aJob) const;
  /** Time until the run has ended by its progress; empty if that is too little.
   */
  std::optional<base::Duration> MeasuredRemaining(const Task& aTask) const;
  /** Expected time until the run has ended; empty if nothing is known. */
  std::optional<base::Duration> ExpectedRemaining(const Worker& aWorker,
                                                  const Step& aStep,
                                                  const Task& aTask) const;
  /** Whether workers are chosen by their speed. */
  bool UsesSpeeds() const;

  // Evacuation of availability zones (Evacuation.cpp).
  void Evacuate(std::span<const base::ZoneId> aZones, base::TimePoint aAsOf);
  bool IsEvacuated(const Worker& aWorker) const;
  /** Withdraws the placements in evacuated zones that are not ordered yet. */
  void WithdrawEvacuatedPlacements();
  /**
   * Whether the jobs and the evacuations are known as of a moment that is
   * recent enough to place tasks.
   */
  bool AreInputsRecent() const;
  /**
   * Time that is left to start a task, by the age of what is known of the jobs
   * and the evacuations. May be negative.
   */
  base::Duration RemainingStartTime() const;

  // Workers that are cold (ColdWorkers.cpp).
  bool IsCold(const Worker& aWorker) const;
  /** Notes from the latest report whether the worker is cold. */
  void UpdateColdness(Worker& aWorker);
  /** How many more tasks the worker may get while it is cold. */
  std::uint32_t RemainingColdStarts(const Pool& aPool,
                                    const Worker& aWorker) const;
  void CountPlacement(const Pool& aPool, Worker& aWorker);
  /** As PackGang(), on cold workers only if it does not fit elsewhere. */
  std::vector<std::uint32_t> PackGangWarmFirst(
    const Candidate& aCandidate,
    const UsableWorkers& aUsable,
    const RackedRequest& aRequest) const;
  /** As PackTask(), on a cold worker only if it does not fit elsewhere. */
  std::vector<std::uint32_t> PackTaskWarmFirst(
    const Candidate& aCandidate,
    const UsableWorkers& aUsable,
    const RackedRequest& aRequest) const;

  // Orders to agents (WorkerState.cpp).
  /** Whether the agent can receive and execute a start order in time. */
  bool CanStartInTime(const Task& aTask) const;
  /**
   * Orders the start of placements that are durable. Those whose order would be
   * refused as too old wait, and so do those of workers that have many starts
   * to carry out; members of a gang are ordered together.
   */
  void SendReadyOrders();
  void CollectReadyStarts();
  /**
   * Whether all members of the gang can be ordered to start. If it only waits
   * for the earlier starts of its workers, no others are sent to them.
   */
  bool CanStartGang(std::span<const job::TaskRun> aMembers,
                    std::set<base::AgentId>& aHeldWorkers);
  /** The placement is still to be ordered. */
  bool IsToBeStarted(const job::TaskRun& aRun);
  void OrderStart(const job::TaskRun& aRun);
  /** Acknowledges reported ends and releases recorded ones for deletion. */
  void AcknowledgeDurableEnds();

  // The scheduling pass (Scheduling.cpp).
  void Schedule();
  void CollectPools();
  std::vector<Candidate> CollectCandidates();
  void UpdateGuaranteedJobs();
  bool MayPreempt(const Candidate& aCandidate) const;
  bool IsReady(Job& aJob, const Step& aStep);
  /** The idle tasks that may be placed again by what is known of their ends. */
  std::vector<std::uint32_t> IdleTasks(const Step& aStep) const;
  bool PlaceGang(const Candidate& aCandidate, const UsableWorkers& aUsable);
  /** Chooses workers for a gang, the fastest that have room for all of it. */
  std::vector<std::uint32_t> PackGang(const Candidate& aCandidate,
                                      const UsableWorkers& aUsable,
                                      const RackedRequest& aRequest) const;
  /**
   * Whether workers that are faster than the given slowness would hold the gang
   * if they were empty.
   */
  bool FitsFasterWorkers(const Candidate& aCandidate,
                         const UsableWorkers& aUsable,
                         const RackedRequest& aRequest,
                         double aSlowness) const;
  /** Chooses a worker for one of many independent tasks. */
  std::vector<std::uint32_t> PackTask(const Candidate& aCandidate,
                                      const UsableWorkers& aUsable,
                                      const RackedRequest& aRequest) const;
  /**
   * Places as many idle tasks as fit and returns their number. aUsable is
   * outdated afterwards unless nothing was placed.
   */
  std::size_t PlaceIndependentTasks(const Candidate& aCandidate,
                                    UsableWorkers& aUsable);
  void CommitPlacement(const Candidate& aCandidate,
                       std::span<const std::uint32_t> aTasks,
                       std::span<Worker* const> aWorkers);
  UsableWorkers FindUsableWorkers(const Candidate& aCandidate) const;
  /**
   * Whether the candidate has waited for long enough, although there is plenty
   * of room, to use what is reserved for steps that wait.
   */
  bool MayUseReserved(const Candidate& aCandidate,
                      const UsableWorkers& aAll) const;
  /** Half of the pool is idle, and the candidate fits it twice over. */
  bool HasPlentyOfRoom(const Candidate& aCandidate,
                       const UsableWorkers& aUsable) const;
  /** Subtracts from the usable resources what others have reserved. */
  void WithholdReserved(const Candidate& aCandidate,
                        UsableWorkers& aUsable) const;
  /** When the candidate's tasks are expected to end if they start now. */
  base::TimePoint ExpectedEnd(const Candidate& aCandidate) const;
  base::Duration WaitedTime(const Candidate& aCandidate) const;
  /** Describes the workers of the pool with the given indices. */
  UsableWorkers ToUsableWorkers(const Candidate& aCandidate,
                                std::vector<std::uint32_t> aIndices) const;
  RackedRequest MakeRequest(const Candidate& aCandidate,
                            const UsableWorkers& aUsable,
                            std::uint32_t aCount) const;
  /** As Packing::Pack(). Feasibility never decreases with more resources. */
  std::vector<std::uint32_t> Pack(std::span<const PackingWorker> aAvailable,
                                  const RackedRequest& aRequest) const;
  bool Reserve(const Candidate& aCandidate,
               const UsableWorkers& aUsable,
               std::uint32_t aCount);
  /**
   * Reserves the resources of the candidate's tasks on the chosen workers.
   * @param aReservation From when, and whether for certain.
   * @param aReleased What will be released until then, by position.
   */
  static void AddReservation(const Candidate& aCandidate,
                             const UsableWorkers& aUsable,
                             std::span<const std::uint32_t> aChosen,
                             std::span<const fleet::TaskResources> aReleased,
                             Reservation aReservation);
  void CollectRuns(Pool& aPool);
  PoolRun ToPoolRun(const Worker& aWorker,
                    const job::TaskRun& aRun,
                    const fleet::TaskResources& aNeed);
  /** A run whose stop was ordered at the given time, if it ends in time. */
  PoolRun ToEndingRun(const fleet::TaskResources& aNeed,
                      base::TimePoint aStopRequestedAt) const;
  /** The runs on a worker of the pool. */
  std::span<const PoolRun> RunsOn(Pool& aPool, std::uint32_t aWorker);

  // Preemption of less important work (Preemption.cpp).
  bool Preempt(const Candidate& aCandidate,
               const UsableWorkers& aUsable,
               std::uint32_t aCount);
  void CollectPreemptibleTasks(Pool& aPool);
  /** Whether enough runs end soon for the candidate to start in time. */
  bool FitsInTime(const Candidate& aCandidate,
                  const UsableWorkers& aUsable,
                  const RackedRequest& aRequest);
  const VictimList& FindVictims(const Candidate& aCandidate,
                                const UsableWorkers& aUsable);

  const DispatcherOptions options;
  std::unique_ptr<Packing> packing;
  DispatchObserver& observer;
  /** Null if run times are not learned. */
  std::unique_ptr<estimation::RunTimeLearner> runTimes;

  std::map<base::JobId, Job> jobs;
  std::map<base::AgentId, Worker> workers;
  std::unordered_map<base::AccountId, std::uint32_t> guarantees;
  /** Jobs that are covered by their account's guarantee. */
  std::set<base::JobId> guaranteedJobs;
  /** When all grants of previous coordinators have expired. */
  base::TimePoint inheritedGrantsExpireAt{};
  bool hasInheritedTasks = false;
  /** Jobs whose deletion a previous coordinator did not finish. */
  std::vector<ForgetJob> orphans;
  /** When cancellations of jobs that are not accepted became known. */
  std::map<base::JobId, base::TimePoint> earlyCancellations;

  /** Steps that have changed since their last record was written. */
  std::set<job::StepId> dirtySteps;
  std::uint64_t lastVersion = 0;
  std::uint64_t persistedVersion = 0;
  /** All records acknowledged before this time are reflected in the jobs. */
  base::TimePoint jobsAsOf{};
  std::set<base::ZoneId> evacuatedZones;
  /** All evacuations acknowledged before this time are known. */
  base::TimePoint evacuationsAsOf{};
  /**
   * Sum over all placements on warm workers of the pool of 1 divided by the
   * number of these workers: how many starts the average one was sent.
   */
  std::map<base::PoolId, double> warmStarts;
  /** Placements whose record was not written yet, in the order of decision. */
  std::vector<job::TaskRun> unwrittenPlacements;
  /** Placements that are not ordered yet, with the version of their record. */
  std::deque<std::pair<std::uint64_t, job::TaskRun>> pendingPlacements;
  /** Gangs with durable placements, by the members that are to be started. */
  std::vector<std::vector<job::TaskRun>> readyGangs;
  /** Acknowledgements that depend on changes that were not written yet. */
  std::vector<AcknowledgeEnds> unwrittenAcks;
  /** With the version of the last record that must be durable before. */
  std::deque<std::pair<std::uint64_t, AcknowledgeEnds>> pendingAcks;
  /** As unwrittenAcks and pendingAcks, for the records of ends. */
  std::vector<DeleteEndRecord> unwrittenDeletions;
  std::deque<std::pair<std::uint64_t, DeleteEndRecord>> pendingDeletions;
  /** All ends recorded before this time were handled; empty if unconfirmed. */
  std::optional<base::TimePoint> endsAsOf;
  /** When a run was last released without an end. */
  base::TimePoint lastReleaseAt{};
  /** Steps whose records show released runs as placed. */
  std::set<job::StepId> unrecordedReleases;
  OrderNumber lastOrder;
  LateStarts lateStarts;

  // State of the current scheduling pass.
  std::map<base::PoolId, Pool> pools;

  // State of the current call.
  ClockReading callTime;
  Effects effects;
  bool mustSchedule = false;
};

/** Cores that one accelerator is equivalent to when work is weighed. */
inline constexpr double kCoresPerAccelerator = 8.0;

/** Slowdown of a task outside the rack of its data or its gang. */
inline constexpr int kRemoteSlowdown = 3;

/** Length of the longest chain of dependent steps. */
base::Duration
LongestChain(const job::WorkflowSpec& aSpec,
             std::span<const base::Duration> aRunTimes);

/** Core-seconds of work that one task does in the given time. */
double
WorkOf(const job::StepSpec& aSpec, base::Duration aTime);

/** Core-seconds of work that are lost if the task is stopped. */
double
WorkLostByStop(const job::StepSpec& aSpec, base::Duration aElapsed);

/** Resources that a task of the step uses on a worker. */
fleet::TaskResources
RequiredResources(const job::StepSpec& aSpec) noexcept;

} // namespace amaranthwind::dispatch
