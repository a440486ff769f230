#include "GangSimulation.h"

#include <doctest/doctest.h>

#include <numeric>

using namespace amaranthwind;
using namespace amaranthwind::gang;
using namespace amaranthwind::gang::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kWorkerCount = 8;
constexpr std::uint64_t kScheduleCount = 2500;

std::uint64_t
DrawBelow(base::RandomEngine& aRandom, std::uint64_t aLimit)
{
  return std::uniform_int_distribution<std::uint64_t>(0, aLimit - 1)(aRandom);
}

/** Random jobs and faults generated from one seed. */
class Schedule
{
public:
  explicit Schedule(std::uint64_t aSeed)
    : simulation(aSeed, kWorkerCount)
  {
    this->simulation.lossChance = 0.02 * double(this->Draw(6));
    this->simulation.duplicateChance = 0.05 * double(this->Draw(6));
    this->simulation.maxDelay = std::chrono::milliseconds(1 + this->Draw(300));
    this->simulation.lostAnswerChance = 0.1 * double(this->Draw(5));
    this->simulation.misrouteChance = 0.1;
    this->simulation.taskFailureChance = 0.05 * double(this->Draw(3));
  }

  void RunWithFaults()
  {
    for (int step = 0; step < 30; ++step) {
      if (this->Draw(3) == 0) {
        this->StartJob();
      }
      this->InjectFault();
      if (!this->simulation.HasCoordinator() && this->Draw(3) == 0) {
        this->simulation.AddCoordinator();
      }
      this->simulation.RunFor(std::chrono::milliseconds(this->Draw(1500)));
    }
  }

  void RunWithoutFaults()
  {
    this->simulation.lossChance = 0;
    this->simulation.duplicateChance = 0;
    this->simulation.lostAnswerChance = 0;
    this->simulation.misrouteChance = 0;
    this->simulation.isLogUp = true;
    for (std::size_t worker : this->deadWorkers) {
      this->simulation.RestartDaemon(worker);
    }
    this->simulation.AddCoordinator();
    this->simulation.RunFor(60s);
  }

  GangSimulation simulation;

private:
  std::uint64_t Draw(std::uint64_t aLimit)
  {
    return DrawBelow(this->simulation.random, aLimit);
  }

  void StartJob()
  {
    if (!this->simulation.HasCoordinator()) {
      return;
    }
    std::vector<std::size_t> order(kWorkerCount);
    std::iota(order.begin(), order.end(), 0);
    std::shuffle(order.begin(), order.end(), this->simulation.random);
    order.resize(1 + this->Draw(kWorkerCount));
    this->keys.push_back(
      this->simulation.StartJob(std::uint32_t(1 + this->Draw(4)),
                                order,
                                std::chrono::milliseconds(this->Draw(20000))));
  }

  void InjectFault()
  {
    const std::size_t worker = this->Draw(kWorkerCount);
    const auto pause = std::chrono::milliseconds(this->Draw(8000));
    switch (this->Draw(20)) {
      case 0:
        this->simulation.KillCoordinator();
        break;
      case 1:
      case 2:
        this->simulation.AddCoordinator();
        break;
      case 3:
        this->simulation.PauseCoordinator(pause);
        break;
      case 4:
        this->simulation.KillDaemon(worker);
        this->deadWorkers.insert(worker);
        break;
      case 5:
        this->simulation.KillWorker(worker);
        this->deadWorkers.insert(worker);
        this->simulation.DeliverToCoordinator(WorkerLost{ WorkerId(worker) });
        break;
      case 6:
      case 7:
        for (std::size_t dead : this->deadWorkers) {
          this->simulation.RestartDaemon(dead);
        }
        this->deadWorkers.clear();
        break;
      case 8:
        this->simulation.PauseDaemon(worker, pause);
        break;
      case 9:
        this->simulation.isLogUp = !this->simulation.isLogUp;
        break;
      case 10:
        this->Stop(StopReason::Cancelled, 0s);
        break;
      case 11:
        this->Stop(StopReason::Preempted, 3s);
        break;
      case 12:
        this->simulation.HandOverDaemon(worker);
        this->deadWorkers.insert(worker);
        break;
      default:
        break;
    }
  }

  void Stop(StopReason aReason, base::Duration aGrace)
  {
    if (!this->keys.empty()) {
      this->simulation.DeliverToCoordinator(StopRequested{
        this->keys[this->Draw(this->keys.size())], aReason, aGrace });
    }
  }

  std::vector<AttemptKey> keys;
  std::set<std::size_t> deadWorkers;
};

} // namespace

// Guards against sequences of faults that break an invariant: a gang that runs
// incompletely, accelerators used twice, two decisions on one attempt, a wrong
// outcome, or an attempt that never ends.
TEST_CASE("random faults break no invariant, and all attempts end after them")
{
  std::size_t failures = 0;
  for (std::uint64_t seed = 1; seed <= kScheduleCount && failures < 5; ++seed) {
    CAPTURE(seed);
    Schedule schedule(seed);
    schedule.RunWithFaults();
    schedule.RunWithoutFaults();
    if (!schedule.simulation.Violations().empty()) {
      const std::string& violation = schedule.simulation.Violations().front();
      CAPTURE(violation);
      FAIL_CHECK("invariant broken");
      ++failures;
    }
    if (!schedule.simulation.IsSettled()) {
      FAIL_CHECK("not settled");
      ++failures;
    }
  }
}
