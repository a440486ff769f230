#include "amaranthwind/codec/JobCodec.h"

#include "JsonReader.h"
#include "JsonWriter.h"
#include "ModelJson.h"

#include <boost/json/serialize.hpp>

#include <algorithm>

namespace amaranthwind::codec {

namespace {

using base::ErrorCode;

/** Job ids stand in URL paths, so they are limited to unreserved characters. */
bool
IsUrlSafe(std::string_view aText)
{
  return std::all_of(aText.begin(), aText.end(), [](char aChar) {
    return (aChar >= 'a' && aChar <= 'z') || (aChar >= 'A' && aChar <= 'Z') ||
           (aChar >= '0' && aChar <= '9') || aChar == '-' || aChar == '.' ||
           aChar == '_';
  });
}

} // namespace

base::Result<job::JobSpec>
DecodeJobSpec(std::string_view aText)
{
  auto decoded = DecodeDocument<job::JobSpec>(aText);
  if (decoded.has_error()) {
    return decoded;
  }
  const job::JobSpec& spec = decoded.value();
  // Records may carry such values, callers may not.
  if (!IsUrlSafe(spec.id.View())) {
    return base::Fail(ErrorCode::OutOfRange, "id");
  }
  if (spec.kind.IsEmpty()) {
    return base::Fail(ErrorCode::OutOfRange, "kind");
  }
  if (spec.shape.members == 0) {
    return base::Fail(ErrorCode::OutOfRange, "shape.members");
  }
  if (spec.shape.perMember.accelerators == 0) {
    return base::Fail(ErrorCode::OutOfRange, "shape.perMember.accelerators");
  }
  if (spec.maxRuns == 0) {
    return base::Fail(ErrorCode::OutOfRange, "maxRuns");
  }
  return decoded;
}

std::string
EncodeJobSpec(const job::JobSpec& aSpec)
{
  return boost::json::serialize(ToJson(aSpec));
}

std::string
EncodeJobState(const journal::JobState& aState, std::string_view aWaitReason)
{
  boost::json::value state = ToJson(aState);
  if (!aWaitReason.empty()) {
    state.as_object()["waitReason"] = ToText(aWaitReason);
  }
  return boost::json::serialize(state);
}

} // namespace amaranthwind::codec
