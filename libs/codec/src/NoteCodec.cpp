#include "amaranthwind/codec/NoteCodec.h"

#include "JsonReader.h"
#include "ModelJson.h"

#include "amaranthwind/policy/ApplyNote.h"

#include <boost/json/serialize.hpp>

namespace amaranthwind::codec {

base::Result<policy::ReleaseNote>
DecodeNote(std::string_view aText)
{
  auto note = DecodeDocument<policy::ReleaseNote>(aText);
  if (note.has_value()) {
    BOOST_OUTCOME_TRY(policy::ValidateNote(note.value()));
  }
  return note;
}

std::string
EncodeNote(const policy::ReleaseNote& aNote)
{
  return boost::json::serialize(ToJson(aNote));
}

base::Result<policy::Policy>
DecodePolicy(std::string_view aText)
{
  return DecodeDocument<policy::Policy>(aText);
}

std::string
EncodePolicy(const policy::Policy& aPolicy)
{
  return boost::json::serialize(ToJson(aPolicy));
}

} // namespace amaranthwind::codec
