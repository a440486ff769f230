#include "JobCommands.h"

#include "amaranthwind/codec/ErrorCodec.h"

#include <boost/json.hpp>

#include <chrono>
#include <iostream>
#include <thread>

namespace amaranthwind::ctl {

using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t kFirstErrorStatus = 300;
constexpr auto kFollowInterval = 200ms;

void
AddCaller(const Arguments& aArguments, frontend::HttpRequest& aRequest)
{
  aRequest.headers.push_back(
    { "X-Client-Account", Option(aArguments, "--account") });
  aRequest.headers.push_back({ "X-Caller", Option(aArguments, "--caller") });
}

/** Prints the body of a success, or the error of a failure. */
Exit
PrintResponse(const base::Result<frontend::HttpResponse>& aResponse)
{
  if (aResponse.has_error()) {
    return ReportError(aResponse.error());
  }
  const auto& response = aResponse.value();
  if (response.status < kFirstErrorStatus) {
    std::cout << response.body << "\n";
    return Exit::Done;
  }
  const auto reply = codec::DecodeErrorReply(response.body);
  if (reply.has_error()) {
    std::cerr << "amaranthwindctl: status " << response.status << "\n";
    return Exit::Failed;
  }
  if (reply.value().isNotRun) {
    std::cerr << "amaranthwindctl: not run\n";
  }
  ReportError(reply.value().error);
  return Exit::Failed;
}

std::string
JobPath(const Arguments& aArguments)
{
  return "/v1/jobs/" + Option(aArguments, "ID");
}

bool
HasEnded(const std::string& aBody)
{
  boost::system::error_code error;
  const auto value = boost::json::parse(aBody, error);
  if (error || !value.is_object()) {
    return true;
  }
  const auto* phase = value.get_object().if_contains("phase");
  return phase != nullptr && phase->is_string() &&
         phase->get_string() == "ended";
}

} // namespace

Exit
SendRequest(const Arguments& aArguments)
{
  frontend::HttpRequest request;
  request.method = "POST";
  request.path = "/v1/requests/" + Option(aArguments, "KIND");
  request.body = Option(aArguments, "BODY");
  AddCaller(aArguments, request);
  const auto key = Option(aArguments, "--key");
  if (!key.empty()) {
    request.headers.push_back({ "Idempotency-Key", key });
    request.headers.push_back(
      { "Retry-Attempt", Option(aArguments, "--attempt") });
  }
  EntryClient entry(Option(aArguments, "--entry"));
  return PrintResponse(entry.Send(std::move(request)));
}

Exit
SubmitJob(const Arguments& aArguments)
{
  auto text = ReadInput(Option(aArguments, "FILE"));
  if (text.has_error()) {
    return ReportError(text.error());
  }
  frontend::HttpRequest request;
  request.method = "POST";
  request.path = "/v1/jobs";
  request.body = std::move(text.value());
  AddCaller(aArguments, request);
  EntryClient entry(Option(aArguments, "--entry"));
  return PrintResponse(entry.Send(std::move(request)));
}

Exit
ShowJob(const Arguments& aArguments)
{
  EntryClient entry(Option(aArguments, "--entry"));
  while (true) {
    const auto response = entry.Get(JobPath(aArguments));
    const bool isOver = response.has_error() ||
                        response.value().status >= kFirstErrorStatus ||
                        HasEnded(response.value().body);
    if (isOver || !aArguments.at("--follow").asBool()) {
      return PrintResponse(response);
    }
    std::this_thread::sleep_for(kFollowInterval);
  }
}

Exit
CancelJob(const Arguments& aArguments)
{
  frontend::HttpRequest request;
  request.method = "DELETE";
  request.path = JobPath(aArguments);
  AddCaller(aArguments, request);
  EntryClient entry(Option(aArguments, "--entry"));
  return PrintResponse(entry.Send(std::move(request)));
}

Exit
ShowDump(const Arguments& aArguments)
{
  EntryClient process(Option(aArguments, "--admin"));
  return PrintResponse(process.Get("/dump"));
}

} // namespace amaranthwind::ctl
