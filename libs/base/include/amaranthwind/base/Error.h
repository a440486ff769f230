#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace amaranthwind::base {

/** All error codes. Their names are part of the public API. */
enum class ErrorCode : std::uint8_t
{
  // Invalid input; the subject names the field or the record.
  UnknownField,
  MissingField,
  WrongType,
  OutOfRange,
  DuplicateKey,
  Malformed,
  TooLarge,
  Truncated,
  UnknownMessage,
  UnknownAccount,
  UnknownKind,
  UnknownJob,
  UnknownPath,
  // Results of decisions.
  BaseVersionConflict, // The subject names the note that was accepted.
  NeverFits,
  QueueTimeout,
  QueueFull,
  RetryBudgetSpent,
  NoTarget,
  Draining,
  NotReady,
  StaleToken,
  KeyReused, // Idempotency key reused for a different request.
  Cancelled,
  // External systems and connections.
  OffsetExpired,
  OffsetInvalid,
  LogUnavailable,
  AppendConflict,    // The end of the stream is not where expected.
  AppendUnconfirmed, // The record may or may not be in the log.
  ConnectFailed,
  ConnectionClosed,
  TimedOut,
  TargetFailed,
  OutcomeUnknown, // The request may have run.
  Internal,
};

/** Returns the name of the code in kebab case, for example "too-large". */
std::string_view
ToString(ErrorCode aCode) noexcept;

/** An error code and the field, record or peer that it concerns. */
struct Error
{
  ErrorCode code = ErrorCode::Internal;
  std::string subject;

  bool operator==(const Error&) const = default;
};

/** Formats the error for display as "<code>: <subject>". */
std::string
Describe(const Error& aError);

} // namespace amaranthwind::base
