#include "Tool.h"

#include <fstream>
#include <iostream>
#include <iterator>

namespace amaranthwind::ctl {

using base::ErrorCode;
using namespace std::chrono_literals;

namespace {

constexpr base::Duration kTimeout = 30s;

std::string_view
HintFor(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::BaseVersionConflict:
      return "another note is active; read it and set \"base\" to its "
             "version";
    case ErrorCode::LogUnavailable:
    case ErrorCode::ConnectFailed:
      return "nothing was changed; check the address or try again later";
    case ErrorCode::AppendUnconfirmed:
    case ErrorCode::OutcomeUnknown:
    case ErrorCode::TimedOut:
    case ErrorCode::ConnectionClosed:
      return "the operation may have taken effect; check before you repeat it";
    default:
      return {};
  }
}

Exit
ToExitCode(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::LogUnavailable:
    case ErrorCode::ConnectFailed:
    case ErrorCode::ConnectionClosed:
    case ErrorCode::TimedOut:
      return Exit::Unreachable;
    case ErrorCode::UnknownField:
    case ErrorCode::MissingField:
    case ErrorCode::WrongType:
    case ErrorCode::OutOfRange:
    case ErrorCode::DuplicateKey:
    case ErrorCode::Malformed:
    case ErrorCode::TooLarge:
      return Exit::WrongInput;
    default:
      return Exit::Failed;
  }
}

} // namespace

Exit
ReportError(const base::Error& aError)
{
  std::cerr << "amaranthwindctl: " << base::Describe(aError) << "\n";
  const auto hint = HintFor(aError.code);
  if (!hint.empty()) {
    std::cerr << "amaranthwindctl: " << hint << "\n";
  }
  return ToExitCode(aError.code);
}

base::Result<std::string>
ReadInput(const std::string& aPath)
{
  if (aPath == "-") {
    return std::string(std::istreambuf_iterator<char>(std::cin), {});
  }
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return base::Fail(ErrorCode::Malformed, "cannot read " + aPath);
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

std::string
Option(const Arguments& aArguments, const std::string& aName)
{
  const auto found = aArguments.find(aName);
  return found != aArguments.end() && found->second.isString()
           ? found->second.asString()
           : std::string{};
}

EntryClient::EntryClient(const std::string& aAddress)
  : client(this->pool, { .address = aAddress })
{
}

EntryClient::~EntryClient()
{
  this->pool.Stop();
}

base::Result<frontend::HttpResponse>
EntryClient::Send(frontend::HttpRequest aRequest)
{
  return this->client.SendAndWait(std::move(aRequest), kTimeout).response;
}

base::Result<frontend::HttpResponse>
EntryClient::Get(std::string_view aPath)
{
  frontend::HttpRequest request;
  request.path = aPath;
  return this->Send(std::move(request));
}

} // namespace amaranthwind::ctl
