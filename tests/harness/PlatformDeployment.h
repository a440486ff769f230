#pragma once

#include "amaranthwind/frontend/HttpClient.h"
#include "harness/Process.h"
#include "standins/PlatformStore.h"
#include "standins/PlatformWorker.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthwind::harness {

/**
 * Runs schedulers and agents as processes. The stand-ins of the platform run in
 * the process of the test.
 */
class PlatformDeployment
{
public:
  struct Scheduler
  {
    std::string name;
    std::string client;
    std::string ready;
    /** Where agents and other schedulers connect. */
    std::string inner;
    std::string admin;
    std::string settings;
    std::unique_ptr<Process> process;
  };
  struct Worker
  {
    /** Where the worker registers with its agent. */
    std::string registration;
    std::string admin;
    std::string settings;
    std::unique_ptr<standins::PlatformWorker> worker;
    std::unique_ptr<frontend::HttpServer> server;
    std::unique_ptr<Process> agent;
  };

  /** Address to use in place of the given one, for example of a proxy. */
  using Route = std::function<std::string(const std::string&)>;

  /**
   * @param aRoute Applied to the addresses of the store, of the workers and of
   *   the agents' registration.
   */
  PlatformDeployment(
    std::size_t aSchedulers,
    std::size_t aWorkers,
    const Route& aRoute = [](const std::string& aAddress) { return aAddress; });
  ~PlatformDeployment();
  PlatformDeployment(const PlatformDeployment&) = delete;
  PlatformDeployment& operator=(const PlatformDeployment&) = delete;

  /**
   * Publishes a configuration with one queue and one key, and further client
   * accounts with the keys kSecondKey and kThirdKey.
   */
  void Configure(std::uint64_t aVersion, std::string_view aKey);
  void StartScheduler(Scheduler& aScheduler);
  void StartAgent(Worker& aWorker);
  /** Requests that the zone is evacuated. */
  void Evacuate(std::string_view aZone);
  void WithdrawEvacuation(std::string_view aZone);
  /** Starts all processes and waits until every scheduler is ready. */
  bool Start();

  /** HTTP status of the response; 0 if there is none. */
  unsigned Send(const Scheduler& aScheduler,
                std::string_view aMethod,
                std::string_view aId,
                const std::string& aBody = {},
                std::string_view aKey = kKey);
  /** State of the job according to the scheduler; empty on an error. */
  std::string State(const Scheduler& aScheduler,
                    std::string_view aId,
                    std::string_view aKey = kKey);
  unsigned ReadyStatus(const Scheduler& aScheduler);
  /** HTTP status of a GET request; 0 if there is no response. */
  unsigned Get(const std::string& aAddress, std::string_view aPath);

  /** Starts of all workers, as "task#run". */
  std::vector<std::string> Starts() const;
  std::size_t Running() const;
  static bool WaitUntil(const std::function<bool()>& aCondition);

  /** The destructor does not delete the folder of settings and logs. */
  void KeepLogs() { this->keepsLogs = true; }
  const std::string& Folder() const noexcept { return this->folder; }

  static constexpr std::string_view kKey = "key-1";
  static constexpr std::string_view kSecondKey = "second-key";
  static constexpr std::string_view kThirdKey = "third-key";
  /** Time after which no task may start in an evacuated zone. */
  static constexpr std::chrono::milliseconds kEvacuationLimit{ 5000 };

  std::vector<Scheduler> schedulers;
  std::vector<Worker> workers;

private:
  frontend::HttpResult Request(const std::string& aAddress,
                               frontend::HttpRequest aRequest);
  std::string WriteSettings(const std::string& aName,
                            const std::string& aText) const;

  net::IoPool pool{ 2 };

public:
  standins::PlatformStore store{ pool };

private:
  frontend::HttpServer storeServer{ pool, { .maxConnections = 4096 }, store };
  std::string storeAddress;
  std::string folder;
  bool keepsLogs = false;
};

} // namespace amaranthwind::harness
