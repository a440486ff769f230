#pragma once

#include "amaranthwind/base/Ids.h"
#include "amaranthwind/base/ProgressExecutor.h"
#include "amaranthwind/coordinator/JobService.h"
#include "amaranthwind/dispatch/Dispatcher.h"
#include "amaranthwind/journal/KeyedLog.h"
#include "amaranthwind/ledger/Records.h"
#include "amaranthwind/protocol/MessagePort.h"
#include "amaranthwind/telemetry/Logger.h"
#include "amaranthwind/telemetry/Metrics.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace amaranthwind::net {
class ConnectionBudget;
class IoPool;
}

namespace amaranthwind::coordinator {

struct CoordinatorOptions
{
  base::EntryId self;
  base::Incarnation incarnation;
  /** Listen address for agents and other entries, "IP:port". */
  std::string innerListen;
  /** How long an agent may keep its tasks running without a new grant. */
  std::chrono::milliseconds grant{ 5000 };
  /** No grants are issued if the log has not answered for this long. */
  base::Duration maxLogSilence = std::chrono::seconds(10);
  /** Margin after the end of a grant before its tasks are considered lost. */
  base::Duration grantMargin = std::chrono::milliseconds(400);
  /** No task is started later than this after its job was cancelled. */
  base::Duration cancelLimit = std::chrono::milliseconds(3000);
  /**
   * No task is started in an availability zone later than this after its
   * evacuation was requested. Empty: zones are not evacuated.
   */
  std::optional<base::Duration> evacuationLimit;
  /** Maximum time that a worker needs to stop a task. */
  base::Duration stopTime = std::chrono::milliseconds(900);
  /** How long the records of an ended job are kept. */
  base::Duration retention = std::chrono::seconds(180);
  /**
   * Limit of the memory that all accepted jobs may take together, in bytes. A
   * job that would exceed it is refused.
   */
  std::size_t maxAcceptedBytes = std::size_t{ 56 } * 1024 * 1024;
  /** Makes the placement strategy of a term of leadership. */
  std::function<std::unique_ptr<dispatch::Packing>()> makePacking = [] {
    return std::make_unique<dispatch::BestFitPacking>();
  };

  /** Makes the learner of a term; null: run times are not learned. */
  std::function<std::unique_ptr<estimation::RunTimeLearner>()> makeLearner;

  /** Time from a report to the latest end of the grant that answers it. */
  base::Duration MaxGrantDuration() const
  {
    return this->grant + this->grantMargin;
  }
  /**
   * How long after the election of a coordinator the grants of earlier ones can
   * run: those issue grants until maxLogSilence has passed.
   */
  base::Duration InheritedGrantDuration() const
  {
    return this->MaxGrantDuration() + this->maxLogSilence;
  }
};

/** Snapshot for state dumps and health checks. */
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
 * Manages the jobs of an entry: follows the log, serves callers, takes part in
 * the leader election and, while it is the leader, decides where tasks run.
 * Decisions run on the given executor; requests are answered on the calling
 * threads. Thread-safe.
 */
class Coordinator final : public JobService
{
public:
  /**
   * All references must outlive the coordinator.
   * @param aHeartbeatExecutor For the leader's heartbeats, which must not wait
   * behind its decisions.
   */
  Coordinator(const CoordinatorOptions& aOptions,
              const base::Clock& aClock,
              base::ProgressExecutor& aExecutor,
              base::Executor& aHeartbeatExecutor,
              const protocol::MessagePortFactory& aMakePort,
              journal::KeyedLog& aLog,
              const ledger::RecordCodec& aCodec,
              telemetry::Logger& aLogger,
              telemetry::Metrics& aMetrics);
  ~Coordinator() override;

  /**
   * Port factory for connections to agents and other entries.
   * @param aBudget Shared with other listeners of the process.
   */
  static protocol::MessagePortFactory MakePorts(
    net::IoPool& aPool,
    std::shared_ptr<net::ConnectionBudget> aBudget = nullptr);

  /** Errors: those of listening. */
  base::Result<void> Start();
  /** Gives up the leadership, so that another entry can take over immediately.
   */
  void Resign();
  void Stop();

  void SetGuarantees(std::vector<dispatch::AccountGuarantee> aGuarantees);
  /**
   * While it leads, it places no tasks in these availability zones, and none
   * anywhere unless this was called for a recent moment. Needed only with
   * CoordinatorOptions::evacuationLimit.
   * @param aZones All evacuated zones.
   * @param aAsOf All requests acknowledged before this time are included.
   */
  void SetEvacuations(std::vector<base::ZoneId> aZones, base::TimePoint aAsOf);

  void Submit(job::WorkflowSpec aSpec,
              base::Duration aTimeout,
              DoneHandler aHandler) override;
  void Cancel(const base::JobId& aJob,
              const base::AccountId& aAccount,
              base::Duration aTimeout,
              DoneHandler aHandler) override;
  void Find(const base::JobId& aJob, StatusHandler aHandler) override;
  base::Result<std::uint32_t> CountPendingJobs(
    const base::WorkKindId& aKind) const override;

  /** When the local view of the jobs was last known to be up to date. */
  base::TimePoint CurrentAsOf() const noexcept;
  CoordinatorStatus Status() const;

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace amaranthwind::coordinator
