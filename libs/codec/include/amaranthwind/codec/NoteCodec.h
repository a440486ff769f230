#pragma once

#include "amaranthwind/base/Result.h"
#include "amaranthwind/policy/Policy.h"
#include "amaranthwind/policy/ReleaseNote.h"

#include <string>
#include <string_view>

namespace amaranthwind::codec {

/**
 * Decodes a release note, as described in docs/release-notes.md. Errors: those
 * for invalid input and those of policy::ValidateNote(); the subject is the
 * path of the field.
 */
base::Result<policy::ReleaseNote>
DecodeNote(std::string_view aText);

std::string
EncodeNote(const policy::ReleaseNote& aNote);

/** Decodes a policy in the format of GET /v1/note, also used between peers. */
base::Result<policy::Policy>
DecodePolicy(std::string_view aText);

std::string
EncodePolicy(const policy::Policy& aPolicy);

} // namespace amaranthwind::codec
