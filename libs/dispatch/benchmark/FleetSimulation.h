#pragma once

#include "amaranthwind/base/Random.h"
#include "amaranthwind/dispatch/Dispatcher.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthwind::dispatch {

/** Arrivals, size and value of the jobs of one kind. */
struct KindProfile
{
  std::string name;
  std::uint32_t urgency = 0;
  /** Value of a job of mean size that meets its objective, and of a late one.
   */
  double value = 1;
  double lateValue = 0;
  double jobsPerSecond = 0;
  /** Mean and log-normal sigma of a task's run time in seconds. */
  double taskSeconds = 0;
  double taskSpread = 0;
  double taskSecondsMax = 0;
  /** Mean and log-normal sigma of the number of tasks. */
  double width = 1;
  double widthSpread = 0.8;
  double widthMax = 1;
  fleet::TaskResources need;
  /** Each job picks one of these as the accelerators per task. */
  std::vector<std::uint32_t> accelerators;
  double stretch = 1;
  base::Duration slack{};
  std::uint32_t maxAttempts = 2;
  bool isGang = false;
  /** Fractions of the jobs with each property. */
  double oneRackShare = 0;
  double checkpointShare = 0;
  double cancelShare = 0;
  /** Fraction of the runs that fail. */
  double failShare = 0;
  /** Number of jobs queued before the arrivals begin. */
  std::uint32_t backlog = 0;
};

/** A temporary increase of the arrival rate of one kind. */
struct ArrivalBurst
{
  std::size_t kind = 0;
  double start = 0;
  double duration = 0;
  double factor = 1;
};

/** Fleet, timings and workload of a simulated deployment. */
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
  /** Fraction of the accelerators that is guaranteed to accounts. */
  double guaranteedShare = 0.62;
};

SiteProfile
MakeBancosAndinos(bool aIsGrown);
SiteProfile
MakeRotaform(bool aIsGrown);

/** Fractions relate to the total value of all jobs that were not cancelled. */
struct SimulationResult
{
  double credit = 0;
  /** Cost of the discarded work. */
  double waste = 0;
  /** Fraction of the jobs that end within three times their objective. */
  double served = 0;
  std::vector<double> creditByKind;
  std::uint32_t stoppedRuns = 0;
};

/** Simulates a day, compressed to 34 s of arrivals, until the work can end. */
SimulationResult
Simulate(const SiteProfile& aSite, std::uint64_t aSeed);

} // namespace amaranthwind::dispatch
