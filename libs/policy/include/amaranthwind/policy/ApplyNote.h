#pragma once

#include "amaranthwind/base/Result.h"
#include "amaranthwind/policy/Policy.h"
#include "amaranthwind/policy/ReleaseNote.h"

namespace amaranthwind::policy {

/**
 * Returns the policy that results from applying aNote. A pure function, so that
 * every process reaches the same result.
 *
 * A note is accepted or rejected as a whole. Errors: BaseVersionConflict
 * (subject: the note in force), UnknownAccount, UnknownKind, OutOfRange,
 * DuplicateKey (subject: path of the change, for example "changes[2].account").
 */
base::Result<Policy>
ApplyNote(const Policy& aPolicy, const ReleaseNote& aNote);

/** Validates a note independently of a policy. Errors as for ApplyNote(). */
base::Result<void>
ValidateNote(const ReleaseNote& aNote);

} // namespace amaranthwind::policy
