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

/** Exit codes of the program. */
enum class Exit
{
  Done = 0,
  Failed = 1,      // Rejected, or the outcome is unknown.
  WrongInput = 2,  // Invalid arguments or file.
  Unreachable = 3, // No reply from the log service or the entry.
};

/** Prints the error and a hint to standard error; returns the exit code. */
Exit
ReportError(const base::Error& aError);

/** Contents of a file, or of standard input for "-". Error: Malformed. */
base::Result<std::string>
ReadInput(const std::string& aPath);

/** Value of a command-line option; empty if it was not given. */
std::string
Option(const Arguments& aArguments, const std::string& aName);

/** Sends HTTP requests to a process and waits for the responses. */
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
