// Stand-ins and process control for the scripts of this review: a store,
// workers and clients that follow the users' pages, and the project's own
// daemons as separate processes on loopback addresses.
#pragma once

#include <boost/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace rig {

namespace json = boost::json;
using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

/** Milliseconds since the script started. */
std::int64_t
Now();
void
SleepMs(std::int64_t aMs);

/** Writes a line with the time to the record; thread-safe. */
class Record
{
public:
  explicit Record(const std::string& aPath);
  void Write(const std::string& aLine);

private:
  std::mutex mutex;
  std::ofstream file;
};

struct Request
{
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;
  std::string body;
};

struct Response
{
  /** 0 if there was no answer. */
  int status = 0;
  std::string body;
};

/** HTTP/1.1 server on a loopback address with one thread for each connection.
 */
class Server
{
public:
  /** A handler without a response leaves the request unanswered. */
  using Handler = std::function<std::optional<Response>(const Request&)>;
  explicit Server(Handler aHandler);
  /** "IP:port". */
  const std::string& Address() const { return this->address; }

private:
  void Serve(int aSocket);
  Handler handler;
  std::string address;
};

Response
Call(const std::string& aAddress,
     const std::string& aMethod,
     const std::string& aPath,
     const std::vector<std::pair<std::string, std::string>>& aHeaders,
     const std::string& aBody,
     int aTimeoutMs);

/** A loopback address whose port is free now. */
std::string
FreeAddress();

/** The platform's log. An append takes 4 ms; appends to a partition queue. */
class Store
{
public:
  Store();
  const std::string& Address() const { return this->server->Address(); }
  void Put(const std::string& aTopic,
           const std::string& aKey,
           const std::string& aValue);
  /** Newest value of a key; empty if there is none. */
  std::string Newest(const std::string& aTopic,
                     int aPart,
                     const std::string& aKey);
  /** While it is down, the store answers everything with 503. */
  void SetDown(bool aIsDown) { this->isDown = aIsDown; }
  /** Appends that were refused since they were larger than a call may be. */
  int TooLarge() const { return this->tooLarge.load(); }
  std::size_t LargestAppend() const { return this->largestAppend.load(); }

private:
  struct Producer
  {
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    /** First responses to the last five appends, by sequence. */
    std::map<std::uint64_t, std::string> responses;
  };
  struct Partition
  {
    std::mutex turn;
    std::vector<std::pair<std::string, std::string>> records;
    std::map<std::string, std::uint64_t> newest;
    std::map<std::string, Producer> producers;
  };
  std::optional<Response> Handle(const Request& aRequest);
  Response Append(const Request& aRequest);
  Response Read(const Request& aRequest);
  Response NewestPage(const Request& aRequest);
  Partition& Find(const std::string& aTopic, const std::string& aPart);
  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, std::unique_ptr<Partition>> partitions;
  std::atomic<bool> isDown{ false };
  std::atomic<int> tooLarge{ 0 };
  std::atomic<std::size_t> largestAppend{ 0 };
  std::unique_ptr<Server> server;
};

/** What a work item does; the clients write it into `spec` as "key=value ...".
 */
struct Behaviour
{
  std::int64_t workMs = 1000;
  /** Work items take up to this much longer, by their index. */
  std::int64_t spreadMs = 0;
  /** Above 1: members of a gang. */
  int gang = 0;
  /** The first run ends `failed` after this time of work; 0 if it doesn't. */
  std::int64_t failAtMs = 0;
};

struct WorkerEvent
{
  std::int64_t at = 0;
  std::size_t worker = 0;
  /**
   * "start", "end done", "end failed", ..., or "noted done" when last-seen
   * reaches an end and the lease has not lapsed since.
   */
  std::string kind;
  std::string task;
  std::uint64_t run = 0;
  std::string checkpoint;
};

/** All workers of a deployment; gangs span several of them. */
class Fleet
{
public:
  explicit Fleet(Record& aRecord);
  struct Limits
  {
    std::int64_t maxHoldMs = 6000;
    std::int64_t stopMs = 100;
    std::int64_t gangTimeoutMs = 3000;
  };
  Limits limits;
  /** Adds a worker that reports to the control address of its agent. */
  std::size_t Add(const std::string& aId,
                  const std::string& aControl,
                  const std::vector<std::string>& aLabels);
  std::string Address(std::size_t aWorker) const;
  /** Begins to send status reports. */
  void Register(std::size_t aWorker);
  std::vector<WorkerEvent> Events();
  std::size_t Running();
  /** Whether each run is written to the record. */
  std::atomic<bool> recordsRuns{ true };

private:
  struct Run
  {
    std::uint64_t run = 0;
    Behaviour behaviour;
    std::int64_t startedAt = 0;
    /** Work done, in milliseconds. */
    double done = 0;
    std::int64_t workingSince = -1;
    std::int64_t lastUpdate = 0;
    std::int64_t stopAt = -1;
    std::string checkpoint;
  };
  struct End
  {
    std::uint64_t number = 0;
    std::string task;
    std::uint64_t run = 0;
    std::string how;
    std::string checkpoint;
    /** The lease has lapsed since. */
    bool hasLapsed = false;
  };
  struct Worker
  {
    std::size_t index = 0;
    std::string id;
    std::string control;
    std::vector<std::string> labels;
    std::int64_t bornMs = 0;
    std::int64_t startedAt = 0;
    std::uint64_t sequence = 0;
    std::uint64_t token = 0;
    /** End of the lease on the worker's clock. */
    std::int64_t leaseMs = 0;
    std::uint64_t lastEnd = 0;
    std::uint64_t lastSeen = 0;
    std::map<std::string, Run> running;
    std::vector<End> ended;
    std::map<std::string, std::uint64_t> highest;
    std::unique_ptr<Server> server;
  };
  std::optional<Response> Handle(std::size_t aWorker, const Request& aRequest);
  Response Start(Worker& aWorker, const json::object& aBody);
  Response Stop(Worker& aWorker, const json::object& aBody);
  Response List(Worker& aWorker);
  Response Conflict(Worker& aWorker, const char* aReason);
  std::int64_t ClockOf(const Worker& aWorker) const;
  void Update();
  void EndRun(Worker& aWorker, const std::string& aTask, const char* aHow);
  void BreakGang(const std::string& aStep,
                 std::uint64_t aRun,
                 const char* aHow);
  void Note(const Worker& aWorker,
            const std::string& aKind,
            const std::string& aTask,
            std::uint64_t aRun,
            const std::string& aCheckpoint);
  Record& record;
  std::mutex mutex;
  std::condition_variable changed;
  std::vector<std::unique_ptr<Worker>> workers;
  std::vector<WorkerEvent> events;
  std::int64_t updatedAt = -1;
};

/** A daemon of the project, started with the command of the deploy file. */
class Daemon
{
public:
  Daemon(std::string aRole, std::string aSettings, std::string aLog);
  ~Daemon();
  void Start();
  void Signal(int aSignal);
  void Kill();

private:
  std::string role;
  std::string settings;
  std::string log;
  pid_t pid = -1;
};

/** A small deployment: schedulers, agents, workers and the store. */
class Deployment
{
public:
  Deployment(Record& aRecord, std::size_t aSchedulers, std::size_t aWorkers);
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  /** Labels of a worker; to be set before Start(). */
  std::function<std::vector<std::string>(std::size_t)> labels;
  /** Extra fields of the route. */
  json::object routeFields;
  /** Accelerators guaranteed to each tenant; tenants are named from 0. */
  std::vector<int> guaranteed{ 0 };
  /** Ends all daemons that were started and removes the temporary folder. */
  void End();
  /** Starts all and waits until it is ready; false if that fails. */
  bool Start();
  Response Send(std::size_t aScheduler,
                const std::string& aMethod,
                const std::string& aId,
                const std::string& aBody = {},
                std::size_t aTenant = 0);
  /** Hands a job in until it is accepted; false if it never is. */
  bool Submit(std::size_t aScheduler,
              const std::string& aId,
              const std::string& aBody,
              std::size_t aTenant = 0);
  std::string State(std::size_t aScheduler, const std::string& aId);
  /** `waiting` of the queue; -1 if there is no answer. */
  int Waiting(std::size_t aScheduler);
  /** Number of the scheduler that coordinates; -1 if unknown. */
  int Leader();

  Record& record;
  Store store;
  Fleet fleet;
  std::string folder;
  std::vector<std::unique_ptr<Daemon>> schedulers;
  std::vector<std::unique_ptr<Daemon>> agents;
  std::vector<std::string> clientAddresses;
  std::vector<std::string> readyAddresses;

private:
  std::size_t workerCount;
  std::vector<std::string> workerControls;
};

/** An id of 16 hexadecimal digits. */
std::string
JobId(unsigned aNumber);

/** Whether the disruption is left out (TROUBLE=0). */
bool
IsCalm();

/** Exit codes of a script. */
enum Result
{
  Held = 0,
  Broken = 1,
  CouldNotRun = 2,
};

/**
 * Runs a script on a deployment and ends the process with its result; the
 * threads of the stand-ins run until then.
 */
[[noreturn]] void
RunScript(const std::string& aRecordPath,
          std::size_t aSchedulers,
          std::size_t aWorkers,
          const std::function<Result(Deployment&)>& aScript);

} // namespace rig
