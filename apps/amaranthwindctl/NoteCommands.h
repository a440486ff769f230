#pragma once

#include "Tool.h"

namespace amaranthwind::ctl {

/** note check FILE: validates the note and reports its first error. */
Exit
CheckNoteFile(const Arguments& aArguments);

/** note diff FILE: prints what the note would change in the active policy. */
Exit
DiffNote(const Arguments& aArguments);

/** note publish FILE: appends the note and prints whether it was accepted. */
Exit
PublishNote(const Arguments& aArguments);

/** note show: prints the active policy of an entry. */
Exit
ShowNote(const Arguments& aArguments);

} // namespace amaranthwind::ctl
