#include "amaranthwind/dispatch/EndRecord.h"

namespace amaranthwind::dispatch {

std::string
EndRecordKey(const EndRecord& aRecord)
{
  // The number of an end is unique within the life, and each record has another
  // last one.
  return aRecord.life.id.Text() + "/" + std::to_string(aRecord.life.born) +
         "/" + std::to_string(aRecord.ends.back().number);
}

} // namespace amaranthwind::dispatch
