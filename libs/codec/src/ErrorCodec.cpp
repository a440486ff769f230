#include "amaranthwind/codec/ErrorCodec.h"

#include "JsonReader.h"
#include "JsonWriter.h"
#include "ModelJson.h"

#include <boost/json/serialize.hpp>

namespace amaranthwind::codec {

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
