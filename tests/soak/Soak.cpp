#include "soak/Soak.h"

#include "harness/Address.h"
#include "soak/FaultInjector.h"
#include "soak/History.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <fstream>
#include <thread>

namespace amaranthwind::soak {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

namespace {

constexpr std::size_t kCallers = 3;
constexpr auto kPollInterval = 10ms;
/** Short, because some faults follow an event directly. */
constexpr auto kFaultPollInterval = 2ms;
/** Longer than the time after which a delayed request takes effect. */
constexpr auto kDelayedRequestTimeout = 15s;
/** Every this many jobs, the tasks run for seconds. */
constexpr std::uint64_t kLongJobInterval = 4;
/** Every this many jobs with several tasks, they form a gang. */
constexpr std::uint64_t kGangInterval = 3;
/** All accepted jobs must end within this time after the last fault. */
constexpr auto kJobEndTimeout = 60s;
/** A withdrawn key must be refused this long after the new configuration. */
constexpr auto kRevokeLimit = 5s;
constexpr auto kFirstKeyRotation = 1500ms;
/** Longer than kRevokeLimit, so that every withdrawn key is probed after it. */
constexpr auto kKeyRotationInterval = 7500ms;
constexpr std::size_t kSubmitAttempts = 4;
constexpr std::size_t kCancelAttempts = 40;

// HTTP status codes.
constexpr unsigned kOk = 200;
constexpr unsigned kGone = 410;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kServiceUnavailable = 503;

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

/**
 * Rotates the API key: the newest key is valid and all earlier ones are
 * withdrawn. Thread-safe.
 */
class ApiKeyRotation
{
public:
  std::string Newest() const
  {
    std::lock_guard lock(this->mutex);
    return this->issued.back();
  }
  /** A withdrawn key that must be refused by aNow; empty if there is none. */
  std::string Revoked(Clock::time_point aNow) const
  {
    std::lock_guard lock(this->mutex);
    return this->issued.size() > 1 && aNow - this->rotatedAt > kRevokeLimit
             ? this->issued[this->issued.size() - 2]
             : std::string();
  }
  void Rotate(harness::PlatformDeployment& aDeployment)
  {
    std::lock_guard lock(this->mutex);
    this->issued.push_back("key-" + std::to_string(this->issued.size() + 1));
    aDeployment.Configure(this->issued.size(), this->issued.back());
    this->rotatedAt = Clock::now();
  }

private:
  mutable std::mutex mutex;
  std::vector<std::string> issued{ std::string(
    harness::PlatformDeployment::kKey) };
  Clock::time_point rotatedAt = Clock::now();
};

/** Client that submits jobs, polls their state and cancels some of them. */
class Caller
{
public:
  Caller(harness::PlatformDeployment& aDeployment,
         const ApiKeyRotation& aApiKeys,
         CallerHistory& aHistory,
         std::uint64_t aSeed)
    : deployment(aDeployment)
    , keys(aApiKeys)
    , history(aHistory)
    , random(aSeed)
  {
  }

  /**
   * Submits a job, polls it up to three times and cancels one job in eight, and
   * half of those whose submission has no definite result.
   */
  void RunOneJob()
  {
    const std::string id = this->Submit();
    for (std::size_t i = 0; i < this->random() % 4; ++i) {
      std::this_thread::sleep_for(
        std::chrono::milliseconds(this->random() % 300));
      this->PollJob(id);
    }
    if (this->random() % 8 == 0) {
      this->Cancel(id);
    }
  }

  /** Requests the state of a job and records the response. */
  void PollJob(const std::string& aJob)
  {
    bool isAccepted = false;
    this->history.Update(
      aJob, [&](auto& aRecord) { isAccepted = aRecord.isAccepted; });
    auto& scheduler = this->PickScheduler();
    const unsigned status =
      this->deployment.Send(scheduler, "GET", aJob, {}, this->keys.Newest());
    const std::string state =
      status == kOk
        ? this->deployment.State(scheduler, aJob, this->keys.Newest())
        : std::string();
    this->history.Update(aJob, [&](auto& aRecord) {
      aRecord.wasReportedMissing =
        aRecord.wasReportedMissing || (isAccepted && status == kGone);
      aRecord.wasReportedCompleted =
        aRecord.wasReportedCompleted || state == "completed";
      aRecord.wasRevived =
        aRecord.wasRevived || (aRecord.wasCancelledAsUnknown &&
                               !state.empty() && state != "cancelled");
      aRecord.wasReportedFailed =
        aRecord.wasReportedFailed || state == "failed";
    });
  }

private:
  /** Cancels the job until that is acknowledged. */
  void Cancel(const std::string& aJob)
  {
    this->history.Update(aJob,
                         [](auto& aRecord) { aRecord.wasCancelSent = true; });
    for (std::size_t i = 0; i < kCancelAttempts; ++i) {
      const unsigned status = this->Send("DELETE", aJob);
      if (status == kOk || status == kGone) {
        this->history.Update(aJob, [&](auto& aRecord) {
          aRecord.wasCancelledAsUnknown =
            status == kGone && !aRecord.isAccepted;
        });
        return;
      }
      std::this_thread::sleep_for(100ms);
    }
  }

  std::string Submit()
  {
    std::string id = MakeId(this->random);
    const std::size_t count = 1 + this->random() % 3;
    constexpr std::array kAccelerators{ 1U, 2U, 4U, 8U };
    const auto accelerators =
      kAccelerators[this->random() % kAccelerators.size()];
    const std::uint64_t runTime = this->random() % kLongJobInterval == 0
                                    ? 1500 + this->random() % 3500
                                    : 50 + this->random() % 1500;
    const bool isGang = count > 1 && this->random() % kGangInterval == 0;
    const std::string spec =
      std::to_string(runTime) +
      (isGang ? " gang=" + std::to_string(count) : std::string());
    const std::string body =
      R"({"spec":")" + spec + R"(","steps":[{"count":)" +
      std::to_string(count) + R"(,"cpu":1000,"mem-mb":64,"gpu":)" +
      std::to_string(accelerators) + R"(,"estimate-ms":500)" +
      (isGang ? R"(,"gang":true)" : "") + "}]}";
    this->history.Update(id, [&](auto& aJob) {
      aJob.tasks = count;
      aJob.accelerators = accelerators;
      aJob.isGang = isGang;
    });
    for (std::size_t i = 0; i < kSubmitAttempts; ++i) {
      const unsigned status = this->Send("POST", id, body);
      const bool isRefused = status == kTooManyRequests ||
                             status == kServiceUnavailable ||
                             (status >= 400 && status < 500);
      this->history.Update(id, [&](auto& aJob) {
        aJob.isAccepted = aJob.isAccepted || status == kOk;
        aJob.hasUnknownOutcome =
          aJob.hasUnknownOutcome || (status != kOk && !isRefused);
      });
      if (status == kOk) {
        break;
      }
      if (!isRefused && this->random() % 2 == 0) {
        this->Cancel(id);
        break;
      }
      std::this_thread::sleep_for(100ms);
    }
    return id;
  }

  harness::PlatformDeployment::Scheduler& PickScheduler()
  {
    auto& all = this->deployment.schedulers;
    return all[this->random() % all.size()];
  }

  unsigned Send(std::string_view aMethod,
                const std::string& aJob,
                const std::string& aBody = {})
  {
    return this->deployment.Send(
      this->PickScheduler(), aMethod, aJob, aBody, this->keys.Newest());
  }

  harness::PlatformDeployment& deployment;
  const ApiKeyRotation& keys;
  CallerHistory& history;
  base::RandomEngine random;
};

/** Sends requests with withdrawn keys and records those that are served. */
void
ProbeRevokedKeys(harness::PlatformDeployment& aDeployment,
                 const ApiKeyRotation& aApiKeys,
                 const std::atomic<bool>& aIsStopped,
                 std::vector<std::string>& aViolations)
{
  for (std::size_t i = 0; !aIsStopped.load(); ++i) {
    std::this_thread::sleep_for(50ms);
    const std::string key = aApiKeys.Revoked(Clock::now());
    if (key.empty()) {
      continue;
    }
    auto& scheduler = aDeployment.schedulers[i % aDeployment.schedulers.size()];
    const unsigned status =
      aDeployment.Send(scheduler, "GET", "0000000000000000", {}, key);
    if (status == kOk || status == kGone) {
      aViolations.push_back("request with a withdrawn key was served: " +
                            scheduler.name);
    }
  }
}

void
WaitForJobsToEnd(CallerHistory& aHistory, Caller& aCaller)
{
  const auto end = Clock::now() + kJobEndTimeout;
  bool hasOpenJobs = true;
  while (hasOpenJobs && Clock::now() < end) {
    hasOpenJobs = false;
    for (const auto& [id, job] : aHistory.Jobs()) {
      if (job.isAccepted && !job.wasCancelSent && !job.wasReportedCompleted &&
          !job.wasReportedFailed) {
        hasOpenJobs = true;
        aCaller.PollJob(id);
      }
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

/** A late append of a submission may still have taken effect. */
void
PollCancelledJobs(const CallerHistory& aHistory, Caller& aCaller)
{
  for (const auto& [id, job] : aHistory.Jobs()) {
    if (job.wasCancelledAsUnknown) {
      aCaller.PollJob(id);
    }
  }
}

/** A delayed start may still violate an invariant after all jobs have ended. */
void
WaitForDelayedRequests(const harness::PlatformDeployment& aDeployment)
{
  const auto end = Clock::now() + kDelayedRequestTimeout;
  const auto isPending = [](const auto& aWorker) {
    return aWorker.worker->DelayedRequests() > 0;
  };
  while (Clock::now() < end && std::any_of(aDeployment.workers.begin(),
                                           aDeployment.workers.end(),
                                           isPending)) {
    std::this_thread::sleep_for(kPollInterval);
  }
}

/** Writes the events of each worker next to the logs of the processes. */
void
WriteWorkerLogs(const harness::PlatformDeployment& aDeployment)
{
  for (std::size_t i = 0; i < aDeployment.workers.size(); ++i) {
    std::ofstream file(aDeployment.Folder() + "/worker-" + std::to_string(i) +
                       ".log");
    for (const auto& line : aDeployment.workers[i].worker->EventLog()) {
      file << line << '\n';
    }
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
        std::string address = harness::AllocateAddress();
        proxies.push_back(
          std::make_unique<LoopbackProxy>(pool, address, aTarget));
        return address;
      });
    for (std::size_t i = 0; i < deployment.workers.size(); ++i) {
      deployment.workers[i].worker->SetZone(
        std::string(kZones[i % kZones.size()]));
      if (aOptions.sparesAgents) {
        deployment.workers[i].worker->CountListedEnds();
      }
    }
    if (!deployment.Start()) {
      report.violations.emplace_back("the deployment did not become ready");
      return report;
    }
    ApiKeyRotation keys;
    CallerHistory history;
    std::atomic<bool> isStopped{ false };
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < kCallers; ++i) {
      threads.emplace_back([&, seed = aOptions.seed * kCallers + i] {
        Caller caller(deployment, keys, history, seed);
        while (!isStopped.load()) {
          caller.RunOneJob();
        }
      });
    }
    std::vector<std::string> keyViolations;
    threads.emplace_back(
      [&] { ProbeRevokedKeys(deployment, keys, isStopped, keyViolations); });

    FaultInjector faults(
      deployment,
      proxies,
      [&history] { return history.AcceptedJobs(); },
      aOptions.seed,
      aOptions.sparesAgents ? FaultInjector::Scope::SchedulersAndPower
                            : FaultInjector::Scope::Everything);
    const auto end = Clock::now() + aOptions.duration;
    auto nextKeyRotation = Clock::now() + kFirstKeyRotation;
    for (auto now = Clock::now(); now < end; now = Clock::now()) {
      faults.Update();
      if (now >= nextKeyRotation) {
        keys.Rotate(deployment);
        nextKeyRotation = now + kKeyRotationInterval;
      }
      std::this_thread::sleep_for(kFaultPollInterval);
    }
    faults.EndAllFaults();
    isStopped.store(true);
    for (auto& thread : threads) {
      thread.join();
    }
    Caller poller(deployment, keys, history, aOptions.seed);
    WaitForJobsToEnd(history, poller);
    WaitForDelayedRequests(deployment);
    PollCancelledJobs(history, poller);

    std::vector<std::vector<standins::PlatformWorker::HistoryEntry>> histories;
    for (const auto& worker : deployment.workers) {
      histories.push_back(worker.worker->History());
    }
    const auto jobs = history.Jobs();
    report.violations = FindViolations(jobs, histories);
    report.violations.insert(
      report.violations.end(), keyViolations.begin(), keyViolations.end());
    report.faults = faults.Log();
    report.jobs = jobs.size();
    for (const auto& [id, job] : jobs) {
      report.accepted += job.isAccepted ? 1 : 0;
      report.cancelledAsUnknown += job.wasCancelledAsUnknown ? 1 : 0;
    }
    report.taskStarts = deployment.Starts().size();
    if (!report.violations.empty()) {
      deployment.KeepLogs();
      WriteWorkerLogs(deployment);
      report.logFolder = deployment.Folder();
    }
  }
  pool.Stop();
  return report;
}

} // namespace amaranthwind::soak
