#pragma once

#include "amaranthwind/base/Error.h"
#include "amaranthwind/base/Ids.h"
#include "amaranthwind/base/Result.h"
#include "amaranthwind/journal/LogClient.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace amaranthwind::journal {

/** How a reader processed one record. */
enum class Verdict : std::uint8_t
{
  Applied,
  Checkpoint, // Read; does not change the state.
  Duplicate,  // Its id was read before; no effect.
  StaleToken, // Its token is not that of the newest epoch; no effect.
  Rejected,   // Not allowed in the current state; see the error.
  Malformed,  // Could not be decoded and was skipped; see the error.
};

struct ReplayedRecord
{
  base::LogOffset offset;
  /** Empty if malformed. */
  base::RecordId id;
  Verdict verdict = Verdict::Applied;
  /** Set only for StaleToken, Rejected and Malformed. */
  base::Error error;

  bool operator==(const ReplayedRecord&) const = default;
};

/**
 * State built from the records of one stream in log order. All readers of a
 * stream compute the same state. Not thread-safe.
 */
class StreamReplay
{
public:
  virtual ~StreamReplay() = default;

  /** Offset of the next record to read. Never decreases. */
  virtual base::LogOffset NextOffset() const = 0;

  /** Processes the records of a read from NextOffset() on; skips older ones. */
  virtual std::vector<ReplayedRecord> Consume(const ReadBatch& aBatch) = 0;

  /**
   * Reports that the records below aFirst have expired. If some of them were
   * not read, the state is left unchanged and incomplete until a checkpoint
   * covers the gap.
   */
  virtual void SkipTo(base::LogOffset aFirst) = 0;
};

/** Result of one call of ReadOnce(). */
struct ReadProgress
{
  std::vector<ReplayedRecord> records;
  /** Whether the replay has reached the end that the log reported. */
  bool isAtEnd = false;
};

/** Maximum number of records requested per read. */
inline constexpr std::uint32_t kReadBatchSize = 256;

/**
 * Reads one batch into aReplay; skips to the oldest retained record if the next
 * one has expired. Errors: LogUnavailable, OffsetInvalid.
 */
base::Result<ReadProgress>
ReadOnce(LogClient& aLog, std::string_view aStream, StreamReplay& aReplay);

/**
 * Reads to the end of the stream. Errors as for ReadOnce(), and LogUnavailable
 * if the log returns no records before its reported end.
 */
base::Result<std::vector<ReplayedRecord>>
ReadToEnd(LogClient& aLog, std::string_view aStream, StreamReplay& aReplay);

/**
 * Returns the lowest retained offset from an OffsetExpired error. Error:
 * Malformed.
 */
base::Result<base::LogOffset>
ParseExpiredOffset(const base::Error& aError);

} // namespace amaranthwind::journal
