#include "amaranthwind/frontend/HttpLogClient.h"

#include <boost/json.hpp>

#include <algorithm>

namespace amaranthwind::frontend {

namespace json = boost::json;
using base::ErrorCode;
using base::Fail;
using base::LogOffset;
using base::Result;

namespace {

constexpr std::uint16_t kStatusOk = 200;
constexpr std::uint16_t kStatusBadRequest = 400;
constexpr std::uint16_t kStatusCreated = 201;
constexpr std::uint16_t kStatusGone = 410;
constexpr std::uint16_t kStatusTooLarge = 413;
constexpr std::uint16_t kStatusRangeInvalid = 416;
constexpr std::uint16_t kStatusInternalError = 500;
constexpr std::uint16_t kStatusUnavailable = 503;

/** Whether the service rejected the request, so that nothing was appended. */
bool
IsRejected(std::uint16_t aStatus)
{
  return aStatus == kStatusUnavailable ||
         (aStatus >= kStatusBadRequest && aStatus < kStatusInternalError);
}

std::string
RecordsPath(std::string_view aStream)
{
  return "/streams/" + std::string(aStream) + "/records";
}

/** Reads a numeric field of a response. Unknown fields are ignored. */
Result<LogOffset>
ReadOffset(const json::object& aObject, std::string_view aField)
{
  const auto* value = aObject.if_contains(aField);
  boost::system::error_code error;
  const auto number =
    value == nullptr ? 0 : value->to_number<std::uint64_t>(error);
  if (value == nullptr || error) {
    return Fail(ErrorCode::Malformed, "log service: " + std::string(aField));
  }
  return LogOffset(number);
}

Result<json::object>
ParseObject(std::string_view aBody)
{
  boost::system::error_code error;
  auto value = json::parse({ aBody.data(), aBody.size() }, error);
  if (error || !value.is_object()) {
    return Fail(ErrorCode::Malformed, "log service: answer");
  }
  return std::move(value.get_object());
}

Result<LogOffset>
ParseAppendResponse(std::string_view aBody)
{
  BOOST_OUTCOME_TRY(const auto object, ParseObject(aBody));
  return ReadOffset(object, "offset");
}

Result<journal::StoredRecord>
ReadRecord(const json::value& aValue)
{
  if (!aValue.is_object()) {
    return Fail(ErrorCode::Malformed, "log service: records");
  }
  const auto& object = aValue.get_object();
  BOOST_OUTCOME_TRY(const auto offset, ReadOffset(object, "offset"));
  const auto* payload = object.if_contains("payload");
  if (payload == nullptr || !payload->is_string()) {
    return Fail(ErrorCode::Malformed, "log service: payload");
  }
  const auto& text = payload->get_string();
  const auto* first = reinterpret_cast<const std::byte*>(text.data());
  return journal::StoredRecord{ offset, { first, first + text.size() } };
}

Result<journal::ReadBatch>
ParseReadBatch(std::string_view aBody)
{
  BOOST_OUTCOME_TRY(const auto object, ParseObject(aBody));
  journal::ReadBatch batch;
  BOOST_OUTCOME_TRY(batch.first, ReadOffset(object, "first"));
  BOOST_OUTCOME_TRY(batch.end, ReadOffset(object, "end"));
  const auto* records = object.if_contains("records");
  if (records == nullptr || !records->is_array()) {
    return Fail(ErrorCode::Malformed, "log service: records");
  }
  for (const auto& value : records->get_array()) {
    BOOST_OUTCOME_TRY(auto record, ReadRecord(value));
    batch.records.push_back(std::move(record));
  }
  return batch;
}

} // namespace

HttpLogClient::HttpLogClient(net::IoPool& aPool,
                             const HttpLogClientOptions& aOptions)
  : options(aOptions)
  , client(aPool, { .address = aOptions.address, .maxConnections = 8 })
{
}

Result<LogOffset>
HttpLogClient::Append(std::string_view aStream,
                      std::span<const std::byte> aPayload)
{
  HttpRequest request;
  request.method = "POST";
  request.path = RecordsPath(aStream);
  request.body.assign(reinterpret_cast<const char*>(aPayload.data()),
                      aPayload.size());
  const HttpResult result =
    this->client.SendAndWait(std::move(request), this->options.timeout);
  if (result.response.has_error()) {
    const auto& subject = result.response.error().subject;
    return result.mayHaveBeenSent ? Fail(ErrorCode::AppendUnconfirmed, subject)
                                  : Fail(ErrorCode::LogUnavailable, subject);
  }
  const HttpResponse& response = result.response.value();
  if (response.status == kStatusTooLarge) {
    return Fail(ErrorCode::TooLarge, "log record");
  }
  if (IsRejected(response.status)) {
    return Fail(ErrorCode::LogUnavailable,
                "status " + std::to_string(response.status));
  }
  if (response.status != kStatusOk && response.status != kStatusCreated) {
    return Fail(ErrorCode::AppendUnconfirmed,
                "status " + std::to_string(response.status));
  }
  auto offset = ParseAppendResponse(response.body);
  if (offset.has_error()) {
    // The service accepted the request, so the record may be in the log.
    return Fail(ErrorCode::AppendUnconfirmed, offset.error().subject);
  }
  return offset;
}

Result<journal::ReadBatch>
HttpLogClient::Read(std::string_view aStream,
                    LogOffset aFrom,
                    std::uint32_t aMax)
{
  HttpRequest request;
  request.path = RecordsPath(aStream);
  request.query =
    "from=" + std::to_string(aFrom.Get()) + "&max=" + std::to_string(aMax);
  const HttpResult result =
    this->client.SendAndWait(std::move(request), this->options.timeout);
  if (result.response.has_error()) {
    return Fail(ErrorCode::LogUnavailable, result.response.error().subject);
  }
  const HttpResponse& response = result.response.value();
  if (response.status == kStatusGone) {
    BOOST_OUTCOME_TRY(const auto object, ParseObject(response.body));
    BOOST_OUTCOME_TRY(const auto first, ReadOffset(object, "first"));
    return Fail(ErrorCode::OffsetExpired, std::to_string(first.Get()));
  }
  if (response.status == kStatusRangeInvalid) {
    return Fail(ErrorCode::OffsetInvalid, std::to_string(aFrom.Get()));
  }
  if (response.status != kStatusOk) {
    return Fail(ErrorCode::LogUnavailable,
                "status " + std::to_string(response.status));
  }
  return ParseReadBatch(response.body);
}

} // namespace amaranthwind::frontend
