#pragma once

#include "amaranthwind/base/Ids.h"
#include "amaranthwind/base/Result.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace amaranthwind::journal {

/** A record as the log service stores it. */
struct StoredRecord
{
  base::LogOffset offset;
  std::vector<std::byte> payload;
};

/** An answer to a read. */
struct ReadBatch
{
  std::vector<StoredRecord> records;
  /** Lowest offset that the service still keeps. */
  base::LogOffset first;
  /** Offset that the next appended record will have. */
  base::LogOffset end;
};

/**
 * The platform's append-only log service. Calls block until the service
 * answers or the client's own timeout passes, so that they belong on a thread
 * of their own, never on an I/O or a decision thread. Thread-safe.
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
   * Reads at most aMax records from aFrom on. An aFrom equal to the end gives
   * an empty batch. Errors: LogUnavailable, OffsetExpired (aFrom is older than
   * the retention; subject: the lowest offset kept), OffsetInvalid (aFrom is
   * beyond the end).
   */
  virtual base::Result<ReadBatch> Read(std::string_view aStream,
                                       base::LogOffset aFrom,
                                       std::uint32_t aMax) = 0;
};

} // namespace amaranthwind::journal
