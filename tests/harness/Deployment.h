#pragma once

#include "amaranthwind/frontend/HttpClient.h"
#include "amaranthwind/net/IoPool.h"
#include "harness/Process.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthwind::harness {

struct DeploymentOptions
{
  std::vector<std::string> zones{ "tw-1" };
  std::size_t entries = 2;
  std::size_t executors = 2;
  std::size_t workers = 3;
  std::size_t slots = 8;
  std::size_t accelerators = 8;
  std::size_t workersPerRack = 3;
  std::chrono::milliseconds serviceTime{ 5 };
  std::chrono::milliseconds noticePeriod{ 200 };
  std::chrono::seconds logRetention{ 86'400 };
};

/** A process and its addresses. */
struct Node
{
  std::string name;
  std::vector<std::string> command;
  std::string logFile;
  std::string http;
  std::string inner;
  std::string admin;
  std::unique_ptr<Process> process;
};

/**
 * Runs a log service, executors, workers, their daemons and entries as
 * processes on loopback. The destructor stops all of them.
 */
class Deployment
{
public:
  explicit Deployment(const DeploymentOptions& aOptions);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  /** Starts all processes and waits until all entries are ready. */
  bool Start();
  /** Kills the process if it still runs, and starts it again. */
  void Restart(Node& aNode);

  /** Runs the command-line tool and returns its exit code and output. */
  struct ToolResult
  {
    int exit = 0;
    std::string output;
  };
  ToolResult RunTool(const std::vector<std::string>& aArguments);
  /** Publishes a release note with the command-line tool. */
  ToolResult PublishNote(std::string_view aNote);

  frontend::HttpResult Send(
    const std::string& aAddress,
    frontend::HttpRequest aRequest,
    std::chrono::milliseconds aTimeout = std::chrono::seconds(10));
  /** Makes a short request; with a key it is idempotent. */
  static frontend::HttpRequest MakeRequest(std::string_view aAccount,
                                           std::string_view aKind,
                                           std::string_view aBody,
                                           std::string_view aKey = {},
                                           unsigned aAttempt = 0);
  frontend::HttpResult Get(const std::string& aAddress, std::string_view aPath);

  /** Injects faults into the log service; see standins::LogService. */
  void ControlLog(std::string_view aCommand);

  /** Polls until the condition holds; false after 60 s. */
  static bool WaitUntil(const std::function<bool()>& aCondition);

  bool IsReady(const Node& aEntry);
  std::string TemporaryFolder() const { return this->folder; }
  net::IoPool& Pool() { return this->pool; }

  Node log;
  std::vector<Node> entries;
  std::vector<Node> executors;
  std::vector<Node> executorDaemons;
  std::vector<Node> workers;
  std::vector<Node> workerDaemons;

private:
  Node MakeStandin(const std::string& aKind,
                   const std::string& aName,
                   std::vector<std::string> aArguments);
  Node MakeDaemon(const std::string& aRole,
                  const std::string& aName,
                  const std::string& aSettings);
  void MakeEntry(std::size_t aIndex);
  void MakeExecutor(std::size_t aIndex);
  void MakeWorker(std::size_t aIndex);
  std::string ZoneOf(std::size_t aIndex) const;
  std::string RackOf(std::size_t aIndex) const;
  static void Spawn(Node& aNode);

  const DeploymentOptions options;
  std::string folder;
  net::IoPool pool{ 2 };
};

} // namespace amaranthwind::harness
