#pragma once

#include "amaranthwind/agent/EndLog.h"
#include "amaranthwind/base/Backoff.h"
#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Executor.h"
#include "amaranthwind/base/Ids.h"
#include "amaranthwind/dispatch/WorkerReport.h"
#include "amaranthwind/journal/KeyedLog.h"
#include "amaranthwind/telemetry/Logger.h"
#include "amaranthwind/telemetry/Metrics.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace amaranthwind::agent {

struct EndRecorderOptions
{
  base::AgentId agent;
  /**
   * From the listing of an end to its append. A coordinator that is not slow
   * acknowledges most ends earlier, and the append still completes within the
   * 100 ms after which an end must not be lost.
   */
  base::Duration delay = std::chrono::milliseconds(40);
  /** An append is repeated if it has no answer for so long. */
  base::Duration appendTimeout = journal::kAppendTimeout;
  /** The log is slow if it answers an append after this time or later. */
  base::Duration lateAnswer = std::chrono::milliseconds(150);
  /** Before the append that follows a failed or a late one. */
  base::BackoffOptions backoff{ std::chrono::milliseconds(100),
                                std::chrono::seconds(3) };
  /**
   * Limit of the ends that are kept. An agent reports at most 1,024 ends of
   * earlier lives, and a worker lists at most 500 that are not acknowledged.
   */
  std::size_t maxEnds = 2048;
};

/** The ends that an acknowledgement covers. */
struct AcknowledgedEnds
{
  std::size_t count = 0;
  /** How many of them the agent has recorded. */
  std::size_t recorded = 0;
  /** Since the oldest of them was listed. */
  base::Duration sinceListed{};
};

/**
 * Records ends that no coordinator acknowledges in time in the log, so that
 * they are durable even if the coordinator is late and all VMs lose power. Only
 * ends that change the state of a task beyond its release are recorded: those
 * that are done or failed.
 *
 * At most one append is under way. An append that fails or whose answer is late
 * delays the next one, so that the agents do not load a slow log further.
 *
 * Confined to one executor: every function must be called there, and none after
 * Stop().
 */
class EndRecorder
{
public:
  /** All references must outlive the recorder. */
  EndRecorder(const EndRecorderOptions& aOptions,
              const base::Clock& aClock,
              base::Executor& aExecutor,
              EndLog& aLog,
              telemetry::Logger& aLogger,
              telemetry::Metrics& aMetrics);
  ~EndRecorder();
  EndRecorder(const EndRecorder&) = delete;
  EndRecorder& operator=(const EndRecorder&) = delete;

  void Stop();

  /** The worker has listed the end. Repeated listings change nothing. */
  void OnListed(const ledger::WorkerIncarnation& aLife,
                const dispatch::EndedTask& aEnd);
  /** The ends of this life up to the number are durable. */
  AcknowledgedEnds OnAcknowledged(const ledger::WorkerIncarnation& aLife,
                                  std::uint64_t aNumber);

  /** Number of ends that are to be recorded and are not. */
  std::size_t Unrecorded() const;

private:
  struct State;
  std::shared_ptr<State> state;
};

} // namespace amaranthwind::agent
