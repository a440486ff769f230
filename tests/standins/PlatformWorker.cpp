#include "standins/PlatformWorker.h"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace amaranthwind::standins {

namespace json = boost::json;
using frontend::HttpRequest;
using frontend::HttpResponder;
using frontend::HttpResponse;
using namespace std::chrono_literals;

namespace {

constexpr auto kHeartbeatInterval = 200ms;
constexpr auto kPollInterval = 20ms;

std::int64_t
UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

HttpResponse
MakeResponse(std::uint16_t aStatus, const json::object& aBody)
{
  return { aStatus, "application/json", {}, json::serialize(aBody) };
}

std::uint64_t
NumberOf(const json::object& aObject, std::string_view aName)
{
  const auto* value =
    aObject.if_contains(json::string_view(aName.data(), aName.size()));
  return value == nullptr ? 0 : value->to_number<std::uint64_t>();
}

} // namespace

PlatformWorker::PlatformWorker(net::IoPool& aPool,
                               std::string aId,
                               std::string aRack,
                               const std::string& aControlAddress)
  : pool(aPool)
  , id(std::move(aId))
  , rack(std::move(aRack))
  , control(aPool, { .address = aControlAddress })
  , bornMs(UnixMs())
{
}

PlatformWorker::~PlatformWorker()
{
  std::lock_guard lock(this->mutex);
  this->isStopped = true;
}

std::int64_t
PlatformWorker::ClockMs() const
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               this->born)
    .count();
}

void
PlatformWorker::Register()
{
  this->SendHeartbeat();
}

void
PlatformWorker::SendHeartbeat()
{
  HttpRequest request;
  {
    std::lock_guard lock(this->mutex);
    if (this->isStopped) {
      return;
    }
    request.method = "POST";
    request.path = "/api/Instances.Heartbeat/" + this->id;
    request.body = json::serialize(json::object{
      { "service", "planner" },
      { "zone", "z" },
      { "state", "ready" },
      { "sequence", ++this->sequence },
      { "born", this->bornMs },
      { "labels", { "a", this->rack } },
      { "capacity", { { "cpu", 64000 }, { "mem-mb", 262144 }, { "gpu", 8 } } },
    });
  }
  this->control.Send(std::move(request), 1s, [](const auto&) {});
  this->pool.RunAfter(kHeartbeatInterval, [this] { this->SendHeartbeat(); });
}

void
PlatformWorker::RecordEnd(const std::string& aTask,
                          std::uint64_t aRun,
                          const char* aOutcome,
                          Clock::time_point aAt)
{
  const bool isDone = std::string_view(aOutcome) == "done";
  this->history.push_back(
    { aAt, aTask, aRun, isDone ? RunEvent::Done : RunEvent::OtherEnd });
  this->ended.push_back({ ++this->lastEnd, aTask, aRun, aOutcome, false });
  auto& highestRun = this->highestEndedRun[aTask];
  highestRun = std::max(highestRun, aRun);
}

void
PlatformWorker::Update()
{
  const auto now = Clock::now();
  const auto leaseEnd = this->born + std::chrono::milliseconds(this->leaseMs);
  if (leaseEnd <= now) {
    for (auto& end : this->ended) {
      end.hasLeaseExpired = true;
    }
  }
  for (auto position = this->running.begin();
       position != this->running.end();) {
    const auto current = position++;
    const auto end = std::min(current->second.end, leaseEnd);
    if (end <= now) {
      this->RecordEnd(current->first,
                      current->second.run,
                      end == current->second.end ? "done" : "lapsed",
                      end);
      this->running.erase(current);
    }
  }
}

HttpResponse
PlatformWorker::Conflict(const char* aReason) const
{
  return MakeResponse(
    409, { { "clock-ms", this->ClockMs() }, { "reason", aReason } });
}

void
PlatformWorker::Handle(HttpRequest aRequest, HttpResponder aRespond)
{
  std::lock_guard lock(this->mutex);
  this->Update();
  const auto body = json::parse(aRequest.body).as_object();
  const std::uint64_t requestToken = NumberOf(body, "fencing-token");
  if (requestToken < this->token) {
    aRespond(this->Conflict("fence"));
    return;
  }
  this->token = requestToken;
  if (body.contains("deadline-ms")) {
    this->leaseMs = std::max(
      this->leaseMs, static_cast<std::int64_t>(NumberOf(body, "deadline-ms")));
  }
  if (aRequest.path == "/api/run-start") {
    auto response = this->Start(aRequest.body);
    if (!this->dropsStartReplies) {
      aRespond(std::move(response));
    }
  } else if (aRequest.path == "/api/run-stop") {
    aRespond(this->Stop(aRequest.body));
  } else {
    const std::uint64_t acknowledged = NumberOf(body, "last-seen");
    std::erase_if(this->ended, [&](const EndRecord& aEnd) {
      const bool isAcknowledged = aEnd.number <= acknowledged;
      // Once the lease has expired, the task may already run on another worker.
      if (isAcknowledged && aEnd.outcome == "done" && !aEnd.hasLeaseExpired) {
        this->history.push_back(
          { Clock::now(), aEnd.task, aEnd.run, RunEvent::DoneAcknowledged });
      }
      return isAcknowledged;
    });
    const bool mustWait = NumberOf(body, "wait-ms") > 0 && this->ended.empty();
    if (!mustWait) {
      aRespond(this->Hold());
      return;
    }
    // Replies after one poll interval instead of waiting for a task to end; the
    // agent then sends the next request.
    this->pool.RunAfter(kPollInterval, [this, aRespond] {
      std::lock_guard guard(this->mutex);
      this->Update();
      aRespond(this->Hold());
    });
  }
}

HttpResponse
PlatformWorker::Start(std::string_view aBody)
{
  const auto body =
    json::parse(json::string_view(aBody.data(), aBody.size())).as_object();
  const std::string task(body.at("task").as_string());
  const std::uint64_t run = NumberOf(body, "run-id");
  const auto found = this->running.find(task);
  if (found != this->running.end() && found->second.run == run) {
    return MakeResponse(200, { { "clock-ms", this->ClockMs() } });
  }
  if (run <= this->highestEndedRun[task]) {
    return this->Conflict("old");
  }
  if (this->ClockMs() > this->leaseMs) {
    return this->Conflict("late");
  }
  const std::string spec(body.at("spec").as_string());
  unsigned milliseconds = 0;
  std::from_chars(spec.data(), spec.data() + spec.size(), milliseconds);
  this->running[task] = {
    run, Clock::now() + std::chrono::milliseconds(milliseconds)
  };
  this->history.push_back({ Clock::now(), task, run, RunEvent::Start });
  return MakeResponse(200, { { "clock-ms", this->ClockMs() } });
}

HttpResponse
PlatformWorker::Stop(std::string_view aBody)
{
  const auto body =
    json::parse(json::string_view(aBody.data(), aBody.size())).as_object();
  const std::string task(body.at("task").as_string());
  const std::uint64_t run = NumberOf(body, "run-id");
  const auto found = this->running.find(task);
  if (found != this->running.end() && found->second.run == run) {
    this->RecordEnd(task, run, "stopped", Clock::now());
    this->running.erase(found);
  }
  auto& highestRun = this->highestEndedRun[task];
  highestRun = std::max(highestRun, run);
  return MakeResponse(200, { { "clock-ms", this->ClockMs() } });
}

HttpResponse
PlatformWorker::Hold()
{
  json::array runs;
  for (const auto& [task, run] : this->running) {
    runs.push_back(json::array{ task, run.run, "", 0 });
  }
  json::array ends;
  for (const auto& end : this->ended) {
    ends.push_back(
      json::array{ end.number, end.task, end.run, end.outcome, "" });
  }
  return MakeResponse(200,
                      { { "clock-ms", this->ClockMs() },
                        { "born", this->bornMs },
                        { "running", std::move(runs) },
                        { "ended", std::move(ends) } });
}

void
PlatformWorker::DropStartReplies(bool aIsDropping)
{
  std::lock_guard lock(this->mutex);
  this->dropsStartReplies = aIsDropping;
}

std::vector<std::string>
PlatformWorker::Starts() const
{
  std::vector<std::string> starts;
  for (const auto& entry : this->History()) {
    if (entry.runEvent == RunEvent::Start) {
      starts.push_back(entry.task + "#" + std::to_string(entry.run));
    }
  }
  return starts;
}

std::vector<PlatformWorker::HistoryEntry>
PlatformWorker::History() const
{
  std::lock_guard lock(this->mutex);
  return this->history;
}

void
PlatformWorker::Crash()
{
  std::lock_guard lock(this->mutex);
  this->Update();
  for (const auto& [task, run] : this->running) {
    this->history.push_back(
      { Clock::now(), task, run.run, RunEvent::OtherEnd });
  }
  this->running.clear();
  this->ended.clear();
  this->highestEndedRun.clear();
  this->token = 0;
  this->leaseMs = 0;
  this->lastEnd = 0;
  this->sequence = 0;
  this->born = Clock::now();
  this->bornMs = UnixMs();
}

std::size_t
PlatformWorker::Running() const
{
  std::lock_guard lock(this->mutex);
  return this->running.size();
}

std::size_t
PlatformWorker::UnacknowledgedEnds() const
{
  std::lock_guard lock(this->mutex);
  return this->ended.size();
}

} // namespace amaranthwind::standins
