#include "JobCommands.h"
#include "NoteCommands.h"
#include "Tool.h"

#include <docopt/docopt.h>

using namespace amaranthwind;
using ctl::Arguments;
using ctl::Exit;

namespace {

constexpr char kUsage[] =
  R"(Command-line tool of amaranthwind for operators and callers.

Usage:
  amaranthwindctl note check FILE
  amaranthwindctl note diff --log=ADDRESS FILE
  amaranthwindctl note publish --log=ADDRESS FILE
  amaranthwindctl note show --entry=ADDRESS [--json]
  amaranthwindctl request --entry=ADDRESS --account=ID [--caller=ID] [--key=KEY] [--attempt=N] KIND BODY
  amaranthwindctl job submit --entry=ADDRESS --account=ID [--caller=ID] FILE
  amaranthwindctl job show --entry=ADDRESS [--follow] ID
  amaranthwindctl job cancel --entry=ADDRESS --account=ID [--caller=ID] ID
  amaranthwindctl dump --admin=ADDRESS
  amaranthwindctl --help

Options:
  --log=ADDRESS    Log service, IP:port.
  --entry=ADDRESS  HTTP address of an entry or of the balancer, IP:port.
  --admin=ADDRESS  Admin address of a process, IP:port.
  --account=ID     Client account.
  --caller=ID      Caller within the account [default: ctl].
  --key=KEY        Idempotency key.
  --attempt=N      0 if the request was never sent before [default: 0].
  --follow         Wait until the job has ended.
  --json           Print JSON.

FILE may be "-" for standard input.

Exit codes: 0 success, 1 rejected or outcome unknown, 2 invalid input, 3 the log
service or the entry cannot be reached.
)";

Exit
RunNote(Arguments& aArguments)
{
  if (aArguments["check"].asBool()) {
    return ctl::CheckNoteFile(aArguments);
  }
  if (aArguments["diff"].asBool()) {
    return ctl::DiffNote(aArguments);
  }
  if (aArguments["publish"].asBool()) {
    return ctl::PublishNote(aArguments);
  }
  return ctl::ShowNote(aArguments);
}

Exit
RunJob(Arguments& aArguments)
{
  if (aArguments["submit"].asBool()) {
    return ctl::SubmitJob(aArguments);
  }
  if (aArguments["cancel"].asBool()) {
    return ctl::CancelJob(aArguments);
  }
  return ctl::ShowJob(aArguments);
}

Exit
Run(Arguments& aArguments)
{
  if (aArguments["note"].asBool()) {
    return RunNote(aArguments);
  }
  if (aArguments["request"].asBool()) {
    return ctl::SendRequest(aArguments);
  }
  if (aArguments["job"].asBool()) {
    return RunJob(aArguments);
  }
  return ctl::ShowDump(aArguments);
}

} // namespace

int
main(int argc, char** argv)
{
  auto arguments =
    docopt::docopt(kUsage, { argv + 1, argv + argc }, true, "amaranthwindctl");
  return static_cast<int>(Run(arguments));
}
