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

/** What a reader made of one record. */
enum class Verdict : std::uint8_t
{
  Applied,
  Checkpoint, // Read; the state is the same with and without it.
  Duplicate,  // Its id was seen before; no effect.
  StaleToken, // Its token is not that of the newest epoch; no effect.
  Rejected,   // The decision is against it; the error says why.
  Malformed,  // Skipped; the error says why.
};

struct ReplayedRecord
{
  base::LogOffset offset;
  /** Empty if malformed. */
  base::RecordId id;
  Verdict verdict = Verdict::Applied;
  /** Only of StaleToken, Rejected and Malformed. */
  base::Error error;

  bool operator==(const ReplayedRecord&) const = default;
};

/**
 * State that is built from one stream in log order. All readers of a stream
 * come to the same state. Not thread-safe.
 */
class StreamReplay
{
public:
  virtual ~StreamReplay() = default;

  /** Offset from which to read on. It only rises. */
  virtual base::LogOffset NextOffset() const = 0;

  /** Takes the records of a read from NextOffset() on. Older ones are left out.
   */
  virtual std::vector<ReplayedRecord> Consume(const ReadBatch& aBatch) = 0;

  /**
   * Says that the records below aFirst are gone. If some of them were not
   * read, the state stays as it is, and incomplete, until a checkpoint covers
   * the gap.
   */
  virtual void SkipTo(base::LogOffset aFirst) = 0;
};

/** What one call of ReadOnce() did. */
struct ReadProgress
{
  std::vector<ReplayedRecord> records;
  /** Whether the replay has reached the end that the log reported. */
  bool isAtEnd = false;
};

/** Most records that one read asks for. */
inline constexpr std::uint32_t kReadBatchSize = 256;

/**
 * Reads one batch into aReplay; skips to the oldest record kept if the next
 * one has expired. Errors: LogUnavailable, OffsetInvalid.
 */
base::Result<ReadProgress>
ReadOnce(LogClient& aLog, std::string_view aStream, StreamReplay& aReplay);

/**
 * Reads until the end. Errors as for ReadOnce(), and LogUnavailable if the log
 * gives no records although there are more.
 */
base::Result<std::vector<ReplayedRecord>>
ReadToEnd(LogClient& aLog, std::string_view aStream, StreamReplay& aReplay);

/** The lowest offset kept that an OffsetExpired error names. Error: Malformed.
 */
base::Result<base::LogOffset>
ParseExpiredOffset(const base::Error& aError);

} // namespace amaranthwind::journal
