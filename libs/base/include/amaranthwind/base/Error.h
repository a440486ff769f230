#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace amaranthwind::base {

/** Every kind of failure. The name of a code is part of the caller API. */
enum class ErrorCode : std::uint8_t
{
  // Bad input; the subject names the field or the record.
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
  // Decisions.
  BaseVersionConflict, // The subject names the note that won.
  NeverFits,
  QueueTimeout,
  QueueFull,
  RetryBudgetSpent,
  NoTarget,
  Draining,
  NotReady,
  StaleToken,
  KeyReused, // The same idempotency key came with another request.
  Cancelled,
  // Outside systems and connections.
  OffsetExpired,
  OffsetInvalid,
  LogUnavailable,
  AppendConflict,    // The stream does not end where the writer expected.
  AppendUnconfirmed, // The record may or may not be in the log.
  ConnectFailed,
  ConnectionClosed,
  TimedOut,
  TargetFailed,
  OutcomeUnknown, // The request may have run.
  Internal,
};

/** Name of the code in lower-case words joined by '-', for example "too-large".
 */
std::string_view
ToString(ErrorCode aCode) noexcept;

/** A failure: what kind it is, and which field, record or peer it concerns. */
struct Error
{
  ErrorCode code = ErrorCode::Internal;
  std::string subject;

  bool operator==(const Error&) const = default;
};

/** One line for people: "<code>: <subject>". */
std::string
Describe(const Error& aError);

} // namespace amaranthwind::base
