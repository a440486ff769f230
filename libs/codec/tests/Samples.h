#pragma once

#include "amaranthwind/journal/Record.h"

#include <vector>

namespace amaranthwind::codec {

/** One or more records of every type, with every optional field set once. */
std::vector<journal::Record>
SampleRecords();

policy::ReleaseNote
SampleNote();

policy::Policy
SamplePolicy();

} // namespace amaranthwind::codec
