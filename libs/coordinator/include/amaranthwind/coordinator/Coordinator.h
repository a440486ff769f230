#pragma once

#include "amaranthwind/base/Executor.h"
#include "amaranthwind/base/Ids.h"
#include "amaranthwind/coordinator/JobService.h"
#include "amaranthwind/dispatch/Dispatcher.h"
#include "amaranthwind/journal/KeyedLog.h"
#include "amaranthwind/ledger/Records.h"
#include "amaranthwind/telemetry/Logger.h"
#include "amaranthwind/telemetry/Metrics.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace amaranthwind::net {
class IoPool;
}

namespace amaranthwind::coordinator {

struct CoordinatorOptions
{
  base::EntryId self;
  base::Incarnation incarnation;
  /** Where workers' daemons and other entries connect, "IP:port". */
  std::string innerListen;
  /** Time that a worker's daemon may go on without another grant. */
  std::chrono::milliseconds grant{ 5000 };
  /** Without a word of the log for this long, no more time is granted. */
  base::Duration maxLogSilence = std::chrono::seconds(10);
  /** Added to the end of every grant before its tasks count as gone. */
  base::Duration grantMargin = std::chrono::milliseconds(400);
  /** Longest time that a worker needs to stop a task. */
  base::Duration stopTime = std::chrono::milliseconds(900);
  /** How long the state of an ended job is kept. */
  base::Duration retention = std::chrono::seconds(180);
};

/** For dumps and health checks. */
struct CoordinatorStatus
{
  bool isLoaded = false;
  bool isLeader = false;
  base::EntryId leader;
  base::FencingToken token;
  std::size_t knownJobs = 0;
  dispatch::Dispatcher::Counts counts;
};

/**
 * The part of an entry that keeps jobs: follows the log, answers callers,
 * takes part in the election, and decides where tasks run while it is the
 * coordinator. Decisions run on the given executor; requests are answered on
 * the threads that bring them. Thread-safe.
 */
class Coordinator final : public JobService
{
public:
  /** All references must outlive the coordinator. */
  Coordinator(const CoordinatorOptions& aOptions,
              const base::Clock& aClock,
              base::Executor& aExecutor,
              net::IoPool& aPool,
              journal::KeyedLog& aLog,
              const ledger::RecordCodec& aCodec,
              telemetry::Logger& aLogger,
              telemetry::Metrics& aMetrics);
  ~Coordinator() override;

  /** Errors: those of listening. */
  base::Result<void> Start();
  /** Hands the leadership back, so that another entry takes over at once. */
  void Resign();
  void Stop();

  void SetGuarantees(std::vector<dispatch::AccountGuarantee> aGuarantees);

  void Submit(job::WorkflowSpec aSpec,
              base::Duration aTimeout,
              DoneHandler aHandler) override;
  void Cancel(const base::JobId& aJob,
              base::Duration aTimeout,
              DoneHandler aHandler) override;
  void Find(const base::JobId& aJob, StatusHandler aHandler) override;
  base::Result<std::uint32_t> Waiting(
    const base::WorkKindId& aKind) const override;

  /** When the view of the jobs was last known to be current. */
  base::TimePoint CurrentAsOf() const noexcept;
  CoordinatorStatus Status() const;

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace amaranthwind::coordinator
