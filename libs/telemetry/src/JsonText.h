#pragma once

#include "amaranthwind/telemetry/DumpWriter.h"

#include <string>
#include <string_view>

namespace amaranthwind::telemetry {

/** Appends aText as a JSON string; invalid UTF-8 is replaced. */
void
AppendJsonText(std::string& aOut, std::string_view aText);

/** Appends a JSON value; infinity and NaN become null. */
void
AppendJsonValue(std::string& aOut, const DumpValue& aValue);

} // namespace amaranthwind::telemetry
