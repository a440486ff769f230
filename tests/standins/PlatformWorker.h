#pragma once

#include "amaranthwind/frontend/HttpClient.h"
#include "amaranthwind/frontend/HttpServer.h"
#include "amaranthwind/net/IoPool.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace amaranthwind::standins {

/**
 * Stand-in for a worker of the platform: runs, leases, ends, fencing tokens,
 * and heartbeats to the agent on its VM. The specification of a task is its run
 * time in milliseconds. Records the history of all runs for tests.
 */
class PlatformWorker final : public frontend::HttpHandler
{
public:
  PlatformWorker(net::IoPool& aPool,
                 std::string aId,
                 std::string aRack,
                 const std::string& aControlAddress);
  ~PlatformWorker() override;

  /** Starts sending heartbeats. */
  void Register();
  void Handle(frontend::HttpRequest aRequest,
              frontend::HttpResponder aRespond) override;

  /** Restarts with the same id as a new incarnation; all tasks are lost. */
  void Crash();

  /** Start requests take effect without a reply while this is set. */
  void DropStartReplies(bool aIsDropping);

  using Clock = std::chrono::steady_clock;
  enum class RunEvent : std::uint8_t
  {
    Start,
    Done,
    OtherEnd,
    DoneAcknowledged,
  };
  struct HistoryEntry
  {
    Clock::time_point at;
    std::string task;
    std::uint64_t run = 0;
    RunEvent runEvent = RunEvent::Start;
  };
  /** All events of runs, with their times. */
  std::vector<HistoryEntry> History() const;

  /** Every start that took effect, as "task#run". */
  std::vector<std::string> Starts() const;
  std::size_t Running() const;
  /** Number of ended tasks that are not acknowledged yet. */
  std::size_t UnacknowledgedEnds() const;

private:
  struct Run
  {
    std::uint64_t run = 0;
    Clock::time_point end;
  };
  struct EndRecord
  {
    std::uint64_t number = 0;
    std::string task;
    std::uint64_t run = 0;
    std::string outcome;
    /** Whether the lease has expired since the end. */
    bool hasLeaseExpired = false;
  };

  void SendHeartbeat();
  /** Ends the tasks that are done or whose lease has expired. */
  void Update();
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
  const std::string id;
  const std::string rack;
  frontend::HttpClient control;
  Clock::time_point born = Clock::now();
  std::int64_t bornMs;
  mutable std::mutex mutex;
  bool isStopped = false;
  bool dropsStartReplies = false;
  std::uint64_t sequence = 0;
  std::uint64_t token = 0;
  std::int64_t leaseMs = 0;
  std::uint64_t lastEnd = 0;
  std::map<std::string, Run> running;
  /** Highest run of each task that was stopped or has ended. */
  std::map<std::string, std::uint64_t> highestEndedRun;
  std::vector<EndRecord> ended;
  std::vector<HistoryEntry> history;
};

} // namespace amaranthwind::standins
