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
  PendingRequest pending{ std::move(aRequest), std::move(aRespond) };
  {
    std::lock_guard lock(this->mutex);
    if (this->busy >= this->slots) {
      this->queue.push_back(std::move(pending));
      return;
    }
    ++this->busy;
  }
  this->Start(std::move(pending));
}

void
ExecutorService::Start(PendingRequest aPending)
{
  {
    std::lock_guard lock(this->mutex);
    ++this->runs[aPending.request.body];
  }
  const auto time = this->ServiceTime(aPending.request.body);
  this->pool.RunAfter(
    time, [this, pending = std::move(aPending)] { this->Finish(pending); });
}

void
ExecutorService::Finish(const PendingRequest& aPending)
{
  const json::object body{
    { "executor", this->name },
    { "kind", aPending.request.path.substr(kRunPrefix.size()) },
    { "echo", aPending.request.body },
  };
  aPending.respond({ 200, "application/json", {}, json::serialize(body) });
  std::optional<PendingRequest> next;
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
  const auto* requested = value.get_object().if_contains("serviceMs");
  return requested == nullptr || !requested->is_int64()
           ? this->serviceTime
           : std::chrono::milliseconds(requested->get_int64());
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
