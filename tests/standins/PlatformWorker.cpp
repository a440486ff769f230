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
/** A lease is never longer than this. */
constexpr std::int64_t kMaxLeaseMs = 6000;
/** When a delayed request takes effect. */
constexpr unsigned kMinRequestDelayMs = 2000;
constexpr unsigned kMaxRequestDelayMs = 12000;
constexpr unsigned kPercent = 100;
/** How long a member of a gang waits for the others. */
constexpr auto kGangTimeout = 4s;
/** Stands before the size of the gang in the specification of a task. */
constexpr std::string_view kGangMark = "gang=";
constexpr std::string_view kStartPath = "/api/run-start";
constexpr std::string_view kStopPath = "/api/run-stop";
constexpr std::uint16_t kMisdirected = 421;

std::int64_t
UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

/** Whether two tasks, each with its run, belong to one run of a gang. */
bool
IsSameGang(const std::pair<std::string, std::uint64_t>& aLeft,
           const std::pair<std::string, std::uint64_t>& aRight)
{
  const auto step = [](const std::string& aTask) {
    return std::string_view(aTask).substr(0, aTask.rfind('.'));
  };
  return aLeft.second == aRight.second &&
         step(aLeft.first) == step(aRight.first);
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
                               std::shared_ptr<WorkerGroup> aGroup,
                               std::string aId,
                               std::string aRack,
                               const std::string& aControlAddress)
  : pool(aPool)
  , name(std::move(aId))
  , rack(std::move(aRack))
  , control(aPool, { .address = aControlAddress })
  , group(std::move(aGroup))
  , mutex(this->group->mutex)
  , id(this->name)
  , bornMs(UnixMs())
  , random(std::hash<std::string>{}(this->name))
{
  std::lock_guard lock(this->mutex);
  this->group->workers.push_back(this);
}

PlatformWorker::~PlatformWorker()
{
  std::lock_guard lock(this->mutex);
  this->isStopped = true;
  std::erase(this->group->workers, this);
}

std::int64_t
PlatformWorker::ClockMs() const
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               this->born)
    .count();
}

void
PlatformWorker::SetZone(std::string aZone)
{
  std::lock_guard lock(this->mutex);
  this->zone = std::move(aZone);
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
  bool mustSend = false;
  {
    std::lock_guard lock(this->mutex);
    if (this->isStopped) {
      return;
    }
    mustSend = this->hasPower && !this->hasDeregistered;
    request.method = "POST";
    request.path = "/api/Instances.Heartbeat/" + this->id;
    request.body = json::serialize(json::object{
      { "service", "planner" },
      { "zone", this->zone },
      { "state", this->isDraining ? "draining" : "ready" },
      { "sequence", ++this->sequence },
      { "born", this->bornMs },
      { "labels", { "a", this->rack } },
      { "capacity", { { "cpu", 64000 }, { "mem-mb", 262144 }, { "gpu", 8 } } },
    });
  }
  if (mustSend) {
    this->control.Send(std::move(request), 1s, [](const auto&) {});
  }
  this->pool.RunAfter(kHeartbeatInterval, [this] { this->SendHeartbeat(); });
}

void
PlatformWorker::SendDeregistration(std::uint64_t aIncarnation, bool aIgnoresAck)
{
  HttpRequest request;
  request.method = "POST";
  request.path = "/api/Instances.Deregister/" + this->id;
  request.body = "{}";
  // Posted, because the caller holds the mutex.
  this->pool.Post([this, aIncarnation, aIgnoresAck, request] {
    this->control.Send(
      request,
      1s,
      [this, aIncarnation, aIgnoresAck](const frontend::HttpResult& aResult) {
        std::lock_guard lock(this->mutex);
        if (!aIgnoresAck && aResult.response.has_value() &&
            this->incarnation == aIncarnation) {
          this->EndIncarnation("left");
        }
      });
  });
}

void
PlatformWorker::RunInIncarnation(std::chrono::milliseconds aDelay,
                                 std::function<void()> aAction)
{
  this->pool.RunAfter(
    aDelay, [this, number = this->incarnation, action = std::move(aAction)] {
      std::lock_guard lock(this->mutex);
      if (!this->isStopped && this->incarnation == number) {
        action();
      }
    });
}

void
PlatformWorker::LogEvent(const std::string& aEvent)
{
  this->eventLog.push_back(std::to_string(UnixMs()) + " " + this->id + " " +
                           aEvent);
}

void
PlatformWorker::RecordEnd(const std::string& aTask,
                          std::uint64_t aRun,
                          const char* aOutcome,
                          Clock::time_point aAt)
{
  const bool isDone = std::string_view(aOutcome) == "done";
  this->history.push_back({ aAt,
                            aTask,
                            aRun,
                            isDone ? RunEvent::Done : RunEvent::OtherEnd,
                            ++this->lastEndId });
  this->ended.push_back({ .number = ++this->lastEnd,
                          .task = aTask,
                          .run = aRun,
                          .outcome = aOutcome,
                          .id = this->lastEndId });
  this->LogEvent("end " + std::to_string(this->lastEnd) + " " + aTask + "#" +
                 std::to_string(aRun) + " " + aOutcome);
  auto& highestRun = this->highestEndedRun[aTask];
  highestRun = std::max(highestRun, aRun);
}

PlatformWorker::Clock::time_point
PlatformWorker::LeaseEnd() const
{
  return this->born + std::chrono::milliseconds(this->leaseMs);
}

PlatformWorker::DueEnd
PlatformWorker::DueEndOf(const Run& aRun) const
{
  DueEnd due;
  if (aRun.gangSize <= 1) {
    due = { aRun.startedAt + aRun.duration, "done" };
  } else if (aRun.gangStart) {
    due = { *aRun.gangStart + aRun.duration, "done" };
  } else {
    due = { aRun.startedAt + kGangTimeout, "alone" };
  }
  const auto leaseEnd = this->LeaseEnd();
  return leaseEnd < due.at ? DueEnd{ leaseEnd, "lapsed" } : due;
}

void
PlatformWorker::Update()
{
  const auto now = Clock::now();
  while (true) {
    PlatformWorker* worker = nullptr;
    TaskRun run;
    DueEnd due{ now, nullptr };
    for (PlatformWorker* each : this->group->workers) {
      for (const auto& [taskRun, state] : each->running) {
        const DueEnd candidate = each->DueEndOf(state);
        if (candidate.at <= due.at) {
          worker = each;
          run = taskRun;
          due = candidate;
        }
      }
    }
    if (worker == nullptr) {
      break;
    }
    worker->EndRun(run, due.outcome, due.at);
  }
  for (PlatformWorker* worker : this->group->workers) {
    if (worker->LeaseEnd() <= now) {
      // Also those that ended since the last call, but before the lease did.
      for (auto& end : worker->ended) {
        end.hasLeaseExpired = true;
      }
    }
  }
}

void
PlatformWorker::EndRun(const TaskRun& aRun,
                       const char* aOutcome,
                       Clock::time_point aAt)
{
  const bool mustBreakGang =
    this->running.at(aRun).gangSize > 1 && std::string_view(aOutcome) != "done";
  this->RecordEnd(aRun.first, aRun.second, aOutcome, aAt);
  this->running.erase(aRun);
  if (mustBreakGang) {
    this->BreakGang(aRun, aAt);
  }
}

void
PlatformWorker::BreakGang(const TaskRun& aRun, Clock::time_point aAt)
{
  for (PlatformWorker* worker : this->group->workers) {
    std::erase_if(worker->running, [&](const auto& aMember) {
      const bool isMember = IsSameGang(aMember.first, aRun);
      if (isMember) {
        const auto& [task, run] = aMember.first;
        worker->RecordEnd(task, run, "broken", aAt);
      }
      return isMember;
    });
  }
}

void
PlatformWorker::JoinGang(const TaskRun& aRun, std::size_t aSize)
{
  std::vector<Run*> members;
  for (PlatformWorker* worker : this->group->workers) {
    for (auto& [taskRun, state] : worker->running) {
      if (IsSameGang(taskRun, aRun)) {
        members.push_back(&state);
      }
    }
  }
  if (members.size() == aSize) {
    for (Run* member : members) {
      member->gangStart = Clock::now();
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
  if (!this->hasPower || this->DelayRequest(aRequest, aRespond)) {
    return;
  }
  this->Execute(aRequest, aRespond);
}

bool
PlatformWorker::DelayRequest(const HttpRequest& aRequest,
                             const HttpResponder& aRespond)
{
  const unsigned share = aRequest.path == kStartPath  ? this->lateShares.starts
                         : aRequest.path == kStopPath ? this->lateShares.stops
                                                      : this->lateShares.holds;
  if (this->random() % kPercent >= share) {
    return false;
  }
  const std::chrono::milliseconds delay(
    kMinRequestDelayMs +
    this->random() % (kMaxRequestDelayMs - kMinRequestDelayMs));
  ++this->delayedRequests;
  this->LogEvent("delays by " + std::to_string(delay.count()) + " ms " +
                 aRequest.path + " " + aRequest.body);
  // The connection closes once nobody can respond: now, or when the request
  // takes effect, which is after the sender has given up.
  const bool closesConnection = this->random() % 2 == 0;
  const HttpResponder unused = closesConnection ? HttpResponder() : aRespond;
  this->pool.RunAfter(delay, [this, aRequest, unused] {
    std::lock_guard lock(this->mutex);
    --this->delayedRequests;
    if (this->hasPower && !this->isStopped) {
      this->LogEvent("carries out late " + aRequest.path + " " + aRequest.body);
      this->Execute(aRequest, [this](const HttpResponse& aResponse) {
        this->LogEvent("unsent response " + std::to_string(aResponse.status) +
                       " " + aResponse.body);
      });
    }
  });
  return true;
}

void
PlatformWorker::Execute(const HttpRequest& aRequest,
                        const HttpResponder& aRespond)
{
  const std::string_view target = aRequest.Header("Target-Instance");
  if (!target.empty() && target != this->id) {
    aRespond(MakeResponse(kMisdirected, { { "clock-ms", this->ClockMs() } }));
    return;
  }
  this->Update();
  const auto body = json::parse(aRequest.body).as_object();
  const std::uint64_t requestToken = NumberOf(body, "fencing-token");
  if (requestToken < this->token) {
    aRespond(this->Conflict("fence"));
    return;
  }
  this->token = requestToken;
  if (body.contains("deadline-ms")) {
    const auto deadline =
      static_cast<std::int64_t>(NumberOf(body, "deadline-ms"));
    this->leaseMs = std::max(this->leaseMs,
                             std::min(deadline, this->ClockMs() + kMaxLeaseMs));
  }
  if (aRequest.path == kStartPath) {
    auto response = this->Start(aRequest.body);
    if (!this->dropsStartReplies) {
      aRespond(std::move(response));
    }
  } else if (aRequest.path == kStopPath) {
    aRespond(this->Stop(aRequest.body));
  } else {
    this->AcknowledgeEnds(NumberOf(body, "last-seen"));
    const bool mustWait = NumberOf(body, "wait-ms") > 0 && this->ended.empty();
    if (!mustWait) {
      aRespond(this->Hold());
      return;
    }
    // Replies after one poll interval instead of waiting for a task to end; the
    // agent then sends the next request.
    this->RunInIncarnation(kPollInterval, [this, aRespond] {
      this->Update();
      aRespond(this->Hold());
    });
  }
}

void
PlatformWorker::AcknowledgeEnds(std::uint64_t aLastSeen)
{
  std::erase_if(this->ended, [&](const EndRecord& aEnd) {
    const bool isAcknowledged = aEnd.number <= aLastSeen;
    if (isAcknowledged) {
      this->LogEvent("last-seen " + std::to_string(aLastSeen) + " forgets " +
                     std::to_string(aEnd.number) + " " + aEnd.task + "#" +
                     std::to_string(aEnd.run) + " " + aEnd.outcome +
                     (aEnd.hasLeaseExpired ? ", lease expired" : "") +
                     (aEnd.wasListed ? "" : ", never listed"));
    }
    // Once the lease has expired, the task may already run on another worker.
    if (isAcknowledged && aEnd.outcome == "done" && !aEnd.hasLeaseExpired) {
      this->history.push_back({ Clock::now(),
                                aEnd.task,
                                aEnd.run,
                                RunEvent::DoneAcknowledged,
                                aEnd.id });
    }
    return isAcknowledged;
  });
}

void
PlatformWorker::CountListedEnd(std::uint64_t aId)
{
  this->Update();
  for (const auto& end : this->ended) {
    if (end.id == aId && !end.hasLeaseExpired) {
      this->LogEvent("listed in time " + end.task + "#" +
                     std::to_string(end.run));
      this->history.push_back(
        { Clock::now(), end.task, end.run, RunEvent::DoneListed, end.id });
    }
  }
}

void
PlatformWorker::CountListedEnds()
{
  std::lock_guard lock(this->mutex);
  this->countsListedEnds = true;
}

HttpResponse
PlatformWorker::Start(std::string_view aBody)
{
  const auto body =
    json::parse(json::string_view(aBody.data(), aBody.size())).as_object();
  const std::string task(body.at("task").as_string());
  const std::uint64_t run = NumberOf(body, "run-id");
  if (this->running.contains({ task, run })) {
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
  std::size_t gangSize = 1;
  const auto gang = spec.find(kGangMark);
  if (gang != std::string::npos) {
    std::from_chars(spec.data() + gang + kGangMark.size(),
                    spec.data() + spec.size(),
                    gangSize);
  }
  this->running[{ task, run }] = { .startedAt = Clock::now(),
                                   .duration =
                                     std::chrono::milliseconds(milliseconds),
                                   .gangSize = gangSize,
                                   .gangStart = {} };
  if (gangSize > 1) {
    this->JoinGang({ task, run }, gangSize);
  }
  this->history.push_back({ Clock::now(), task, run, RunEvent::Start });
  this->LogEvent("start " + task + "#" + std::to_string(run));
  ++this->acceptedStarts;
  return MakeResponse(200, { { "clock-ms", this->ClockMs() } });
}

HttpResponse
PlatformWorker::Stop(std::string_view aBody)
{
  const auto body =
    json::parse(json::string_view(aBody.data(), aBody.size())).as_object();
  const std::string task(body.at("task").as_string());
  const std::uint64_t run = NumberOf(body, "run-id");
  const auto found = this->running.find({ task, run });
  this->LogEvent("stop " + task + "#" + std::to_string(run) +
                 (found == this->running.end() ? " (absent)" : ""));
  if (found != this->running.end()) {
    this->EndRun({ task, run }, "stopped", Clock::now());
  }
  auto& highestRun = this->highestEndedRun[task];
  highestRun = std::max(highestRun, run);
  return MakeResponse(200, { { "clock-ms", this->ClockMs() } });
}

HttpResponse
PlatformWorker::Hold()
{
  json::array runs;
  for (const auto& [taskRun, state] : this->running) {
    runs.push_back(json::array{ taskRun.first, taskRun.second, "", 0 });
  }
  json::array ends;
  for (auto& end : this->ended) {
    if (!std::exchange(end.wasListed, true)) {
      ++this->listedEnds;
      if (this->countsListedEnds && end.outcome == "done") {
        this->RunInIncarnation(
          kListedTime, [this, id = end.id] { this->CountListedEnd(id); });
      }
    }
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

std::vector<std::string>
PlatformWorker::EventLog() const
{
  std::lock_guard lock(this->mutex);
  return this->eventLog;
}

void
PlatformWorker::DelayRequests(const LateShares& aShares)
{
  std::lock_guard lock(this->mutex);
  this->lateShares = aShares;
}

std::size_t
PlatformWorker::DelayedRequests() const
{
  std::lock_guard lock(this->mutex);
  return this->delayedRequests;
}

void
PlatformWorker::EndIncarnation(std::string_view aReason)
{
  if (!this->hasPower) {
    return;
  }
  this->Update();
  this->LogEvent("incarnation ends: " + std::string(aReason));
  for (const auto& [taskRun, state] : std::exchange(this->running, {})) {
    this->history.push_back(
      { Clock::now(), taskRun.first, taskRun.second, RunEvent::OtherEnd });
    if (state.gangSize > 1) {
      this->BreakGang(taskRun, Clock::now());
    }
  }
  this->ended.clear();
  this->highestEndedRun.clear();
  this->hasPower = false;
  ++this->incarnation;
}

void
PlatformWorker::BeginIncarnation()
{
  this->token = 0;
  this->leaseMs = 0;
  this->lastEnd = 0;
  this->sequence = 0;
  this->isDraining = false;
  this->hasDeregistered = false;
  this->hasPower = true;
  this->born = Clock::now();
  this->bornMs = UnixMs();
  this->LogEvent("incarnation begins: born " + std::to_string(this->bornMs));
}

void
PlatformWorker::Crash()
{
  std::lock_guard lock(this->mutex);
  if (this->hasPower) {
    this->EndIncarnation("crashed");
    this->BeginIncarnation();
  }
}

void
PlatformWorker::PowerOff()
{
  std::lock_guard lock(this->mutex);
  this->EndIncarnation("lost power");
}

void
PlatformWorker::PowerOn()
{
  std::lock_guard lock(this->mutex);
  if (!this->hasPower) {
    this->id = this->name + "-" + std::to_string(++this->powerCycles);
    this->BeginIncarnation();
  }
}

void
PlatformWorker::Leave(std::chrono::milliseconds aDrain,
                      std::chrono::milliseconds aRunOn,
                      bool aIgnoresAck)
{
  std::lock_guard lock(this->mutex);
  if (!this->hasPower || this->isDraining) {
    return;
  }
  this->isDraining = true;
  this->LogEvent("drains");
  this->RunInIncarnation(aDrain, [this, aIgnoresAck] {
    this->hasDeregistered = true;
    this->LogEvent("deregisters");
    this->SendDeregistration(this->incarnation, aIgnoresAck);
  });
  this->RunInIncarnation(aDrain + aRunOn,
                         [this] { this->EndIncarnation("ran on and left"); });
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
