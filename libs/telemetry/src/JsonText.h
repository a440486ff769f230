#pragma once

#include "amaranthwind/telemetry/DumpWriter.h"

#include <string>
#include <string_view>

namespace amaranthwind::telemetry {

/** Appends aText as a JSON string; bytes that are not UTF-8 are replaced. */
void
AppendJsonText(std::string& aOut, std::string_view aText);

/** Appends a JSON value; a number that JSON cannot hold becomes null. */
void
AppendJsonValue(std::string& aOut, const DumpValue& aValue);

} // namespace amaranthwind::telemetry
