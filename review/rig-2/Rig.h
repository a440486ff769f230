#pragma once

#include "Executor.h"
#include "Record.h"
#include "amaranthwind/frontend/HttpClient.h"
#include "amaranthwind/frontend/HttpServer.h"
#include "amaranthwind/net/IoPool.h"
#include "harness/Process.h"
#include "standins/PlatformStore.h"

#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace review {

/** Exit codes of a case. */
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

/** The project's stand-in for the store, which can also be down and silent. */
class SilentStore final : public frontend::HttpHandler
{
public:
  explicit SilentStore(amaranthwind::net::IoPool& aPool)
    : store(aPool)
  {
  }
  /**
   * While it is silent it does nothing and answers nothing, also not to reads
   * that wait. The connections stay open.
   */
  void SetSilent(bool aIsSilent);
  void Handle(frontend::HttpRequest aRequest,
              frontend::HttpResponder aRespond) override;

  amaranthwind::standins::PlatformStore store;

private:
  std::mutex mutex;
  bool isSilent = false;
  std::vector<frontend::HttpResponder> unanswered;
};

/** Prefixes of the two queues, of priority 1 and 0. */
constexpr std::string_view kQueue = "/q/";
constexpr std::string_view kUrgentQueue = "/u/";

/** Answer of a scheduler to a client; status 0 if there is none. */
struct Answer
{
  unsigned status = 0;
  std::string body;
};

struct RigOptions
{
  std::size_t schedulers = 3;
  std::size_t workers = 4;
  /** Attempts of the queues. */
  unsigned maxAttempts = 2;
};

/**
 * A small deployment: schedulers and agents as processes of the deploy file's
 * build, with stand-ins for the store and the executors in this process. The
 * settings have the bounds of the site bancos-andinos.
 */
class Rig
{
public:
  struct Scheduler
  {
    std::string name;
    std::string client;
    std::string ready;
    std::string admin;
    std::string settings;
    std::unique_ptr<amaranthwind::harness::Process> process;
  };
  struct Worker
  {
    std::string name;
    std::string settings;
    std::unique_ptr<Executor> executor;
    std::unique_ptr<frontend::HttpServer> server;
    std::unique_ptr<amaranthwind::harness::Process> agent;
  };

  Rig(const RigOptions& aOptions, Record& aRecord);
  ~Rig();
  Rig(const Rig&) = delete;
  Rig& operator=(const Rig&) = delete;

  /** The operator writes a new desired state with one more public route. */
  void AddRoute(const std::string& aPrefix);
  void StartScheduler(Scheduler& aScheduler);
  void StartAgent(Worker& aWorker);
  /**
   * Starts everything and waits until all schedulers are ready and one task has
   * run. Returns false if that takes too long.
   */
  bool Start();

  /** Sends a request of a client, with a Deadline-Ms of 3000. */
  Answer Send(const Scheduler& aScheduler,
              std::string_view aMethod,
              std::string_view aId,
              const std::string& aBody = {},
              std::string_view aPrefix = kQueue);
  std::string State(const Scheduler& aScheduler, std::string_view aId);
  /** Index of the scheduler that says it leads; the size if there is none. */
  std::size_t Leader();
  /** Number of the queue's waiting jobs as the scheduler tells it, or -1. */
  std::int64_t Waiting(const Scheduler& aScheduler);
  static bool WaitUntil(const std::function<bool()>& aCondition,
                        std::chrono::milliseconds aLimit);

  /** Runs at work on all executors, of one job if it is named. */
  std::size_t Running(const std::string& aJob = {});

  Record& record;
  amaranthwind::net::IoPool pool{ 4 };
  SilentStore store{ pool };
  std::vector<Scheduler> schedulers;
  std::vector<Worker> workers;

private:
  std::string WriteSettings(const std::string& aName,
                            const std::string& aText) const;

  frontend::HttpServer storeServer{ pool, { .maxConnections = 4096 }, store };
  void WriteDesiredState();

  std::string storeAddress;
  std::uint64_t version = 0;
  /** Prefixes of routes beside the two queues. */
  std::vector<std::string> publicRoutes;
  const unsigned maxAttempts;
  std::string folder;
};

/** False if the variable TROUBLE is 0: the case then runs undisturbed. */
bool
HasTrouble();

/**
 * Body of main(): plays the case and returns its exit code. The record goes to
 * the file that the first argument names.
 */
int
RunCase(int aCount, char** aArguments, int (*aPlay)(Record&));

/**
 * A job of one step of single work items. aSpec tells the executors what the
 * work items do; aExtra are further fields of the step.
 */
std::string
JobBody(unsigned aCount,
        unsigned aGpus,
        const std::string& aSpec,
        const std::string& aExtra = {});

/** A job id: 16 hexadecimal digits. */
std::string
JobId(std::uint64_t aNumber);

} // namespace review
