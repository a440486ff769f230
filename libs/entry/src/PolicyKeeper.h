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

/** Notified of each new policy; usually on the thread that reads the log. */
class PolicyObserver
{
public:
  virtual ~PolicyObserver() = default;
  virtual void OnPolicy(const policy::Policy& aPolicy) = 0;
};

/**
 * Keeps the policy in force up to date: follows the log stream of notes and
 * adopts a newer policy from a peer, so that changes arrive while the log is
 * unavailable. The offset in use never decreases.
 */
class PolicyKeeper : private journal::RetryWaiter
{
public:
  /** The references must outlive the keeper. */
  PolicyKeeper(journal::LogClient& aLog,
               const journal::RecordCodec& aCodec,
               const base::Clock& aClock,
               base::Duration aLogRetention,
               const telemetry::PolicyMetrics& aMetrics,
               telemetry::Logger& aLogger,
               PolicyObserver& aObserver);

  void Start();
  void Stop();

  /** The policy in force. Lock-free, for use while handling a request. */
  base::RcuCell<policy::Policy>::ReadGuard Current() const noexcept
  {
    return this->current.Read();
  }
  /** Offset after the last record that the policy includes. */
  base::LogOffset Offset() const noexcept
  {
    return base::LogOffset(this->offset.load());
  }
  /** False until the whole log was read or a peer's policy was adopted. */
  bool IsLoaded() const noexcept { return this->isLoaded.load(); }
  /** False while the log service can't be reached. */
  bool IsLogReachable() const noexcept { return this->isLogReachable.load(); }

  /** A peer has reported this offset. */
  void OnPeerOffset(base::LogOffset aOffset);
  /** Adopts the policy of a peer if it is newer. */
  void Adopt(const policy::Policy& aPolicy);

private:
  base::LogOffset OnRead(const StreamRead& aRead);
  void ReportNotes(const std::vector<journal::ReplayedRecord>& aRecords);
  void PublishIfNew();
  void WriteCheckpointIfDue();
  /** Stops the appender from retrying: the next poll tries again. */
  bool Wait(base::Duration) override { return false; }

  const base::Clock& clock;
  const base::Duration logRetention;
  const telemetry::PolicyMetrics metrics;
  telemetry::Logger& logger;
  PolicyObserver& observer;
  /** Guards the replay and keeps publications in order. */
  std::mutex mutex;
  journal::NoteReplay replay;
  /** When an offset that is not in force here yet was first seen. */
  std::optional<base::TimePoint> newerOffsetSeenAt;
  /** True once observers have got a policy, which may be the empty one. */
  bool isPublished = false;
  base::RcuCell<policy::Policy> current;
  std::atomic<std::uint64_t> offset{ 0 };
  std::atomic<bool> isLoaded{ false };
  std::atomic<bool> isLogReachable{ false };
  base::RandomEngine random;
  std::optional<journal::CheckpointSchedule> checkpointSchedule;
  journal::Appender appender;
  StreamFollower follower;
};

} // namespace amaranthwind::entry
