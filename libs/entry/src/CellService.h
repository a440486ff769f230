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

/** A job as its caller sees it. */
struct JobView
{
  journal::JobState state;
  /** Of a job that waits, if this entry coordinates its cell. */
  std::optional<scheduling::WaitReport> wait;
};

/** A job, or the reason of the refusal. */
using JobResult =
  boost::outcome_v2::basic_result<JobView,
                                  codec::ErrorReply,
                                  boost::outcome_v2::policy::all_narrow>;
using JobHandler = std::function<void(const JobResult&)>;

/** Told who coordinates the cell, on the cell's decision thread. */
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
 * One cell as this entry follows it and, while it is the coordinator, leads
 * it. One decision thread owns all state; a log reader and a log writer thread
 * feed it. What is decided is in gang, journal, membership and scheduling; this
 * class carries the effects out.
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
  /** Stops to coordinate, for good. Blocks until that is done. */
  void HandOver();

  // Thread-safe; handled on the decision thread.
  void OnPolicy(const policy::Policy& aPolicy);
  void OnEntries(const std::vector<base::EntryId>& aLive);
  /** The entry has handed over the cells that it coordinated. */
  void OnHandOver(const base::EntryId& aFrom);
  /** A peer says who coordinates the cell. */
  void OnCoordinatorReported(base::FencingToken aToken,
                             const base::EntryId& aCoordinator);
  void OnWorkerUsable(const fleet::Target& aWorker,
                      protocol::ConnectionId aConnection);
  /** A usable worker is reached by another connection from now on. */
  void OnWorkerConnection(const base::TargetId& aWorker,
                          protocol::ConnectionId aConnection);
  void OnWorkerDraining(const base::TargetId& aWorker);
  void OnWorkerGone(const base::TargetId& aWorker);
  /** A message of the gang protocol. */
  void OnMessage(protocol::ConnectionId aConnection,
                 const protocol::Message& aMessage);

  /** Handlers run on the decision thread. */
  void Submit(job::JobSpec aSpec, const JobHandler& aHandler);
  void Query(const base::JobId& aJob, JobHandler aHandler);
  void Cancel(const base::JobId& aJob, JobHandler aHandler);

  bool IsActing() const noexcept { return this->isActing.load(); }
  /** False until the stream has been read to its end once. */
  bool IsLoaded() const noexcept { return this->isLoaded.load(); }
  const base::ZoneId& Zone() const noexcept { return this->options.zone; }
  /** As the decision thread last published it. Thread-safe. */
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
  /** An attempt that the coordinator leads. */
  struct Attempt
  {
    gang::AttemptKey key;
    std::vector<job::GangMemberPlan> members;
  };
  using Done = std::function<void()>;

  base::LogOffset OnRead(const StreamRead& aRead);
  void Consume(const journal::ReadBatch& aBatch, bool aIsAtEnd);
  void OnTick();

  // Election.
  void CarryOut(const membership::ElectionEffects& aEffects);
  void AppendEpoch();
  void StartActing(base::FencingToken aToken);
  void StopActing(std::string_view aReason);
  void RestoreJob(const journal::JobState& aJob);
  void TellCoordinator();

  // Log.
  void AppendOnce(journal::AppendTask aTask, AppendHandler aHandler);
  journal::AppendTask MakeTask(journal::RecordBody aBody, bool aIsFenced);
  void AppendUntilDone(journal::RecordBody aBody, Done aDone);
  void RetryAppend(journal::AppendTask aTask, Done aDone);
  void WriteCheckpointIfDue(base::TimePoint aNow);

  // Scheduling.
  void Schedule(const scheduling::Event& aEvent);
  void CarryOut(const scheduling::StartGang& aEffect);
  void CarryOut(const scheduling::PreemptGang& aEffect);
  void CarryOut(const scheduling::RefuseJob& aEffect);
  void CarryOut(const scheduling::EndJob& aEffect);
  void CarryOut(const scheduling::ReportShortfall& aEffect);
  void CarryOut(const scheduling::ChangeWorkerHealth& aEffect);
  std::uint32_t UrgencyOf(const base::WorkKindId& aKind) const;

  // Gangs.
  void Lead(const gang::CoordinatorEvent& aEvent,
            std::optional<protocol::ConnectionId> aSender = std::nullopt);
  void CarryOut(const gang::SendToMember& aEffect);
  void CarryOut(const gang::WriteDecision& aEffect);
  void CarryOut(const gang::AttemptWaitingForLog& aEffect);
  void CarryOut(const gang::AttemptStarted& aEffect);
  void CarryOut(const gang::AttemptEnded& aEffect);
  void CarryOut(const gang::CoordinatorSuperseded& aEffect);
  void OnDecisionWritten(const gang::AttemptKey& aKey,
                         journal::AppendTask aTask,
                         const base::Result<base::LogOffset>& aResult);
  void EndAttempt(const gang::AttemptEnded& aEnded);
  void OnGangReport(protocol::ConnectionId aConnection,
                    const protocol::GangReport& aReport);
  void TellWhatWorkerHolds(protocol::ConnectionId aConnection,
                           const protocol::GangReport& aReport);
  void ResumeOrStop(protocol::ConnectionId aConnection,
                    const protocol::HeldGang& aHeld);
  void GiveUpAwaited(base::TimePoint aNow);
  void GiveUpDeparted(base::TimePoint aNow);
  bool IsWorker(protocol::ConnectionId aConnection) const;
  void AnswerOutcome(protocol::ConnectionId aConnection,
                     const gang::OutcomeQuery& aQuery);
  gang::AttemptState StateOf(const gang::AttemptKey& aKey) const;

  // Jobs.
  void SubmitOnLoop(const job::JobSpec& aSpec, const JobHandler& aHandler);
  void OnAccepted(const job::JobSpec& aSpec,
                  const JobHandler& aHandler,
                  journal::AppendTask aTask,
                  const base::Result<base::LogOffset>& aResult);
  void CancelOnLoop(const base::JobId& aJob, const JobHandler& aHandler);
  std::optional<JobView> ViewOf(const base::JobId& aJob) const;
  JobResult NotCoordinator() const;

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
  /** What workers reported before they became usable. */
  std::map<protocol::ConnectionId, std::vector<gang::AttemptKey>> earlyReports;
  /** Workers that may come back, and until when they are waited for. */
  std::map<base::TargetId, base::TimePoint> departed;
  std::optional<journal::CheckpointSchedule> checkpoints;

  // Only while this entry is the coordinator.
  base::FencingToken token;
  std::unique_ptr<scheduling::CellScheduler> scheduler;
  std::unique_ptr<gang::GangCoordinator> gangs;
  std::map<job::GangId, Attempt> attempts;
  /** Records of decisions under way, so that a retry has the same id. */
  std::map<gang::AttemptKey, journal::AppendTask> decisions;
  /** Committed before this entry took over; until their members report. */
  std::map<job::GangId, base::TimePoint> awaited;
  /** Accepted, and not yet read back by the replay. */
  std::map<base::JobId, job::JobSpec> accepted;
  /** Acceptance records under way. */
  std::set<base::JobId> accepting;
  std::optional<protocol::ConnectionId> sender;
  base::TimePoint nextScheduleTick{};

  CellRecorder recorder;
  base::TimePoint nextStatus{};
  base::SnapshotCell<CellStatus> status;

  std::atomic<bool> isActing{ false };
  std::atomic<bool> isLoaded{ false };
  LogWriter writer;
  StreamFollower follower;
  base::EventLoop loop;
};

/** Null if there is no such cell. */
CellService*
FindCell(std::span<const std::unique_ptr<CellService>> aCells,
         const base::ZoneId& aZone) noexcept;

} // namespace amaranthwind::entry
