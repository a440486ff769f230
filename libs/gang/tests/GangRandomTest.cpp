#include "GangNetwork.h"

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
    : network(aSeed, kWorkerCount)
  {
    this->network.lossChance = 0.02 * double(this->Draw(6));
    this->network.duplicateChance = 0.05 * double(this->Draw(6));
    this->network.maxDelay = std::chrono::milliseconds(1 + this->Draw(300));
    this->network.lostAnswerChance = 0.1 * double(this->Draw(5));
    this->network.misrouteChance = 0.1;
    this->network.taskFailureChance = 0.05 * double(this->Draw(3));
  }

  void RunWithFaults()
  {
    for (int step = 0; step < 30; ++step) {
      if (this->Draw(3) == 0) {
        this->StartJob();
      }
      this->InjectFault();
      if (!this->network.HasCoordinator() && this->Draw(3) == 0) {
        this->network.AddCoordinator();
      }
      this->network.RunFor(std::chrono::milliseconds(this->Draw(1500)));
    }
  }

  void RunWithoutFaults()
  {
    this->network.lossChance = 0;
    this->network.duplicateChance = 0;
    this->network.lostAnswerChance = 0;
    this->network.misrouteChance = 0;
    this->network.isLogUp = true;
    for (std::size_t worker : this->deadWorkers) {
      this->network.RestartDaemon(worker);
    }
    this->network.AddCoordinator();
    this->network.RunFor(60s);
  }

  GangNetwork network;

private:
  std::uint64_t Draw(std::uint64_t aLimit)
  {
    return DrawBelow(this->network.random, aLimit);
  }

  void StartJob()
  {
    if (!this->network.HasCoordinator()) {
      return;
    }
    std::vector<std::size_t> order(kWorkerCount);
    std::iota(order.begin(), order.end(), 0);
    std::shuffle(order.begin(), order.end(), this->network.random);
    order.resize(1 + this->Draw(kWorkerCount));
    this->keys.push_back(
      this->network.StartJob(std::uint32_t(1 + this->Draw(4)),
                             order,
                             std::chrono::milliseconds(this->Draw(20000))));
  }

  void InjectFault()
  {
    const std::size_t worker = this->Draw(kWorkerCount);
    const auto pause = std::chrono::milliseconds(this->Draw(8000));
    switch (this->Draw(20)) {
      case 0:
        this->network.KillCoordinator();
        break;
      case 1:
      case 2:
        this->network.AddCoordinator();
        break;
      case 3:
        this->network.PauseCoordinator(pause);
        break;
      case 4:
        this->network.KillDaemon(worker);
        this->deadWorkers.insert(worker);
        break;
      case 5:
        this->network.KillWorker(worker);
        this->deadWorkers.insert(worker);
        this->network.DeliverToCoordinator(WorkerLost{ WorkerId(worker) });
        break;
      case 6:
      case 7:
        for (std::size_t dead : this->deadWorkers) {
          this->network.RestartDaemon(dead);
        }
        this->deadWorkers.clear();
        break;
      case 8:
        this->network.PauseDaemon(worker, pause);
        break;
      case 9:
        this->network.isLogUp = !this->network.isLogUp;
        break;
      case 10:
        this->Stop(StopReason::Cancelled, 0s);
        break;
      case 11:
        this->Stop(StopReason::Preempted, 3s);
        break;
      case 12:
        this->network.HandOverDaemon(worker);
        this->deadWorkers.insert(worker);
        break;
      default:
        break;
    }
  }

  void Stop(StopReason aReason, base::Duration aGrace)
  {
    if (!this->keys.empty()) {
      this->network.DeliverToCoordinator(StopRequested{
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
    if (!schedule.network.Violations().empty()) {
      const std::string& violation = schedule.network.Violations().front();
      CAPTURE(violation);
      FAIL_CHECK("invariant broken");
      ++failures;
    }
    if (!schedule.network.IsSettled()) {
      FAIL_CHECK("not settled");
      ++failures;
    }
  }
}
