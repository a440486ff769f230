#pragma once

#include "amaranthwind/base/Result.h"
#include "amaranthwind/estimation/LearnedSummary.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace amaranthwind::codec {

/** Limit of an encoded summary. */
inline constexpr std::size_t kMaxLearnedBytes = 16UL * 1024;

/**
 * Encodes as much of the summary as fits kMaxLearnedBytes as JSON: the first
 * workers, and the first workloads in the space that is left.
 */
std::string
EncodeLearned(const estimation::LearnedSummary& aSummary);

/**
 * Errors: those for invalid input; OutOfRange for the version of a format that
 * is not known.
 */
base::Result<estimation::LearnedSummary>
DecodeLearned(std::string_view aText);

} // namespace amaranthwind::codec
