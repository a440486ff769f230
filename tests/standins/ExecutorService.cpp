#include "standins/ExecutorService.h"

#include <boost/json.hpp>

#include <optional>

namespace amaranthwind::standins {

namespace json = boost::json;
using frontend::HttpRequest;
using frontend::HttpResponse;

namespace {

constexpr std::string_view kRunPrefix = "/run/";

} // namespace

ExecutorService::ExecutorService(net::IoPool& aPool,
                                 std::string aName,
                                 std::uint32_t aSlots,
                                 std::chrono::milliseconds aServiceTime)
  : pool(aPool)
  , name(std::move(aName))
  , slots(aSlots)
  , serviceTime(aServiceTime)
{
}

void
ExecutorService::Handle(HttpRequest aRequest, frontend::HttpResponder aRespond)
{
  if (aRequest.path == "/runs") {
    aRespond(this->Runs());
    return;
  }
  if (!aRequest.path.starts_with(kRunPrefix) || aRequest.method != "POST") {
    aRespond({ 404, "application/json", {}, "{}" });
    return;
  }
  Waiting waiting{ std::move(aRequest), std::move(aRespond) };
  {
    std::lock_guard lock(this->mutex);
    if (this->busy >= this->slots) {
      this->queue.push_back(std::move(waiting));
      return;
    }
    ++this->busy;
  }
  this->Start(std::move(waiting));
}

void
ExecutorService::Start(Waiting aWaiting)
{
  {
    std::lock_guard lock(this->mutex);
    ++this->runs[aWaiting.request.body];
  }
  const auto time = this->ServiceTime(aWaiting.request.body);
  this->pool.RunAfter(
    time, [this, waiting = std::move(aWaiting)] { this->Finish(waiting); });
}

void
ExecutorService::Finish(const Waiting& aWaiting)
{
  const json::object body{
    { "executor", this->name },
    { "kind", aWaiting.request.path.substr(kRunPrefix.size()) },
    { "echo", aWaiting.request.body },
  };
  aWaiting.respond({ 200, "application/json", {}, json::serialize(body) });
  std::optional<Waiting> next;
  {
    std::lock_guard lock(this->mutex);
    if (this->queue.empty()) {
      --this->busy;
    } else {
      next.emplace(std::move(this->queue.front()));
      this->queue.pop_front();
    }
  }
  if (next.has_value()) {
    this->Start(std::move(*next));
  }
}

std::chrono::milliseconds
ExecutorService::ServiceTime(const std::string& aBody) const
{
  boost::system::error_code error;
  const auto value = json::parse(aBody, error);
  if (error || !value.is_object()) {
    return this->serviceTime;
  }
  const auto* wanted = value.get_object().if_contains("serviceMs");
  return wanted == nullptr || !wanted->is_int64()
           ? this->serviceTime
           : std::chrono::milliseconds(wanted->get_int64());
}

HttpResponse
ExecutorService::Runs()
{
  json::object body;
  std::lock_guard lock(this->mutex);
  for (const auto& [request, count] : this->runs) {
    body[request] = count;
  }
  return { 200, "application/json", {}, json::serialize(body) };
}

} // namespace amaranthwind::standins
