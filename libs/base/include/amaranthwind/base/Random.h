#pragma once

#include "amaranthwind/base/Ids.h"

#include <cstdint>
#include <random>

namespace amaranthwind::base {

/** Passed in by the caller, so that tests are repeatable. Not thread-safe. */
using RandomEngine = std::mt19937_64;

/** Returns a seed from the operating system's entropy source. */
std::uint64_t
MakeSeed();

/** Returns a unique id of 128 random bits. */
RecordId
MakeRecordId(RandomEngine& aRandom);

} // namespace amaranthwind::base
