#include "soak/Soak.h"

#include "harness/Address.h"
#include "soak/FaultInjector.h"
#include "soak/History.h"

#include <array>
#include <atomic>
#include <thread>

namespace amaranthwind::soak {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

namespace {

constexpr std::size_t kCallers = 3;
constexpr auto kStep = 10ms;
/** All jobs end within this time after the last fault. */
constexpr auto kSettleTime = 60s;
/** A withdrawn key is refused this long after its configuration. */
constexpr auto kRevokeLimit = 5s;
constexpr auto kFirstRotation = 1500ms;
/** Longer than kRevokeLimit, so that each withdrawn key is tried after it. */
constexpr auto kKeyLife = 7500ms;
constexpr std::size_t kTries = 4;

// Statuses of HTTP.
constexpr unsigned kOk = 200;
constexpr unsigned kGone = 410;
constexpr unsigned kTooMany = 429;
constexpr unsigned kUnavailable = 503;

std::string
MakeId(base::RandomEngine& aRandom)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string id(16, '0');
  for (char& digit : id) {
    digit = kDigits[aRandom() % kDigits.size()];
  }
  return id;
}

/** The newest key; those before it were withdrawn. Thread-safe. */
class Keys
{
public:
  std::string Newest() const
  {
    std::lock_guard lock(this->mutex);
    return this->names.back();
  }
  /** A key that must be refused by now, or nothing. */
  std::string Expired(Clock::time_point aNow) const
  {
    std::lock_guard lock(this->mutex);
    return this->names.size() > 1 && aNow - this->changedAt > kRevokeLimit
             ? this->names[this->names.size() - 2]
             : std::string();
  }
  void Rotate(harness::PlatformDeployment& aDeployment)
  {
    std::lock_guard lock(this->mutex);
    this->names.push_back("key-" + std::to_string(this->names.size() + 1));
    aDeployment.Configure(this->names.size(), this->names.back());
    this->changedAt = Clock::now();
  }

private:
  mutable std::mutex mutex;
  std::vector<std::string> names{ std::string(
    harness::PlatformDeployment::kKey) };
  Clock::time_point changedAt = Clock::now();
};

/** A thread that hands jobs in, follows them and cancels some. */
class Caller
{
public:
  Caller(harness::PlatformDeployment& aDeployment,
         const Keys& aKeys,
         CallerHistory& aHistory,
         std::uint64_t aSeed)
    : deployment(aDeployment)
    , keys(aKeys)
    , history(aHistory)
    , random(aSeed)
  {
  }

  /** Hands one job in and asks for it a few times. */
  void Play()
  {
    const std::string id = this->Submit();
    for (std::size_t i = 0; i < this->random() % 4; ++i) {
      std::this_thread::sleep_for(
        std::chrono::milliseconds(this->random() % 300));
      this->Look(id);
    }
    if (this->random() % 8 == 0) {
      this->history.Update(id, [](auto& aJob) { aJob.isCancelSent = true; });
      this->Send("DELETE", id);
    }
  }

  /** Asks for the state of a job and notes what it is told. */
  void Look(const std::string& aJob)
  {
    bool isAccepted = false;
    this->history.Update(aJob,
                         [&](auto& aKnown) { isAccepted = aKnown.isAccepted; });
    auto& scheduler = this->AnyScheduler();
    const unsigned status =
      this->deployment.Send(scheduler, "GET", aJob, {}, this->keys.Newest());
    const std::string state =
      status == kOk
        ? this->deployment.State(scheduler, aJob, this->keys.Newest())
        : std::string();
    this->history.Update(aJob, [&](auto& aKnown) {
      aKnown.wasDenied = aKnown.wasDenied || (isAccepted && status == kGone);
      aKnown.isShownCompleted = aKnown.isShownCompleted || state == "completed";
      aKnown.isShownFailed = aKnown.isShownFailed || state == "failed";
    });
  }

private:
  std::string Submit()
  {
    std::string id = MakeId(this->random);
    const std::size_t count = 1 + this->random() % 3;
    constexpr std::array kAccelerators{ 1U, 2U, 4U, 8U };
    const auto accelerators =
      kAccelerators[this->random() % kAccelerators.size()];
    const std::string body =
      R"({"spec":")" + std::to_string(50 + this->random() % 1500) +
      R"(","steps":[{"count":)" + std::to_string(count) +
      R"(,"cpu":1000,"mem-mb":64,"gpu":)" + std::to_string(accelerators) +
      R"(,"estimate-ms":500}]})";
    this->history.Update(id, [&](auto& aJob) {
      aJob.tasks = count;
      aJob.accelerators = accelerators;
    });
    for (std::size_t i = 0; i < kTries; ++i) {
      const unsigned status = this->Send("POST", id, body);
      const bool isRefused = status == kTooMany || status == kUnavailable ||
                             (status >= 400 && status < 500);
      this->history.Update(id, [&](auto& aJob) {
        aJob.isAccepted = aJob.isAccepted || status == kOk;
        aJob.isUnknown = aJob.isUnknown || (status != kOk && !isRefused);
      });
      if (status == kOk) {
        break;
      }
      std::this_thread::sleep_for(100ms);
    }
    return id;
  }

  harness::PlatformDeployment::Scheduler& AnyScheduler()
  {
    auto& all = this->deployment.schedulers;
    return all[this->random() % all.size()];
  }

  unsigned Send(std::string_view aMethod,
                const std::string& aJob,
                const std::string& aBody = {})
  {
    return this->deployment.Send(
      this->AnyScheduler(), aMethod, aJob, aBody, this->keys.Newest());
  }

  harness::PlatformDeployment& deployment;
  const Keys& keys;
  CallerHistory& history;
  base::RandomEngine random;
};

/** Asks with keys that were withdrawn. */
void
ProbeExpiredKeys(harness::PlatformDeployment& aDeployment,
                 const Keys& aKeys,
                 const std::atomic<bool>& aIsOver,
                 std::vector<std::string>& aBroken)
{
  for (std::size_t i = 0; !aIsOver.load(); ++i) {
    std::this_thread::sleep_for(50ms);
    const std::string key = aKeys.Expired(Clock::now());
    if (key.empty()) {
      continue;
    }
    auto& scheduler = aDeployment.schedulers[i % aDeployment.schedulers.size()];
    const unsigned status =
      aDeployment.Send(scheduler, "GET", "0000000000000000", {}, key);
    if (status == kOk || status == kGone) {
      aBroken.push_back("serves a withdrawn key: " + scheduler.name);
    }
  }
}

void
SettleJobs(CallerHistory& aHistory, Caller& aCaller)
{
  const auto end = Clock::now() + kSettleTime;
  bool isOpen = true;
  while (isOpen && Clock::now() < end) {
    isOpen = false;
    for (const auto& [id, job] : aHistory.Jobs()) {
      if (job.isAccepted && !job.isCancelSent && !job.isShownCompleted &&
          !job.isShownFailed) {
        isOpen = true;
        aCaller.Look(id);
      }
    }
    std::this_thread::sleep_for(kStep);
  }
}

} // namespace

SoakReport
RunSoak(const SoakOptions& aOptions)
{
  net::IoPool pool(2);
  std::vector<std::unique_ptr<LoopbackProxy>> proxies;
  SoakReport report;
  {
    harness::PlatformDeployment deployment(
      aOptions.schedulers, aOptions.workers, [&](const std::string& aTarget) {
        std::string address = harness::FreeAddress();
        proxies.push_back(
          std::make_unique<LoopbackProxy>(pool, address, aTarget));
        return address;
      });
    if (!deployment.Start()) {
      report.broken.emplace_back("the deployment does not become ready");
      return report;
    }
    Keys keys;
    CallerHistory history;
    std::atomic<bool> isOver{ false };
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < kCallers; ++i) {
      threads.emplace_back([&, seed = aOptions.seed * kCallers + i] {
        Caller caller(deployment, keys, history, seed);
        while (!isOver.load()) {
          caller.Play();
        }
      });
    }
    std::vector<std::string> keyFaults;
    threads.emplace_back(
      [&] { ProbeExpiredKeys(deployment, keys, isOver, keyFaults); });

    FaultInjector faults(deployment, proxies, aOptions.seed);
    const auto end = Clock::now() + aOptions.duration;
    auto nextConfiguration = Clock::now() + kFirstRotation;
    for (auto now = Clock::now(); now < end; now = Clock::now()) {
      faults.Update();
      if (now >= nextConfiguration) {
        keys.Rotate(deployment);
        nextConfiguration = now + kKeyLife;
      }
      std::this_thread::sleep_for(kStep);
    }
    faults.HealAll();
    isOver.store(true);
    for (auto& thread : threads) {
      thread.join();
    }
    Caller settler(deployment, keys, history, aOptions.seed);
    SettleJobs(history, settler);

    std::vector<std::vector<standins::PlatformWorker::HistoryEntry>> histories;
    for (const auto& worker : deployment.workers) {
      histories.push_back(worker.worker->History());
    }
    const auto jobs = history.Jobs();
    report.broken = CheckPromises(jobs, histories);
    report.broken.insert(
      report.broken.end(), keyFaults.begin(), keyFaults.end());
    report.faults = faults.Log();
    report.jobs = jobs.size();
    for (const auto& [id, job] : jobs) {
      report.accepted += job.isAccepted ? 1 : 0;
    }
    report.starts = deployment.Starts().size();
    if (!report.broken.empty()) {
      deployment.KeepLogs();
      report.logs = deployment.Folder();
    }
  }
  pool.Stop();
  return report;
}

} // namespace amaranthwind::soak
