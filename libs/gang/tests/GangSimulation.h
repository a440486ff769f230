#pragma once

#include "GangFixtures.h"

#include "amaranthwind/base/Random.h"

#include <functional>
#include <map>
#include <set>

namespace amaranthwind::gang::testing {

/**
 * Deterministic simulation of one cell. Runs the real coordinators and members
 * on a simulated network, log, set of workers and clock. Checks the invariants
 * after every step and collects the violations.
 */
class GangSimulation
{
public:
  GangSimulation(std::uint64_t aSeed, std::size_t aWorkers);

  // Faults. Changes apply to subsequent events.

  double lossChance = 0;
  double duplicateChance = 0;
  base::Duration maxDelay = std::chrono::milliseconds(1);
  /** Probability that the log's reply to an append is lost. */
  double lostAnswerChance = 0;
  bool isLogUp = true;
  double taskFailureChance = 0;
  /** Probability that a member sends to an outdated coordinator. */
  double misrouteChance = 0;
  /** Return false to drop an effect. The filters may also inject faults. */
  std::function<bool(const CoordinatorEffect&)> coordinatorFilter;
  std::function<bool(std::size_t, const MemberEffect&)> memberFilter;

  void KillCoordinator();
  /**
   * Adds a coordinator with a new epoch; older ones keep running. Returns false
   * while the log is down.
   */
  bool AddCoordinator();
  void PauseCoordinator(base::Duration aTime);
  /** The worker's tasks keep running until their leases expire. */
  void KillDaemon(std::size_t aWorker);
  void RestartDaemon(std::size_t aWorker);
  void KillWorker(std::size_t aWorker);
  void PauseDaemon(std::size_t aWorker, base::Duration aTime);
  void HandOverDaemon(std::size_t aWorker);

  // Workload.

  /** Starts the next attempt of the job on the newest coordinator. */
  AttemptKey StartJob(std::uint32_t aJob,
                      const std::vector<std::size_t>& aWorkers,
                      base::Duration aRunTime = std::chrono::seconds(5));
  void DeliverToCoordinator(const CoordinatorEvent& aEvent);
  void Schedule(base::TimePoint aTime, std::function<void()> aAction);
  void RunFor(base::Duration aTime);

  // Observations.

  std::size_t RunningTasks(const AttemptKey& aKey) const;
  std::size_t StartedTasks(const AttemptKey& aKey) const;
  std::optional<AttemptEnded> EndOf(const AttemptKey& aKey) const;
  AttemptState LogState(const AttemptKey& aKey) const;
  bool HasCoordinator() const;
  /** Sum of the accelerators reserved by all daemons. */
  std::uint32_t ReservedAccelerators() const;
  /** Returns true if no attempt is open or undecided and nothing is reserved.
   */
  bool IsSettled() const;
  const std::vector<std::string>& Violations() const;

  base::RandomEngine random;
  base::TimePoint now{ std::chrono::hours(1) };

private:
  struct Task
  {
    AttemptKey key;
    std::shared_ptr<const job::GangPlan> plan;
    Rank rank = 0;
    bool isRunning = false;
    base::TimePoint leaseUntil;
    base::TimePoint endsAt;
    MemberResult result = MemberResult::Succeeded;
  };

  struct Worker
  {
    std::unique_ptr<GangMember> daemon;
    std::uint64_t incarnation = 0;
    base::TimePoint pausedUntil;
    std::optional<base::TimePoint> deadline;
    std::map<AttemptKey, Task> tasks;
    std::set<AttemptKey> promises;
  };

  struct Coordinator
  {
    std::unique_ptr<GangCoordinator> process;
    base::FencingToken token;
    base::TimePoint pausedUntil;
    std::optional<base::TimePoint> deadline;
  };

  struct LogRecord
  {
    base::FencingToken token;
    bool isEpoch = false;
    AttemptKey key;
    Decision decision = Decision::Abort;
  };

  /** What actually happened to an attempt. */
  struct History
  {
    std::shared_ptr<const job::GangPlan> plan;
    base::Duration runTime{};
    std::vector<int> starts;
    std::vector<MemberResult> results;
    /** Since when some but not all members have been running. */
    std::optional<base::TimePoint> incompleteSince;
    /** How long the gang may run incompletely. */
    base::Duration incompleteLimit = std::chrono::seconds(5);
    /** The end last reported by a coordinator. */
    std::optional<AttemptEnded> reportedOutcome;
    /** The ends in the log: an abort record or an end record. */
    std::vector<AttemptEnded> ends;
  };

  double Draw();
  base::Duration DrawUpTo(base::Duration aMax);

  void Send(const std::function<void()>& aDelivery);
  void DeliverToWorker(std::size_t aWorker, const MemberEvent& aEvent);
  void SendToWorker(std::size_t aWorker, const MemberEvent& aEvent);
  void DeliverToCoordinator(std::size_t aIndex,
                            const CoordinatorEvent& aEvent,
                            std::optional<std::size_t> aSender);
  void SendToCoordinator(std::size_t aSender, const MemberToCoordinator& aBody);
  void Execute(std::size_t aCoordinator,
               const CoordinatorEffect& aEffect,
               std::optional<std::size_t> aSender);
  void Execute(std::size_t aWorker,
               const MemberEffect& aEffect,
               std::optional<std::size_t> aSender);
  void AppendEnd(std::size_t aCoordinator, const AttemptEnded& aEnd);
  void Append(std::size_t aCoordinator, const WriteDecision& aWrite);
  void LaunchTask(std::size_t aWorker, const StartTask& aStart);
  void EndTask(std::size_t aWorker,
               const AttemptKey& aKey,
               MemberResult aResult);
  void EndDueTasks();
  void RecordOutcome(const AttemptEnded& aEnd);
  void CheckInvariants();
  void CheckWorker(std::size_t aWorker);
  void ReportViolation(const std::string& aWhat, const AttemptKey& aKey);
  std::optional<std::size_t> NewestCoordinator() const;
  std::optional<base::TimePoint> NextEventTime() const;
  bool RunNextStep(base::TimePoint aUntil);

  std::vector<Worker> workers;
  std::vector<Coordinator> coordinators;
  std::vector<LogRecord> log;
  std::multimap<base::TimePoint, std::function<void()>> pendingActions;
  std::map<AttemptKey, History> histories;
  std::vector<std::string> violations;
  std::optional<std::size_t> sender;
};

} // namespace amaranthwind::gang::testing
