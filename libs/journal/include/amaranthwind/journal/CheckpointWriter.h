#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Random.h"
#include "amaranthwind/base/Result.h"
#include "amaranthwind/journal/Appender.h"
#include "amaranthwind/journal/CellReplay.h"
#include "amaranthwind/journal/NoteReplay.h"

#include <cstddef>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace amaranthwind::journal {

/**
 * Size at which a chunk is closed, by estimate. An encoding may take more, for
 * example for escapes, and stays below the 1 MiB that a frame may have.
 */
inline constexpr std::size_t kChunkBytes = 262'144;

/** Decides when a stream needs a new checkpoint. Not thread-safe. */
class CheckpointSchedule
{
public:
  /**
   * To be made when the log has been read to its end, with the
   * NewestCheckpoint() of the replay. How old that one is cannot be known, so
   * that a new one is due at aStart + aDelay unless it is seen before. Writers
   * of one stream get different delays, so that one of them writes.
   */
  CheckpointSchedule(base::Duration aRetention,
                     base::LogOffset aNewest,
                     base::TimePoint aStart,
                     base::Duration aDelay = {});

  bool IsDue(base::TimePoint aNow) const noexcept;

  /** A replay has read a complete checkpoint; aCovered is its
   * NewestCheckpoint().
   */
  void OnSeen(base::LogOffset aCovered, base::TimePoint aNow) noexcept;

  /** Writing one has failed: it is due again after a minute. */
  void OnFailed(base::TimePoint aNow) noexcept;

private:
  base::Duration period;
  base::Duration delay;
  base::TimePoint dueAt;
  base::LogOffset newest;
};

/**
 * The chunks of a checkpoint of the state that aReplay has now; at least one.
 * Requires a complete replay with an epoch.
 */
std::vector<Record>
MakeCellCheckpoint(const CellReplay& aReplay,
                   base::RandomEngine& aRandom,
                   std::size_t aChunkBytes = kChunkBytes);

/** A checkpoint of the policy that aReplay has now. Requires a complete replay.
 */
Record
MakePolicyCheckpoint(const NoteReplay& aReplay, base::RandomEngine& aRandom);

/**
 * Appends the records of a checkpoint one after the other and stops at the
 * first that fails, which leaves a checkpoint that readers ignore. Blocks; for
 * the log writer's thread. Errors as for Appender::Append().
 */
base::Result<void>
WriteCheckpoint(Appender& aAppender,
                std::string_view aStream,
                std::span<const Record> aRecords,
                base::LogOffset aFrom,
                const std::optional<Fence>& aFence);

} // namespace amaranthwind::journal
