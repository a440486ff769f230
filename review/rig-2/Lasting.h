#pragma once

#include "Rig.h"

#include <algorithm>
#include <thread>

namespace review {

/**
 * Watches the work item of a job that lasts. Returns true if LOST is broken: it
 * is without a run for 3 s, from 6 s after its last run on, and the 3 s and the
 * 4 s before them are calm.
 */
inline bool
IsLastingItemLost(Rig& aRig,
                  const std::string& aJob,
                  Clock::time_point aLastTrouble,
                  std::chrono::milliseconds aWatchTime)
{
  constexpr auto kGrace = 6s;
  constexpr auto kCalm = 4s;
  constexpr auto kMaxIdle = 3s;
  const auto end = Clock::now() + aWatchTime;
  auto lastRun = Clock::now();
  bool wasRunning = true;
  bool isLost = false;
  while (Clock::now() < end) {
    const bool isRunning = aRig.Running(aJob) > 0;
    const auto now = Clock::now();
    if (isRunning != wasRunning) {
      aRig.record.Line(isRunning ? "the lasting work item runs"
                                 : "the lasting work item has no run");
    }
    wasRunning = isRunning;
    lastRun = isRunning ? now : lastRun;
    const auto countedFrom = std::max(lastRun + kGrace, aLastTrouble + kCalm);
    if (!isLost && now - countedFrom > kMaxIdle) {
      isLost = true;
      aRig.record.Line("the rule's time is over");
    }
    std::this_thread::sleep_for(20ms);
  }
  return isLost;
}

} // namespace review
