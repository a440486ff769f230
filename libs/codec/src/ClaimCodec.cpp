#include "amaranthwind/codec/ClaimCodec.h"

#include "JsonReader.h"
#include "JsonWriter.h"

#include <boost/json/serialize.hpp>

namespace amaranthwind::codec {

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

} // namespace amaranthwind::codec
