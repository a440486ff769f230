#pragma once

#include "amaranthwind/base/Ids.h"
#include "amaranthwind/base/Result.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace amaranthwind::journal {

/** A record as stored by the log service. */
struct StoredRecord
{
  base::LogOffset offset;
  std::vector<std::byte> payload;
};

/** Result of a read. */
struct ReadBatch
{
  std::vector<StoredRecord> records;
  /** Lowest offset retained by the service. */
  base::LogOffset first;
  /** Offset of the next record to be appended. */
  base::LogOffset end;
};

/**
 * Client of the platform's append-only log service. Calls block until the
 * service responds or the client's timeout expires, and must therefore be made
 * on a dedicated thread, never on an I/O or a decision thread. Thread-safe.
 */
class LogClient
{
public:
  virtual ~LogClient() = default;

  /**
   * Appends one record. Errors: LogUnavailable (not appended),
   * AppendUnconfirmed (may have been appended), TooLarge.
   */
  virtual base::Result<base::LogOffset> Append(
    std::string_view aStream,
    std::span<const std::byte> aPayload) = 0;

  /**
   * Reads at most aMax records from aFrom on. An aFrom equal to the end returns
   * an empty batch. Errors: LogUnavailable, OffsetExpired (aFrom is older than
   * the retention; subject: the lowest retained offset), OffsetInvalid (aFrom
   * is beyond the end).
   */
  virtual base::Result<ReadBatch> Read(std::string_view aStream,
                                       base::LogOffset aFrom,
                                       std::uint32_t aMax) = 0;
};

} // namespace amaranthwind::journal
