#include "Rig.h"

#include "harness/Address.h"

#include <boost/json.hpp>

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <filesystem>
#include <stdexcept>
#include <thread>

namespace review {

namespace json = boost::json;
using amaranthwind::harness::AllocateAddress;
using amaranthwind::harness::Process;

namespace {

constexpr std::string_view kHost = "jobs.example";
constexpr std::string_view kKey = "key-1";
const std::string kDaemon = "target/apps/amaranthwindd/amaranthwindd";

std::string
MakeFolder()
{
  std::string pattern =
    (std::filesystem::temp_directory_path() / "amaranthwind-review-XXXXXX")
      .string();
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary folder");
  }
  return pattern;
}

} // namespace

void
SilentStore::SetSilent(bool aIsSilent)
{
  const std::lock_guard lock(this->mutex);
  this->isSilent = aIsSilent;
}

void
SilentStore::Handle(frontend::HttpRequest aRequest,
                    frontend::HttpResponder aRespond)
{
  {
    const std::lock_guard lock(this->mutex);
    if (this->isSilent) {
      this->unanswered.push_back(std::move(aRespond));
      return;
    }
  }
  this->store.Handle(
    std::move(aRequest),
    [this, respond = std::move(aRespond)](frontend::HttpResponse aResponse) {
      {
        const std::lock_guard lock(this->mutex);
        if (this->isSilent) {
          this->unanswered.push_back(respond);
          return;
        }
      }
      respond(std::move(aResponse));
    });
}

Rig::Rig(const RigOptions& aOptions, Record& aRecord)
  : record(aRecord)
  , maxAttempts(aOptions.maxAttempts)
  , folder(MakeFolder())
{
  this->storeAddress = this->storeServer.Listen(AllocateAddress()).value();
  for (std::size_t i = 0; i < aOptions.schedulers; ++i) {
    Scheduler& each = this->schedulers.emplace_back();
    each.name = "edge-" + std::to_string(i);
    each.client = AllocateAddress();
    each.ready = AllocateAddress();
    each.admin = AllocateAddress();
    each.settings = this->WriteSettings(
      each.name,
      json::serialize(json::object{ { "id", each.name },
                                    { "region", "r" },
                                    { "zone", "z" },
                                    { "innerListen", AllocateAddress() },
                                    { "adminListen", each.admin },
                                    { "clientListen", each.client },
                                    { "readyListen", each.ready },
                                    { "logService", this->storeAddress },
                                    { "logRecordBytes", 262144 },
                                    { "logAppendBytes", 2097152 },
                                    { "maxLeaseMs", 6000 },
                                    { "stopTimeMs", 900 },
                                    { "revokeLimitMs", 5000 },
                                    { "configurationLimitMs", 2000 },
                                    { "cancelLimitMs", 3000 },
                                    { "logFormat", "json" } }));
  }
  for (std::size_t i = 0; i < aOptions.workers; ++i) {
    Worker& each = this->workers.emplace_back();
    each.name = "side-" + std::to_string(i);
    const std::string control = AllocateAddress();
    each.executor = std::make_unique<Executor>(this->pool,
                                               aRecord,
                                               "i-" + std::to_string(i),
                                               "r" + std::to_string(i / 3),
                                               control);
    each.server = std::make_unique<frontend::HttpServer>(
      this->pool, frontend::HttpServerOptions{}, *each.executor);
    each.settings = this->WriteSettings(
      each.name,
      json::serialize(json::object{
        { "id", each.name },
        { "region", "r" },
        { "zone", "z" },
        { "adminListen", AllocateAddress() },
        { "registrationListen", control },
        { "workerAddress", each.server->Listen(AllocateAddress()).value() },
        { "logService", this->storeAddress },
        { "maxLeaseMs", 6000 },
        { "logFormat", "json" } }));
  }
  this->WriteDesiredState();
}

Rig::~Rig()
{
  for (auto& each : this->workers) {
    each.agent.reset();
    each.executor->Shutdown();
    each.server->Stop();
  }
  for (auto& each : this->schedulers) {
    each.process.reset();
  }
  this->storeServer.Stop();
  this->pool.Stop();
  this->workers.clear();
  if (std::getenv("KEEP_LOGS") != nullptr) {
    std::printf("logs: %s\n", this->folder.c_str());
  } else {
    std::filesystem::remove_all(this->folder);
  }
}

std::string
Rig::WriteSettings(const std::string& aName, const std::string& aText) const
{
  std::string path = this->folder + "/" + aName + ".json";
  std::ofstream(path, std::ios::binary) << aText;
  return path;
}

void
Rig::WriteDesiredState()
{
  const auto route = [&](std::string_view aPrefix, unsigned aPriority) {
    return json::object{ { "name", "queue" + std::string(aPrefix) },
                         { "host", std::string(kHost) },
                         { "path-prefix", std::string(aPrefix) },
                         { "service", "planner" },
                         { "priority", aPriority },
                         { "max-attempts", this->maxAttempts },
                         { "stretch", 2.0 },
                         { "slo-ms", 1000 },
                         { "timeout-ms", 3000 } };
  };
  json::array routes{ route(kQueue, 1), route(kUrgentQueue, 0) };
  for (const auto& prefix : this->publicRoutes) {
    routes.push_back(route(prefix, 1));
    routes.back().as_object()["public"] = true;
  }
  const json::object state{
    { "version", ++this->version },
    { "routes", std::move(routes) },
    { "tenants",
      { { { "name", "club" }, { "api-keys", { std::string(kKey) } } } } },
  };
  this->store.store.Put("keyed.op", "config", json::serialize(state));
}

void
Rig::AddRoute(const std::string& aPrefix)
{
  this->publicRoutes.push_back(aPrefix);
  this->WriteDesiredState();
}

void
Rig::StartScheduler(Scheduler& aScheduler)
{
  const std::string command[] = { kDaemon,
                                  "scheduler",
                                  "--settings=" + aScheduler.settings };
  aScheduler.process =
    std::make_unique<Process>(command, aScheduler.settings + ".log");
}

void
Rig::StartAgent(Worker& aWorker)
{
  const std::string command[] = { kDaemon,
                                  "agent",
                                  "--settings=" + aWorker.settings };
  aWorker.agent = std::make_unique<Process>(command, aWorker.settings + ".log");
}

bool
Rig::WaitUntil(const std::function<bool()>& aCondition,
               std::chrono::milliseconds aLimit)
{
  const auto end = Clock::now() + aLimit;
  while (!aCondition()) {
    if (Clock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(20ms);
  }
  return true;
}

bool
Rig::Start()
{
  for (auto& each : this->schedulers) {
    this->StartScheduler(each);
  }
  for (auto& each : this->workers) {
    this->StartAgent(each);
    each.executor->Register();
  }
  for (const auto& each : this->schedulers) {
    frontend::HttpClient client(this->pool, { .address = each.ready });
    const bool isReady = WaitUntil(
      [&] {
        frontend::HttpRequest request;
        request.path = "/api/ready";
        const auto result = client.SendAndWait(request, 1s);
        return result.response.has_value() &&
               result.response.value().status == 200;
      },
      15s);
    if (!isReady) {
      return false;
    }
  }
  const std::string id = JobId(0xF00D);
  return this->Send(this->schedulers[0], "POST", id, JobBody(1, 1, "run 50"))
             .status == 200 &&
         WaitUntil(
           [&] { return this->State(this->schedulers[0], id) == "completed"; },
           15s);
}

Answer
Rig::Send(const Scheduler& aScheduler,
          std::string_view aMethod,
          std::string_view aId,
          const std::string& aBody,
          std::string_view aPrefix)
{
  constexpr std::chrono::milliseconds kTimeout{ 3000 };
  frontend::HttpRequest request;
  request.method = aMethod;
  request.path = std::string(aPrefix) + std::string(aId);
  request.headers = { { "Host", std::string(kHost) },
                      { "Api-Key", std::string(kKey) },
                      { "Deadline-Ms", std::to_string(kTimeout.count()) } };
  request.body = aBody;
  frontend::HttpClient client(this->pool, { .address = aScheduler.client });
  const auto sentAt = Clock::now();
  const auto result = client.SendAndWait(std::move(request), kTimeout);
  Answer answer;
  if (result.response.has_value()) {
    answer = { result.response.value().status, result.response.value().body };
  }
  this->record.Line("client: " + std::string(aMethod) + " " +
                    std::string(aPrefix) + std::string(aId) + " at " +
                    aScheduler.name + ", sent at " +
                    std::to_string(this->record.Since(sentAt)) + " ms -> " +
                    (answer.status == 0 ? std::string("no answer")
                                        : std::to_string(answer.status)) +
                    " " + answer.body);
  return answer;
}

std::string
Rig::State(const Scheduler& aScheduler, std::string_view aId)
{
  const Answer answer = this->Send(aScheduler, "GET", aId);
  return answer.status != 200
           ? std::string()
           : std::string(json::parse(answer.body).at("state").as_string());
}

std::size_t
Rig::Leader()
{
  for (std::size_t i = 0; i < this->schedulers.size(); ++i) {
    if (this->schedulers[i].process == nullptr) {
      continue;
    }
    frontend::HttpClient client(this->pool,
                                { .address = this->schedulers[i].admin });
    frontend::HttpRequest request;
    request.path = "/dump";
    const auto result = client.SendAndWait(request, 1s);
    if (result.response.has_error()) {
      continue;
    }
    std::string dump = result.response.value().body;
    std::erase(dump, ' ');
    if (dump.find("\"isLeader\":true") != std::string::npos) {
      return i;
    }
  }
  return this->schedulers.size();
}

std::int64_t
Rig::Waiting(const Scheduler& aScheduler)
{
  const Answer answer = this->Send(aScheduler, "GET", "");
  return answer.status != 200
           ? -1
           : json::parse(answer.body).at("waiting").to_number<std::int64_t>();
}

std::size_t
Rig::Running(const std::string& aJob)
{
  std::size_t running = 0;
  for (const auto& each : this->workers) {
    running += each.executor->Running(aJob);
  }
  return running;
}

bool
HasTrouble()
{
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::strcmp(value, "0") != 0;
}

int
RunCase(int aCount, char** aArguments, int (*aPlay)(Record&))
{
  if (aCount != 2) {
    std::fprintf(stderr, "usage: %s RECORD\n", aArguments[0]);
    return kNotRun;
  }
  Record record(aArguments[1]);
  int code = kNotRun;
  try {
    code = aPlay(record);
  } catch (const std::exception& error) {
    record.Line(std::string("exception: ") + error.what());
  }
  record.Line(code == kBroken ? "the rule is broken"
              : code == kHeld ? "the rule holds"
                              : "the case could not run");
  return code;
}

std::string
JobBody(unsigned aCount,
        unsigned aGpus,
        const std::string& aSpec,
        const std::string& aExtra)
{
  return R"({"spec":")" + aSpec + R"(","steps":[{"count":)" +
         std::to_string(aCount) + R"(,"cpu":1000,"mem-mb":64,"gpu":)" +
         std::to_string(aGpus) + aExtra + "}]}";
}

std::string
JobId(std::uint64_t aNumber)
{
  char text[17];
  std::snprintf(
    text, sizeof text, "%016llx", static_cast<unsigned long long>(aNumber));
  return text;
}

} // namespace review
