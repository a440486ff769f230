#include "rig-3/Play.h"

#include "harness/Address.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <thread>

namespace play {

using namespace std::chrono_literals;
using namespace amaranthwind;

namespace {

const std::string kProgram = "target/apps/amaranthwindd/amaranthwindd";

} // namespace

void
Checkpoints::OnStart(const std::string& aTask,
                     std::uint64_t aRun,
                     std::size_t aGangSize,
                     std::string_view aCheckpoint)
{
  const std::lock_guard lock(this->mutex);
  GangRun& run = this->runs[{ aTask.substr(0, aTask.rfind('.')), aRun }];
  ++run.members;
  if (!aCheckpoint.empty()) {
    run.resumedMs =
      std::stoll(std::string(aCheckpoint.substr(0, 8)), nullptr, 16);
  }
  if (run.members == aGangSize) {
    run.begin = Clock::now();
  }
}

std::string
Checkpoints::Newest(const std::string& aTask, std::uint64_t aRun) const
{
  const std::lock_guard lock(this->mutex);
  const auto found =
    this->runs.find({ aTask.substr(0, aTask.rfind('.')), aRun });
  if (found == this->runs.end() || !found->second.begin) {
    return {};
  }
  const GangRun& run = found->second;
  const auto worked = std::chrono::duration_cast<std::chrono::milliseconds>(
                        run.end.value_or(Clock::now()) - *run.begin)
                        .count();
  const std::int64_t saved = run.resumedMs + worked / 500 * 500;
  if (saved == 0) {
    return {};
  }
  char text[9];
  std::snprintf(text, sizeof(text), "%08llx", static_cast<long long>(saved));
  return text + aTask.substr(0, 8);
}

void
Checkpoints::Break()
{
  const std::lock_guard lock(this->mutex);
  for (auto& [key, run] : this->runs) {
    if (run.begin && !run.end) {
      run.end = Clock::now();
    }
  }
}

void
Worker::Handle(frontend::HttpRequest aRequest, frontend::HttpResponder aRespond)
{
  if (aRequest.path == "/api/run-start") {
    this->HandleStart(std::move(aRequest), std::move(aRespond));
  } else if (aRequest.path == "/api/hold") {
    const json::object body = json::parse(aRequest.body).as_object();
    const auto* wait = body.if_contains("wait-ms");
    const std::chrono::milliseconds time(
      wait == nullptr ? 0 : wait->to_number<std::int64_t>());
    this->HandleHold(
      std::move(aRequest), std::move(aRespond), Clock::now() + time);
  } else {
    this->worker.Handle(std::move(aRequest), std::move(aRespond));
  }
}

void
Worker::HandleHold(frontend::HttpRequest aRequest,
                   frontend::HttpResponder aRespond,
                   Clock::time_point aUntil)
{
  frontend::HttpRequest request = aRequest;
  this->worker.Handle(
    std::move(request),
    [this,
     aUntil,
     repeated = std::move(aRequest),
     respond = std::move(aRespond)](frontend::HttpResponse aResponse) mutable {
      const bool isFinal = aResponse.status != 200 ||
                           this->CompleteReply(aResponse.body) ||
                           Clock::now() >= aUntil;
      if (isFinal) {
        respond(std::move(aResponse));
        return;
      }
      this->pool.RunAfter(10ms, [this, aUntil, repeated, respond] {
        this->HandleHold(repeated, respond, aUntil);
      });
    });
}

void
Worker::HandleStart(frontend::HttpRequest aRequest,
                    frontend::HttpResponder aRespond)
{
  if (this->refusesStarts.load()) {
    ++this->refusedStarts;
    aRespond({ 503, "application/json", {}, "" });
    return;
  }
  const json::object body = json::parse(aRequest.body).as_object();
  StartOrder order{ std::string(body.at("task").as_string()),
                    body.at("run-id").to_number<std::uint64_t>(),
                    {} };
  if (const auto* checkpoint = body.if_contains("checkpoint")) {
    order.checkpoint = std::string(checkpoint->as_string());
  }
  const std::string spec(body.at("spec").as_string());
  const auto gang = spec.find("gang=");
  const std::size_t size =
    gang == std::string::npos ? 1 : std::stoul(spec.substr(gang + 5));
  this->worker.Handle(std::move(aRequest),
                      [this, order, size, respond = std::move(aRespond)](
                        frontend::HttpResponse aResponse) {
                        if (aResponse.status == 200) {
                          this->checkpoints.OnStart(
                            order.task, order.run, size, order.checkpoint);
                          const std::lock_guard lock(this->mutex);
                          this->orders.push_back(order);
                          if (!this->hopelessJob.empty() &&
                              order.task.starts_with(this->hopelessJob)) {
                            this->failing.insert({ order.task, order.run });
                          }
                        }
                        respond(std::move(aResponse));
                      });
}

bool
Worker::CompleteReply(std::string& aHoldReply)
{
  json::object reply = json::parse(aHoldReply).as_object();
  for (const auto& [list, column] :
       { std::pair("running", 0), { "ended", 1 } }) {
    for (auto& value : reply.at(list).as_array()) {
      json::array& row = value.as_array();
      const std::string task(row[column].as_string());
      const auto run = row[column + 1].to_number<std::uint64_t>();
      row[list == std::string_view("running") ? 2 : 4] =
        this->checkpoints.Newest(task, run);
      const std::lock_guard lock(this->mutex);
      if (list == std::string_view("ended") &&
          this->failing.contains({ task, run }) &&
          row[3].as_string() == "done") {
        row[3] = "failed";
        this->listedFailures.insert({ task, run });
      }
    }
  }
  aHoldReply = json::serialize(reply);
  return !reply.at("ended").as_array().empty();
}

std::size_t
Worker::FailedRuns() const
{
  const std::lock_guard lock(this->mutex);
  return this->listedFailures.size();
}

std::vector<StartOrder>
Worker::Orders() const
{
  const std::lock_guard lock(this->mutex);
  return this->orders;
}

bool
StoreFront::IsSilent(const std::string& aTopic) const
{
  return this->isSilent.load() && aTopic == "keyed.jobs";
}

void
StoreFront::Handle(frontend::HttpRequest aRequest,
                   frontend::HttpResponder aRespond)
{
  const std::string topic(aRequest.QueryValue("topic"));
  const std::string request = aRequest.path + "?" + aRequest.query;
  if (this->IsSilent(topic)) {
    this->Keep(std::move(aRespond), request);
    return;
  }
  this->store.Handle(std::move(aRequest),
                     [this, topic, request, respond = std::move(aRespond)](
                       frontend::HttpResponse aResponse) {
                       if (this->IsSilent(topic)) {
                         this->Keep(respond, request);
                       } else {
                         respond(std::move(aResponse));
                       }
                     });
}

void
StoreFront::Keep(frontend::HttpResponder aRespond, const std::string& aRequest)
{
  if (this->onUnanswered) {
    this->onUnanswered(aRequest);
  }
  const std::lock_guard lock(this->mutex);
  this->unanswered.push_back(std::move(aRespond));
}

void
StoreFront::Clear()
{
  const std::lock_guard lock(this->mutex);
  this->unanswered.clear();
}

Play::Play(const std::string& aRecordFile,
           std::size_t aSchedulers,
           std::size_t aWorkers)
  : record(aRecordFile)
{
  std::string pattern =
    (std::filesystem::temp_directory_path() / "play-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary folder");
  }
  this->folder = pattern;
  const std::string log =
    this->storeServer.Listen(harness::AllocateAddress()).value();
  for (std::size_t i = 0; i < aSchedulers; ++i) {
    Scheduler& scheduler = this->schedulers.emplace_back();
    scheduler.client = harness::AllocateAddress();
    scheduler.ready = harness::AllocateAddress();
    const std::string name = "scheduler-" + std::to_string(i);
    scheduler.settings =
      this->WriteSettings(name,
                          { { "id", name },
                            { "region", "valle-cauca" },
                            { "zone", "cali-norte" },
                            { "innerListen", harness::AllocateAddress() },
                            { "adminListen", harness::AllocateAddress() },
                            { "clientListen", scheduler.client },
                            { "readyListen", scheduler.ready },
                            { "logService", log },
                            { "logRecordBytes", 262144 },
                            { "logAppendBytes", 2097152 },
                            { "maxLeaseMs", 6000 },
                            { "stopTimeMs", 900 },
                            { "revokeLimitMs", 5000 },
                            { "configurationLimitMs", 2000 },
                            { "cancelLimitMs", 3000 },
                            { "learnRunTimes", false },
                            { "logFormat", "json" } });
  }
  const auto group = std::make_shared<standins::WorkerGroup>();
  for (std::size_t i = 0; i < aWorkers; ++i) {
    Side& side = this->sides.emplace_back();
    const std::string control = harness::AllocateAddress();
    side.worker =
      std::make_unique<standins::PlatformWorker>(this->pool,
                                                 group,
                                                 "w-" + std::to_string(i),
                                                 "r" + std::to_string(i / 3),
                                                 control);
    side.worker->SetZone("cali-norte");
    side.handler =
      std::make_unique<Worker>(this->pool, *side.worker, this->checkpoints);
    side.server = std::make_unique<frontend::HttpServer>(
      this->pool, frontend::HttpServerOptions{}, *side.handler);
    const std::string app =
      side.server->Listen(harness::AllocateAddress()).value();
    const std::string name = "side-" + std::to_string(i);
    side.settings =
      this->WriteSettings(name,
                          { { "id", name },
                            { "region", "valle-cauca" },
                            { "zone", "cali-norte" },
                            { "adminListen", harness::AllocateAddress() },
                            { "registrationListen", control },
                            { "workerAddress", app },
                            { "logService", log },
                            { "maxLeaseMs", 6000 },
                            { "logFormat", "json" } });
  }
}

Play::~Play()
{
  for (auto& side : this->sides) {
    side.agent.reset();
    side.server->Stop();
  }
  for (auto& scheduler : this->schedulers) {
    scheduler.process.reset();
  }
  this->storeFront.Clear();
  this->storeServer.Stop();
  this->pool.Stop();
  // Destroyed after the pool has stopped, because their clients and servers use
  // it.
  this->sides.clear();
  if (std::getenv("KEEP") == nullptr) {
    std::filesystem::remove_all(this->folder);
  }
}

std::string
Play::WriteSettings(const std::string& aName,
                    const json::object& aSettings) const
{
  std::string path = this->folder + "/" + aName + ".json";
  std::ofstream(path, std::ios::binary) << json::serialize(aSettings);
  return path;
}

std::unique_ptr<harness::Process>
Play::Spawn(const std::string& aRole,
            const std::string& aSettings,
            const std::string& aName)
{
  setenv("AMARANTHWIND_CONFIG", aSettings.c_str(), 1);
  const std::string command[] = { kProgram, aRole };
  return std::make_unique<harness::Process>(
    command, this->folder + "/" + aName + ".log");
}

void
Play::Configure(const json::object& aState)
{
  this->store.Put("keyed.op", "config", json::serialize(aState));
}

void
Play::Restart(std::size_t aScheduler)
{
  this->schedulers[aScheduler].process =
    this->Spawn("scheduler",
                this->schedulers[aScheduler].settings,
                "scheduler-" + std::to_string(aScheduler));
}

void
Play::RestartAgent(std::size_t aSide)
{
  this->sides[aSide].agent = this->Spawn(
    "agent", this->sides[aSide].settings, "side-" + std::to_string(aSide));
}

bool
Play::Start()
{
  for (std::size_t i = 0; i < this->schedulers.size(); ++i) {
    this->Restart(i);
  }
  for (std::size_t i = 0; i < this->sides.size(); ++i) {
    this->RestartAgent(i);
    this->sides[i].worker->Register();
  }
  const auto end = Clock::now() + 20s;
  for (const auto& scheduler : this->schedulers) {
    frontend::HttpRequest request;
    request.path = "/api/ready";
    while (this->Send(scheduler.ready, request).status != 200) {
      if (Clock::now() >= end) {
        return false;
      }
      std::this_thread::sleep_for(50ms);
    }
  }
  // Traffic starts after the machines do.
  std::this_thread::sleep_for(8s);
  return true;
}

Answer
Play::Send(const std::string& aAddress, frontend::HttpRequest aRequest)
{
  frontend::HttpClient client(this->pool, { .address = aAddress });
  const auto result = client.SendAndWait(std::move(aRequest), 5s);
  if (result.response.has_error()) {
    return {};
  }
  return { result.response.value().status, result.response.value().body };
}

Answer
Play::Ask(std::size_t aScheduler,
          std::string_view aMethod,
          std::string_view aHost,
          std::string_view aPath,
          std::string_view aKey,
          const std::string& aBody)
{
  frontend::HttpRequest request;
  request.method = aMethod;
  request.path = aPath;
  request.headers = { { "Host", std::string(aHost) },
                      { "Api-Key", std::string(aKey) },
                      { "Deadline-Ms", "3000" } };
  if (!aBody.empty()) {
    request.headers.push_back({ "Content-Type", "application/json" });
  }
  request.body = aBody;
  Answer answer = this->Send(this->schedulers[aScheduler].client, request);
  this->Record("asked scheduler " + std::to_string(aScheduler) + ": " +
               std::string(aMethod) + " " + std::string(aPath) + " " + aBody +
               " -> " + std::to_string(answer.status) + " " + answer.body);
  return answer;
}

void
Play::Record(const std::string& aText)
{
  const std::lock_guard lock(this->recordMutex);
  this->record << this->NowMs() << " ms " << aText << std::endl;
}

std::int64_t
Play::NowMs() const
{
  return this->At(Clock::now());
}

std::int64_t
Play::At(Clock::time_point aTime) const
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aTime -
                                                               this->begin)
    .count();
}

std::size_t
Play::BegunItems(std::string_view aJob) const
{
  std::vector<std::string> begun;
  for (const auto& side : this->sides) {
    for (const auto& start : side.worker->Starts()) {
      if (start.starts_with(aJob)) {
        begun.push_back(start.substr(0, start.find('#')));
      }
    }
  }
  std::sort(begun.begin(), begun.end());
  return static_cast<std::size_t>(std::unique(begun.begin(), begun.end()) -
                                  begun.begin());
}

bool
Play::HasBegun(std::string_view aJob) const
{
  return this->BegunItems(aJob) > 0;
}

void
Play::RecordRuns()
{
  for (std::size_t i = 0; i < this->sides.size(); ++i) {
    for (const auto& entry : this->sides[i].worker->History()) {
      using Event = standins::PlatformWorker::RunEvent;
      const char* what = entry.runEvent == Event::Start  ? "start"
                         : entry.runEvent == Event::Done ? "done"
                         : entry.runEvent == Event::DoneAcknowledged
                           ? "done end acknowledged"
                           : "other end";
      const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(
                        entry.at - this->begin)
                        .count();
      this->Record("executor w-" + std::to_string(i) + " at " +
                   std::to_string(at) + " ms: " + what + " " + entry.task +
                   " run " + std::to_string(entry.run));
    }
  }
}

bool
HasTrouble()
{
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string_view(text) != "0";
}

void
Sleep(std::int64_t aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

json::object
MakeQueue(std::string_view aName,
          std::string_view aHost,
          std::string_view aPrefix,
          unsigned aPriority)
{
  return { { "name", std::string(aName) },
           { "host", std::string(aHost) },
           { "path-prefix", std::string(aPrefix) },
           { "service", "planner" },
           { "priority", aPriority },
           { "max-attempts", 3 },
           { "stretch", 3.0 },
           { "slo-ms", 1000 },
           { "timeout-ms", 3000 } };
}

json::object
MakeTenant(std::string_view aName, std::string_view aKey, unsigned aGuaranteed)
{
  json::object tenant{ { "name", std::string(aName) },
                       { "api-keys", { std::string(aKey) } } };
  if (aGuaranteed > 0) {
    tenant["guaranteed"] = json::object{ { "gpu", aGuaranteed } };
  }
  return tenant;
}

} // namespace play
