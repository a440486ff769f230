#include "amaranthwind/codec/ClaimCodec.h"

#include "JsonReader.h"
#include "JsonWriter.h"

#include <boost/json/serialize.hpp>

#include <charconv>

namespace amaranthwind::codec {

namespace {

constexpr std::string_view kSettledFlag = " settled";
constexpr std::string_view kStalledFlag = " stalledMs=";

} // namespace

static void
Read(const ValueReader& aReader, membership::LeaderClaim& aOut)
{
  ObjectReader object(aReader);
  object.Required("holder", BoundedId<base::EntryTag>{ aOut.holder });
  object.Required("incarnation", aOut.incarnation);
  object.Required("address", aOut.address);
  object.Optional("isResigned", aOut.isResigned);
  object.Optional("isSettled", aOut.isSettled);
  object.Finish();
}

std::string
EncodeClaim(const membership::LeaderClaim& aClaim)
{
  return boost::json::serialize(boost::json::object{
    { "holder", ToText(aClaim.holder) },
    { "incarnation", aClaim.incarnation.Get() },
    { "address", ToText(aClaim.address) },
    { "isResigned", aClaim.isResigned },
    { "isSettled", aClaim.isSettled },
  });
}

base::Result<membership::LeaderClaim>
DecodeClaim(std::string_view aText)
{
  return DecodeDocument<membership::LeaderClaim>(aText);
}

std::string
EncodePulse(const membership::LeaderPulse& aPulse)
{
  // Earlier versions read the digits at the beginning and ignore the rest.
  std::string text = std::to_string(aPulse.token.Get());
  if (aPulse.isSettled) {
    text += kSettledFlag;
  }
  if (aPulse.stalledFor.count() > 0) {
    text += kStalledFlag;
    text += std::to_string(aPulse.stalledFor.count());
  }
  return text;
}

base::Result<membership::LeaderPulse>
DecodePulse(std::string_view aText)
{
  std::uint64_t token = 0;
  const char* const textEnd = aText.data() + aText.size();
  const auto [end, error] = std::from_chars(aText.data(), textEnd, token);
  if (error != std::errc{}) {
    return base::Fail(base::ErrorCode::Malformed, "pulse");
  }
  membership::LeaderPulse pulse;
  pulse.token = base::FencingToken(token);
  const std::string_view flags(end, textEnd);
  pulse.isSettled = flags.find(kSettledFlag) != std::string_view::npos;
  const auto stalled = flags.find(kStalledFlag);
  if (stalled != std::string_view::npos) {
    std::uint32_t stalledMs = 0;
    const char* const digits = flags.data() + stalled + kStalledFlag.size();
    if (std::from_chars(digits, textEnd, stalledMs).ec != std::errc{}) {
      return base::Fail(base::ErrorCode::Malformed, "pulse");
    }
    pulse.stalledFor = std::chrono::milliseconds(stalledMs);
  }
  return pulse;
}

} // namespace amaranthwind::codec
