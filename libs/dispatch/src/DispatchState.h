#pragma once

#include "amaranthwind/dispatch/Dispatcher.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace amaranthwind::dispatch {

enum class Phase : std::uint8_t
{
  Idle,
  Placing,  // Its placement is being written.
  Ordered,  // The order to start was sent.
  Running,  // The worker's daemon has confirmed it.
  Stopping, // It was told to stop.
  Done,
};

struct Task
{
  Phase phase = Phase::Idle;
  std::uint32_t run = 0;
  std::uint32_t failures = 0;
  ledger::WorkerLife life;
  /** Empty if a former coordinator placed it and its worker has not reported.
   */
  base::AgentId agent;
  /** Daemon that the record of the placement names. */
  base::AgentId placedOn;
  std::string checkpoint;
  std::uint32_t percent = 0;
  /** Start of the phase. */
  base::TimePoint since{};
  /** Start of the run. */
  base::TimePoint startedAt{};
  /** How often it was stopped to make room. */
  std::uint32_t preemptions = 0;
  /** Placed by a former coordinator and not reported since. */
  bool isInherited = false;
  /** Where it failed last; another worker is tried first. */
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
  /** Run of a gang whose failure was counted last. */
  std::uint32_t failedRun = 0;
  /** Its record is not written yet. */
  bool isDirty = false;
  std::optional<base::TimePoint> readyAt;

  bool IsDone() const noexcept;
};

struct Job
{
  std::shared_ptr<const job::WorkflowSpec> spec;
  base::LogOffset acceptedOffset;
  bool isCancelled = false;
  bool hasEnded = false;
  base::TimePoint endedAt{};
  /** By occurrence and step. */
  std::map<std::pair<std::uint32_t, std::uint32_t>, Step> steps;
  /** Longest chain of estimated work. */
  base::Duration criticalPath{};
};

struct Worker
{
  base::AgentId agent;
  std::optional<WorkerInfo> info;
  /** Tasks may run there until then without another report. */
  base::TimePoint grantExpiresAt{};
  fleet::TaskResources used;
  /** Everything that may hold room on it. */
  std::map<job::TaskRun, fleet::TaskResources> allocations;
  /** Failed runs since the last one that was done. */
  std::uint32_t failureStreak = 0;
  base::TimePoint avoidUntil{};
  /** When a stop was last sent for a run that nobody placed. */
  std::map<job::TaskRun, base::TimePoint> orphanStops;

  fleet::TaskResources Free() const noexcept
  {
    fleet::TaskResources free = this->info->capacity;
    free -= this->used;
    return free;
  }
};

/** A step that has tasks to place, in the order of its importance. */
struct Candidate
{
  Job* job = nullptr;
  Step* step = nullptr;
  bool isGuaranteed = false;
  /** Too late to be worth anything to its caller; it must still run. */
  bool isExpired = false;
  /** It meets its objective if it starts within the time of a stop. */
  bool canMeetObjective = false;

  const job::StepSpec& Spec() const
  {
    return this->job->spec->steps[this->step->id.step];
  }
};

/** Room that is kept for a step of higher rank. */
struct Reservation
{
  std::set<base::AgentId> workers;
  base::TimePoint until;
};

struct Dispatcher::State
{
  State(const DispatcherOptions& aOptions,
        std::unique_ptr<Packing> aPacking,
        DispatchObserver& aObserver)
    : options(aOptions)
    , packing(std::move(aPacking))
    , observer(aObserver)
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
  void MarkDirty(Step& aStep) { aStep.isDirty = true; }
  void FlushWrites();

  // Workers (WorkerState.cpp).
  void HandleReport(const WorkerReport& aReport);
  void SetWorker(Worker& aWorker, const WorkerInfo& aInfo);
  /**
   * Takes over what a former coordinator placed on the worker, and frees what
   * it placed on an earlier worker of the same VM.
   */
  void AdoptInheritedTasks(Worker& aWorker);
  void HandleEnd(Worker& aWorker, const EndedTask& aEnd);
  void HandleRunning(Worker& aWorker, const RunningTask& aRunning);
  void Reconcile(Worker& aWorker, const WorkerReport& aReport);
  void StopOrphanedRun(Worker& aWorker, const job::TaskRun& aRun);
  void EndIncarnation(Worker& aWorker, std::string_view aReason);
  void ExpireSilentWorkers();
  void ExpireInheritedTasks();
  void HandleOutcome(Worker& aWorker,
                     const job::TaskRun& aRun,
                     OrderOutcome aOutcome);
  /** A start has failed: the worker is not chosen again at once. */
  void DeferPlacement(Worker& aWorker) const;
  void AllocateResources(Worker& aWorker,
                         const job::TaskRun& aRun,
                         const fleet::TaskResources& aNeed);
  bool ReleaseResources(Worker& aWorker, const job::TaskRun& aRun);
  void MarkLost(Step& aStep, std::uint32_t aIndex, std::string_view aReason);
  void RequestStop(Step& aStep, std::uint32_t aIndex, std::string_view aReason);
  /** A member of the run has ended: the others cannot go on. */
  void StopGangMembers(Step& aStep,
                       std::uint32_t aRun,
                       std::string_view aReason);
  void RecordTaskFailure(Worker& aWorker, Step& aStep, std::uint32_t aIndex);
  void SendReadyOrders(std::uint64_t aVersion);
  void AcknowledgeDurableEnds();

  // The scheduling pass (Scheduling.cpp).
  void Schedule();
  std::vector<Candidate> Candidates();
  void UpdateGuaranteedJobs();
  bool MayPreempt(const Candidate& aCandidate) const;
  bool IsReady(Job& aJob, const Step& aStep);
  bool PlaceGang(const Candidate& aCandidate);
  bool PlaceIndependentTasks(const Candidate& aCandidate);
  void CommitPlacement(const Candidate& aCandidate,
                       std::span<const std::uint32_t> aTasks,
                       std::span<Worker* const> aWorkers);
  std::vector<Worker*> UsableWorkers(const Candidate& aCandidate) const;
  std::vector<PackingWorker> ToPackingWorkers(std::span<Worker* const> aWorkers,
                                              const Step& aStep,
                                              const job::StepSpec& aSpec);
  std::optional<std::vector<Worker*>> Pack(
    std::span<Worker* const> aWorkers,
    const Candidate& aCandidate,
    std::uint32_t aCount,
    std::vector<PackingWorker> aAvailable);
  bool Reserve(const Candidate& aCandidate, std::uint32_t aCount);
  /** Share of the accelerators of a pool that is in use. */
  double AcceleratorUtilization(const base::PoolId& aPool) const;
  base::Duration EstimateRemaining(const job::TaskRun& aRun);

  // Reclaiming room for guarantees (Preemption.cpp).
  bool Preempt(const Candidate& aCandidate, std::uint32_t aCount);

  const DispatcherOptions options;
  std::unique_ptr<Packing> packing;
  DispatchObserver& observer;

  std::map<base::JobId, Job> jobs;
  std::map<base::AgentId, Worker> workers;
  std::unordered_map<base::AccountId, std::uint32_t> guarantees;
  /** Jobs that are covered by the guarantee of their account. */
  std::set<base::JobId> guaranteed;
  /** When all time has passed that former coordinators may have granted. */
  base::TimePoint inheritedUntil{};
  bool hasInherited = false;

  std::uint64_t lastVersion = 0;
  std::uint64_t persistedVersion = 0;
  /** Placements whose records are being written, with their versions. */
  std::deque<std::pair<std::uint64_t, job::TaskRun>> pendingPlacements;
  std::deque<std::pair<std::uint64_t, AcknowledgeEnds>> pendingAcks;
  std::vector<Reservation> reservations;

  // Of the call that is being handled.
  ClockReading callTime;
  Effects effects;
  bool mustSchedule = false;
};

/** What a task of the step takes on a worker. */
fleet::TaskResources
RequiredResources(const job::StepSpec& aSpec) noexcept;

} // namespace amaranthwind::dispatch
