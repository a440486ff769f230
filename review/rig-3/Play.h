#pragma once

#include "amaranthwind/frontend/HttpClient.h"
#include "amaranthwind/frontend/HttpServer.h"
#include "amaranthwind/net/IoPool.h"
#include "harness/Process.h"
#include "standins/PlatformStore.h"
#include "standins/PlatformWorker.h"

#include <boost/json.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace play {

namespace json = boost::json;
using Clock = std::chrono::steady_clock;

/** Bounds of the settings of sites/bancos-andinos.toml, in milliseconds. */
constexpr std::int64_t kVisibleMs = 3000;
constexpr std::int64_t kReclaimMs = 3400;
constexpr std::int64_t kContactMs = 3000;

/** Exit codes of a script. */
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

/**
 * The checkpoints of the gangs that run on the workers: a new one every
 * `checkpoint-s` (0.5 s) of work, which starts when all members are present.
 * All members produce the same value. Thread-safe.
 */
class Checkpoints
{
public:
  /** A member of the run was told to start, from the given checkpoint. */
  void OnStart(const std::string& aTask,
               std::uint64_t aRun,
               std::size_t aGangSize,
               std::string_view aCheckpoint);
  /** The newest checkpoint of the run; empty if there is none. */
  std::string Newest(const std::string& aTask, std::uint64_t aRun) const;
  /** The gangs that run now stop working. */
  void Break();

private:
  struct GangRun
  {
    std::size_t members = 0;
    std::int64_t resumedMs = 0;
    std::optional<Clock::time_point> begin;
    std::optional<Clock::time_point> end;
  };
  mutable std::mutex mutex;
  /** By the step's name and the number of the run. */
  std::map<std::pair<std::string, std::uint64_t>, GangRun> runs;
};

/** What an executor was told to start. */
struct StartOrder
{
  std::string task;
  std::uint64_t run = 0;
  std::string checkpoint;
};

/** The project's stand-in of a worker, in front of which requests can fail. */
class Worker final : public amaranthwind::frontend::HttpHandler
{
public:
  Worker(amaranthwind::net::IoPool& aPool,
         amaranthwind::standins::PlatformWorker& aWorker,
         Checkpoints& aCheckpoints)
    : pool(aPool)
    , worker(aWorker)
    , checkpoints(aCheckpoints)
  {
  }
  void Handle(amaranthwind::frontend::HttpRequest aRequest,
              amaranthwind::frontend::HttpResponder aRespond) override;
  /** While set, starts are refused with 503, and nothing is done. */
  std::atomic<bool> refusesStarts{ false };
  std::atomic<unsigned> refusedStarts{ 0 };
  /** The work items of this job end as failed; none if empty. */
  std::string hopelessJob;
  /** Runs that ended as failed. */
  std::size_t FailedRuns() const;
  /** The starts that were carried out. */
  std::vector<StartOrder> Orders() const;

private:
  void HandleStart(amaranthwind::frontend::HttpRequest aRequest,
                   amaranthwind::frontend::HttpResponder aRespond);
  /** The response to a hold waits for an end, until aUntil. */
  void HandleHold(amaranthwind::frontend::HttpRequest aRequest,
                  amaranthwind::frontend::HttpResponder aRespond,
                  Clock::time_point aUntil);
  /** Adds checkpoints and failures to a reply; true if it lists an end. */
  bool CompleteReply(std::string& aHoldReply);

  amaranthwind::net::IoPool& pool;
  amaranthwind::standins::PlatformWorker& worker;
  Checkpoints& checkpoints;
  mutable std::mutex mutex;
  std::vector<StartOrder> orders;
  /** Task and run. */
  std::set<std::pair<std::string, std::uint64_t>> failing;
  std::set<std::pair<std::string, std::uint64_t>> listedFailures;
};

/**
 * The store. The partition with the jobs can be silent: then it does nothing
 * and answers nothing.
 */
class StoreFront final : public amaranthwind::frontend::HttpHandler
{
public:
  explicit StoreFront(amaranthwind::standins::PlatformStore& aStore)
    : store(aStore)
  {
  }
  void Handle(amaranthwind::frontend::HttpRequest aRequest,
              amaranthwind::frontend::HttpResponder aRespond) override;
  std::atomic<bool> isSilent{ false };
  /** Told of each request that gets no answer; may be empty. */
  std::function<void(const std::string&)> onUnanswered;
  /** Drops what was kept; to be called before the servers stop. */
  void Clear();

private:
  bool IsSilent(const std::string& aTopic) const;
  void Keep(amaranthwind::frontend::HttpResponder aRespond,
            const std::string& aRequest);

  amaranthwind::standins::PlatformStore& store;
  std::mutex mutex;
  /** Without an answer, so that their connections stay open. */
  std::vector<amaranthwind::frontend::HttpResponder> unanswered;
};

struct Answer
{
  /** 0 without a response. */
  unsigned status = 0;
  std::string body;
};

/**
 * A small deployment: stand-ins of the platform's store and of workers in this
 * process, schedulers and agents as processes with the commands of the deploy
 * file.
 */
class Play
{
public:
  Play(const std::string& aRecordFile,
       std::size_t aSchedulers,
       std::size_t aWorkers);
  ~Play();
  Play(const Play&) = delete;
  Play& operator=(const Play&) = delete;

  /** Writes the desired state. */
  void Configure(const json::object& aState);
  /** Starts all processes; false if a scheduler does not become ready. */
  bool Start();
  /** Asks the scheduler and records the question and the answer. */
  Answer Ask(std::size_t aScheduler,
             std::string_view aMethod,
             std::string_view aHost,
             std::string_view aPath,
             std::string_view aKey,
             const std::string& aBody = {});
  /** Starts the process anew, after it has ended. */
  void Restart(std::size_t aScheduler);
  void RestartAgent(std::size_t aSide);
  /** Writes a line with the time since the start. */
  void Record(const std::string& aText);
  std::int64_t NowMs() const;
  /** The time since the start, in milliseconds. */
  std::int64_t At(Clock::time_point aTime) const;
  /** Whether a work item of the job was started by an executor. */
  bool HasBegun(std::string_view aJob) const;
  /** Number of work items of the job that were started. */
  std::size_t BegunItems(std::string_view aJob) const;
  /** Writes the starts and ends that the executors have seen. */
  void RecordRuns();

  struct Scheduler
  {
    std::string client;
    std::string ready;
    std::string settings;
    std::unique_ptr<amaranthwind::harness::Process> process;
  };
  struct Side
  {
    std::string settings;
    std::unique_ptr<amaranthwind::standins::PlatformWorker> worker;
    std::unique_ptr<Worker> handler;
    std::unique_ptr<amaranthwind::frontend::HttpServer> server;
    std::unique_ptr<amaranthwind::harness::Process> agent;
  };
  Checkpoints checkpoints;
  std::vector<Scheduler> schedulers;
  std::vector<Side> sides;

private:
  std::unique_ptr<amaranthwind::harness::Process> Spawn(
    const std::string& aRole,
    const std::string& aSettings,
    const std::string& aName);
  std::string WriteSettings(const std::string& aName,
                            const json::object& aSettings) const;
  Answer Send(const std::string& aAddress,
              amaranthwind::frontend::HttpRequest aRequest);

  const Clock::time_point begin = Clock::now();
  std::ofstream record;
  std::mutex recordMutex;
  std::string folder;
  amaranthwind::net::IoPool pool{ 2 };

public:
  amaranthwind::standins::PlatformStore store{ pool };
  StoreFront storeFront{ store };

private:
  amaranthwind::frontend::HttpServer storeServer{ pool,
                                                  { .maxConnections = 4096 },
                                                  storeFront };
};

/** Whether the disruption is to be applied. */
bool
HasTrouble();

void
Sleep(std::int64_t aMs);

/** A queue of the desired state. */
json::object
MakeQueue(std::string_view aName,
          std::string_view aHost,
          std::string_view aPrefix,
          unsigned aPriority);

/** A tenant with one key; aGuaranteed GPUs, none if 0. */
json::object
MakeTenant(std::string_view aName, std::string_view aKey, unsigned aGuaranteed);

} // namespace play
