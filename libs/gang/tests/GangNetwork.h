#pragma once

#include "GangFixtures.h"

#include "amaranthwind/base/Random.h"

#include <functional>
#include <map>
#include <set>

namespace amaranthwind::gang::testing {

/**
 * Real coordinators and members of one cell, joined by a network, a log and
 * workers that live in memory and in manual time. Checks the invariants after
 * every step and collects what it finds broken.
 */
class GangNetwork
{
public:
  GangNetwork(std::uint64_t aSeed, std::size_t aWorkers);

  // Faults. They act on what happens from now on.

  double lossChance = 0;
  double duplicateChance = 0;
  base::Duration maxDelay = std::chrono::milliseconds(1);
  /** Chance that the log's answer to an append is lost. */
  double lostAnswerChance = 0;
  bool isLogUp = true;
  double taskFailureChance = 0;
  /** Chance that a member takes an older coordinator for the newest. */
  double misrouteChance = 0;
  /** Drop an effect by returning false; may cause faults. */
  std::function<bool(const CoordinatorEffect&)> coordinatorFilter;
  std::function<bool(std::size_t, const MemberEffect&)> memberFilter;

  void KillCoordinator();
  /** A new epoch; false while the log is down. Older coordinators go on. */
  bool AddCoordinator();
  void PauseCoordinator(base::Duration aTime);
  /** The tasks stay on the worker as long as their leases last. */
  void KillDaemon(std::size_t aWorker);
  void RestartDaemon(std::size_t aWorker);
  void KillWorker(std::size_t aWorker);
  void PauseDaemon(std::size_t aWorker, base::Duration aTime);
  void HandOverDaemon(std::size_t aWorker);

  // Work.

  /** Starts the next attempt of the job on the newest coordinator. */
  AttemptKey StartJob(std::uint32_t aJob,
                      const std::vector<std::size_t>& aWorkers,
                      base::Duration aRunTime = std::chrono::seconds(5));
  void GiveCoordinator(const CoordinatorEvent& aEvent);
  void At(base::TimePoint aTime, std::function<void()> aAction);
  void RunFor(base::Duration aTime);

  // Observations.

  std::size_t RunningTasks(const AttemptKey& aKey) const;
  std::size_t StartedTasks(const AttemptKey& aKey) const;
  std::optional<AttemptEnded> EndOf(const AttemptKey& aKey) const;
  AttemptState LogState(const AttemptKey& aKey) const;
  bool HasCoordinator() const;
  /** The accelerators that all daemons hold reserved. */
  std::uint32_t ReservedAccelerators() const;
  /** Nothing runs, is reserved or undecided. */
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

  /** What really happened to an attempt. */
  struct History
  {
    std::shared_ptr<const job::GangPlan> plan;
    base::Duration runTime{};
    std::vector<int> starts;
    std::vector<MemberResult> results;
    std::optional<base::TimePoint> incompleteSince;
    base::Duration bound = std::chrono::seconds(5);
    /** As a coordinator saw it. */
    std::optional<AttemptEnded> noted;
    /** As the log keeps it, by its abort or its end. */
    std::vector<AttemptEnded> ends;
  };

  double Draw();
  base::Duration DrawUpTo(base::Duration aMax);

  void Send(const std::function<void()>& aDelivery);
  void GiveWorker(std::size_t aWorker, const MemberEvent& aEvent);
  void SendToWorker(std::size_t aWorker, const MemberEvent& aEvent);
  void GiveCoordinator(std::size_t aIndex,
                       const CoordinatorEvent& aEvent,
                       std::optional<std::size_t> aSender);
  void SendToCoordinator(std::size_t aSender, const MemberToCoordinator& aBody);
  void CarryOut(std::size_t aCoordinator,
                const CoordinatorEffect& aEffect,
                std::optional<std::size_t> aSender);
  void CarryOut(std::size_t aWorker,
                const MemberEffect& aEffect,
                std::optional<std::size_t> aSender);
  void AppendEnd(std::size_t aCoordinator, const AttemptEnded& aEnd);
  void Append(std::size_t aCoordinator, const WriteDecision& aWrite);
  void LaunchTask(std::size_t aWorker, const StartTask& aStart);
  void EndTask(std::size_t aWorker,
               const AttemptKey& aKey,
               MemberResult aResult);
  void StepTasks();
  void Note(const AttemptEnded& aEnd);
  void Check();
  void CheckWorker(std::size_t aWorker);
  void Report(const std::string& aWhat, const AttemptKey& aKey);
  std::optional<std::size_t> Newest() const;
  std::optional<base::TimePoint> NextTime() const;
  bool RunOneStep(base::TimePoint aUntil);

  std::vector<Worker> workers;
  std::vector<Coordinator> coordinators;
  std::vector<LogRecord> log;
  std::multimap<base::TimePoint, std::function<void()>> queue;
  std::map<AttemptKey, History> histories;
  std::vector<std::string> violations;
  std::optional<std::size_t> sender;
};

} // namespace amaranthwind::gang::testing
