#include "HttpReplies.h"

#include <chrono>

namespace amaranthwind::entry {

using base::ErrorCode;

std::uint16_t
StatusOf(const codec::ErrorReply& aReply) noexcept
{
  switch (aReply.error.code) {
    case ErrorCode::UnknownField:
    case ErrorCode::MissingField:
    case ErrorCode::WrongType:
    case ErrorCode::OutOfRange:
    case ErrorCode::DuplicateKey:
    case ErrorCode::Malformed:
    case ErrorCode::Truncated:
      return 400;
    case ErrorCode::UnknownAccount:
      return 403;
    case ErrorCode::UnknownKind:
    case ErrorCode::UnknownJob:
    case ErrorCode::UnknownPath:
      return 404;
    case ErrorCode::KeyReused:
    case ErrorCode::BaseVersionConflict:
      return 409;
    case ErrorCode::TooLarge:
      return 413;
    case ErrorCode::NeverFits:
      return 422;
    case ErrorCode::QueueFull:
    case ErrorCode::QueueTimeout:
      return 429;
    default:
      // Without proof that it has not run, the outcome is unknown.
      return aReply.isNotRun ? 503 : 504;
  }
}

frontend::HttpResponse
MakeErrorResponse(const codec::ErrorReply& aReply)
{
  frontend::HttpResponse response;
  response.status = StatusOf(aReply);
  response.body = codec::EncodeErrorReply(aReply);
  if (aReply.retryAfter) {
    // The header has whole seconds; the body has milliseconds.
    const auto seconds =
      std::chrono::ceil<std::chrono::seconds>(*aReply.retryAfter).count();
    response.headers.push_back({ "Retry-After", std::to_string(seconds) });
  }
  return response;
}

} // namespace amaranthwind::entry
