#include "soak/FaultInjector.h"

#include <csignal>

namespace amaranthwind::soak {

using namespace std::chrono_literals;
using std::chrono::milliseconds;
using Flow = LoopbackProxy::Flow;
using Mode = standins::PlatformStore::Mode;

namespace {

/** Mean time between two faults; a fault that is timed lasts up to 8 s. */
constexpr unsigned kMeanFaultIntervalMs = 500;
/** How long to wait for a terminated process to exit before replacing it. */
constexpr auto kExitTimeout = 6s;

} // namespace

FaultInjector::FaultInjector(
  harness::PlatformDeployment& aDeployment,
  std::vector<std::unique_ptr<LoopbackProxy>>& aProxies,
  std::uint64_t aSeed)
  : deployment(aDeployment)
  , proxies(aProxies)
  , random(aSeed)
{
}

std::uint64_t
FaultInjector::RandomBelow(std::uint64_t aBelow)
{
  return this->random() % aBelow;
}

milliseconds
FaultInjector::RandomDuration(unsigned aFrom, unsigned aTo)
{
  return milliseconds(aFrom + this->RandomBelow(aTo - aFrom));
}

void
FaultInjector::ScheduleRecovery(milliseconds aDelay,
                                std::function<void()> aAction)
{
  this->recoveries.push({ Clock::now() + aDelay, std::move(aAction) });
}

void
FaultInjector::LogFault(const std::string& aFault)
{
  const auto at =
    std::chrono::duration_cast<milliseconds>(Clock::now() - this->start);
  this->log.push_back(std::to_string(at.count()) + " " + aFault);
}

void
FaultInjector::Update()
{
  this->RunRecoveriesUntil(Clock::now());
  if (Clock::now() >= this->nextFault) {
    this->InjectRandomFault();
    this->nextFault =
      Clock::now() + this->RandomDuration(0, 2 * kMeanFaultIntervalMs);
  }
}

void
FaultInjector::EndAllFaults()
{
  this->isEnding = true;
  this->RunRecoveriesUntil(Clock::time_point::max());
}

void
FaultInjector::RunRecoveriesUntil(Clock::time_point aTime)
{
  while (!this->recoveries.empty() && this->recoveries.top().at <= aTime) {
    const auto action = this->recoveries.top().action;
    this->recoveries.pop();
    action();
  }
}

void
FaultInjector::InjectRandomFault()
{
  const std::uint64_t kind = this->RandomBelow(11);
  if (kind < 3) {
    auto& scheduler =
      this->deployment
        .schedulers[this->RandomBelow(this->deployment.schedulers.size())];
    this->InjectProcessFault(
      scheduler.process, scheduler.name, [this, &scheduler] {
        this->deployment.StartScheduler(scheduler);
      });
  } else if (kind < 5) {
    const auto index = this->RandomBelow(this->deployment.workers.size());
    auto& worker = this->deployment.workers[index];
    this->InjectProcessFault(
      worker.agent, "agent-" + std::to_string(index), [this, &worker] {
        this->deployment.StartAgent(worker);
      });
  } else if (kind < 8) {
    this->InjectLinkFault();
  } else if (kind < 9) {
    this->InjectStoreFault();
  } else if (kind < 10) {
    this->InjectWorkerFault();
  } else {
    this->ThrottleAllSchedulers();
  }
}

void
FaultInjector::InjectProcessFault(std::unique_ptr<harness::Process>& aProcess,
                                  const std::string& aName,
                                  std::function<void()> aStart)
{
  if (aProcess == nullptr) {
    return; // The process is already down.
  }
  switch (this->RandomBelow(4)) {
    case 0:
      this->LogFault("kill " + aName);
      aProcess.reset();
      this->ScheduleRecovery(this->RandomDuration(50, 2000), std::move(aStart));
      break;
    case 1:
      this->LogFault("stop " + aName);
      aProcess->Signal(SIGTERM);
      aProcess->Signal(SIGTERM);
      this->ScheduleRecovery(this->RandomDuration(500, 3000),
                             [&aProcess, start = std::move(aStart)] {
                               if (aProcess != nullptr) {
                                 aProcess->Signal(SIGCONT);
                                 aProcess->WaitFor(kExitTimeout);
                               }
                               start();
                             });
      break;
    case 2:
      this->LogFault("slow " + aName);
      this->ThrottleProcess(aProcess, this->RandomThrottle());
      break;
    default:
      this->LogFault("pause " + aName);
      aProcess->Signal(SIGSTOP);
      this->ScheduleRecovery(this->RandomDuration(200, 8000), [&aProcess] {
        if (aProcess != nullptr) {
          aProcess->Signal(SIGCONT);
        }
      });
  }
}

FaultInjector::Throttle
FaultInjector::RandomThrottle()
{
  return { this->RandomDuration(10, 30),
           this->RandomDuration(60, 200),
           Clock::now() + this->RandomDuration(1000, 8000) };
}

void
FaultInjector::ThrottleProcess(std::unique_ptr<harness::Process>& aProcess,
                               const Throttle& aThrottle)
{
  if (this->isEnding || Clock::now() >= aThrottle.end) {
    return;
  }
  if (aProcess != nullptr) {
    aProcess->Signal(SIGSTOP);
  }
  this->ScheduleRecovery(
    aThrottle.pauseTime, [this, &aProcess, throttle = aThrottle] {
      if (aProcess != nullptr) {
        aProcess->Signal(SIGCONT);
      }
      this->ScheduleRecovery(throttle.runTime, [this, &aProcess, throttle] {
        this->ThrottleProcess(aProcess, throttle);
      });
    });
}

void
FaultInjector::ThrottleAllSchedulers()
{
  this->LogFault("slow schedulers");
  for (auto& scheduler : this->deployment.schedulers) {
    this->ThrottleProcess(scheduler.process, this->RandomThrottle());
  }
}

void
FaultInjector::InjectLinkFault()
{
  const auto index = this->RandomBelow(this->proxies.size());
  LoopbackProxy& proxy = *this->proxies[index];
  const std::string name = " link-" + std::to_string(index);
  switch (this->RandomBelow(4)) {
    case 0:
      this->LogFault("reset" + name);
      proxy.ResetConnections();
      break;
    case 1:
      this->LogFault("silence" + name);
      proxy.SilenceConnections();
      break;
    case 2:
      this->LogFault("delay" + name);
      proxy.SetDelay(this->RandomDuration(20, 400));
      this->ScheduleRecovery(this->RandomDuration(500, 4000),
                             [&proxy] { proxy.SetDelay(0ms); });
      break;
    default: {
      this->LogFault("hold" + name);
      constexpr Flow kFlows[] = { Flow::HeldToServer,
                                  Flow::HeldToClient,
                                  Flow::Held };
      proxy.SetFlow(kFlows[this->RandomBelow(std::size(kFlows))]);
      this->ScheduleRecovery(this->RandomDuration(300, 8000),
                             [&proxy] { proxy.SetFlow(Flow::Open); });
    }
  }
}

void
FaultInjector::InjectStoreFault()
{
  switch (this->RandomBelow(4)) {
    case 0:
      this->LogFault("store compacts");
      this->deployment.store.Compact();
      return;
    case 3: {
      this->LogFault("store slow");
      this->deployment.store.SetAnswerTime(this->RandomDuration(50, 1000));
      this->ScheduleRecovery(this->RandomDuration(300, 5000), [this] {
        this->deployment.store.SetAnswerTime(0ms);
      });
      return;
    }
    case 1:
      this->LogFault("store down");
      this->deployment.store.SetMode(Mode::Down);
      break;
    default:
      this->LogFault("store loses answers");
      this->deployment.store.SetMode(Mode::DropReplies);
  }
  this->ScheduleRecovery(this->RandomDuration(300, 5000),
                         [this] { this->deployment.store.SetMode(Mode::Up); });
}

void
FaultInjector::InjectWorkerFault()
{
  const auto index = this->RandomBelow(this->deployment.workers.size());
  auto& worker = *this->deployment.workers[index].worker;
  if (this->RandomBelow(2) == 0) {
    this->LogFault("crash worker-" + std::to_string(index));
    worker.Crash();
    return;
  }
  this->LogFault("lost start answers worker-" + std::to_string(index));
  worker.DropStartReplies(true);
  this->ScheduleRecovery(this->RandomDuration(300, 3000),
                         [&worker] { worker.DropStartReplies(false); });
}

} // namespace amaranthwind::soak
