#pragma once

#include <cstddef>

namespace amaranthwind::journal {

/**
 * Records that a reader behind a gap holds while it looks for a checkpoint.
 * 65,536 is more than a day of one stream at the planned size; beyond that the
 * oldest are dropped, so that a stream without checkpoints costs bounded
 * memory.
 */
inline constexpr std::size_t kMaxPending = 65'536;

} // namespace amaranthwind::journal
