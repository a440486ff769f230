#pragma once

#include "amaranthwind/base/Result.h"
#include "amaranthwind/policy/Policy.h"
#include "amaranthwind/policy/ReleaseNote.h"

namespace amaranthwind::policy {

/**
 * The policy after aNote. Pure: every process decides alike.
 *
 * A note is accepted whole or rejected whole. Errors: BaseVersionConflict
 * (subject: the note in force), UnknownAccount, UnknownKind, OutOfRange,
 * DuplicateKey (subject: path of the change, for example "changes[2].account").
 */
base::Result<Policy>
ApplyNote(const Policy& aPolicy, const ReleaseNote& aNote);

/** Checks values that do not depend on a policy. Errors as for ApplyNote(). */
base::Result<void>
CheckNote(const ReleaseNote& aNote);

} // namespace amaranthwind::policy
