#pragma once

#include "amaranthwind/base/Error.h"
#include "amaranthwind/base/Result.h"
#include "amaranthwind/job/JobSpec.h"
#include "amaranthwind/journal/Record.h"

#include <string>
#include <string_view>

namespace amaranthwind::codec {

/**
 * Body of POST /v1/jobs, described in docs/api.md. The id, the account and the
 * caller are empty unless the body states them; the entry fills them in.
 * Errors: those of bad input; the subject is the path of the field.
 */
base::Result<job::JobSpec>
DecodeJobSpec(std::string_view aText);

std::string
EncodeJobSpec(const job::JobSpec& aSpec);

/**
 * Answer to GET /v1/jobs/<id>.
 * @param aWaitReason Why a queued job waits, for example "reservation"; left
 *   out when empty.
 */
std::string
EncodeJobState(const journal::JobState& aState,
               std::string_view aWaitReason = {});

} // namespace amaranthwind::codec
