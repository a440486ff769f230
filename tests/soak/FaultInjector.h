#pragma once

#include "amaranthwind/base/Random.h"
#include "harness/PlatformDeployment.h"
#include "soak/LoopbackProxy.h"

#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace amaranthwind::soak {

/**
 * Draws faults and ends each of them after a while; several may be on at a
 * time. Not thread-safe.
 */
class FaultInjector
{
public:
  using Clock = std::chrono::steady_clock;

  FaultInjector(harness::PlatformDeployment& aDeployment,
                std::vector<std::unique_ptr<LoopbackProxy>>& aProxies,
                std::uint64_t aSeed);

  /** Begins and ends what is due; call it every few milliseconds. */
  void Update();
  /** Ends all faults; processes that were down are started, not awaited. */
  void HealAll();
  /** "milliseconds kind", in order. */
  const std::vector<std::string>& Log() const noexcept { return this->log; }

private:
  struct Repair
  {
    Clock::time_point at;
    std::function<void()> action;
    bool operator<(const Repair& aOther) const { return aOther.at < this->at; }
  };

  /** Ends the faults that are due by then. */
  void RepairUntil(Clock::time_point aTime);
  void Inject();
  void DisturbProcess(std::unique_ptr<harness::Process>& aProcess,
                      const std::string& aName,
                      std::function<void()> aStart);
  void DisturbLink();
  void DisturbStore();
  void DisturbWorker();
  std::uint64_t Draw(std::uint64_t aBelow);
  std::chrono::milliseconds DrawTime(unsigned aFrom, unsigned aTo);
  void After(std::chrono::milliseconds aDelay, std::function<void()> aAction);
  void Note(const std::string& aText);

  harness::PlatformDeployment& deployment;
  std::vector<std::unique_ptr<LoopbackProxy>>& proxies;
  base::RandomEngine random;
  const Clock::time_point start = Clock::now();
  Clock::time_point next = Clock::now();
  std::priority_queue<Repair> repairs;
  std::vector<std::string> log;
};

} // namespace amaranthwind::soak
