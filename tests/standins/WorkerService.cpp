#include "standins/WorkerService.h"

#include <boost/json.hpp>

namespace amaranthwind::standins {

namespace json = boost::json;
using frontend::HttpRequest;
using frontend::HttpResponse;
using std::chrono::milliseconds;

namespace {

constexpr std::string_view kTasksPath = "/tasks";

HttpResponse
MakeResponse(std::uint16_t aStatus, const json::value& aBody)
{
  return { aStatus, "application/json", {}, json::serialize(aBody) };
}

HttpResponse
MakeResponse(std::uint16_t aStatus)
{
  return MakeResponse(aStatus, json::object{});
}

json::object
ParseObject(const std::string& aText)
{
  boost::system::error_code error;
  auto value = json::parse(aText, error);
  return !error && value.is_object() ? value.get_object() : json::object{};
}

std::int64_t
Number(const json::object& aObject, std::string_view aField)
{
  const auto* value = aObject.if_contains(aField);
  return value != nullptr && value->is_int64() ? value->get_int64() : 0;
}

} // namespace

WorkerService::WorkerService(std::uint32_t aAccelerators)
  : accelerators(aAccelerators)
{
}

void
WorkerService::Handle(HttpRequest aRequest, frontend::HttpResponder aRespond)
{
  HttpResponse response;
  {
    std::lock_guard lock(this->mutex);
    this->Update();
    response = this->Serve(aRequest);
  }
  aRespond(std::move(response));
}

HttpResponse
WorkerService::Serve(const HttpRequest& aRequest)
{
  if (aRequest.path == kTasksPath) {
    return aRequest.method == "POST" ? this->Start(aRequest.body)
                                     : this->List();
  }
  if (aRequest.path.starts_with(kTasksPath) && aRequest.method == "POST") {
    return this->ApplyAction(aRequest.path, aRequest.body);
  }
  return MakeResponse(404);
}

HttpResponse
WorkerService::Start(const std::string& aBody)
{
  const auto object = ParseObject(aBody);
  const auto* name = object.if_contains("task");
  const auto* payload = object.if_contains("payload");
  if (name == nullptr || !name->is_string() || payload == nullptr ||
      !payload->is_string()) {
    return MakeResponse(400);
  }
  const std::string id(name->get_string());
  if (this->tasks.contains(id)) {
    return MakeResponse(409);
  }
  Task task;
  task.accelerators =
    static_cast<std::uint32_t>(Number(object, "accelerators"));
  if (this->UsedAccelerators() + task.accelerators > this->accelerators) {
    return MakeResponse(409);
  }
  task.payload = payload->get_string();
  if (const auto* label = object.if_contains("label")) {
    task.label = label->as_string();
  }
  const auto parameters = ParseObject(task.payload);
  const auto* fails = parameters.if_contains("fail");
  task.fails = fails != nullptr && fails->is_bool() && fails->get_bool();
  task.end = Clock::now() + milliseconds(Number(parameters, "runMs"));
  task.leaseEnd = Clock::now() + milliseconds(Number(object, "leaseMs"));
  this->tasks.emplace(id, std::move(task));
  return MakeResponse(201);
}

HttpResponse
WorkerService::ApplyAction(const std::string& aPath, const std::string& aBody)
{
  const std::size_t slash = aPath.rfind('/');
  const std::string action = aPath.substr(slash + 1);
  const std::size_t start = kTasksPath.size() + 1;
  const std::string id =
    slash > start ? aPath.substr(start, slash - start) : std::string{};
  const auto found = this->tasks.find(id);
  if (found == this->tasks.end()) {
    return MakeResponse(404);
  }
  Task& task = found->second;
  if (task.state != "running") {
    return MakeResponse(409);
  }
  if (action == "renew") {
    task.leaseEnd =
      Clock::now() + milliseconds(Number(ParseObject(aBody), "leaseMs"));
  } else if (action == "stop") {
    task.state = "stopped";
  } else {
    return MakeResponse(404);
  }
  return MakeResponse(200);
}

HttpResponse
WorkerService::List() const
{
  json::array list;
  const auto now = Clock::now();
  for (const auto& [id, task] : this->tasks) {
    list.push_back(json::object{
      { "task", id },
      { "state", task.state },
      { "accelerators", task.accelerators },
      { "payload", task.payload },
      { "label", task.label },
      { "leaseLeftMs",
        std::chrono::duration_cast<milliseconds>(task.leaseEnd - now)
          .count() } });
  }
  return MakeResponse(200, list);
}

void
WorkerService::Update()
{
  const auto now = Clock::now();
  for (auto& [id, task] : this->tasks) {
    if (task.state != "running") {
      continue;
    }
    if (now >= task.end && task.end <= task.leaseEnd) {
      task.state = task.fails ? "failed" : "succeeded";
    } else if (now >= task.leaseEnd) {
      task.state = "expired";
    }
  }
}

std::uint32_t
WorkerService::UsedAccelerators() const
{
  std::uint32_t used = 0;
  for (const auto& [id, task] : this->tasks) {
    used += task.state == "running" ? task.accelerators : 0;
  }
  return used;
}

} // namespace amaranthwind::standins
