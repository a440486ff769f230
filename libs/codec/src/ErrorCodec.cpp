#include "amaranthwind/codec/ErrorCodec.h"

#include "JsonReader.h"
#include "JsonWriter.h"
#include "ModelJson.h"

#include <boost/json/serialize.hpp>

namespace amaranthwind::codec {

namespace {

using base::ErrorCode;

constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kConflict = 409;
constexpr unsigned kContentTooLarge = 413;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kInternalServerError = 500;
constexpr unsigned kServiceUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;

} // namespace

unsigned
HttpStatus(const ErrorReply& aReply) noexcept
{
  switch (aReply.error.code) {
    case ErrorCode::UnknownField:
    case ErrorCode::MissingField:
    case ErrorCode::WrongType:
    case ErrorCode::OutOfRange:
    case ErrorCode::DuplicateKey:
    case ErrorCode::Malformed:
    case ErrorCode::Truncated:
    case ErrorCode::UnknownMessage:
      return kBadRequest;
    case ErrorCode::TooLarge:
      return kContentTooLarge;
    case ErrorCode::UnknownAccount:
    case ErrorCode::UnknownKind:
    case ErrorCode::UnknownJob:
    case ErrorCode::UnknownPath:
      return kNotFound;
    case ErrorCode::BaseVersionConflict:
    case ErrorCode::NeverFits:
    case ErrorCode::KeyReused:
    case ErrorCode::Cancelled:
      return kConflict;
    case ErrorCode::OffsetExpired:
    case ErrorCode::OffsetInvalid:
    case ErrorCode::Internal:
      return kInternalServerError;
    case ErrorCode::RetryBudgetSpent:
      return aReply.isNotRun ? kTooManyRequests : kGatewayTimeout;
    case ErrorCode::QueueTimeout:
    case ErrorCode::QueueFull:
    case ErrorCode::NoTarget:
    case ErrorCode::Draining:
    case ErrorCode::NotReady:
    case ErrorCode::StaleToken:
    case ErrorCode::LogUnavailable:
    case ErrorCode::AppendConflict:
    case ErrorCode::AppendUnconfirmed:
    case ErrorCode::ConnectFailed:
    case ErrorCode::ConnectionClosed:
    case ErrorCode::TimedOut:
    case ErrorCode::TargetFailed:
    case ErrorCode::OutcomeUnknown:
      return aReply.isNotRun ? kServiceUnavailable : kGatewayTimeout;
  }
  return kInternalServerError;
}

static void
Read(const ValueReader& aReader, ErrorReply& aOut)
{
  ObjectReader object(aReader);
  object.Required("error",
                  Enum<base::ErrorCode>{ aOut.error.code, ErrorCodeNames() });
  object.Required("subject", aOut.error.subject);
  object.Required("notRun", aOut.isNotRun);
  if (object.Has("retryAfterMs")) {
    object.Required("retryAfterMs", Millis{ aOut.retryAfter.emplace() });
  }
  object.Finish();
}

std::string
EncodeErrorReply(const ErrorReply& aReply)
{
  boost::json::object object{ { "error",
                                ToText(base::ToString(aReply.error.code)) },
                              { "subject", ToText(aReply.error.subject) },
                              { "notRun", aReply.isNotRun } };
  if (aReply.retryAfter) {
    object["retryAfterMs"] = ToMs(*aReply.retryAfter);
  }
  return boost::json::serialize(object);
}

base::Result<ErrorReply>
DecodeErrorReply(std::string_view aText)
{
  return DecodeDocument<ErrorReply>(aText);
}

} // namespace amaranthwind::codec
