#include "Executor.h"

#include "Record.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cstdlib>

namespace review {

namespace json = boost::json;
using frontend::HttpRequest;
using frontend::HttpResponder;
using frontend::HttpResponse;

namespace {

constexpr auto kReportInterval = 1500ms;
constexpr auto kTickInterval = 10ms;
/** max-hold-ms */
constexpr std::int64_t kMaxHoldMs = 6000;

std::int64_t
UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

std::uint64_t
NumberOf(const json::object& aObject, const char* aName)
{
  const auto* value = aObject.if_contains(aName);
  return value == nullptr ? 0 : value->to_number<std::uint64_t>();
}

} // namespace

Executor::Executor(amaranthwind::net::IoPool& aPool,
                   Record& aRecord,
                   std::string aId,
                   std::string aRack,
                   const std::string& aControlAddress)
  : pool(aPool)
  , record(aRecord)
  , id(std::move(aId))
  , rack(std::move(aRack))
  , control(aPool, { .address = aControlAddress })
  , bornMs(UnixMs())
  , born(Clock::now())
{
}

void
Executor::Register()
{
  this->ReportPeriodically();
  this->Tick();
}

void
Executor::Shutdown()
{
  const std::lock_guard lock(this->mutex);
  this->isShutDown = true;
}

std::int64_t
Executor::ClockMs() const
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               this->born)
    .count();
}

void
Executor::ReportPeriodically()
{
  this->SendReport();
  this->pool.RunAfter(kReportInterval, [this] { this->ReportPeriodically(); });
}

void
Executor::SendReport()
{
  HttpRequest request;
  {
    const std::lock_guard lock(this->mutex);
    if (this->isShutDown || !this->hasPower) {
      return;
    }
    request.method = "POST";
    request.path = "/api/Instances.Heartbeat/" + this->id;
    request.headers = { { "Content-Type", "application/json" } };
    request.body = json::serialize(json::object{
      { "service", "planner" },
      { "address", "127.0.0.1:1" },
      { "zone", "z" },
      { "version", "v1" },
      { "slots", 8 },
      { "state", "ready" },
      { "cold-ms", 0 },
      { "capacity", { { "cpu", 64000 }, { "mem-mb", 262144 }, { "gpu", 8 } } },
      { "labels", { "a", this->rack } },
      { "clock-ms", this->ClockMs() },
      { "born", this->bornMs },
      { "sequence", ++this->sequence } });
  }
  this->control.Send(std::move(request), 1s, [](const auto&) {});
}

void
Executor::Tick()
{
  {
    const std::lock_guard lock(this->mutex);
    if (this->isShutDown) {
      return;
    }
    if (this->hasPower) {
      this->Update();
    }
  }
  this->pool.RunAfter(kTickInterval, [this] { this->Tick(); });
}

void
Executor::Update()
{
  const auto now = Clock::now();
  const bool hasLapsed = this->ClockMs() > this->leaseMs;
  std::vector<std::pair<Key, std::string>> due;
  for (const auto& [run, state] : this->active) {
    if (hasLapsed) {
      due.emplace_back(run, "lapsed");
    } else if (state.endsAt <= now) {
      due.emplace_back(run, state.fails ? "failed" : "done");
    }
  }
  for (const auto& [run, how] : due) {
    this->EndRun(run, how, true);
  }
  std::erase_if(this->holds, [&](const WaitingHold& aHold) {
    if (this->ended.empty() && now < aHold.until) {
      return false;
    }
    aHold.respond(this->Lists());
    return true;
  });
}

void
Executor::EndRun(const Key& aRun, const std::string& aHow, bool aIsListed)
{
  const auto found = this->active.find(aRun);
  Run& entry = this->history[found->second.entry];
  entry.until = Clock::now();
  entry.how = aHow;
  this->active.erase(found);
  if (aIsListed) {
    this->ended.push_back({ ++this->lastEnd, aRun, aHow });
    auto& highest = this->highestEnded[aRun.first];
    highest = std::max(highest, aRun.second);
  }
  this->record.Line(this->id + ": run " + aRun.first + "#" +
                    std::to_string(aRun.second) + " ends: " + aHow);
}

void
Executor::SetFilter(Filter aFilter)
{
  const std::lock_guard lock(this->mutex);
  this->filter = std::move(aFilter);
}

void
Executor::Handle(HttpRequest aRequest, HttpResponder aRespond)
{
  Filter current;
  {
    const std::lock_guard lock(this->mutex);
    if (!this->hasPower) {
      this->silent.push_back(std::move(aRespond));
      return;
    }
    current = this->filter;
  }
  if (!current || !current(aRequest, aRespond)) {
    this->Carry(aRequest, aRespond);
  }
}

void
Executor::Carry(const HttpRequest& aRequest, const HttpResponder& aRespond)
{
  const std::lock_guard lock(this->mutex);
  if (this->hasPower && !this->isShutDown) {
    this->Update();
    this->Execute(aRequest, aRespond);
  }
}

HttpResponse
Executor::Reply(std::uint16_t aStatus, std::string_view aReason) const
{
  json::object body{ { "clock-ms", this->ClockMs() } };
  if (!aReason.empty()) {
    body["reason"] = json::string(aReason.data(), aReason.size());
  }
  return { aStatus, "application/json", {}, json::serialize(body) };
}

void
Executor::Execute(const HttpRequest& aRequest, const HttpResponder& aRespond)
{
  if (aRequest.Header("Target-Instance") != this->id) {
    aRespond(this->Reply(421));
    return;
  }
  const auto body = json::parse(aRequest.body).as_object();
  if (NumberOf(body, "fencing-token") < this->epoch) {
    aRespond(this->Reply(409, "fence"));
    return;
  }
  this->epoch = NumberOf(body, "fencing-token");
  if (body.contains("deadline-ms")) {
    this->leaseMs = std::max(
      this->leaseMs,
      std::min(static_cast<std::int64_t>(NumberOf(body, "deadline-ms")),
               this->ClockMs() + kMaxHoldMs));
  }
  if (aRequest.path == "/api/run-start") {
    aRespond(this->Start(aRequest.body));
    return;
  }
  if (aRequest.path == "/api/run-stop") {
    const Key run{ std::string(body.at("task").as_string()),
                   NumberOf(body, "run-id") };
    this->record.Line(this->id + ": stop " + run.first + "#" +
                      std::to_string(run.second));
    auto& highest = this->highestEnded[run.first];
    highest = std::max(highest, run.second);
    if (this->active.contains(run)) {
      this->EndRun(run, "stopped", true);
    }
    aRespond(this->Reply(200));
    return;
  }
  std::erase_if(this->ended, [&](const End& aEnd) {
    return aEnd.number <= NumberOf(body, "last-seen");
  });
  const std::chrono::milliseconds wait(NumberOf(body, "wait-ms"));
  if (wait == 0ms || !this->ended.empty()) {
    aRespond(this->Lists());
  } else {
    this->holds.push_back({ aRespond, Clock::now() + wait });
  }
}

HttpResponse
Executor::Start(std::string_view aBody)
{
  const auto body =
    json::parse(json::string_view(aBody.data(), aBody.size())).as_object();
  const Key run{ std::string(body.at("task").as_string()),
                 NumberOf(body, "run-id") };
  if (this->active.contains(run)) {
    return this->Reply(200);
  }
  if (run.second <= this->highestEnded[run.first]) {
    return this->Reply(409, "old");
  }
  if (this->ClockMs() > this->leaseMs) {
    return this->Reply(409, "late");
  }
  const std::string spec(body.at("spec").as_string());
  const auto space = spec.find(' ');
  const std::string what = spec.substr(0, space);
  const auto now = Clock::now();
  const auto endsAt =
    space == std::string::npos
      ? Clock::time_point::max()
      : now + std::chrono::milliseconds(std::atoi(spec.c_str() + space));
  this->active[run] = { this->history.size(), endsAt, what == "fail" };
  this->history.push_back(
    { run.first, run.second, this->id, now, now, std::string() });
  this->record.Line(this->id + ": run " + run.first + "#" +
                    std::to_string(run.second) + " begins: " + spec);
  return this->Reply(200);
}

HttpResponse
Executor::Lists()
{
  json::array running;
  for (const auto& [run, state] : this->active) {
    running.push_back(json::array{ run.first, run.second, "", 100, 0 });
  }
  json::array ends;
  for (const auto& end : this->ended) {
    ends.push_back(
      json::array{ end.number, end.run.first, end.run.second, end.how, "" });
  }
  return { 200,
           "application/json",
           {},
           json::serialize(json::object{ { "clock-ms", this->ClockMs() },
                                         { "born", this->bornMs },
                                         { "running", std::move(running) },
                                         { "ended", std::move(ends) } }) };
}

void
Executor::Restart()
{
  {
    const std::lock_guard lock(this->mutex);
    while (!this->active.empty()) {
      this->EndRun(
        Key(this->active.begin()->first), "the executor restarts", false);
    }
    this->ended.clear();
    this->highestEnded.clear();
    for (auto& hold : this->holds) {
      this->silent.push_back(std::move(hold.respond));
    }
    this->holds.clear();
    this->sequence = 0;
    this->epoch = 0;
    this->leaseMs = 0;
    this->lastEnd = 0;
    this->born = Clock::now();
    this->bornMs = UnixMs();
    this->record.Line(this->id + ": the executor starts again, born " +
                      std::to_string(this->bornMs));
  }
  this->SendReport();
}

void
Executor::PowerOff()
{
  const std::lock_guard lock(this->mutex);
  while (!this->active.empty()) {
    this->EndRun(Key(this->active.begin()->first), "no power", false);
  }
  this->hasPower = false;
  for (auto& hold : this->holds) {
    this->silent.push_back(std::move(hold.respond));
  }
  this->holds.clear();
}

void
Executor::Fail(const std::string& aJob)
{
  const std::lock_guard lock(this->mutex);
  std::vector<Key> failed;
  for (const auto& [run, state] : this->active) {
    if (run.first.starts_with(aJob)) {
      failed.push_back(run);
    }
  }
  for (const auto& run : failed) {
    this->EndRun(run, "failed", true);
  }
}

std::size_t
Executor::Running(const std::string& aJob)
{
  const std::lock_guard lock(this->mutex);
  return static_cast<std::size_t>(std::count_if(
    this->active.begin(), this->active.end(), [&](const auto& aRun) {
      return aRun.first.first.starts_with(aJob);
    }));
}

std::vector<Run>
Executor::Runs()
{
  const std::lock_guard lock(this->mutex);
  auto runs = this->history;
  for (auto& run : runs) {
    run.until = run.how.empty() ? Clock::now() : run.until;
  }
  return runs;
}

} // namespace review
