#pragma once

#include "amaranthwind/base/Ids.h"

#include <cstdint>
#include <random>

namespace amaranthwind::base {

/** Seeded generator; pass it in so that tests repeat. Not thread-safe. */
using RandomEngine = std::mt19937_64;

/** A seed from the operating system. */
std::uint64_t
MakeSeed();

/** A new unique id of 128 random bits. */
RecordId
MakeRecordId(RandomEngine& aRandom);

} // namespace amaranthwind::base
