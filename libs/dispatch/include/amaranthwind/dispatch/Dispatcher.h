#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Ids.h"
#include "amaranthwind/dispatch/Packing.h"
#include "amaranthwind/dispatch/WorkerReport.h"
#include "amaranthwind/ledger/JobTable.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace amaranthwind::dispatch {

struct DispatcherOptions
{
  /**
   * How long after a report tasks may still run on a worker that is heard of no
   * more: the grant that answered it, and a margin for clocks.
   */
  base::Duration maxGrantDuration = std::chrono::milliseconds(5400);
  /**
   * The same for workers that a former coordinator may still have granted
   * time, counted from the takeover.
   */
  base::Duration inheritedGrantDuration = std::chrono::milliseconds(15'400);
  /** An order without an outcome is taken back after this time. */
  base::Duration startTimeout = std::chrono::milliseconds(2500);
  /** A stop without an end is repeated after this time. */
  base::Duration stopRetryInterval = std::chrono::milliseconds(1500);
  /** Longest time that a worker needs to stop a task. */
  base::Duration stopTime = std::chrono::milliseconds(900);
  /** How long an ended job is kept. */
  base::Duration retention = std::chrono::seconds(180);
};

/** Two clocks read at the same moment. */
struct ClockReading
{
  base::TimePoint now;
  base::WallTime wall;
};

/** Accelerators that an account can have for its most urgent jobs. */
struct AccountGuarantee
{
  base::AccountId account;
  std::uint32_t accelerators = 0;
};

/**
 * Progress to write; Dispatcher::OnPersisted(version) follows once it and all
 * before it are durable.
 */
struct PersistStep
{
  ledger::StepRecord record;
  std::uint64_t version = 0;
};

struct StartTask
{
  base::AgentId agent;
  ledger::WorkerLife life;
  job::TaskRun run;
  std::string payload;
  /** Progress to resume from; empty if there is none. */
  std::string checkpoint;
};

struct StopTask
{
  base::AgentId agent;
  ledger::WorkerLife life;
  job::TaskRun run;
};

/** The ends up to the given number are durable. */
struct AcknowledgeEnds
{
  base::AgentId agent;
  ledger::WorkerLife life;
  std::uint64_t number = 0;
};

/** The job ended long ago and nothing of it is left; its records can go. */
struct ForgetJob
{
  base::JobId job;
  std::vector<job::StepId> steps;
};

using Effect =
  std::variant<PersistStep, StartTask, StopTask, AcknowledgeEnds, ForgetJob>;
using Effects = std::vector<Effect>;

/** Told of each decision with its inputs, for logs and metrics. */
class DispatchObserver
{
public:
  virtual ~DispatchObserver() = default;
  virtual void OnPlaced(const job::TaskRun& aRun,
                        const base::AgentId& aAgent,
                        base::Duration aWaited) = 0;
  virtual void OnEnded(const job::TaskRun& aRun,
                       const base::AgentId& aAgent,
                       EndKind aKind,
                       std::uint32_t aFailures) = 0;
  virtual void OnStopping(const job::TaskRun& aRun,
                          const base::AgentId& aAgent,
                          std::string_view aReason) = 0;
  virtual void OnLost(const job::TaskRun& aRun, std::string_view aReason) = 0;
  virtual void OnWorkerChanged(const base::AgentId& aAgent,
                               std::string_view aChange) = 0;
  virtual void OnJobEnded(const base::JobId& aJob,
                          std::string_view aOutcome,
                          base::Duration aAge) = 0;
};

/**
 * Decides which task runs where. Created by the coordinator of a cell from the
 * jobs in the log; from then on it is told what happens and answers with
 * effects. The rules that keep a second run out:
 *
 * - A placement is durable before the order to start is sent.
 * - A task is free again only after its end was reported, its worker's daemon
 *   has made a start impossible, the worker's life is over, or all time that
 *   was granted to the worker has passed.
 * - Room is free under the same conditions.
 *
 * No thread, no clock of its own. Not thread-safe.
 */
class Dispatcher
{
public:
  /**
   * @param aJobs Read during the construction only.
   * @param aObserver Must outlive the dispatcher.
   */
  Dispatcher(const DispatcherOptions& aOptions,
             const ledger::JobTable& aJobs,
             std::unique_ptr<Packing> aPacking,
             DispatchObserver& aObserver,
             const ClockReading& aNow);
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  /** The record that accepts or cancels a job was read. */
  Effects OnJob(const ledger::JobEntry& aJob, const ClockReading& aNow);
  Effects OnGuarantees(std::span<const AccountGuarantee> aGuarantees,
                       const ClockReading& aNow);
  Effects OnReport(const WorkerReport& aReport, const ClockReading& aNow);
  Effects OnOutcome(const base::AgentId& aAgent,
                    const ledger::WorkerLife& aLife,
                    const job::TaskRun& aRun,
                    OrderOutcome aOutcome,
                    const ClockReading& aNow);
  Effects OnPersisted(std::uint64_t aVersion, const ClockReading& aNow);
  /**
   * The former coordinator is known to grant no more time: what it granted ends
   * after the given time at the latest.
   */
  void OnPredecessorSteppedDown(base::Duration aBound,
                                const ClockReading& aNow);
  /** Call it about every half second. */
  Effects OnTick(const ClockReading& aNow);

  /** For dumps and metrics. */
  struct Counts
  {
    std::size_t jobs = 0;
    std::size_t workers = 0;
    std::size_t tasksOnWorkers = 0;
    std::uint32_t freeAccelerators = 0;
    std::uint32_t accelerators = 0;
  };
  Counts Count() const;

private:
  struct State;
  std::unique_ptr<State> state;
};

} // namespace amaranthwind::dispatch
