#include "amaranthwind/base/Error.h"

namespace amaranthwind::base {

std::string_view
ToString(ErrorCode aCode) noexcept
{
  switch (aCode) {
    case ErrorCode::UnknownField:
      return "unknown-field";
    case ErrorCode::MissingField:
      return "missing-field";
    case ErrorCode::WrongType:
      return "wrong-type";
    case ErrorCode::OutOfRange:
      return "out-of-range";
    case ErrorCode::DuplicateKey:
      return "duplicate-key";
    case ErrorCode::Malformed:
      return "malformed";
    case ErrorCode::TooLarge:
      return "too-large";
    case ErrorCode::Truncated:
      return "truncated";
    case ErrorCode::UnknownMessage:
      return "unknown-message";
    case ErrorCode::UnknownAccount:
      return "unknown-account";
    case ErrorCode::UnknownKind:
      return "unknown-kind";
    case ErrorCode::UnknownJob:
      return "unknown-job";
    case ErrorCode::UnknownPath:
      return "unknown-path";
    case ErrorCode::BaseVersionConflict:
      return "base-version-conflict";
    case ErrorCode::NeverFits:
      return "never-fits";
    case ErrorCode::QueueTimeout:
      return "queue-timeout";
    case ErrorCode::QueueFull:
      return "queue-full";
    case ErrorCode::RetryBudgetSpent:
      return "retry-budget-spent";
    case ErrorCode::NoTarget:
      return "no-target";
    case ErrorCode::Draining:
      return "draining";
    case ErrorCode::NotReady:
      return "not-ready";
    case ErrorCode::StaleToken:
      return "stale-token";
    case ErrorCode::KeyReused:
      return "key-reused";
    case ErrorCode::Cancelled:
      return "cancelled";
    case ErrorCode::OffsetExpired:
      return "offset-expired";
    case ErrorCode::OffsetInvalid:
      return "offset-invalid";
    case ErrorCode::LogUnavailable:
      return "log-unavailable";
    case ErrorCode::AppendConflict:
      return "append-conflict";
    case ErrorCode::AppendUnconfirmed:
      return "append-unconfirmed";
    case ErrorCode::ConnectFailed:
      return "connect-failed";
    case ErrorCode::ConnectionClosed:
      return "connection-closed";
    case ErrorCode::TimedOut:
      return "timed-out";
    case ErrorCode::TargetFailed:
      return "target-failed";
    case ErrorCode::OutcomeUnknown:
      return "outcome-unknown";
    case ErrorCode::Internal:
      return "internal";
  }
  return "internal";
}

std::string
Describe(const Error& aError)
{
  std::string line(ToString(aError.code));
  if (!aError.subject.empty()) {
    line += ": ";
    line += aError.subject;
  }
  return line;
}

} // namespace amaranthwind::base
