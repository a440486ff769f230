#pragma once

#include "amaranthwind/base/Error.h"
#include "amaranthwind/base/Result.h"
#include "amaranthwind/job/JobSpec.h"
#include "amaranthwind/journal/Record.h"

#include <string>
#include <string_view>

namespace amaranthwind::codec {

/**
 * Decodes the body of POST /v1/jobs, as described in docs/api.md. The id,
 * account and caller are empty if the body omits them; the entry fills them in.
 * Errors: those for invalid input; the subject is the path of the field.
 */
base::Result<job::JobSpec>
DecodeJobSpec(std::string_view aText);

std::string
EncodeJobSpec(const job::JobSpec& aSpec);

/**
 * Encodes the response to GET /v1/jobs/<id>.
 * @param aWaitReason Why a queued job waits, for example "reservation"; omitted
 *   if empty.
 */
std::string
EncodeJobState(const journal::JobState& aState,
               std::string_view aWaitReason = {});

} // namespace amaranthwind::codec
