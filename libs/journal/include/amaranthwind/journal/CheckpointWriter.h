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
 * Estimated size at which a chunk is complete. The encoded size may be larger,
 * for example due to escaping, but stays below the frame limit of 1 MiB.
 */
inline constexpr std::size_t kChunkBytes = 262'144;

/** Determines when a stream needs a new checkpoint. Not thread-safe. */
class CheckpointSchedule
{
public:
  /**
   * Construct it once the log has been read to its end, with the
   * NewestCheckpoint() of the replay. The age of that checkpoint is unknown, so
   * a new one is due at aStart + aDelay unless another is observed before.
   * Writers of one stream use different delays so that only one of them writes.
   */
  CheckpointSchedule(base::Duration aRetention,
                     base::LogOffset aNewest,
                     base::TimePoint aStart,
                     base::Duration aDelay = {});

  bool IsDue(base::TimePoint aNow) const noexcept;

  /**
   * Records that a replay has read a complete checkpoint; aCovered is the
   * NewestCheckpoint() of the replay.
   */
  void OnCheckpointRead(base::LogOffset aCovered,
                        base::TimePoint aNow) noexcept;

  /** Records a failed write; the checkpoint is due again after one minute. */
  void OnWriteFailed(base::TimePoint aNow) noexcept;

private:
  base::Duration period;
  base::Duration delay;
  base::TimePoint dueAt;
  base::LogOffset newest;
};

/**
 * Returns the chunks, at least one, of a checkpoint of the current state of
 * aReplay, which must be complete and have an epoch.
 */
std::vector<Record>
MakeCellCheckpoint(const CellReplay& aReplay,
                   base::RandomEngine& aRandom,
                   std::size_t aChunkBytes = kChunkBytes);

/**
 * Returns a checkpoint of the current policy of aReplay, which must be
 * complete.
 */
Record
MakePolicyCheckpoint(const NoteReplay& aReplay, base::RandomEngine& aRandom);

/**
 * Appends the records of a checkpoint in order and stops at the first failure,
 * which leaves an incomplete checkpoint that readers ignore. Blocks; call it on
 * the log writer's thread. Errors as for Appender::Append().
 */
base::Result<void>
WriteCheckpoint(Appender& aAppender,
                std::string_view aStream,
                std::span<const Record> aRecords,
                base::LogOffset aFrom,
                const std::optional<Fence>& aFence);

} // namespace amaranthwind::journal
