#include "amaranthwind/codec/JobCodec.h"

#include "JsonReader.h"
#include "JsonWriter.h"
#include "ModelJson.h"

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>
#include <cstdint>

namespace amaranthwind::codec {

namespace {

using base::ErrorCode;

/** Limits the cost of a malicious request; planned gangs have 256 members. */
constexpr std::uint32_t kMaxMembers = 4096;

/** Job ids are used in URL paths, so only unreserved characters are allowed. */
bool
IsUrlSafe(std::string_view aText)
{
  return std::all_of(aText.begin(), aText.end(), [](char aChar) {
    return (aChar >= 'a' && aChar <= 'z') || (aChar >= 'A' && aChar <= 'Z') ||
           (aChar >= '0' && aChar <= '9') || aChar == '-' || aChar == '.' ||
           aChar == '_';
  });
}

/** Applies the limits for callers, which the record decoder does not apply. */
base::Result<void>
CheckSpec(const job::JobSpec& aSpec)
{
  struct NamedText
  {
    std::string_view name;
    std::string_view text;
    std::size_t min;
  };
  const std::array<NamedText, 5> texts{
    { { "id", aSpec.id.View(), 0 },
      { "account", aSpec.account.View(), 0 },
      { "caller", aSpec.caller.View(), 0 },
      { "kind", aSpec.kind.View(), 1 },
      { "zone", aSpec.zone.View(), 0 } }
  };
  for (const NamedText& each : texts) {
    if (const auto code = CheckText(each.text, each.min, kMaxIdBytes)) {
      return base::Fail(*code, each.name);
    }
  }
  if (!IsUrlSafe(aSpec.id.View())) {
    return base::Fail(ErrorCode::OutOfRange, "id");
  }
  if (aSpec.shape.members == 0 || aSpec.shape.members > kMaxMembers) {
    return base::Fail(ErrorCode::OutOfRange, "shape.members");
  }
  if (aSpec.shape.perMember.accelerators == 0) {
    return base::Fail(ErrorCode::OutOfRange, "shape.perMember.accelerators");
  }
  if (aSpec.maxRuns == 0) {
    return base::Fail(ErrorCode::OutOfRange, "maxRuns");
  }
  return base::success();
}

} // namespace

base::Result<job::JobSpec>
DecodeJobSpec(std::string_view aText)
{
  auto decoded = DecodeDocument<job::JobSpec>(aText);
  if (decoded.has_error()) {
    return decoded;
  }
  BOOST_OUTCOME_TRY(CheckSpec(decoded.value()));
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
