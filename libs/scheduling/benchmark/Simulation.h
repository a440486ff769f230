#pragma once

#include "amaranthwind/base/Random.h"
#include "amaranthwind/scheduling/CellScheduler.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace amaranthwind::scheduling {

inline constexpr std::uint32_t kWorkers = 11;
inline constexpr std::uint32_t kWorkersPerRack = 3;
inline constexpr std::uint32_t kAccelerators = 8;

/** System under test: the scheduler or a baseline. */
class Engine
{
public:
  virtual ~Engine() = default;
  virtual void Handle(base::TimePoint aNow,
                      const Event& aEvent,
                      std::vector<Effect>& aEffects) = 0;
  /** Returns whether the job runs inside its account's guarantee. */
  virtual bool IsGuaranteed(const base::JobId& aJob) const = 0;
  virtual bool HasGuarantees() const = 0;
};

enum class Baseline : std::uint8_t
{
  FirstFitFifo,   // The first job that does not fit blocks all others.
  BestFit,        // In order of arrival; any job that fits starts.
  StrictPriority, // In order of urgency; any job that fits starts.
};

std::unique_ptr<Engine>
MakeEngine();
std::unique_ptr<Engine>
MakeBaseline(Baseline aKind);

struct SimulatedJob
{
  job::JobSpec spec;
  std::uint32_t urgency = 0;
  base::Duration arrival{};
  base::Duration runTime{};
  /** Time at which the caller cancels the job if it has not ended. */
  base::Duration cancel = base::Duration::max();
  /** True if the job fails on every worker. */
  bool isFaulty = false;

  bool IsLargeGang() const
  {
    return this->spec.shape.TotalAccelerators() >= 16;
  }
};

struct Workload
{
  std::vector<policy::Account> accounts;
  /** In order of arrival. */
  std::vector<SimulatedJob> jobs;
  /** Workers on which every task fails a few seconds after its start. */
  std::vector<std::uint32_t> failingWorkers;
  /** Work that arrives in kWindow as a fraction of the fleet's capacity. */
  double offeredLoad = 0;
};

struct Figures
{
  double meanCompletion = 0; // Minutes, of the jobs that succeeded.
  double p99LargeGang = 0;   // Minutes.
  double smallUrgent = 0;    // Minutes, mean of the most urgent kind.
  double unusableShare = 0;  // Unusable fraction of the free accelerators.
  double stranded = 0;    // Unusable accelerators as a fraction of the fleet.
  double utilisation = 0; // Productive fraction of the fleet in kWindow.
  double violations = 0;  // Guarantees not reclaimed in time.
  double starved = 0;     // Large gangs that waited for more than a day.
  double preemptions = 0;
  double failedJobs = 0;
};

/**
 * Interval in which jobs arrive. The simulation continues until all jobs have
 * ended or the time limit is reached.
 */
inline constexpr base::Duration kWindow = std::chrono::hours(24);

Figures
Simulate(const Workload& aWorkload, Engine& aEngine);

enum class Deployment : std::uint8_t
{
  Fundacion,
  Rotaform,
};

enum class Scenario : std::uint8_t
{
  Day,
  Overload10,
  Overload30,
  CancelBurst,
  FailingWorkers,
};

Workload
MakeWorkload(Deployment aDeployment, Scenario aScenario, std::uint64_t aSeed);

} // namespace amaranthwind::scheduling
