#pragma once

#include "amaranthwind/base/Random.h"
#include "harness/PlatformDeployment.h"
#include "soak/LoopbackProxy.h"

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthwind::soak {

/** Availability zones of the workers, which take turns. */
inline constexpr std::array<std::string_view, 2> kZones{ "z0", "z1" };

/**
 * Injects random faults and ends each of them after a random time; several
 * faults may be active at once. Not thread-safe.
 */
class FaultInjector
{
public:
  using Clock = std::chrono::steady_clock;
  /** Number of events so far; never decreases. */
  using EventCount = std::function<std::size_t()>;
  enum class Scope : std::uint8_t
  {
    Everything,
    /** Faults of schedulers, and losses of power of whole VMs. */
    SchedulersAndPower,
  };

  /** @param aAcceptedJobs Counts the jobs that schedulers have accepted. */
  FaultInjector(harness::PlatformDeployment& aDeployment,
                std::vector<std::unique_ptr<LoopbackProxy>>& aProxies,
                EventCount aAcceptedJobs,
                std::uint64_t aSeed,
                Scope aScope);

  /** Starts and ends the faults that are due; call every few milliseconds. */
  void Update();
  /**
   * Ends all faults. Starts the processes that are down without waiting until
   * they are ready.
   */
  void EndAllFaults();
  /** Injected faults in order, each as "<milliseconds since start> <fault>". */
  const std::vector<std::string>& Log() const noexcept { return this->log; }

private:
  /** Action that ends a fault at a given time. */
  struct Recovery
  {
    Clock::time_point at;
    std::function<void()> action;
    /** Reversed, so that the priority queue returns the earliest first. */
    bool operator<(const Recovery& aOther) const
    {
      return aOther.at < this->at;
    }
  };

  /** A process runs and is paused in turn until the end. */
  struct Throttle
  {
    std::chrono::milliseconds runTime;
    std::chrono::milliseconds pauseTime;
    Clock::time_point end;
  };

  /** A loss of many processes that waits for the next event of a kind. */
  struct TriggeredLoss
  {
    EventCount count;
    std::size_t countBefore = 0;
    /** The loss happens at this time if there is no event until then. */
    Clock::time_point latest;
  };

  /** Ends the faults whose end is due by aTime. */
  void RunRecoveriesUntil(Clock::time_point aTime);
  void InjectRandomFault();
  void InjectSchedulerFault();
  void InjectProcessFault(std::unique_ptr<harness::Process>& aProcess,
                          const std::string& aName,
                          std::function<void()> aStart);
  Throttle RandomThrottle();
  /**
   * Gives a process only part of its processor time. Also slows down a process
   * that is started in its place meanwhile.
   */
  void ThrottleProcess(std::unique_ptr<harness::Process>& aProcess,
                       const Throttle& aThrottle);
  void ThrottleAllSchedulers();
  void InjectLinkFault();
  void InjectStoreFault();
  void InjectWorkerFault();
  /** Injects a loss now, or directly after the next event of a random kind. */
  void InjectOrArmGroupLoss();
  /**
   * Kills a random set of processes, or all of them, at the same moment, with
   * or without their workers.
   */
  void InjectGroupLoss();
  void InjectLateRequests();
  void InjectDeparture();
  /** Evacuates a zone; another evacuation of it may end it earlier. */
  void InjectEvacuation();
  std::size_t SumOverWorkers(std::size_t (standins::PlatformWorker::*aCount)()
                               const noexcept) const;
  std::uint64_t RandomBelow(std::uint64_t aBelow);
  std::chrono::milliseconds RandomDuration(unsigned aFrom, unsigned aTo);
  void ScheduleRecovery(std::chrono::milliseconds aDelay,
                        std::function<void()> aAction);
  void LogFault(const std::string& aFault);

  harness::PlatformDeployment& deployment;
  std::vector<std::unique_ptr<LoopbackProxy>>& proxies;
  base::RandomEngine random;
  const Clock::time_point start = Clock::now();
  Clock::time_point nextFault = Clock::now();
  std::priority_queue<Recovery> recoveries;
  EventCount acceptedJobs;
  const Scope scope;
  std::optional<TriggeredLoss> triggeredLoss;
  std::vector<std::string> log;
  /** No fault may be prolonged while all of them are being ended. */
  bool isEnding = false;
};

} // namespace amaranthwind::soak
