#pragma once

#include "amaranthwind/base/Result.h"
#include "amaranthwind/policy/Policy.h"
#include "amaranthwind/policy/ReleaseNote.h"

#include <string>
#include <string_view>

namespace amaranthwind::codec {

/**
 * The operators' document, described in docs/release-notes.md. Errors: those
 * of bad input, and those of policy::ValidateNote(); the subject is the path of
 * the field.
 */
base::Result<policy::ReleaseNote>
DecodeNote(std::string_view aText);

std::string
EncodeNote(const policy::ReleaseNote& aNote);

/** A policy as GET /v1/note shows it and as peers exchange it. */
base::Result<policy::Policy>
DecodePolicy(std::string_view aText);

std::string
EncodePolicy(const policy::Policy& aPolicy);

} // namespace amaranthwind::codec
