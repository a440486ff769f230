#include "soak/FaultInjector.h"

#include <csignal>

namespace amaranthwind::soak {

using namespace std::chrono_literals;
using std::chrono::milliseconds;
using Flow = LoopbackProxy::Flow;
using Mode = standins::PlatformStore::Mode;

namespace {

/** Mean pause between two faults; each lasts up to some seconds. */
constexpr unsigned kPauseMs = 500;
/** A process that was told to end has this long. */
constexpr auto kGrace = 6s;

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
FaultInjector::Draw(std::uint64_t aBelow)
{
  return this->random() % aBelow;
}

milliseconds
FaultInjector::DrawTime(unsigned aFrom, unsigned aTo)
{
  return milliseconds(aFrom + this->Draw(aTo - aFrom));
}

void
FaultInjector::After(milliseconds aDelay, std::function<void()> aAction)
{
  this->repairs.push({ Clock::now() + aDelay, std::move(aAction) });
}

void
FaultInjector::Note(const std::string& aText)
{
  const auto at =
    std::chrono::duration_cast<milliseconds>(Clock::now() - this->start);
  this->log.push_back(std::to_string(at.count()) + " " + aText);
}

void
FaultInjector::Update()
{
  this->RepairUntil(Clock::now());
  if (Clock::now() >= this->next) {
    this->Inject();
    this->next = Clock::now() + this->DrawTime(0, 2 * kPauseMs);
  }
}

void
FaultInjector::HealAll()
{
  this->RepairUntil(Clock::time_point::max());
}

void
FaultInjector::RepairUntil(Clock::time_point aTime)
{
  while (!this->repairs.empty() && this->repairs.top().at <= aTime) {
    const auto action = this->repairs.top().action;
    this->repairs.pop();
    action();
  }
}

void
FaultInjector::Inject()
{
  const std::uint64_t kind = this->Draw(10);
  if (kind < 3) {
    auto& scheduler =
      this->deployment
        .schedulers[this->Draw(this->deployment.schedulers.size())];
    this->DisturbProcess(scheduler.process, scheduler.name, [this, &scheduler] {
      this->deployment.StartScheduler(scheduler);
    });
  } else if (kind < 5) {
    const auto index = this->Draw(this->deployment.workers.size());
    auto& worker = this->deployment.workers[index];
    this->DisturbProcess(
      worker.agent, "agent-" + std::to_string(index), [this, &worker] {
        this->deployment.StartAgent(worker);
      });
  } else if (kind < 8) {
    this->DisturbLink();
  } else if (kind < 9) {
    this->DisturbStore();
  } else {
    this->DisturbWorker();
  }
}

void
FaultInjector::DisturbProcess(std::unique_ptr<harness::Process>& aProcess,
                              const std::string& aName,
                              std::function<void()> aStart)
{
  if (aProcess == nullptr) {
    return; // It is down already.
  }
  switch (this->Draw(3)) {
    case 0:
      this->Note("kill " + aName);
      aProcess.reset();
      this->After(this->DrawTime(50, 2000), std::move(aStart));
      break;
    case 1:
      this->Note("stop " + aName);
      aProcess->Signal(SIGTERM);
      aProcess->Signal(SIGTERM);
      this->After(this->DrawTime(500, 3000),
                  [&aProcess, start = std::move(aStart)] {
                    if (aProcess != nullptr) {
                      aProcess->Signal(SIGCONT);
                      aProcess->WaitFor(kGrace);
                    }
                    start();
                  });
      break;
    default:
      this->Note("pause " + aName);
      aProcess->Signal(SIGSTOP);
      this->After(this->DrawTime(200, 8000), [&aProcess] {
        if (aProcess != nullptr) {
          aProcess->Signal(SIGCONT);
        }
      });
  }
}

void
FaultInjector::DisturbLink()
{
  const auto index = this->Draw(this->proxies.size());
  LoopbackProxy& proxy = *this->proxies[index];
  const std::string name = " link-" + std::to_string(index);
  switch (this->Draw(4)) {
    case 0:
      this->Note("reset" + name);
      proxy.ResetConnections();
      break;
    case 1:
      this->Note("silence" + name);
      proxy.SilenceConnections();
      break;
    case 2:
      this->Note("delay" + name);
      proxy.SetDelay(this->DrawTime(20, 400));
      this->After(this->DrawTime(500, 4000), [&proxy] { proxy.SetDelay(0ms); });
      break;
    default: {
      this->Note("hold" + name);
      constexpr Flow kFlows[] = { Flow::HeldToServer,
                                  Flow::HeldToClient,
                                  Flow::Held };
      proxy.SetFlow(kFlows[this->Draw(std::size(kFlows))]);
      this->After(this->DrawTime(300, 8000),
                  [&proxy] { proxy.SetFlow(Flow::Open); });
    }
  }
}

void
FaultInjector::DisturbStore()
{
  switch (this->Draw(3)) {
    case 0:
      this->Note("store compacts");
      this->deployment.store.Compact();
      return;
    case 1:
      this->Note("store down");
      this->deployment.store.SetMode(Mode::Down);
      break;
    default:
      this->Note("store loses answers");
      this->deployment.store.SetMode(Mode::LoseAnswers);
  }
  this->After(this->DrawTime(300, 5000),
              [this] { this->deployment.store.SetMode(Mode::Up); });
}

void
FaultInjector::DisturbWorker()
{
  const auto index = this->Draw(this->deployment.workers.size());
  auto& worker = *this->deployment.workers[index].worker;
  if (this->Draw(2) == 0) {
    this->Note("crash worker-" + std::to_string(index));
    worker.Crash();
    return;
  }
  this->Note("lost start answers worker-" + std::to_string(index));
  worker.LoseStartAnswers(true);
  this->After(this->DrawTime(300, 3000),
              [&worker] { worker.LoseStartAnswers(false); });
}

} // namespace amaranthwind::soak
