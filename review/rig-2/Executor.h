#pragma once

#include "amaranthwind/frontend/HttpClient.h"
#include "amaranthwind/frontend/HttpServer.h"
#include "amaranthwind/net/IoPool.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;
namespace frontend = amaranthwind::frontend;

class Record;

/** A run, as the executor saw it. */
struct Run
{
  std::string task;
  std::uint64_t number = 0;
  std::string executor;
  Clock::time_point from;
  /** Of a run that has not ended: the time of the question. */
  Clock::time_point until;
  /** How it ended; empty if it has not. */
  std::string how;
};

/**
 * A sound executor of 8 GPUs: runs, leases, ends, epoch numbers, and status
 * reports to the agent on its machine. It starts whatever it is told to. The
 * specification of a task says what its runs do: "run 300" ends done after 300
 * ms, "fail 300" ends failed, "last" goes on until something ends it.
 */
class Executor final : public frontend::HttpHandler
{
public:
  /** Returns true if it has taken the request over. */
  using Filter = std::function<bool(const frontend::HttpRequest&,
                                    const frontend::HttpResponder&)>;

  Executor(amaranthwind::net::IoPool& aPool,
           Record& aRecord,
           std::string aId,
           std::string aRack,
           const std::string& aControlAddress);

  /** Starts the status reports. */
  void Register();
  /** The executor works on until this returns; call it before the pool ends. */
  void Shutdown();

  void Handle(frontend::HttpRequest aRequest,
              frontend::HttpResponder aRespond) override;
  /** Sees each request first. */
  void SetFilter(Filter aFilter);
  /** Carries a request out without the filter. */
  void Carry(const frontend::HttpRequest& aRequest,
             const frontend::HttpResponder& aRespond);

  /** Starts again under the same id: it runs and knows nothing of before. */
  void Restart();
  /** From now on it answers nothing and sends nothing. */
  void PowerOff();
  /** Ends the runs of a job as failed. */
  void Fail(const std::string& aJob);

  /** Number of runs at work, of one job if it is named. */
  std::size_t Running(const std::string& aJob = {});
  std::vector<Run> Runs();

private:
  using Key = std::pair<std::string, std::uint64_t>;
  struct Active
  {
    std::size_t entry = 0;
    Clock::time_point endsAt;
    bool fails = false;
  };
  struct End
  {
    std::uint64_t number = 0;
    Key run;
    std::string how;
  };
  struct WaitingHold
  {
    frontend::HttpResponder respond;
    Clock::time_point until;
  };

  void ReportPeriodically();
  void SendReport();
  void Tick();
  void Update();
  void EndRun(const Key& aRun, const std::string& aHow, bool aIsListed);
  std::int64_t ClockMs() const;
  void Execute(const frontend::HttpRequest& aRequest,
               const frontend::HttpResponder& aRespond);
  frontend::HttpResponse Start(std::string_view aBody);
  frontend::HttpResponse Lists();
  frontend::HttpResponse Reply(std::uint16_t aStatus,
                               std::string_view aReason = {}) const;

  amaranthwind::net::IoPool& pool;
  Record& record;
  const std::string id;
  const std::string rack;
  frontend::HttpClient control;
  std::mutex mutex;
  Filter filter;
  bool isShutDown = false;
  bool hasPower = true;
  std::int64_t bornMs = 0;
  Clock::time_point born;
  std::uint64_t sequence = 0;
  std::uint64_t epoch = 0;
  std::int64_t leaseMs = 0;
  std::uint64_t lastEnd = 0;
  std::map<Key, Active> active;
  /** Highest run of each task that was stopped or has ended. */
  std::map<std::string, std::uint64_t> highestEnded;
  std::vector<End> ended;
  std::vector<WaitingHold> holds;
  std::vector<Run> history;
  /** Requests that get no answer; their connections stay open. */
  std::vector<frontend::HttpResponder> silent;
};

} // namespace review
