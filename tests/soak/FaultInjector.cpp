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
/** How long a loss of many processes waits for the event that triggers it. */
constexpr auto kTriggerTimeout = 2s;
/** Limits of the share of delayed requests, in percent. */
constexpr unsigned kMinLateShare = 10;
constexpr unsigned kMaxLateShare = 70;

} // namespace

FaultInjector::FaultInjector(
  harness::PlatformDeployment& aDeployment,
  std::vector<std::unique_ptr<LoopbackProxy>>& aProxies,
  EventCount aAcceptedJobs,
  std::uint64_t aSeed,
  Scope aScope)
  : deployment(aDeployment)
  , proxies(aProxies)
  , random(aSeed)
  , acceptedJobs(std::move(aAcceptedJobs))
  , scope(aScope)
{
  const auto now = std::chrono::duration_cast<milliseconds>(
    std::chrono::system_clock::now().time_since_epoch());
  this->LogFault("Unix time " + std::to_string(now.count()) + " ms");
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
  if (this->triggeredLoss &&
      (this->triggeredLoss->count() > this->triggeredLoss->countBefore ||
       Clock::now() >= this->triggeredLoss->latest)) {
    this->triggeredLoss.reset();
    this->ScheduleRecovery(this->scope == Scope::Everything
                             ? this->RandomDuration(0, 30)
                             : this->RandomDuration(100, 300),
                           [this] { this->InjectGroupLoss(); });
  }
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
  this->triggeredLoss.reset();
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
  if (this->scope == Scope::SchedulersAndPower) {
    const std::uint64_t kind = this->RandomBelow(8);
    if (kind < 4) {
      this->InjectSchedulerFault();
    } else if (kind < 7) {
      this->ThrottleAllSchedulers();
    } else {
      this->InjectOrArmGroupLoss();
    }
    return;
  }
  const std::uint64_t kind = this->RandomBelow(18);
  if (kind < 3) {
    this->InjectSchedulerFault();
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
  } else if (kind < 11) {
    this->ThrottleAllSchedulers();
  } else if (kind < 13) {
    this->InjectOrArmGroupLoss();
  } else if (kind < 16) {
    this->InjectLateRequests();
  } else if (kind < 17) {
    this->InjectDeparture();
  } else {
    this->InjectEvacuation();
  }
}

void
FaultInjector::InjectSchedulerFault()
{
  auto& scheduler =
    this->deployment
      .schedulers[this->RandomBelow(this->deployment.schedulers.size())];
  this->InjectProcessFault(
    scheduler.process, scheduler.name, [this, &scheduler] {
      this->deployment.StartScheduler(scheduler);
    });
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
      this->ScheduleRecovery(
        this->RandomDuration(500, 3000),
        [&aProcess, stopped = aProcess->Pid(), start = std::move(aStart)] {
          // Otherwise, the process was killed meanwhile,
          // and that fault starts it again.
          if (aProcess != nullptr && aProcess->Pid() == stopped) {
            aProcess->Signal(SIGCONT);
            aProcess->WaitFor(kExitTimeout);
            aProcess.reset();
            start();
          }
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

void
FaultInjector::InjectEvacuation()
{
  const std::size_t index = this->RandomBelow(kZones.size());
  const bool isShort = this->RandomBelow(3) == 0;
  const auto time =
    isShort ? this->RandomDuration(20, 1000) : this->RandomDuration(1000, 8000);
  const std::string zone(kZones[index]);
  this->LogFault("evacuate " + zone);
  this->deployment.Evacuate(zone);
  this->ScheduleRecovery(
    time, [this, zone] { this->deployment.WithdrawEvacuation(zone); });
}

std::size_t
FaultInjector::SumOverWorkers(std::size_t (standins::PlatformWorker::*aCount)()
                                const noexcept) const
{
  std::size_t sum = 0;
  for (const auto& worker : this->deployment.workers) {
    sum += (*worker.worker.*aCount)();
  }
  return sum;
}

void
FaultInjector::InjectOrArmGroupLoss()
{
  TriggeredLoss loss;
  loss.latest = Clock::now() + kTriggerTimeout;
  switch (this->RandomBelow(4)) {
    case 0:
      this->InjectGroupLoss();
      return;
    case 1:
      this->LogFault("loss after the next accepted job");
      loss.count = this->acceptedJobs;
      break;
    case 2:
      this->LogFault("loss after the next accepted start");
      loss.count = [this] {
        return this->SumOverWorkers(&standins::PlatformWorker::AcceptedStarts);
      };
      break;
    default:
      this->LogFault("loss after the next listed end");
      loss.count = [this] {
        return this->SumOverWorkers(&standins::PlatformWorker::ListedEnds);
      };
  }
  loss.countBefore = loss.count();
  this->triggeredLoss = std::move(loss);
}

void
FaultInjector::InjectGroupLoss()
{
  if (this->isEnding) {
    return;
  }
  const bool includesAll = this->RandomBelow(2) == 0;
  const bool includesWorkers =
    this->RandomBelow(2) == 0 || this->scope == Scope::SchedulersAndPower;
  const auto downTime = this->RandomDuration(50, 4000);
  std::string names;
  std::vector<std::unique_ptr<harness::Process>*> lost;
  const auto add = [&](std::unique_ptr<harness::Process>& aProcess,
                       const std::string& aName,
                       std::function<void()> aStart) {
    if (aProcess == nullptr) {
      return; // The fault that took it down starts it again.
    }
    names += " " + aName;
    lost.push_back(&aProcess);
    this->ScheduleRecovery(downTime + this->RandomDuration(0, 1000),
                           std::move(aStart));
  };
  for (auto& scheduler : this->deployment.schedulers) {
    if (includesAll || this->RandomBelow(2) == 0) {
      add(scheduler.process, scheduler.name, [this, &scheduler] {
        this->deployment.StartScheduler(scheduler);
      });
    }
  }
  std::vector<standins::PlatformWorker*> lostWorkers;
  for (std::size_t i = 0; i < this->deployment.workers.size(); ++i) {
    auto& worker = this->deployment.workers[i];
    if (!includesAll && this->RandomBelow(2) == 0) {
      continue;
    }
    add(worker.agent, "agent-" + std::to_string(i), [this, &worker] {
      this->deployment.StartAgent(worker);
    });
    if (includesWorkers) {
      names += " worker-" + std::to_string(i);
      lostWorkers.push_back(worker.worker.get());
      this->ScheduleRecovery(downTime + this->RandomDuration(0, 1000),
                             [&worker] { worker.worker->PowerOn(); });
    }
  }
  this->LogFault("lose" + names);
  for (auto* process : lost) {
    (*process)->Signal(SIGKILL);
  }
  for (auto* worker : lostWorkers) {
    worker->PowerOff();
  }
  for (auto* process : lost) {
    process->reset();
  }
}

void
FaultInjector::InjectLateRequests()
{
  const auto index = this->RandomBelow(this->deployment.workers.size());
  auto& worker = *this->deployment.workers[index].worker;
  const std::uint64_t kinds = 1 + this->RandomBelow(7);
  const auto share = [&](unsigned aKind) {
    const auto percent = static_cast<unsigned>(
      kMinLateShare + this->RandomBelow(kMaxLateShare - kMinLateShare));
    return (kinds >> aKind) % 2 == 0 ? 0U : percent;
  };
  const standins::PlatformWorker::LateShares shares{ share(0),
                                                     share(1),
                                                     share(2) };
  std::string fault = "late requests worker-" + std::to_string(index) +
                      " starts " + std::to_string(shares.starts) + "% stops " +
                      std::to_string(shares.stops) + "% holds " +
                      std::to_string(shares.holds) + "%";
  worker.DelayRequests(shares);
  this->ScheduleRecovery(this->RandomDuration(500, 4000),
                         [&worker] { worker.DelayRequests({}); });
  if (this->RandomBelow(2) == 0) {
    // The next incarnation has the same id, so that the requests reach it.
    fault += ", crash follows";
    this->ScheduleRecovery(this->RandomDuration(200, 8000),
                           [&worker] { worker.Crash(); });
  }
  this->LogFault(fault);
}

void
FaultInjector::InjectDeparture()
{
  const auto index = this->RandomBelow(this->deployment.workers.size());
  auto& worker = *this->deployment.workers[index].worker;
  const auto drain = this->RandomDuration(200, 1500);
  const auto runOn = this->RandomDuration(500, 5000);
  const bool ignoresAck = this->RandomBelow(2) == 0;
  this->LogFault("leave worker-" + std::to_string(index) +
                 (ignoresAck ? ", ack lost" : ""));
  worker.Leave(drain, runOn, ignoresAck);
  this->ScheduleRecovery(drain + runOn + this->RandomDuration(50, 2000),
                         [&worker] {
                           worker.PowerOff();
                           worker.PowerOn();
                         });
}

} // namespace amaranthwind::soak
