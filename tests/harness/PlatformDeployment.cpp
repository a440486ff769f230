#include "harness/PlatformDeployment.h"

#include "harness/Address.h"

#include <boost/json.hpp>

#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace amaranthwind::harness {

namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

constexpr auto kPollInterval = 20ms;
// Much longer than any of the conditions takes, even on a busy machine.
constexpr auto kWaitTimeout = 60s;
constexpr std::string_view kHost = "jobs.example";
constexpr std::string_view kPrefix = "/q/";
const std::string kDaemon =
  std::string(AMARANTHWIND_BIN_DIR) + "/apps/amaranthwindd/amaranthwindd";

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

} // namespace

PlatformDeployment::PlatformDeployment(std::size_t aSchedulers,
                                       std::size_t aWorkers,
                                       const Route& aRoute)
  : folder(MakeFolder())
{
  this->storeAddress = this->storeServer.Listen(AllocateAddress()).value();
  for (std::size_t i = 0; i < aSchedulers; ++i) {
    Scheduler& scheduler = this->schedulers.emplace_back();
    scheduler.name = "scheduler-" + std::to_string(i);
    scheduler.client = AllocateAddress();
    scheduler.ready = AllocateAddress();
    scheduler.inner = AllocateAddress();
    scheduler.admin = AllocateAddress();
    scheduler.settings =
      this->WriteSettings(scheduler.name,
                          json::serialize(json::object{
                            { "id", scheduler.name },
                            { "region", "r" },
                            { "zone", "z" },
                            { "innerListen", scheduler.inner },
                            { "adminListen", scheduler.admin },
                            { "clientListen", scheduler.client },
                            { "readyListen", scheduler.ready },
                            { "logService", aRoute(this->storeAddress) },
                            { "noticePeriodMs", 100 },
                            { "evacuationLimitMs", kEvacuationLimit.count() },
                            { "logFormat", "json" } }));
  }
  const auto group = std::make_shared<standins::WorkerGroup>();
  for (std::size_t i = 0; i < aWorkers; ++i) {
    Worker& worker = this->workers.emplace_back();
    const std::string name = "agent-" + std::to_string(i);
    const std::string control = AllocateAddress();
    worker.registration = control;
    worker.admin = AllocateAddress();
    worker.worker =
      std::make_unique<standins::PlatformWorker>(this->pool,
                                                 group,
                                                 "w-" + std::to_string(i),
                                                 "r" + std::to_string(i / 3),
                                                 aRoute(control));
    worker.server = std::make_unique<frontend::HttpServer>(
      this->pool, frontend::HttpServerOptions{}, *worker.worker);
    const std::string address =
      worker.server->Listen(AllocateAddress()).value();
    worker.settings =
      this->WriteSettings(name,
                          json::serialize(json::object{
                            { "id", name },
                            { "region", "r" },
                            { "zone", "z" },
                            { "adminListen", worker.admin },
                            { "registrationListen", control },
                            { "workerAddress", aRoute(address) },
                            { "logService", aRoute(this->storeAddress) },
                            { "logFormat", "json" } }));
  }
}

PlatformDeployment::~PlatformDeployment()
{
  for (auto& worker : this->workers) {
    worker.agent.reset();
    worker.server->Stop();
  }
  for (auto& scheduler : this->schedulers) {
    scheduler.process.reset();
  }
  this->storeServer.Stop();
  this->pool.Stop();
  // Destroyed after the pool has stopped, because their clients and servers use
  // it.
  this->workers.clear();
  if (!this->keepsLogs) {
    std::filesystem::remove_all(this->folder);
  }
}

std::string
PlatformDeployment::WriteSettings(const std::string& aName,
                                  const std::string& aText) const
{
  std::string path = this->folder + "/" + aName + ".json";
  std::ofstream(path, std::ios::binary) << aText;
  return path;
}

void
PlatformDeployment::Configure(std::uint64_t aVersion, std::string_view aKey)
{
  const json::object configuration{
    { "version", aVersion },
    { "routes",
      { { { "name", "queue" },
          { "host", std::string(kHost) },
          { "path-prefix", std::string(kPrefix) },
          { "service", "planner" },
          { "priority", 1 },
          { "max-attempts", 2 },
          { "stretch", 2.0 },
          { "slo-ms", 1000 },
          { "timeout-ms", 3000 } } } },
    { "tenants",
      { { { "name", "club" }, { "api-keys", { std::string(aKey) } } },
        { { "name", "guild" }, { "api-keys", { std::string(kSecondKey) } } },
        { { "name", "school" },
          { "api-keys", { std::string(kThirdKey) } } } } },
  };
  this->store.Put("keyed.op", "config", json::serialize(configuration));
}

void
PlatformDeployment::Evacuate(std::string_view aZone)
{
  this->store.Put("keyed.op", "evacuate/" + std::string(aZone), "{}");
}

void
PlatformDeployment::WithdrawEvacuation(std::string_view aZone)
{
  this->store.Put("keyed.op", "evacuate/" + std::string(aZone), "");
}

void
PlatformDeployment::StartScheduler(Scheduler& aScheduler)
{
  const std::string command[] = { kDaemon,
                                  "scheduler",
                                  "--settings=" + aScheduler.settings };
  aScheduler.process = std::make_unique<Process>(
    command, this->folder + "/" + aScheduler.name + ".log");
}

void
PlatformDeployment::StartAgent(Worker& aWorker)
{
  const std::string command[] = { kDaemon,
                                  "agent",
                                  "--settings=" + aWorker.settings };
  aWorker.agent = std::make_unique<Process>(command, aWorker.settings + ".log");
}

bool
PlatformDeployment::Start()
{
  this->Configure(1, kKey);
  for (auto& scheduler : this->schedulers) {
    this->StartScheduler(scheduler);
  }
  for (auto& worker : this->workers) {
    this->StartAgent(worker);
    worker.worker->Register();
  }
  for (const auto& scheduler : this->schedulers) {
    if (!WaitUntil([&] { return this->ReadyStatus(scheduler) == 200; })) {
      return false;
    }
  }
  return true;
}

frontend::HttpResult
PlatformDeployment::Request(const std::string& aAddress,
                            frontend::HttpRequest aRequest)
{
  frontend::HttpClient client(this->pool, { .address = aAddress });
  return client.SendAndWait(std::move(aRequest), 5s);
}

unsigned
PlatformDeployment::Send(const Scheduler& aScheduler,
                         std::string_view aMethod,
                         std::string_view aId,
                         const std::string& aBody,
                         std::string_view aKey)
{
  frontend::HttpRequest request;
  request.method = aMethod;
  request.path = std::string(kPrefix) + std::string(aId);
  request.headers = { { "Host", std::string(kHost) },
                      { "Api-Key", std::string(aKey) } };
  request.body = aBody;
  const auto result = this->Request(aScheduler.client, std::move(request));
  return result.response.has_value() ? result.response.value().status : 0;
}

std::string
PlatformDeployment::State(const Scheduler& aScheduler,
                          std::string_view aId,
                          std::string_view aKey)
{
  frontend::HttpRequest request;
  request.path = std::string(kPrefix) + std::string(aId);
  request.headers = { { "Host", std::string(kHost) },
                      { "Api-Key", std::string(aKey) } };
  const auto result = this->Request(aScheduler.client, std::move(request));
  if (result.response.has_error() || result.response.value().status != 200) {
    return {};
  }
  return std::string(
    json::parse(result.response.value().body).at("state").as_string());
}

unsigned
PlatformDeployment::ReadyStatus(const Scheduler& aScheduler)
{
  return this->Get(aScheduler.ready, "/api/ready");
}

unsigned
PlatformDeployment::Get(const std::string& aAddress, std::string_view aPath)
{
  frontend::HttpRequest request;
  request.path = aPath;
  const auto result = this->Request(aAddress, std::move(request));
  return result.response.has_value() ? result.response.value().status : 0;
}

std::vector<std::string>
PlatformDeployment::Starts() const
{
  std::vector<std::string> starts;
  for (const auto& worker : this->workers) {
    for (auto& start : worker.worker->Starts()) {
      starts.push_back(std::move(start));
    }
  }
  return starts;
}

std::size_t
PlatformDeployment::Running() const
{
  std::size_t running = 0;
  for (const auto& worker : this->workers) {
    running += worker.worker->Running();
  }
  return running;
}

bool
PlatformDeployment::WaitUntil(const std::function<bool()>& aCondition)
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

} // namespace amaranthwind::harness
