#pragma once

#include "amaranthwind/base/Result.h"
#include "amaranthwind/frontend/HttpClient.h"
#include "amaranthwind/net/IoPool.h"

#include <docopt/docopt.h>

#include <map>
#include <string>
#include <string_view>

namespace amaranthwind::ctl {

using Arguments = std::map<std::string, docopt::value>;

/** Exit codes of the tool. */
enum class Exit
{
  Done = 0,
  Failed = 1,      // The system refused, or an outcome is unknown.
  WrongInput = 2,  // Arguments or a file.
  Unreachable = 3, // The log service or the entry does not answer.
};

/** Prints "amaranthwindctl: <error>" and what to do about it. */
Exit
ReportError(const base::Error& aError);

/** Contents of a file, or of standard input for "-". Error: Malformed. */
base::Result<std::string>
ReadInput(const std::string& aPath);

/** Value of an option; empty if it was not given. */
std::string
Option(const Arguments& aArguments, const std::string& aName);

/** Sends one request to an entry and prints a failure. */
class EntryClient
{
public:
  explicit EntryClient(const std::string& aAddress);
  ~EntryClient();
  EntryClient(const EntryClient&) = delete;
  EntryClient& operator=(const EntryClient&) = delete;

  base::Result<frontend::HttpResponse> Send(frontend::HttpRequest aRequest);
  base::Result<frontend::HttpResponse> Get(std::string_view aPath);

private:
  net::IoPool pool{ 1 };
  frontend::HttpClient client;
};

} // namespace amaranthwind::ctl
