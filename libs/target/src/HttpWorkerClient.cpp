#include "amaranthwind/target/HttpWorkerClient.h"

#include <boost/json.hpp>

#include <optional>
#include <utility>

namespace amaranthwind::target {

namespace json = boost::json;
using base::ErrorCode;
using base::Fail;
using base::Result;
using namespace std::chrono_literals;

namespace {

constexpr base::Duration kTimeout = 2s;
constexpr std::uint16_t kFirstErrorStatus = 300;

Result<frontend::HttpResponse>
CheckStatus(frontend::HttpResult aResult)
{
  if (aResult.response.has_error()) {
    return base::failure(aResult.response.error());
  }
  const std::uint16_t status = aResult.response.value().status;
  if (status >= kFirstErrorStatus) {
    return Fail(ErrorCode::TargetFailed,
                "worker status " + std::to_string(status));
  }
  return std::move(aResult.response.value());
}

std::optional<TaskState>
ToState(std::string_view aText)
{
  if (aText == "running") {
    return TaskState::Running;
  }
  if (aText == "succeeded") {
    return TaskState::Succeeded;
  }
  if (aText == "failed") {
    return TaskState::Failed;
  }
  if (aText == "stopped") {
    return TaskState::Stopped;
  }
  if (aText == "expired") {
    return TaskState::Expired;
  }
  return std::nullopt;
}

Result<std::string_view>
StringField(const json::object& aObject, std::string_view aField)
{
  const auto* value = aObject.if_contains(aField);
  if (value == nullptr || !value->is_string()) {
    return Fail(ErrorCode::Malformed, "worker: " + std::string(aField));
  }
  const auto& text = value->get_string();
  return std::string_view(text.data(), text.size());
}

Result<WorkerTask>
ReadTask(const json::value& aValue)
{
  if (!aValue.is_object()) {
    return Fail(ErrorCode::Malformed, "worker: task list");
  }
  const auto& object = aValue.get_object();
  BOOST_OUTCOME_TRY(const auto id, StringField(object, "task"));
  BOOST_OUTCOME_TRY(const auto stateText, StringField(object, "state"));
  const auto state = ToState(stateText);
  const auto* accelerators = object.if_contains("accelerators");
  const auto* leaseLeft = object.if_contains("leaseLeftMs");
  if (!state || accelerators == nullptr || !accelerators->is_int64() ||
      leaseLeft == nullptr || !leaseLeft->is_int64()) {
    return Fail(ErrorCode::Malformed, "worker: task " + std::string(id));
  }
  BOOST_OUTCOME_TRY(const auto label, StringField(object, "label"));
  return WorkerTask{ std::string(id),
                     *state,
                     static_cast<std::uint32_t>(accelerators->get_int64()),
                     std::string(label),
                     std::chrono::milliseconds(leaseLeft->get_int64()) };
}

Result<std::vector<WorkerTask>>
ReadTasks(frontend::HttpResult aResult)
{
  BOOST_OUTCOME_TRY(const auto response, CheckStatus(std::move(aResult)));
  boost::system::error_code error;
  const auto value = json::parse(response.body, error);
  if (error || !value.is_array()) {
    return Fail(ErrorCode::Malformed, "worker: task list");
  }
  std::vector<WorkerTask> tasks;
  tasks.reserve(value.get_array().size());
  for (const auto& item : value.get_array()) {
    BOOST_OUTCOME_TRY(auto task, ReadTask(item));
    tasks.push_back(std::move(task));
  }
  return tasks;
}

} // namespace

HttpWorkerClient::HttpWorkerClient(net::IoPool& aPool,
                                   const frontend::HttpClientOptions& aOptions)
  : client(aPool, aOptions)
{
}

void
HttpWorkerClient::Start(const TaskSpec& aTask, TaskHandler aHandler)
{
  const json::object body{ { "task", aTask.id },
                           { "accelerators", aTask.accelerators },
                           { "leaseMs", aTask.lease.count() },
                           { "payload", aTask.payload },
                           { "label", aTask.label } };
  this->Post("/tasks", json::serialize(body), std::move(aHandler));
}

void
HttpWorkerClient::Renew(std::string_view aId,
                        std::chrono::milliseconds aLease,
                        TaskHandler aHandler)
{
  const json::object body{ { "leaseMs", aLease.count() } };
  this->Post("/tasks/" + std::string(aId) + "/renew",
             json::serialize(body),
             std::move(aHandler));
}

void
HttpWorkerClient::Stop(std::string_view aId,
                       bool aWithCheckpoint,
                       TaskHandler aHandler)
{
  const json::object body{ { "checkpoint", aWithCheckpoint } };
  this->Post("/tasks/" + std::string(aId) + "/stop",
             json::serialize(body),
             std::move(aHandler));
}

void
HttpWorkerClient::List(TaskListHandler aHandler)
{
  frontend::HttpRequest request;
  request.path = "/tasks";
  this->client.Send(
    std::move(request),
    kTimeout,
    [handler = std::move(aHandler)](frontend::HttpResult aResult) {
      handler(ReadTasks(std::move(aResult)));
    });
}

void
HttpWorkerClient::Post(std::string aPath,
                       std::string aBody,
                       TaskHandler aHandler)
{
  frontend::HttpRequest request;
  request.method = "POST";
  request.path = std::move(aPath);
  request.body = std::move(aBody);
  this->client.Send(
    std::move(request),
    kTimeout,
    [handler = std::move(aHandler)](frontend::HttpResult aResult) {
      auto response = CheckStatus(std::move(aResult));
      if (response.has_error()) {
        handler(base::failure(response.error()));
      } else {
        handler(base::success());
      }
    });
}

} // namespace amaranthwind::target
