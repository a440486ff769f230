#include "harness/Deployment.h"

#include "harness/Address.h"

#include <boost/json.hpp>

#include <unistd.h>

#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <thread>

namespace amaranthwind::harness {

namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds kPollInterval = 20ms;
// Much longer than any of the conditions takes, even on a busy machine.
constexpr std::chrono::seconds kWaitTimeout = 60s;

const std::string kBinaryFolder = AMARANTHWIND_BIN_DIR;

std::string
MakeFolder()
{
  std::string pattern =
    (std::filesystem::temp_directory_path() / "amaranthwind-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary folder");
  }
  return pattern;
}

void
WriteFile(const std::string& aPath, std::string_view aText)
{
  std::ofstream(aPath, std::ios::binary) << aText;
}

std::string
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  return std::string(std::istreambuf_iterator<char>(file), {});
}

} // namespace

Deployment::Deployment(const DeploymentOptions& aOptions)
  : options(aOptions)
  , folder(MakeFolder())
{
  this->log = this->MakeStandin("log", "log", {});
  for (std::size_t i = 0; i < aOptions.entries; ++i) {
    this->MakeEntry(i);
  }
  for (std::size_t i = 0; i < aOptions.executors; ++i) {
    this->MakeExecutor(i);
  }
  for (std::size_t i = 0; i < aOptions.workers; ++i) {
    this->MakeWorker(i);
  }
}

Deployment::~Deployment()
{
  for (auto* nodes : { &this->entries,
                       &this->executorDaemons,
                       &this->workerDaemons,
                       &this->executors,
                       &this->workers }) {
    nodes->clear();
  }
  this->log.process.reset();
  this->pool.Stop();
  if (std::getenv("AMARANTHWIND_KEEP_LOGS") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
  }
}

Node
Deployment::MakeStandin(const std::string& aKind,
                        const std::string& aName,
                        std::vector<std::string> aArguments)
{
  Node node;
  node.name = aName;
  node.http = AllocateAddress();
  node.logFile = this->folder + "/" + aName + ".log";
  node.command = { kBinaryFolder + "/tests/standins/" + aKind + "-standin",
                   "--listen=" + node.http };
  node.command.insert(node.command.end(),
                      std::make_move_iterator(aArguments.begin()),
                      std::make_move_iterator(aArguments.end()));
  return node;
}

Node
Deployment::MakeDaemon(const std::string& aRole,
                       const std::string& aName,
                       const std::string& aSettings)
{
  Node node;
  node.name = aName;
  node.logFile = this->folder + "/" + aName + ".log";
  const std::string file = this->folder + "/" + aName + ".json";
  WriteFile(file, aSettings);
  node.command = { kBinaryFolder + "/apps/amaranthwindd/amaranthwindd",
                   aRole,
                   "--settings=" + file };
  return node;
}

std::string
Deployment::ZoneOf(std::size_t aIndex) const
{
  return this->options.zones[aIndex % this->options.zones.size()];
}

std::string
Deployment::RackOf(std::size_t aIndex) const
{
  const std::size_t rackIndex =
    aIndex / this->options.zones.size() / this->options.workersPerRack;
  return this->ZoneOf(aIndex) + "-r" + std::to_string(rackIndex + 1);
}

void
Deployment::MakeEntry(std::size_t aIndex)
{
  const std::string name = "entry-" + std::to_string(aIndex + 1);
  const std::string inner = AllocateAddress();
  const std::string http = AllocateAddress();
  const std::string admin = AllocateAddress();
  const std::string bootstrap =
    this->entries.empty() ? inner : this->entries.front().inner;
  json::array zones;
  for (const auto& zone : this->options.zones) {
    zones.emplace_back(zone);
  }
  const json::object settings{
    { "id", name },
    { "region", "test" },
    { "zone", this->ZoneOf(aIndex) },
    { "innerListen", inner },
    { "adminListen", admin },
    { "httpListen", http },
    { "logService", this->log.http },
    { "bootstrap", json::array{ bootstrap } },
    { "coordinatedZones", zones },
    { "noticePeriodMs", this->options.noticePeriod.count() },
    { "logRetentionS", this->options.logRetention.count() }
  };
  Node node = this->MakeDaemon("entry", name, json::serialize(settings));
  node.http = http;
  node.inner = inner;
  node.admin = admin;
  this->entries.push_back(std::move(node));
}

void
Deployment::MakeExecutor(std::size_t aIndex)
{
  const std::string name = "executor-" + std::to_string(aIndex + 1);
  Node standin = this->MakeStandin(
    "executor",
    name,
    { "--name=" + name,
      "--slots=" + std::to_string(this->options.slots),
      "--service-ms=" + std::to_string(this->options.serviceTime.count()) });
  const std::string inner = AllocateAddress();
  const std::string admin = AllocateAddress();
  const json::object settings{ { "id", name },
                               { "region", "test" },
                               { "zone", this->ZoneOf(aIndex) },
                               { "rack", this->RackOf(aIndex) },
                               { "kind", "executor" },
                               { "innerListen", inner },
                               { "adminListen", admin },
                               { "ioThreads", 1 },
                               { "bootstrap",
                                 json::array{ this->entries.front().inner } },
                               { "slots", this->options.slots },
                               { "connections", 64 },
                               { "serviceAddress", standin.http } };
  Node node =
    this->MakeDaemon("target", name + "-daemon", json::serialize(settings));
  node.inner = inner;
  node.admin = admin;
  this->executors.push_back(std::move(standin));
  this->executorDaemons.push_back(std::move(node));
}

void
Deployment::MakeWorker(std::size_t aIndex)
{
  const std::string name = "worker-" + std::to_string(aIndex + 1);
  Node standin = this->MakeStandin(
    "worker",
    name,
    { "--accelerators=" + std::to_string(this->options.accelerators) });
  const std::string inner = AllocateAddress();
  const std::string admin = AllocateAddress();
  const json::object settings{
    { "id", name },
    { "region", "test" },
    { "zone", this->ZoneOf(aIndex) },
    { "rack", this->RackOf(aIndex) },
    { "kind", "worker" },
    { "innerListen", inner },
    { "adminListen", admin },
    { "ioThreads", 1 },
    { "bootstrap", json::array{ this->entries.front().inner } },
    { "resources",
      json::object{ { "accelerators", this->options.accelerators },
                    { "cores", 64 },
                    { "memoryMiB", 131072 } } },
    { "serviceAddress", standin.http }
  };
  Node node =
    this->MakeDaemon("target", name + "-daemon", json::serialize(settings));
  node.inner = inner;
  node.admin = admin;
  this->workers.push_back(std::move(standin));
  this->workerDaemons.push_back(std::move(node));
}

void
Deployment::Spawn(Node& aNode)
{
  aNode.process = std::make_unique<Process>(aNode.command, aNode.logFile);
}

void
Deployment::Restart(Node& aNode)
{
  aNode.process.reset();
  Spawn(aNode);
}

bool
Deployment::Start()
{
  Spawn(this->log);
  const bool isLogUp = WaitUntil([this] {
    return this->Get(this->log.http, "/streams/notes/records?from=0")
      .response.has_value();
  });
  for (auto* nodes : { &this->entries,
                       &this->executors,
                       &this->workers,
                       &this->executorDaemons,
                       &this->workerDaemons }) {
    for (auto& node : *nodes) {
      Spawn(node);
    }
  }
  return isLogUp && WaitUntil([this] {
           for (const auto& entry : this->entries) {
             if (!this->IsReady(entry)) {
               return false;
             }
           }
           return true;
         });
}

Deployment::ToolResult
Deployment::RunTool(const std::vector<std::string>& aArguments)
{
  static std::atomic<int> runs{ 0 };
  const std::string output =
    this->folder + "/tool-" + std::to_string(++runs) + ".log";
  std::vector<std::string> command{ kBinaryFolder +
                                    "/apps/amaranthwindctl/amaranthwindctl" };
  command.insert(command.end(), aArguments.begin(), aArguments.end());
  Process process(command, output);
  const auto exit = process.WaitFor(kWaitTimeout);
  return { exit.value_or(-1), ReadFile(output) };
}

Deployment::ToolResult
Deployment::PublishNote(std::string_view aNote)
{
  static std::atomic<int> notes{ 0 };
  const std::string file =
    this->folder + "/note-" + std::to_string(++notes) + ".json";
  WriteFile(file, aNote);
  return this->RunTool({ "note", "publish", "--log=" + this->log.http, file });
}

frontend::HttpResult
Deployment::Send(const std::string& aAddress,
                 frontend::HttpRequest aRequest,
                 std::chrono::milliseconds aTimeout)
{
  frontend::HttpClient client(this->pool, { .address = aAddress });
  return client.SendAndWait(std::move(aRequest), aTimeout);
}

frontend::HttpRequest
Deployment::MakeRequest(std::string_view aAccount,
                        std::string_view aKind,
                        std::string_view aBody,
                        std::string_view aKey,
                        unsigned aAttempt)
{
  frontend::HttpRequest request;
  request.method = "POST";
  request.path = "/v1/requests/" + std::string(aKind);
  request.body = aBody;
  request.headers.push_back({ "X-Client-Account", std::string(aAccount) });
  request.headers.push_back({ "X-Caller", "test" });
  if (!aKey.empty()) {
    request.headers.push_back({ "Idempotency-Key", std::string(aKey) });
    request.headers.push_back({ "Retry-Attempt", std::to_string(aAttempt) });
  }
  return request;
}

frontend::HttpResult
Deployment::Get(const std::string& aAddress, std::string_view aPath)
{
  frontend::HttpRequest request;
  const std::size_t queryStart = std::min(aPath.find('?'), aPath.size());
  request.path = aPath.substr(0, queryStart);
  request.query = aPath.substr(std::min(queryStart + 1, aPath.size()));
  return this->Send(aAddress, std::move(request));
}

void
Deployment::ControlLog(std::string_view aCommand)
{
  frontend::HttpRequest request;
  request.method = "POST";
  request.path = "/control";
  request.body = aCommand;
  this->Send(this->log.http, std::move(request));
}

bool
Deployment::WaitUntil(const std::function<bool()>& aCondition)
{
  const auto end = std::chrono::steady_clock::now() + kWaitTimeout;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

bool
Deployment::IsReady(const Node& aEntry)
{
  const auto result = this->Get(aEntry.admin, "/ready");
  return result.response.has_value() && result.response.value().status == 200;
}

} // namespace amaranthwind::harness
