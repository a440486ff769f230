#pragma once

#include "amaranthwind/base/Ids.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace amaranthwind::journal {

/**
 * Number of offsets over which duplicates of a record id are detected.
 *
 * A duplicate exists only if the response to the first append was lost, so the
 * two copies are apart by at most the time for which a writer retries (30 s)
 * plus the time for which the service may delay an append. At 120 records per
 * second in one stream, 4096 offsets cover 34 s; the planned load is below 2
 * records per second over all streams. The window is measured in offsets, not
 * in time, so that all readers agree on which records are duplicates.
 */
inline constexpr std::uint64_t kDuplicateWindow = 4096;

/**
 * Sliding window of the record ids at the newest offsets of a stream. A record
 * is a duplicate if one of the kDuplicateWindow preceding offsets has an equal
 * id, so two readers agree once both have read that many offsets.
 */
class RecordIdWindow
{
public:
  explicit RecordIdWindow(std::uint64_t aOffsets = kDuplicateWindow);

  /** Returns false if the id is in the window. Offsets must increase. */
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
