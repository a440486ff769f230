#pragma once

#include "amaranthwind/base/Random.h"
#include "amaranthwind/dispatch/Dispatcher.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthwind::dispatch {

/** Jobs of one kind and what they are worth. */
struct KindProfile
{
  std::string name;
  std::uint32_t urgency = 0;
  /** Worth of a job of mean size in time, and late. */
  double value = 1;
  double lateValue = 0;
  double jobsPerSecond = 0;
  /** Mean and logarithmic spread of a task's time in seconds. */
  double taskSeconds = 0;
  double taskSpread = 0;
  double taskSecondsMax = 0;
  /** Mean and logarithmic spread of the number of tasks. */
  double width = 1;
  double widthSpread = 0.8;
  double widthMax = 1;
  fleet::TaskResources need;
  /** A job takes one of these as the accelerators of each task. */
  std::vector<std::uint32_t> accelerators;
  double stretch = 1;
  base::Duration slack{};
  std::uint32_t maxAttempts = 2;
  bool isGang = false;
  /** Shares of the jobs. */
  double oneRackShare = 0;
  double checkpointShare = 0;
  double cancelShare = 0;
  /** Share of the runs that fail. */
  double failShare = 0;
  /** Jobs that are there before the others arrive. */
  std::uint32_t backlog = 0;
};

/** More jobs of one kind for a while. */
struct ArrivalBurst
{
  std::size_t kind = 0;
  double start = 0;
  double duration = 0;
  double factor = 1;
};

struct SiteProfile
{
  std::string name;
  std::uint32_t workers = 0;
  std::uint32_t workersPerRack = 0;
  base::Duration stopTime{};
  base::Duration restoreTime{};
  std::vector<KindProfile> kinds;
  std::vector<ArrivalBurst> bursts;
  std::uint32_t accounts = 4;
  /** Share of the accelerators that are guaranteed to accounts. */
  double guaranteedShare = 0.62;
};

SiteProfile
MakeBancosAndinos(bool aIsGrown);
SiteProfile
MakeRotaform(bool aIsGrown);

/** Shares are of what all jobs that were not cancelled are worth. */
struct SimulationResult
{
  double credit = 0;
  /** Price of the work that was thrown away. */
  double waste = 0;
  /** Share of the jobs that end within three times their objective. */
  double served = 0;
  std::vector<double> creditByKind;
  std::uint32_t stoppedRuns = 0;
};

/** Plays one day of 34 s of arrivals until all work has had time to end. */
SimulationResult
Simulate(const SiteProfile& aSite, std::uint64_t aSeed);

} // namespace amaranthwind::dispatch
