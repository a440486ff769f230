#pragma once

#include "Tool.h"

namespace amaranthwind::ctl {

/** request KIND BODY: sends one short request and prints the answer. */
Exit
SendRequest(const Arguments& aArguments);

/** job submit FILE. */
Exit
SubmitJob(const Arguments& aArguments);

/** job show ID; with --follow until it has ended. */
Exit
ShowJob(const Arguments& aArguments);

/** job cancel ID. */
Exit
CancelJob(const Arguments& aArguments);

/** dump: the state of the process behind an admin address. */
Exit
ShowDump(const Arguments& aArguments);

} // namespace amaranthwind::ctl
