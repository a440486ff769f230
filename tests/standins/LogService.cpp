#include "standins/LogService.h"

#include <boost/json.hpp>

#include <charconv>

namespace amaranthwind::standins {

namespace json = boost::json;
using frontend::HttpRequest;
using frontend::HttpResponse;

namespace {

constexpr std::string_view kPrefix = "/streams/";
constexpr std::string_view kSuffix = "/records";

std::uint64_t
ToNumber(std::string_view aText, std::uint64_t aDefault)
{
  std::uint64_t number = aDefault;
  std::from_chars(aText.data(), aText.data() + aText.size(), number);
  return number;
}

HttpResponse
MakeResponse(std::uint16_t aStatus, const json::object& aBody = {})
{
  return { aStatus, "application/json", {}, json::serialize(aBody) };
}

} // namespace

LogService::LogService(net::IoPool& aPool)
  : pool(aPool)
{
}

void
LogService::Handle(HttpRequest aRequest, frontend::HttpResponder aRespond)
{
  HttpResponse response;
  std::chrono::milliseconds wait{ 0 };
  {
    std::lock_guard lock(this->mutex);
    const std::string_view path = aRequest.path;
    if (path == "/control") {
      response = this->Control(aRequest.body);
    } else if (path.starts_with(kPrefix) && path.ends_with(kSuffix)) {
      if (this->mode == Mode::Down) {
        response = MakeResponse(503);
      } else {
        response = this->Serve(
          aRequest,
          path.substr(kPrefix.size(),
                      path.size() - kPrefix.size() - kSuffix.size()));
        wait = this->delay;
        if (this->mode == Mode::DropReplies && aRequest.method == "POST") {
          return;
        }
      }
    } else {
      response = MakeResponse(404);
    }
  }
  if (wait.count() == 0) {
    aRespond(std::move(response));
    return;
  }
  this->pool.RunAfter(wait, [aRespond, response] { aRespond(response); });
}

HttpResponse
LogService::Control(const std::string& aBody)
{
  boost::system::error_code error;
  const auto value = json::parse(aBody, error);
  if (error || !value.is_object()) {
    return MakeResponse(400);
  }
  const auto& object = value.get_object();
  if (const auto* setting = object.if_contains("mode")) {
    const auto text = setting->as_string();
    this->mode = text == "down"           ? Mode::Down
                 : text == "lose-answers" ? Mode::DropReplies
                                          : Mode::Up;
  }
  if (const auto* setting = object.if_contains("delayMs")) {
    this->delay = std::chrono::milliseconds(setting->to_number<int>());
  }
  if (const auto* setting = object.if_contains("keepRecords")) {
    this->keepRecords = setting->to_number<std::size_t>();
  }
  return MakeResponse(200);
}

HttpResponse
LogService::Serve(HttpRequest& aRequest, std::string_view aStream)
{
  Stream& stream = this->streams[std::string(aStream)];
  if (aRequest.method == "POST") {
    return this->Append(stream, std::move(aRequest.body));
  }
  return this->Read(stream, aRequest);
}

HttpResponse
LogService::Append(Stream& aStream, std::string aBody)
{
  const std::uint64_t offset = aStream.first + aStream.records.size();
  aStream.records.push_back(std::move(aBody));
  while (aStream.records.size() > this->keepRecords) {
    aStream.records.pop_front();
    ++aStream.first;
  }
  return MakeResponse(201, { { "offset", offset } });
}

HttpResponse
LogService::Read(const Stream& aStream, const HttpRequest& aRequest) const
{
  constexpr std::uint64_t kDefaultMax = 100;
  const std::uint64_t from = ToNumber(aRequest.QueryValue("from"), 0);
  const std::uint64_t max = ToNumber(aRequest.QueryValue("max"), kDefaultMax);
  const std::uint64_t end = aStream.first + aStream.records.size();
  json::object body{ { "first", aStream.first }, { "end", end } };
  if (from < aStream.first) {
    return MakeResponse(410, body);
  }
  if (from > end) {
    return MakeResponse(416, body);
  }
  json::array records;
  for (std::uint64_t i = from; i < end && records.size() < max; ++i) {
    records.push_back(json::object{
      { "offset", i }, { "payload", aStream.records[i - aStream.first] } });
  }
  body["records"] = std::move(records);
  return MakeResponse(200, body);
}

} // namespace amaranthwind::standins
