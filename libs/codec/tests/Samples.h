#pragma once

#include "amaranthwind/journal/Record.h"

#include <vector>

namespace amaranthwind::codec {

/** Records of every type; each optional field is set in at least one. */
std::vector<journal::Record>
SampleRecords();

policy::ReleaseNote
SampleNote();

policy::Policy
SamplePolicy();

} // namespace amaranthwind::codec
