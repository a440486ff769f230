#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Error.h"
#include "amaranthwind/base/Result.h"

#include <optional>
#include <string>
#include <string_view>

namespace amaranthwind::codec {

/** Body of every answer to a caller that is not a success. */
struct ErrorReply
{
  base::Error error;
  /** True only if the request is known not to have run. */
  bool isNotRun = false;
  /** When to try again, if that makes sense. */
  std::optional<base::Duration> retryAfter;

  bool operator==(const ErrorReply&) const = default;
};

/**
 * Status of HTTP for a reply, as listed in docs/api.md: 429 and 503 only if
 * the request is known not to have run (P4), 504 if it may have run.
 */
unsigned
HttpStatus(const ErrorReply& aReply) noexcept;

/** {"error": code, "subject": ..., "notRun": ..., "retryAfterMs": ...} */
std::string
EncodeErrorReply(const ErrorReply& aReply);

/** For clients. Errors: those of bad input. */
base::Result<ErrorReply>
DecodeErrorReply(std::string_view aText);

} // namespace amaranthwind::codec
