#pragma once

#include "amaranthwind/base/Ids.h"

#include <cstdint>
#include <random>

namespace amaranthwind::base {

/** Passed in by the caller, so that tests are repeatable. Not thread-safe. */
using RandomEngine = std::mt19937_64;

/**
 * Returns a seed from the operating system's entropy source, or from the
 * ScopedSeeds of the thread.
 */
std::uint64_t
MakeSeed();

/**
 * While it exists, MakeSeed() returns a fixed sequence of seeds on the thread
 * that made it, so that a simulation can be repeated. Does not nest.
 */
class ScopedSeeds
{
public:
  explicit ScopedSeeds(std::uint64_t aSeed);
  ~ScopedSeeds();
  ScopedSeeds(const ScopedSeeds&) = delete;
  ScopedSeeds& operator=(const ScopedSeeds&) = delete;

private:
  RandomEngine random;
};

/** Returns a unique id of 128 random bits. */
RecordId
MakeRecordId(RandomEngine& aRandom);

} // namespace amaranthwind::base
