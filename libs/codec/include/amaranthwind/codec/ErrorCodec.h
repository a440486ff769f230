#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Error.h"
#include "amaranthwind/base/Result.h"

#include <optional>
#include <string>
#include <string_view>

namespace amaranthwind::codec {

/** Body of every error response to a caller. */
struct ErrorReply
{
  base::Error error;
  /** True only if the request is known not to have run. */
  bool isNotRun = false;
  /** Delay before a retry; not set if a retry makes no sense. */
  std::optional<base::Duration> retryAfter;

  bool operator==(const ErrorReply&) const = default;
};

/**
 * HTTP status of a reply, as listed in docs/api.md. A request refused as "not
 * run" did not run, so 429 and 503 are returned only if the request is known
 * not to have run, and 504 if it may have run.
 */
unsigned
HttpStatus(const ErrorReply& aReply) noexcept;

/** {"error": code, "subject": ..., "notRun": ..., "retryAfterMs": ...} */
std::string
EncodeErrorReply(const ErrorReply& aReply);

/** Decodes an error response; for clients. Errors: those for invalid input. */
base::Result<ErrorReply>
DecodeErrorReply(std::string_view aText);

} // namespace amaranthwind::codec
