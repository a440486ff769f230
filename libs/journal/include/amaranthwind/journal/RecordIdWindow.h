#pragma once

#include "amaranthwind/base/Ids.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace amaranthwind::journal {

/**
 * Offsets over which duplicates of a record id are recognised.
 *
 * A second copy exists only because the answer to the first append was lost,
 * so the two are apart by at most the time for which a writer retries (30 s)
 * plus the time for which the service may hold an append back. At 120 records
 * per second in one stream, 4096 offsets cover 34 s; the planned load is below
 * 2 records per second over all streams. The window is counted in offsets, not
 * in time, so that all readers agree on what a duplicate is.
 */
inline constexpr std::uint64_t kDuplicateWindow = 4096;

/**
 * The ids of the records at the newest offsets of a stream. A record is a
 * duplicate if an equal id stands at one of the kDuplicateWindow offsets before
 * it, so that two readers agree once both have read that many offsets.
 */
class RecordIdWindow
{
public:
  explicit RecordIdWindow(std::uint64_t aOffsets = kDuplicateWindow);

  /** Returns false if the id is in the window. Offsets must rise. */
  bool Insert(const base::RecordId& aId, base::LogOffset aOffset);

  std::size_t Size() const noexcept { return this->newest.size(); }

private:
  struct Entry
  {
    base::LogOffset offset;
    base::RecordId id;
  };

  std::uint64_t offsets;
  std::deque<Entry> order;
  /** Offset of the newest copy of each id. */
  std::unordered_map<base::RecordId, base::LogOffset> newest;
};

} // namespace amaranthwind::journal
