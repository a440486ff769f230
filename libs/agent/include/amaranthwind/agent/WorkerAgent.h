#pragma once

#include "amaranthwind/agent/EndRecorder.h"
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
  /** Interval of the periodic reports to the coordinator. */
  base::Duration reportInterval = std::chrono::milliseconds(600);
  /** Maximum lease that the worker accepts. */
  base::Duration maxLease = std::chrono::milliseconds(6000);
  /** Long-poll timeout of a hold while tasks run, and while none do. */
  std::chrono::milliseconds busyHoldWait{ 1000 };
  std::chrono::milliseconds idleHoldWait{ 2000 };
  /** Attempts to send a start before it is cancelled. */
  std::uint32_t maxStartAttempts = 3;
};

/** State of the agent for dumps and metrics. */
struct AgentStatus
{
  bool hasWorker = false;
  bool isGranted = false;
  std::size_t running = 0;
  std::size_t unacknowledgedEnds = 0;
  /** Of lives of the worker that are over. */
  std::size_t pastEnds = 0;
  /** Neither acknowledged nor recorded, of all lives. */
  std::size_t unrecordedEnds = 0;
  base::FencingToken token;
};

/**
 * Manages the tasks of the worker on its VM: executes the coordinator's
 * commands and renews the worker's lease within the coordinator's grant.
 *
 * A start whose response was lost is retried with the same run number, which
 * the worker starts at most once. If no attempt is answered, the agent cancels
 * the run with a stop before it reports the run as absent. The lease never
 * extends beyond the grant, so that the coordinator knows when an unreachable
 * worker can no longer run anything.
 *
 * Confined to one executor: every function must be called there, and none after
 * Stop().
 */
class WorkerAgent
{
public:
  WorkerAgent(const AgentOptions& aOptions,
              const base::Clock& aClock,
              base::Executor& aExecutor,
              WorkerPort& aWorker,
              CoordinatorPort& aCoordinator,
              EndRecorder& aEndRecorder,
              telemetry::Logger& aLogger);
  ~WorkerAgent();
  WorkerAgent(const WorkerAgent&) = delete;
  WorkerAgent& operator=(const WorkerAgent&) = delete;

  void Start();
  void Stop();

  /** The worker has registered. Messages that arrive late are ignored. */
  void OnRegistration(const dispatch::WorkerInfo& aWorker,
                      std::uint64_t aSequence);
  /**
   * The worker is shutting down and will not register again. `born` is 0 if the
   * worker did not tell it. The worker may run on for seconds, so that it is
   * reported until it has ended or its lease, which is not extended any more,
   * has expired.
   */
  void OnDeregistration(const ledger::WorkerIncarnation& aWorker);

  /** A coordinator holds this token; messages with lower ones are rejected. */
  void OnCoordinatorToken(base::FencingToken aToken);
  /** The connection to the coordinator is open. */
  void OnCoordinatorConnected();
  void OnGrant(std::uint64_t aSequence,
               base::FencingToken aToken,
               base::Duration aDuration);
  void OnEndAcknowledged(const ledger::WorkerIncarnation& aIncarnation,
                         std::uint64_t aNumber);
  /** An order with a number that was already received is ignored. */
  void OnStart(const dispatch::OrderId& aOrder,
               const ledger::WorkerIncarnation& aIncarnation,
               const job::TaskRun& aRun,
               std::string_view aPayload,
               std::string_view aCheckpoint,
               const dispatch::StartValidity& aValidity);
  void OnStop(const dispatch::OrderId& aOrder,
              const ledger::WorkerIncarnation& aIncarnation,
              const job::TaskRun& aRun);

  AgentStatus Status() const;

private:
  struct State;
  std::shared_ptr<State> state;
};

} // namespace amaranthwind::agent
