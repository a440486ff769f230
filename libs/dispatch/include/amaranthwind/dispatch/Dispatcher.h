#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Ids.h"
#include "amaranthwind/dispatch/EndRecord.h"
#include "amaranthwind/dispatch/Packing.h"
#include "amaranthwind/dispatch/WorkerReport.h"
#include "amaranthwind/estimation/RunTimeLearner.h"
#include "amaranthwind/ledger/JobTable.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace amaranthwind::dispatch {

struct DispatcherOptions
{
  /**
   * How long tasks may keep running on a worker after its last report: the
   * duration of the grant that answered the report plus a margin for clock
   * error.
   */
  base::Duration maxGrantDuration = std::chrono::milliseconds(5400);
  /**
   * How long after a takeover tasks may keep running on workers that hold a
   * grant from a previous coordinator.
   */
  base::Duration inheritedGrantDuration = std::chrono::milliseconds(15'400);
  /**
   * A start is carried out at most this long after the moment for which the
   * jobs were known, so that no run starts long after its job was cancelled.
   */
  base::Duration maxStartAge = std::chrono::milliseconds(2600);
  /**
   * A start is carried out at most this long after the moment for which the
   * evacuations of availability zones were known, so that none happens long
   * after the evacuation of its zone was requested. Empty: zones are not
   * evacuated.
   */
  std::optional<base::Duration> maxEvacuationAge;
  /**
   * A start order to an agent that does not count its orders is revoked after
   * this time without an outcome.
   */
  base::Duration startTimeout = std::chrono::milliseconds(2500);
  /**
   * A stop order that the agent has received is repeated if the task has not
   * ended after this time.
   */
  base::Duration stopRetryInterval = std::chrono::milliseconds(1500);
  /** Maximum time that a worker needs to stop a task. */
  base::Duration stopTime = std::chrono::milliseconds(900);
  /**
   * How long the records of an ended job are kept, and the cancellation of a
   * job that was not accepted: longer than an append may be on its way.
   */
  base::Duration retention = std::chrono::seconds(180);
};

/** Monotonic and wall clock, read at the same moment. */
struct ClockReading
{
  base::TimePoint now;
  base::WallTime wall;
};

/**
 * Identifies a connection of an agent. A later connection of the same agent has
 * a higher id. Messages of one session arrive in the order in which they were
 * sent; an order that was sent in an earlier session and is not counted by the
 * first report of a later one never arrives.
 */
using SessionId = base::StrongNumber<struct SessionTag>;

/** Accelerators guaranteed to the most urgent jobs of an account. */
struct AccountGuarantee
{
  base::AccountId account;
  std::uint32_t accelerators = 0;
};

/**
 * Writes a step record. The caller calls Dispatcher::OnPersisted(version) once
 * this record and all earlier ones are durable; they become durable in the
 * order of their versions, but not necessarily together.
 */
struct PersistStep
{
  ledger::StepRecord record;
  std::uint64_t version = 0;
};

/** Records that a task of the job has begun to run. */
struct PersistBegin
{
  base::JobId job;
};

/** Sends an order to start a run, in the given session only. */
struct StartTask
{
  base::AgentId agent;
  SessionId session;
  OrderNumber number;
  ledger::WorkerIncarnation incarnation;
  job::TaskRun run;
  std::string payload;
  /** Checkpoint to resume from; empty if there is none. */
  std::string checkpoint;
  /** How long after the latest report of the agent the start is valid. */
  base::Duration validFor{};
};

/** Sends an order to stop a run, in the given session only. */
struct StopTask
{
  base::AgentId agent;
  SessionId session;
  OrderNumber number;
  ledger::WorkerIncarnation incarnation;
  job::TaskRun run;
};

/** Acknowledges the ends up to the given number, which are durable. */
struct AcknowledgeEnds
{
  base::AgentId agent;
  ledger::WorkerIncarnation incarnation;
  std::uint64_t number = 0;
};

/**
 * Deletes the records of a job whose retention time has passed, or the steps of
 * one whose other records were deleted before. The record that accepted the job
 * must be deleted first.
 */
struct ForgetJob
{
  base::JobId job;
  std::vector<job::StepId> steps;
};

/**
 * The record of ends that OnRecordedEnds() was given with this id may be
 * deleted, since everything that its ends have changed is durable.
 */
struct DeleteEndRecord
{
  EndRecordId id;
};

/**
 * A run was released without an end. Asks for a call of OnEndsConfirmed() with
 * the present time or a later one, for which its task waits.
 */
struct ConfirmEnds
{};

using Effect = std::variant<PersistStep,
                            PersistBegin,
                            StartTask,
                            StopTask,
                            AcknowledgeEnds,
                            ForgetJob,
                            DeleteEndRecord,
                            ConfirmEnds>;
using Effects = std::vector<Effect>;

/** The run time of a completed run and what was expected before it started. */
struct RunTimeOutcome
{
  /** On a worker of normal speed, near its data. */
  base::Duration runTime{};
  /** The caller's estimate; zero if there is none. */
  base::Duration estimate{};
  base::Duration prediction{};
};

/** Notified of each decision and its inputs, for logs and metrics. */
class DispatchObserver
{
public:
  virtual ~DispatchObserver() = default;
  virtual void OnPlaced(const job::TaskRun& aRun,
                        const base::AgentId& aAgent,
                        base::Duration aWaited) = 0;
  /** The start was not ordered yet and will not be. */
  virtual void OnPlacementWithdrawn(const job::TaskRun& aRun,
                                    const base::AgentId& aAgent,
                                    std::string_view aReason) = 0;
  /** The start order was lost and is sent again. */
  virtual void OnStartRepeated(const job::TaskRun& aRun,
                               const base::AgentId& aAgent) = 0;
  virtual void OnEnded(const job::TaskRun& aRun,
                       const base::AgentId& aAgent,
                       EndKind aKind,
                       std::uint32_t aFailures) = 0;
  /** A run that was given up has completed; aLatest is the task's last run. */
  virtual void OnLateCompletion(const job::TaskRun& aRun,
                                const base::AgentId& aAgent,
                                std::uint32_t aLatest) = 0;
  /** The end is acknowledged although it changes nothing. */
  virtual void OnEndIgnored(const job::TaskRun& aRun,
                            const base::AgentId& aAgent,
                            EndKind aKind,
                            std::string_view aReason) = 0;
  /** @param aLostWork Core-seconds of work that the stop is estimated to lose.
   */
  virtual void OnStopping(const job::TaskRun& aRun,
                          const base::AgentId& aAgent,
                          std::string_view aReason,
                          double aLostWork) = 0;
  virtual void OnLost(const job::TaskRun& aRun, std::string_view aReason) = 0;
  virtual void OnWorkerChanged(const base::AgentId& aAgent,
                               std::string_view aChange) = 0;
  /** Called for each completed run, once for a gang, while run times are
   * learned. */
  virtual void OnRunTimeLearned(const RunTimeOutcome& aOutcome) = 0;
  virtual void OnJobEnded(const base::JobId& aJob,
                          std::string_view aOutcome,
                          base::Duration aAge) = 0;
};

/**
 * Decides which task runs where. The coordinator of a cell creates it from the
 * jobs in the log, reports events to it and executes the effects that it
 * returns. Events only update the state. After one or more of them the caller
 * must call Commit(), which writes the changes of all of them at once; tasks
 * are placed by Schedule(), whose work grows with the jobs and workers.
 *
 * These invariants prevent two concurrent runs of one task:
 *
 * - A placement is durable before the start order is sent.
 * - A task may be placed again only after its end was reported, the agent has
 *   ruled out a start, the worker's incarnation has ended, or every grant to
 *   the worker has expired.
 * - The worker's resources are released under the same conditions.
 *
 * A report says nothing of an order that the agent had not received when it
 * sent the report, however late the report is handled. An order that was lost
 * with its session is sent again in the next one.
 *
 * Tasks are placed, and start orders sent, only while the jobs, and the
 * evacuations where zones can be evacuated, are known as of a recent moment;
 * see OnJobsConfirmed() and OnEvacuations().
 *
 * The agent of a lost worker may have recorded an end that it could not report.
 * A task whose run was released without an end is therefore placed again only
 * once the recorded ends are known as of its release, and no task is placed
 * before they were confirmed at all; see OnEndsConfirmed().
 *
 * Owns no thread and reads no clock. Not thread-safe.
 */
class Dispatcher
{
public:
  /**
   * @param aJobs Read only during construction.
   * @param aObserver Must outlive the dispatcher.
   * @param aRunTimes Learns from the runs and is asked for predictions; null:
   * the callers' estimates are taken and all workers for equally fast.
   */
  Dispatcher(const DispatcherOptions& aOptions,
             const ledger::JobTable& aJobs,
             std::unique_ptr<Packing> aPacking,
             DispatchObserver& aObserver,
             const ClockReading& aNow,
             std::unique_ptr<estimation::RunTimeLearner> aRunTimes = nullptr);
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  /** Handles a record that accepts or cancels a job. */
  Effects OnJob(const ledger::JobEntry& aJob, const ClockReading& aNow);
  /** Handles a record that cancels a job that no record accepts. */
  void OnEarlyCancellation(const base::JobId& aJob, const ClockReading& aNow);
  Effects OnGuarantees(std::span<const AccountGuarantee> aGuarantees,
                       const ClockReading& aNow);
  /**
   * Reports and outcomes of an earlier session of the agent are ignored.
   * @param aQueueTime Time since the report was received.
   */
  Effects OnReport(const WorkerReport& aReport,
                   SessionId aSession,
                   const ClockReading& aNow,
                   base::Duration aQueueTime = {});
  Effects OnOutcome(const base::AgentId& aAgent,
                    SessionId aSession,
                    const ledger::WorkerIncarnation& aIncarnation,
                    const job::TaskRun& aRun,
                    OrderOutcome aOutcome,
                    const ClockReading& aNow);
  /**
   * Handles ends that an agent has recorded. They may also be reported, before
   * or afterwards, and a record may be handled any number of times.
   * @param aId Identifies the record in DeleteEndRecord.
   */
  Effects OnRecordedEnds(const EndRecord& aRecord,
                         const EndRecordId& aId,
                         const ClockReading& aNow);
  /**
   * OnRecordedEnds() was called for all records acknowledged before this time,
   * which must be after the previous coordinators were fenced off.
   */
  Effects OnEndsConfirmed(base::TimePoint aAsOf, const ClockReading& aNow);
  Effects OnPersisted(std::uint64_t aVersion, const ClockReading& aNow);
  /**
   * The previous coordinator is known to issue no more grants; those that it
   * issued expire within the given time.
   */
  void OnPredecessorSteppedDown(base::Duration aBound,
                                const ClockReading& aNow);
  /** OnJob() was called for all records acknowledged before this time. */
  Effects OnJobsConfirmed(base::TimePoint aAsOf, const ClockReading& aNow);
  /**
   * These availability zones are to get no further tasks. What runs there runs
   * on. Ignored without DispatcherOptions::maxEvacuationAge.
   * @param aZones All evacuated zones.
   * @param aAsOf All requests acknowledged before this time are included.
   */
  Effects OnEvacuations(std::span<const base::ZoneId> aZones,
                        base::TimePoint aAsOf,
                        const ClockReading& aNow);
  /** Must be called about every half second. */
  Effects OnTick(const ClockReading& aNow);

  /**
   * Whether a scheduling pass could place tasks since the last one. False while
   * the jobs or the evacuations are not known as of a recent moment, and until
   * the recorded ends are confirmed.
   */
  bool NeedsSchedule(const ClockReading& aNow);
  /** Runs a scheduling pass, which places and preempts tasks. */
  Effects Schedule(const ClockReading& aNow);
  /** Writes the records of all steps that have changed. */
  Effects Commit(const ClockReading& aNow);

  /** Totals for state dumps and metrics. */
  struct Counts
  {
    std::size_t jobs = 0;
    std::size_t workers = 0;
    std::size_t tasksOnWorkers = 0;
    /** Placements whose start order was not sent yet. */
    std::size_t waitingOrders = 0;
    std::uint32_t freeAccelerators = 0;
    std::uint32_t accelerators = 0;
    std::size_t evacuatedZones = 0;
  };
  Counts Count() const;
  /** What was learned, for a successor; empty without a learner. */
  std::optional<estimation::LearnedSummary> Learned() const;

private:
  struct State;
  std::unique_ptr<State> state;
};

} // namespace amaranthwind::dispatch
