#pragma once

#include "StreamFollower.h"
#include "amaranthwind/base/RcuCell.h"
#include "amaranthwind/journal/CheckpointWriter.h"
#include "amaranthwind/journal/NoteReplay.h"
#include "amaranthwind/policy/Policy.h"
#include "amaranthwind/telemetry/Logger.h"
#include "amaranthwind/telemetry/StandardMetrics.h"

#include <atomic>
#include <mutex>
#include <optional>

namespace amaranthwind::entry {

/** Told about each new policy, on the thread that reads the log. */
class PolicyObserver
{
public:
  virtual ~PolicyObserver() = default;
  virtual void OnPolicy(const policy::Policy& aPolicy) = 0;
};

/**
 * Keeps the policy in force: follows the stream of notes, and takes a newer
 * policy from a peer while the log is down. The offset in use only rises.
 */
class PolicyKeeper : private journal::Waiter
{
public:
  /** The arguments must outlive the keeper. */
  PolicyKeeper(journal::LogClient& aLog,
               const journal::RecordCodec& aCodec,
               const base::Clock& aClock,
               base::Duration aLogRetention,
               const telemetry::PolicyMetrics& aMetrics,
               telemetry::Logger& aLogger,
               PolicyObserver& aObserver);

  void Start();
  void Stop();

  /** The policy in force; for the path of a request. */
  base::RcuCell<policy::Policy>::ReadGuard Current() const noexcept
  {
    return this->current.Read();
  }
  /** Behind every record that the policy takes into account. */
  base::LogOffset Offset() const noexcept
  {
    return base::LogOffset(this->offset.load());
  }
  /** False until the whole log, or a peer's policy, has been taken. */
  bool IsLoaded() const noexcept { return this->isLoaded.load(); }
  /** False during an outage of the log. */
  bool IsLogReachable() const noexcept { return this->isLogReachable.load(); }

  /** A peer has shown this offset. */
  void OnPeerOffset(base::LogOffset aOffset);
  /** A peer's policy; taken if it is newer. */
  void Adopt(const policy::Policy& aPolicy);

private:
  base::LogOffset OnRead(const StreamRead& aRead);
  void Report(const std::vector<journal::ReplayedRecord>& aRecords);
  void PublishIfNew();
  void WriteCheckpointIfDue();
  /** Gives up at once: the next poll tries again. */
  bool Wait(base::Duration) override { return false; }

  const base::Clock& clock;
  const base::Duration logRetention;
  const telemetry::PolicyMetrics metrics;
  telemetry::Logger& logger;
  PolicyObserver& observer;
  /** Guards the replay and the order of publications. */
  std::mutex mutex;
  journal::NoteReplay replay;
  /** First sight of an offset that is not in force here yet. */
  std::optional<base::TimePoint> newerSince;
  /** Set once observers have a policy, which may be the empty one. */
  bool isPublished = false;
  base::RcuCell<policy::Policy> current;
  std::atomic<std::uint64_t> offset{ 0 };
  std::atomic<bool> isLoaded{ false };
  std::atomic<bool> isLogReachable{ false };
  base::RandomEngine random;
  std::optional<journal::CheckpointSchedule> checkpoints;
  journal::Appender appender;
  StreamFollower follower;
};

} // namespace amaranthwind::entry
