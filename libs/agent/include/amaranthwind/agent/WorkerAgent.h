#pragma once

#include "amaranthwind/agent/WorkerPort.h"
#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Executor.h"
#include "amaranthwind/base/Ids.h"
#include "amaranthwind/dispatch/WorkerReport.h"
#include "amaranthwind/telemetry/Logger.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace amaranthwind::agent {

struct AgentOptions
{
  base::AgentId id;
  /** Between two reports to the coordinator. */
  base::Duration reportInterval = std::chrono::milliseconds(600);
  /** Longest lease that the worker accepts. */
  base::Duration maxLease = std::chrono::milliseconds(6000);
  /** Waiting time of a hold while something runs, and while nothing does. */
  std::chrono::milliseconds busyWait{ 1000 };
  std::chrono::milliseconds idleWait{ 2000 };
  /** A start is sent this often before it is taken back. */
  std::uint32_t startTries = 3;
};

/** What a dump and metrics show. */
struct AgentStatus
{
  bool hasWorker = false;
  bool isGranted = false;
  std::size_t running = 0;
  std::size_t unacknowledgedEnds = 0;
  base::FencingToken token;
};

/**
 * Keeps the tasks of the worker on its VM: carries out the coordinator's orders
 * and renews the worker's lease for as long as the coordinator has granted.
 *
 * A start whose answer was lost is sent again with the same run number, which
 * the worker carries out once. If it stays without an answer, a stop makes the
 * run impossible before the coordinator is told that it is absent. The lease
 * never reaches beyond the grant, so that the coordinator knows when nothing
 * can run any more on a worker that it cannot hear.
 *
 * Lives on one executor: every function must be called there, and must not be
 * called after Stop().
 */
class WorkerAgent
{
public:
  WorkerAgent(const AgentOptions& aOptions,
              const base::Clock& aClock,
              base::Executor& aExecutor,
              WorkerPort& aWorker,
              CoordinatorPort& aCoordinator,
              telemetry::Logger& aLogger);
  ~WorkerAgent();
  WorkerAgent(const WorkerAgent&) = delete;
  WorkerAgent& operator=(const WorkerAgent&) = delete;

  void Start();
  void Stop();

  /** The worker says what it is. Older messages than the newest are ignored. */
  void OnRegistration(const dispatch::WorkerInfo& aWorker,
                      std::uint64_t aSequence);
  /** The worker ends. */
  void OnDeregistration(const base::TargetId& aWorker);

  /** A coordinator with this token exists; lower ones are no longer obeyed. */
  void OnToken(base::FencingToken aToken);
  /** The link to the coordinator can be used. */
  void OnLinkOpened();
  void OnGrant(std::uint64_t aSequence,
               base::FencingToken aToken,
               base::Duration aDuration);
  void OnAcknowledged(const ledger::WorkerLife& aLife, std::uint64_t aNumber);
  void OnStart(base::FencingToken aToken,
               const ledger::WorkerLife& aLife,
               const job::TaskRun& aRun,
               std::string_view aPayload,
               std::string_view aCheckpoint);
  void OnStop(base::FencingToken aToken,
              const ledger::WorkerLife& aLife,
              const job::TaskRun& aRun);

  AgentStatus Status() const;

private:
  struct State;
  std::shared_ptr<State> state;
};

} // namespace amaranthwind::agent
