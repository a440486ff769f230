#pragma once

#include "amaranthwind/agent/WorkerPort.h"
#include "amaranthwind/base/Clock.h"

#include <optional>

namespace amaranthwind::agent {

/**
 * The latest end of the worker's lease that requests may have set, on the
 * worker's clock. A request that takes effect late sets no later end than the
 * one that it names.
 */
class GivenLease
{
public:
  explicit GivenLease(base::Duration aMaxLease);

  /**
   * Another life of the worker begins. Under the same id, it may still carry
   * out requests to the life before.
   */
  void BeginLife(bool aHasSameId);
  /** A request that names the deadline is sent. */
  void OnDeadline(WorkerClockTime aDeadline);
  /** The worker has told the time of its clock. */
  void OnClock(WorkerClockTime aClock);

  /**
   * How long the latest deadline given by this process to this life has been
   * past; negative if it is still to come, empty if there is none.
   */
  std::optional<WorkerClockTime> TimePast(WorkerClockTime aClock) const;
  /**
   * Whether an earlier process, or this one to an earlier life under the same
   * id, may have given a deadline that has not passed.
   */
  bool MayHaveOther(WorkerClockTime aClock) const;
  /**
   * Returns true once for each lease that has lapsed for certain by the given
   * time.
   */
  bool TakeLapse(WorkerClockTime aClock);

private:
  const WorkerClockTime maxLease;
  std::optional<WorkerClockTime> latest;
  /** Empty until the worker has told the time. */
  std::optional<WorkerClockTime> latestOfOthers;
  WorkerClockTime latestOfEarlierLives{};
  /** Whether TakeLapse() has returned true since the latest deadline. */
  bool isLapseTaken = false;
};

} // namespace amaranthwind::agent
