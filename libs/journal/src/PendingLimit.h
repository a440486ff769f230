#pragma once

#include <cstddef>

namespace amaranthwind::journal {

/**
 * Number of records that a reader buffers after a gap while it searches for a
 * checkpoint. 65,536 exceeds one day of a stream at the planned size. Beyond
 * this the oldest are dropped, which bounds the memory used for a stream
 * without checkpoints.
 */
inline constexpr std::size_t kMaxPendingRecords = 65'536;

} // namespace amaranthwind::journal
