#pragma once

#include "amaranthwind/base/Backoff.h"
#include "amaranthwind/dispatch/EndRecord.h"
#include "amaranthwind/journal/KeyedFollower.h"
#include "amaranthwind/telemetry/Logger.h"
#include "amaranthwind/telemetry/Metrics.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace amaranthwind::coordinator {

/** A record of ends as it was read. */
struct ReadEndRecord
{
  dispatch::EndRecordId id;
  dispatch::EndRecord record;
};

/** Receives the recorded ends. Called on the executor of EndRecords. */
class EndRecordObserver
{
public:
  virtual ~EndRecordObserver() = default;
  virtual void OnRecordedEnds(std::span<const ReadEndRecord> aRecords) = 0;
  /** All records of the partition acknowledged before aAsOf were passed on. */
  virtual void OnEndsConfirmed(std::uint32_t aPartition,
                               base::TimePoint aAsOf) = 0;
};

/** Logs and counts the records of ends, over all terms of an entry. */
class EndRecordLog
{
public:
  EndRecordLog(telemetry::Logger& aLogger, telemetry::Metrics& aMetrics);

  void OnRead(std::span<const ReadEndRecord> aRecords);
  /** Called once for the undecodable records of one answer of the log. */
  void OnUndecodable(std::size_t aCount,
                     const journal::KeyedRecord& aFirst,
                     const base::Error& aError);
  void OnDeleted(std::size_t aCount);
  void OnDeletionFailed(std::size_t aCount, const base::Error& aError);
  void OnUnavailable(std::uint32_t aPartition, const base::Error& aError);
  void OnAvailable(std::uint32_t aPartition);

private:
  telemetry::Logger& logger;
  telemetry::Counter read;
  telemetry::Counter undecodable;
  telemetry::Counter deleted;
};

/**
 * Follows one partition of the records of ends that agents write while no
 * coordinator acknowledges them, for one term of leadership, and deletes those
 * whose ends are durable elsewhere. Records that are read before Begin() are
 * kept; the log keeps the newest of each key only, which bounds them.
 *
 * A deletion needs no fencing, however late it takes effect: when it is sent,
 * the records of the steps that the ends changed are confirmed to be in the
 * log, and a key is used for the same last end of the same life of a worker
 * only. A successor reads these steps after it has fenced off this coordinator.
 * A record that is appended after its deletion is handled and deleted again.
 *
 * Confined to one executor; after destruction no callback has an effect.
 */
class EndRecords final : public journal::FollowerObserver
{
public:
  /** All references must outlive the object. */
  EndRecords(std::uint32_t aPartition,
             const base::Clock& aClock,
             base::Executor& aExecutor,
             journal::KeyedLog& aLog,
             EndRecordLog& aRecordLog,
             EndRecordObserver& aObserver);
  ~EndRecords() override;
  EndRecords(const EndRecords&) = delete;
  EndRecords& operator=(const EndRecords&) = delete;

  /**
   * Reads the log until a view as of now or later is confirmed. Views from
   * before the first call are not passed on, so that must follow the fencing of
   * earlier coordinators.
   */
  void Confirm();
  /** Passes on what was read so far and what follows. */
  void Begin();
  /** What the record at this offset contains is durable elsewhere. */
  void Delete(base::LogOffset aOffset);

  void OnLoaded(std::span<const journal::KeyedRecord> aNewest) override;
  void OnRecords(std::span<const journal::KeyedRecord> aRecords) override;
  void OnCurrent(base::TimePoint aAsOf) override;
  void OnUnavailable(const base::Error& aError) override;
  void OnAvailable() override;

private:
  void PassOn(std::span<const journal::KeyedRecord> aRecords);
  /** The key was deleted, or its newest record is being replaced. */
  void ForgetNewest(const std::string& aKey);
  void PassOnView();
  void SendConfirmation();
  void RepeatConfirmation();
  void ScheduleDeletions(base::Duration aDelay);
  void SendDeletions();
  void OnDeletionAnswer(const std::map<std::string, base::LogOffset>& aSent,
                        const base::Result<base::LogOffset>& aResult);
  void RunAfter(base::Duration aDelay, void (EndRecords::*aTask)());

  const std::uint32_t partition;
  const base::Clock& clock;
  base::Executor& executor;
  journal::KeyedLog& log;
  EndRecordLog& recordLog;
  EndRecordObserver& observer;
  bool hasBegun = false;
  /** Newest record of each key that was read before Begin(). */
  std::map<std::string, journal::KeyedRecord> waiting;
  /** Offset of the newest record of each key that was passed on. */
  std::map<std::string, base::LogOffset> newest;
  /** Keys by the offsets in `newest`. */
  std::map<base::LogOffset, std::string> keys;
  /** Keys whose record at the given offset is to be deleted. */
  std::map<std::string, base::LogOffset> deletions;
  bool isDeletionScheduled = false;
  base::Backoff deletionBackoff;
  /** When Confirm() was first called, after predecessors were fenced off. */
  std::optional<base::TimePoint> validFrom;
  /** The view is wanted as of this time. */
  base::TimePoint wantedAsOf{};
  base::TimePoint confirmedAsOf{};
  /** A read is on its way, or the next one has to wait. */
  bool isConfirming = false;
  base::TimePoint nextConfirmationAt{};
  journal::KeyedFollower follower;
  /** Disables callbacks that run after destruction. */
  std::shared_ptr<bool> isAlive = std::make_shared<bool>(true);
};

} // namespace amaranthwind::coordinator
