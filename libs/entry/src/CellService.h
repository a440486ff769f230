#pragma once

#include "CellRecorder.h"
#include "CellStatus.h"
#include "LogWriter.h"
#include "StreamFollower.h"
#include "amaranthwind/base/EventLoop.h"
#include "amaranthwind/base/Random.h"
#include "amaranthwind/base/SnapshotCell.h"
#include "amaranthwind/codec/ErrorCodec.h"
#include "amaranthwind/fleet/Target.h"
#include "amaranthwind/gang/GangCoordinator.h"
#include "amaranthwind/journal/CellReplay.h"
#include "amaranthwind/journal/CheckpointWriter.h"
#include "amaranthwind/membership/CoordinatorElection.h"
#include "amaranthwind/policy/Policy.h"
#include "amaranthwind/protocol/Node.h"
#include "amaranthwind/scheduling/CellScheduler.h"
#include "amaranthwind/telemetry/Logger.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace amaranthwind::entry {

/** State of a job as reported to its caller. */
struct JobView
{
  journal::JobState state;
  /** Why a queued job waits; set if this entry coordinates its cell. */
  std::optional<scheduling::WaitReport> wait;
};

/** A job or the error reply for the caller. */
using JobResult =
  boost::outcome_v2::basic_result<JobView,
                                  codec::ErrorReply,
                                  boost::outcome_v2::policy::all_narrow>;
using JobHandler = std::function<void(const JobResult&)>;

/** Notified of the cell's coordinator, on the cell's decision thread. */
class CellObserver
{
public:
  virtual ~CellObserver() = default;
  virtual void OnCoordinator(const base::ZoneId& aZone,
                             const base::EntryId& aCoordinator,
                             base::FencingToken aToken) = 0;
};

struct CellServiceOptions
{
  base::ZoneId zone;
  base::EntryId self;
  base::Duration logRetention{};
  telemetry::CellMetrics metrics{};
  telemetry::AppendMetrics appendMetrics{};
};

/**
 * Follows the log of one cell and, while this entry is the elected coordinator,
 * schedules the cell's jobs. A single decision thread owns all state; a log
 * reader and a log writer thread post results to it. The decision logic is in
 * the packages gang, journal, membership and scheduling; this class applies the
 * effects that they return.
 */
class CellService
{
public:
  /** The references must outlive the service. */
  CellService(CellServiceOptions aOptions,
              const base::Clock& aClock,
              journal::LogClient& aLog,
              const journal::RecordCodec& aCodec,
              protocol::Node& aNode,
              telemetry::Logger& aLogger,
              CellObserver& aObserver);
  ~CellService();
  CellService(const CellService&) = delete;
  CellService& operator=(const CellService&) = delete;

  void Start();
  void Stop();
  /** Gives up coordination permanently. Blocks until done. */
  void HandOver();

  // Thread-safe; these post to the decision thread.
  void OnPolicy(const policy::Policy& aPolicy);
  void OnEntries(const std::vector<base::EntryId>& aLive);
  /** Entry aFrom has handed over the cells that it coordinated. */
  void OnHandOver(const base::EntryId& aFrom);
  /** A peer has reported the coordinator of the cell. */
  void OnCoordinatorReported(base::FencingToken aToken,
                             const base::EntryId& aCoordinator);
  void OnWorkerUsable(const fleet::Target& aWorker,
                      protocol::ConnectionId aConnection);
  /** The connection to a usable worker has been replaced. */
  void OnWorkerConnection(const base::TargetId& aWorker,
                          protocol::ConnectionId aConnection);
  void OnWorkerDraining(const base::TargetId& aWorker);
  void OnWorkerGone(const base::TargetId& aWorker);
  /** Handles a message of the gang protocol. */
  void OnMessage(protocol::ConnectionId aConnection,
                 const protocol::Message& aMessage);

  /**
   * Handlers run on the decision thread, except that Submit() calls aHandler
   * directly if the queue is full.
   */
  void Submit(job::JobSpec aSpec, const JobHandler& aHandler);
  void Query(const base::JobId& aJob, JobHandler aHandler);
  void Cancel(const base::JobId& aJob, JobHandler aHandler);

  bool IsActing() const noexcept { return this->isActing.load(); }
  /** False until the stream has been read to its end for the first time. */
  bool IsLoaded() const noexcept { return this->isLoaded.load(); }
  const base::ZoneId& Zone() const noexcept { return this->options.zone; }
  /** The last status that the decision thread published. Thread-safe. */
  std::shared_ptr<const CellStatus> Status() const
  {
    return this->status.Get();
  }

private:
  struct Worker
  {
    fleet::Target target;
    protocol::ConnectionId connection;
    bool isDraining = false;
  };
  /** An attempt that the coordinator drives. */
  struct Attempt
  {
    gang::AttemptKey key;
    std::vector<job::GangMemberPlan> members;
  };
  using CompletionHandler = std::function<void()>;

  base::LogOffset OnRead(const StreamRead& aRead);
  void Consume(const journal::ReadBatch& aBatch, bool aIsAtEnd);
  void OnTick();

  // Election.
  void Apply(const membership::ElectionEffects& aEffects);
  void AppendEpoch();
  void StartActing(base::FencingToken aToken);
  void StopActing(std::string_view aReason);
  void RestoreJob(const journal::JobState& aJob);
  void ReportCoordinator();

  // Log.
  void AppendOnce(journal::AppendTask aTask, AppendHandler aHandler);
  journal::AppendTask MakeTask(journal::RecordBody aBody, bool aIsFenced);
  void AppendWithRetry(journal::RecordBody aBody, CompletionHandler aDone);
  void RetryAppend(journal::AppendTask aTask, CompletionHandler aDone);
  void WriteCheckpointIfDue(base::TimePoint aNow);

  // Scheduling.
  void HandleSchedulingEvent(const scheduling::Event& aEvent);
  void Apply(const scheduling::StartGang& aEffect);
  void Apply(const scheduling::PreemptGang& aEffect);
  void Apply(const scheduling::RefuseJob& aEffect);
  void Apply(const scheduling::EndJob& aEffect);
  void Apply(const scheduling::ReportShortfall& aEffect);
  void Apply(const scheduling::ChangeWorkerHealth& aEffect);
  std::uint32_t UrgencyOf(const base::WorkKindId& aKind) const;

  // Gangs.
  void HandleGangEvent(
    const gang::CoordinatorEvent& aEvent,
    std::optional<protocol::ConnectionId> aSender = std::nullopt);
  void Apply(const gang::SendToMember& aEffect);
  void Apply(const gang::WriteDecision& aEffect);
  void Apply(const gang::AttemptWaitingForLog& aEffect);
  void Apply(const gang::AttemptStarted& aEffect);
  void Apply(const gang::AttemptEnded& aEffect);
  void Apply(const gang::CoordinatorSuperseded& aEffect);
  void OnDecisionWritten(const gang::AttemptKey& aKey,
                         journal::AppendTask aTask,
                         const base::Result<base::LogOffset>& aResult);
  void EndAttempt(const gang::AttemptEnded& aEnded);
  void OnGangReport(protocol::ConnectionId aConnection,
                    const protocol::GangReport& aReport);
  void ReportHeldAttempts(protocol::ConnectionId aConnection,
                          const protocol::GangReport& aReport);
  void ResumeOrStop(protocol::ConnectionId aConnection,
                    const protocol::HeldGang& aHeld);
  void ExpireAwaitedGangs(base::TimePoint aNow);
  void ExpireDepartedWorkers(base::TimePoint aNow);
  bool IsWorkerConnection(protocol::ConnectionId aConnection) const;
  void ReplyOutcome(protocol::ConnectionId aConnection,
                    const gang::OutcomeQuery& aQuery);
  gang::AttemptState StateOf(const gang::AttemptKey& aKey) const;

  // Jobs.
  void SubmitOnLoop(const job::JobSpec& aSpec, const JobHandler& aHandler);
  void OnAccepted(const job::JobSpec& aSpec,
                  const JobHandler& aHandler,
                  journal::AppendTask aTask,
                  const base::Result<base::LogOffset>& aResult);
  void CancelOnLoop(const base::JobId& aJob, const JobHandler& aHandler);
  std::optional<JobView> FindJobView(const base::JobId& aJob) const;
  JobResult MakeNotCoordinatorError() const;
  /** For a job that is not accepted, or not yet. */
  JobResult MakeUnknownJobError(const base::JobId& aJob) const;

  void PublishStatusIfDue(base::TimePoint aNow);
  CellStatus MakeStatus() const;

  const CellServiceOptions options;
  const std::string stream;
  const base::Clock& clock;
  protocol::Node& node;
  telemetry::Logger& logger;
  CellObserver& observer;
  base::RandomEngine random;

  journal::CellReplay replay;
  membership::CoordinatorElection election;
  policy::Policy policy;
  std::map<base::TargetId, Worker> workers;
  /** Attempts that workers reported before they became usable. */
  std::map<protocol::ConnectionId, std::vector<gang::AttemptKey>> earlyReports;
  /** Workers that may reconnect, with the time until which they may do so. */
  std::map<base::TargetId, base::TimePoint> departedWorkers;
  std::optional<journal::CheckpointSchedule> checkpointSchedule;

  // Used only while this entry is the coordinator.
  base::FencingToken token;
  std::unique_ptr<scheduling::CellScheduler> scheduler;
  std::unique_ptr<gang::GangCoordinator> gangCoordinator;
  std::map<job::GangId, Attempt> attempts;
  /** Decision records being appended; a retry reuses the record and its id. */
  std::map<gang::AttemptKey, journal::AppendTask> pendingDecisions;
  /**
   * Gangs that a former coordinator committed, with the time by which one of
   * their members has to report.
   */
  std::map<job::GangId, base::TimePoint> awaitedGangs;
  /** Accepted jobs whose record the replay has not read back yet. */
  std::map<base::JobId, job::JobSpec> acceptedJobs;
  /** Jobs whose acceptance record is being appended. */
  std::set<base::JobId> acceptingJobs;
  /** Connection of the message that is being handled, for replies. */
  std::optional<protocol::ConnectionId> eventSender;
  base::TimePoint nextSchedulingTick{};

  CellRecorder recorder;
  base::TimePoint nextStatus{};
  base::SnapshotCell<CellStatus> status;

  std::atomic<bool> isActing{ false };
  std::atomic<bool> isLoaded{ false };
  LogWriter writer;
  StreamFollower follower;
  base::EventLoop loop;
};

/** Returns null if aCells has no cell of that zone. */
CellService*
FindCell(std::span<const std::unique_ptr<CellService>> aCells,
         const base::ZoneId& aZone) noexcept;

} // namespace amaranthwind::entry
