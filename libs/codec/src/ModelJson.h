#pragma once

#include "JsonReader.h"

#include "amaranthwind/base/Error.h"
#include "amaranthwind/fleet/Resources.h"
#include "amaranthwind/fleet/Shape.h"
#include "amaranthwind/job/GangPlan.h"
#include "amaranthwind/job/JobSpec.h"
#include "amaranthwind/journal/Record.h"
#include "amaranthwind/policy/Policy.h"
#include "amaranthwind/policy/ReleaseNote.h"

#include <boost/json/value.hpp>

#include <span>

/** JSON conversions of the data model: Read() and ToJson() for each type. */
namespace amaranthwind::codec {

std::span<const EnumName<journal::JobPhase>>
JobPhaseNames() noexcept;
std::span<const EnumName<journal::JobOutcome>>
JobOutcomeNames() noexcept;
std::span<const EnumName<journal::AttemptOutcome>>
AttemptOutcomeNames() noexcept;
/** The names returned by base::ToString(). */
std::span<const EnumName<base::ErrorCode>>
ErrorCodeNames();

void
Read(const ValueReader& aReader, fleet::Resources& aOut);
void
Read(const ValueReader& aReader, fleet::Shape& aOut);
void
Read(const ValueReader& aReader, policy::Guarantee& aOut);
void
Read(const ValueReader& aReader, policy::Account& aOut);
void
Read(const ValueReader& aReader, policy::WorkKind& aOut);
void
Read(const ValueReader& aReader, policy::Policy& aOut);
void
Read(const ValueReader& aReader, policy::Change& aOut);
void
Read(const ValueReader& aReader, policy::ReleaseNote& aOut);
void
Read(const ValueReader& aReader, job::JobSpec& aOut);
void
Read(const ValueReader& aReader, job::GangId& aOut);
void
Read(const ValueReader& aReader, base::Error& aOut);
void
Read(const ValueReader& aReader, journal::JobState& aOut);

boost::json::value
ToJson(const fleet::Resources& aResources);
boost::json::value
ToJson(const fleet::Shape& aShape);
boost::json::value
ToJson(const policy::Guarantee& aGuarantee);
boost::json::value
ToJson(const policy::Account& aAccount);
boost::json::value
ToJson(const policy::WorkKind& aKind);
boost::json::value
ToJson(const policy::Policy& aPolicy);
boost::json::value
ToJson(const policy::Change& aChange);
boost::json::value
ToJson(const policy::ReleaseNote& aNote);
boost::json::value
ToJson(const job::JobSpec& aSpec);
boost::json::value
ToJson(const job::GangId& aGang);
boost::json::value
ToJson(const base::Error& aError);
boost::json::value
ToJson(const journal::JobState& aState);
boost::json::value
ToJson(const base::TargetId& aId);

template<typename T>
boost::json::array
ToArray(const std::vector<T>& aItems)
{
  boost::json::array array;
  array.reserve(aItems.size());
  for (const T& item : aItems) {
    array.push_back(ToJson(item));
  }
  return array;
}

} // namespace amaranthwind::codec
