#pragma once

#include "Tool.h"

namespace amaranthwind::ctl {

/** request KIND BODY: sends one short request and prints the reply. */
Exit
SendRequest(const Arguments& aArguments);

/** job submit FILE: submits a job and prints the reply. */
Exit
SubmitJob(const Arguments& aArguments);

/** job show ID: prints the job; with --follow, waits until it has ended. */
Exit
ShowJob(const Arguments& aArguments);

/** job cancel ID: requests the cancellation of a job. */
Exit
CancelJob(const Arguments& aArguments);

/** dump: prints the state of the process at an admin address. */
Exit
ShowDump(const Arguments& aArguments);

} // namespace amaranthwind::ctl
