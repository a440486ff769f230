#pragma once

#include "amaranthwind/base/Random.h"
#include "amaranthwind/frontend/HttpClient.h"
#include "amaranthwind/frontend/HttpServer.h"
#include "amaranthwind/net/IoPool.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace amaranthwind::standins {

class PlatformWorker;

/** Workers whose tasks may form gangs with each other. */
struct WorkerGroup
{
  /** Guards the state of all workers. */
  std::mutex mutex;
  std::vector<PlatformWorker*> workers;
};

/**
 * Stand-in for a worker of the platform: runs, leases, ends, fencing tokens,
 * and heartbeats to the agent on its VM. The specification of a task is its run
 * time in milliseconds and, for a member of a gang, the gang's size ("300
 * gang=4"). Records the history of all runs for tests.
 */
class PlatformWorker final : public frontend::HttpHandler
{
public:
  PlatformWorker(net::IoPool& aPool,
                 std::shared_ptr<WorkerGroup> aGroup,
                 std::string aId,
                 std::string aRack,
                 const std::string& aControlAddress);
  ~PlatformWorker() override;

  /** Registers in this availability zone; to be called before Register(). */
  void SetZone(std::string aZone);
  /** Starts sending heartbeats. */
  void Register();
  void Handle(frontend::HttpRequest aRequest,
              frontend::HttpResponder aRespond) override;

  /**
   * Restarts with the same id as a new incarnation; all tasks are lost. Has no
   * effect without power.
   */
  void Crash();
  /** Loses all tasks; from now on, neither replies nor sends heartbeats. */
  void PowerOff();
  /** Starts as a new incarnation with a new id, after PowerOff(). */
  void PowerOn();
  /**
   * Reports that it drains, deregisters after aDrain and then loses power: when
   * the agent acknowledges the deregistration or, if that takes longer or
   * aIgnoresAck is set, after aRunOn.
   */
  void Leave(std::chrono::milliseconds aDrain,
             std::chrono::milliseconds aRunOn,
             bool aIgnoresAck);

  /** Start requests take effect without a reply while this is set. */
  void DropStartReplies(bool aIsDropping);

  /**
   * Shares of the requests, in percent, that get no reply and take effect late:
   * on the incarnation that then has the id that the request names.
   */
  struct LateShares
  {
    unsigned starts = 0;
    unsigned stops = 0;
    unsigned holds = 0;
  };
  void DelayRequests(const LateShares& aShares);
  /** Number of requests that are still to take effect late. */
  std::size_t DelayedRequests() const;

  using Clock = std::chrono::steady_clock;
  enum class RunEvent : std::uint8_t
  {
    Start,
    Done,
    OtherEnd,
    DoneAcknowledged,
    /** Listed for kListedTime; only after CountListedEnds(). */
    DoneListed,
  };
  /** An end counts once it has been listed for more than 100 ms. */
  static constexpr std::chrono::milliseconds kListedTime{ 101 };
  /**
   * From now on, the history has the ends that count although nobody has
   * acknowledged them. The caller must not disturb agents, links or the store,
   * other than by a loss of power of worker and agent.
   */
  void CountListedEnds();

  struct HistoryEntry
  {
    Clock::time_point at;
    std::string task;
    std::uint64_t run = 0;
    RunEvent runEvent = RunEvent::Start;
    /**
     * Identifies a successful end and its acknowledgement among all ends of
     * this object. The numbers of ends do not: they start anew in each
     * incarnation, where a delayed start may repeat a run.
     */
    std::uint64_t endId = 0;
  };
  /** All events of runs, with their times. */
  std::vector<HistoryEntry> History() const;

  /** Counts of events since the object was created; each never decreases. */
  std::size_t AcceptedStarts() const noexcept { return this->acceptedStarts; }
  std::size_t ListedEnds() const noexcept { return this->listedEnds; }

  /**
   * Lines for the analysis of a failed test, each with the Unix time in
   * milliseconds: incarnations, requests that changed something, and requests
   * that took effect late.
   */
  std::vector<std::string> EventLog() const;

  /** Every start that took effect, as "task#run". */
  std::vector<std::string> Starts() const;
  std::size_t Running() const;
  /** Number of ended tasks that are not acknowledged yet. */
  std::size_t UnacknowledgedEnds() const;

private:
  using TaskRun = std::pair<std::string, std::uint64_t>;
  struct Run
  {
    Clock::time_point startedAt;
    std::chrono::milliseconds duration{};
    std::size_t gangSize = 1;
    /** Since when all members are present. */
    std::optional<Clock::time_point> gangStart;
  };
  /** How and when a run ends, if nothing happens before. */
  struct DueEnd
  {
    Clock::time_point at;
    const char* outcome = nullptr;
  };
  struct EndRecord
  {
    std::uint64_t number = 0;
    std::string task;
    std::uint64_t run = 0;
    std::string outcome;
    std::uint64_t id = 0;
    /** Whether the lease has expired since the end. */
    bool hasLeaseExpired = false;
    bool wasListed = false;
  };

  void SendHeartbeat();
  void SendDeregistration(std::uint64_t aIncarnation, bool aIgnoresAck);
  /** Runs aAction later, unless the incarnation has ended by then. */
  void RunInIncarnation(std::chrono::milliseconds aDelay,
                        std::function<void()> aAction);
  /** Forgets everything; the caller holds the mutex. */
  void EndIncarnation(std::string_view aReason);
  void BeginIncarnation();
  void LogEvent(const std::string& aEvent);
  /** Returns true if the request was put off and must not be handled now. */
  bool DelayRequest(const frontend::HttpRequest& aRequest,
                    const frontend::HttpResponder& aRespond);
  /** Carries out a request; the caller holds the mutex. */
  void Execute(const frontend::HttpRequest& aRequest,
               const frontend::HttpResponder& aRespond);
  void AcknowledgeEnds(std::uint64_t aLastSeen);
  /** The end has been listed for kListedTime. */
  void CountListedEnd(std::uint64_t aId);
  Clock::time_point LeaseEnd() const;
  DueEnd DueEndOf(const Run& aRun) const;
  /** Ends the tasks of the group that are due, in the order of time. */
  void Update();
  /** Ends a run and, unless it is done, the other members of its gang. */
  void EndRun(const TaskRun& aRun, const char* aOutcome, Clock::time_point aAt);
  void BreakGang(const TaskRun& aRun, Clock::time_point aAt);
  /** Starts the work of a gang whose members are all present. */
  void JoinGang(const TaskRun& aRun, std::size_t aSize);
  void RecordEnd(const std::string& aTask,
                 std::uint64_t aRun,
                 const char* aOutcome,
                 Clock::time_point aAt);
  std::int64_t ClockMs() const;
  frontend::HttpResponse Start(std::string_view aBody);
  frontend::HttpResponse Stop(std::string_view aBody);
  frontend::HttpResponse Hold();
  frontend::HttpResponse Conflict(const char* aReason) const;

  net::IoPool& pool;
  const std::string name;
  const std::string rack;
  std::string zone = "z";
  frontend::HttpClient control;
  const std::shared_ptr<WorkerGroup> group;
  /** That of the group. */
  std::mutex& mutex;
  std::string id;
  Clock::time_point born = Clock::now();
  std::int64_t bornMs;
  /** Counts incarnations. */
  std::uint64_t incarnation = 1;
  std::uint64_t powerCycles = 0;
  bool isStopped = false;
  bool hasPower = true;
  bool isDraining = false;
  bool hasDeregistered = false;
  bool dropsStartReplies = false;
  bool countsListedEnds = false;
  LateShares lateShares;
  std::size_t delayedRequests = 0;
  base::RandomEngine random;
  std::atomic<std::size_t> acceptedStarts{ 0 };
  std::atomic<std::size_t> listedEnds{ 0 };
  std::uint64_t lastEndId = 0;
  std::uint64_t sequence = 0;
  std::uint64_t token = 0;
  std::int64_t leaseMs = 0;
  std::uint64_t lastEnd = 0;
  std::map<TaskRun, Run> running;
  /** Highest run of each task that was stopped or has ended. */
  std::map<std::string, std::uint64_t> highestEndedRun;
  std::vector<EndRecord> ended;
  std::vector<HistoryEntry> history;
  std::vector<std::string> eventLog;
};

} // namespace amaranthwind::standins
