#pragma once

#include "Tool.h"

namespace amaranthwind::ctl {

/** note check FILE: reads the note and reports its first fault. */
Exit
CheckNoteFile(const Arguments& aArguments);

/** note diff FILE: what the note would change in the policy in force. */
Exit
DiffNote(const Arguments& aArguments);

/** note publish FILE: appends the note and waits for the verdict. */
Exit
PublishNote(const Arguments& aArguments);

/** note show: the policy in force, or its version on each entry. */
Exit
ShowNote(const Arguments& aArguments);

} // namespace amaranthwind::ctl
