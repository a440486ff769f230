#include "FleetSimulation.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <queue>
#include <set>

namespace amaranthwind::dispatch {

using namespace std::chrono_literals;
using Seconds = std::chrono::duration<double>;

namespace {

constexpr double kArrivalSeconds = 34;
constexpr double kBacklogLead = 7;
/** Time after the last arrival; exceeds three times most objectives. */
constexpr double kDrainSeconds = 45;
constexpr double kRemoteSlowdown = 3;
constexpr double kCoresPerAccelerator = 8;
/** Cost of a discarded core-second, in units of job value. */
constexpr double kWastePrice = 0.0012;
/** Delay from a decision to the order at the worker: an append and a hop. */
constexpr Seconds kPersistTime = 6ms;
constexpr Seconds kNetworkDelay = 2ms;
constexpr Seconds kTickInterval = 500ms;
constexpr Seconds kReportInterval = 1s;
/** Agents never lose their connections. */
constexpr SessionId kSession(1);
constexpr std::array kSpeeds{ 0.8, 1.0, 1.25 };

/** Codec for an empty job table, which has no records to decode. */
class EmptyRecordCodec final : public ledger::RecordCodec
{
public:
  std::string EncodeWorkflow(const job::WorkflowSpec&) const override
  {
    return {};
  }
  base::Result<job::WorkflowSpec> DecodeWorkflow(
    std::string_view) const override
  {
    return base::Fail(base::ErrorCode::UnknownField, "no records");
  }
  std::string EncodeStep(const ledger::StepRecord&) const override
  {
    return {};
  }
  base::Result<ledger::StepRecord> DecodeStep(std::string_view) const override
  {
    return base::Fail(base::ErrorCode::UnknownField, "no records");
  }
};

struct SimulatedJob
{
  std::shared_ptr<const job::WorkflowSpec> spec;
  std::size_t kind = 0;
  double arrival = 0;
  double value = 0;
  /** Seconds of work of each task on a worker of speed 1. */
  std::vector<double> work;
  /** Checkpointed work, of the whole gang or of each task. */
  std::vector<double> saved;
  double endedAt = -1;
  bool isCancelled = false;
};

struct Run
{
  std::string agent;
  double startedAt = 0;
  /** When the gang was complete, or when the single task started. */
  double workStartedAt = -1;
  double speed = 1;
  bool isStopping = false;
};

struct SimulatedWorker
{
  WorkerInfo info;
  double speed = 1;
  std::map<job::TaskRun, Run> runs;
  std::map<std::uint64_t, EndedTask> ended;
  std::uint64_t lastEnd = 0;
};

class Simulation final : public DispatchObserver
{
public:
  Simulation(const SiteProfile& aSite, std::uint64_t aSeed)
    : site(aSite)
    , random(aSeed)
  {
    for (std::uint32_t i = 0; i < aSite.workers; ++i) {
      SimulatedWorker& worker = this->workers["vm-" + std::to_string(i)];
      worker.info.life = { base::TargetId("w-" + std::to_string(i)), 1 };
      worker.info.pool = base::PoolId("pool");
      worker.info.rack =
        base::RackId("r" + std::to_string(i / aSite.workersPerRack));
      worker.info.capacity = { 64'000, 262'144, 8 };
      worker.speed = kSpeeds[this->random() % kSpeeds.size()];
    }
    this->MakeJobs();
    DispatcherOptions options;
    options.stopTime =
      std::chrono::duration_cast<base::Duration>(aSite.stopTime);
    this->dispatcher =
      std::make_unique<Dispatcher>(options,
                                   ledger::JobTable(this->codec),
                                   std::make_unique<BestFitPacking>(),
                                   *this,
                                   this->Now());
    this->SetGuarantees();
  }

  SimulationResult RunToEnd()
  {
    for (auto& [name, worker] : this->workers) {
      this->ScheduleAt(-kBacklogLead - 1, [this, agent = name] {
        this->Report(agent);
        this->ReportLoop(agent);
      });
    }
    for (std::size_t i = 0; i < this->jobs.size(); ++i) {
      this->ScheduleAt(this->jobs[i].arrival, [this, i] { this->Submit(i); });
    }
    this->ScheduleAt(-kBacklogLead, [this] { this->Tick(); });
    while (!this->events.empty() &&
           this->events.top().at < kArrivalSeconds + kDrainSeconds) {
      const Event event = this->events.top();
      this->events.pop();
      this->time = event.at;
      event.action();
    }
    return this->Summarise();
  }

  void OnPlaced(const job::TaskRun&,
                const base::AgentId&,
                base::Duration) override
  {
  }
  void OnPlacementWithdrawn(const job::TaskRun&,
                            const base::AgentId&,
                            std::string_view) override
  {
  }
  void OnRunTimeLearned(const RunTimeOutcome&) override {}
  void OnStartRepeated(const job::TaskRun&, const base::AgentId&) override {}
  void OnEnded(const job::TaskRun&,
               const base::AgentId&,
               EndKind,
               std::uint32_t) override
  {
  }
  void OnStopping(const job::TaskRun&,
                  const base::AgentId&,
                  std::string_view,
                  double) override
  {
    ++this->result.stoppedRuns;
  }
  void OnLateCompletion(const job::TaskRun&,
                        const base::AgentId&,
                        std::uint32_t) override
  {
  }
  void OnEndIgnored(const job::TaskRun&,
                    const base::AgentId&,
                    EndKind,
                    std::string_view) override
  {
  }
  void OnLost(const job::TaskRun&, std::string_view) override {}
  void OnWorkerChanged(const base::AgentId&, std::string_view) override {}
  void OnJobEnded(const base::JobId& aJob,
                  std::string_view aOutcome,
                  base::Duration) override
  {
    if (aOutcome == "completed") {
      this->FindJob(aJob).endedAt = this->time;
    }
  }

private:
  struct Event
  {
    double at;
    std::uint64_t order;
    std::function<void()> action;
    bool operator<(const Event& aOther) const
    {
      return std::pair(aOther.at, aOther.order) <
             std::pair(this->at, this->order);
    }
  };

  void ScheduleAt(double aTime, std::function<void()> aAction)
  {
    this->events.push({ aTime, ++this->lastEvent, std::move(aAction) });
  }
  void ScheduleAfter(Seconds aDelay, std::function<void()> aAction)
  {
    this->ScheduleAt(this->time + aDelay.count(), std::move(aAction));
  }

  ClockReading Now() const
  {
    const Seconds since(this->time + 1000);
    return { base::TimePoint(std::chrono::duration_cast<base::Duration>(since)),
             base::WallTime(
               std::chrono::duration_cast<base::WallTime::duration>(since)) };
  }

  double SampleUniform(double aFrom, double aTo)
  {
    return std::uniform_real_distribution(aFrom, aTo)(this->random);
  }
  bool SampleBernoulli(double aShare)
  {
    return this->SampleUniform(0, 1) < aShare;
  }
  double SampleLogNormal(double aMean, double aSpread, double aMax)
  {
    const double mu = std::log(aMean) - aSpread * aSpread / 2;
    return std::min(aMax,
                    std::lognormal_distribution(mu, aSpread)(this->random));
  }

  SimulatedJob& FindJob(const base::JobId& aJob)
  {
    return this->jobs[std::stoul(aJob.Text())];
  }

  // The workload.

  void MakeJobs()
  {
    for (std::size_t kind = 0; kind < this->site.kinds.size(); ++kind) {
      const KindProfile& profile = this->site.kinds[kind];
      for (std::uint32_t i = 0; i < profile.backlog; ++i) {
        this->AddJob(kind, -kBacklogLead);
      }
      for (double at = 0; at < kArrivalSeconds;) {
        double rate = profile.jobsPerSecond;
        for (const ArrivalBurst& burst : this->site.bursts) {
          const bool isOn = burst.kind == kind && at >= burst.start &&
                            at < burst.start + burst.duration;
          rate *= isOn ? burst.factor : 1;
        }
        at += std::exponential_distribution(rate)(this->random);
        if (at < kArrivalSeconds) {
          this->AddJob(kind, at);
        }
      }
    }
  }

  void AddJob(std::size_t aKind, double aArrival)
  {
    const KindProfile& profile = this->site.kinds[aKind];
    SimulatedJob simulated;
    simulated.kind = aKind;
    simulated.arrival = aArrival;
    job::StepSpec step;
    step.count = static_cast<std::uint32_t>(
      std::max(1.0,
               std::round(this->SampleLogNormal(
                 profile.width, profile.widthSpread, profile.widthMax))));
    step.need = profile.need;
    step.need.accelerators =
      profile.accelerators[this->random() % profile.accelerators.size()];
    step.isGang = profile.isGang;
    step.prefersOneRack = this->SampleBernoulli(profile.oneRackShare);
    step.isCheckpointing = this->SampleBernoulli(profile.checkpointShare);
    const double seconds = this->SampleLogNormal(
      profile.taskSeconds, profile.taskSpread, profile.taskSecondsMax);
    step.estimate = std::chrono::duration_cast<base::Duration>(
      Seconds(seconds * this->SampleUniform(0.8, 1.2)));
    simulated.work.assign(step.count, seconds);
    simulated.saved.assign(step.count, 0);
    const double cores = step.need.milliCores / 1000.0 +
                         kCoresPerAccelerator * step.need.accelerators;
    const double meanCores =
      profile.need.milliCores / 1000.0 + kCoresPerAccelerator * 4.6;
    const double size = step.count * seconds * cores /
                        (profile.width * profile.taskSeconds * meanCores);
    simulated.value = profile.value * std::min(4.0, 0.3 + 0.7 * size);
    simulated.isCancelled = this->SampleBernoulli(profile.cancelShare);
    job::WorkflowSpec spec;
    spec.id = base::JobId(std::to_string(this->jobs.size()));
    // Half of the jobs belong to the first account, a quarter to the second.
    std::uint32_t account = 0;
    while (account + 1 < this->site.accounts && this->SampleBernoulli(0.5)) {
      ++account;
    }
    spec.account = base::AccountId("account-" + std::to_string(account));
    spec.kind = base::WorkKindId(profile.name);
    spec.pool = base::PoolId("pool");
    spec.urgency = profile.urgency;
    spec.maxAttempts = profile.maxAttempts;
    spec.stretch = profile.stretch;
    spec.slack = profile.slack;
    spec.steps = { step };
    simulated.spec = std::make_shared<const job::WorkflowSpec>(spec);
    this->jobs.push_back(std::move(simulated));
  }

  void SetGuarantees()
  {
    std::vector<AccountGuarantee> guarantees;
    double share = this->site.guaranteedShare;
    for (std::uint32_t i = 0; i < this->site.accounts; ++i) {
      share /= 2;
      guarantees.push_back(
        { base::AccountId("account-" + std::to_string(i)),
          static_cast<std::uint32_t>(share * this->site.workers * 8) });
    }
    this->Finish(this->dispatcher->OnGuarantees(guarantees, this->Now()));
  }

  // Events reported to the dispatcher.

  void Submit(std::size_t aIndex)
  {
    SimulatedJob& simulated = this->jobs[aIndex];
    auto accepted = *simulated.spec;
    accepted.acceptedAt = this->Now().wall;
    simulated.spec = std::make_shared<const job::WorkflowSpec>(accepted);
    ledger::JobEntry entry;
    entry.spec = simulated.spec;
    entry.acceptedOffset = base::LogOffset(++this->lastOffset);
    this->Finish(this->dispatcher->OnJob(entry, this->Now()));
    if (simulated.isCancelled) {
      this->ScheduleAt(this->time + this->SampleUniform(0.5, 6), [this, entry] {
        auto cancelled = entry;
        cancelled.isCancelRequested = true;
        this->Finish(this->dispatcher->OnJob(cancelled, this->Now()));
      });
    }
  }

  void Tick()
  {
    this->Finish(this->dispatcher->OnTick(this->Now()));
    this->ScheduleAfter(kTickInterval, [this] { this->Tick(); });
  }

  void ReportLoop(const std::string& aAgent)
  {
    this->ScheduleAfter(kReportInterval, [this, aAgent] {
      this->Report(aAgent);
      this->ReportLoop(aAgent);
    });
  }

  void Report(const std::string& aAgent)
  {
    const SimulatedWorker& worker = this->workers[aAgent];
    WorkerReport report;
    report.agent = base::AgentId(aAgent);
    report.worker = worker.info;
    for (const auto& [run, state] : worker.runs) {
      report.running.push_back({ run, {}, 0 });
    }
    for (const auto& [number, end] : worker.ended) {
      report.ended.push_back(end);
    }
    this->Finish(this->dispatcher->OnReport(report, kSession, this->Now()));
  }

  /** Executes the effects of an event, then schedules and commits. */
  void Finish(const Effects& aEffects)
  {
    this->ExecuteEffects(aEffects);
    const ClockReading now = this->Now();
    this->ExecuteEffects(this->dispatcher->OnJobsConfirmed(now.now, now));
    this->ExecuteEffects(this->dispatcher->OnEndsConfirmed(now.now, now));
    if (this->dispatcher->NeedsSchedule(now)) {
      this->ExecuteEffects(this->dispatcher->Schedule(this->Now()));
    }
    this->ExecuteEffects(this->dispatcher->Commit(this->Now()));
  }

  void ExecuteEffects(const Effects& aEffects)
  {
    std::uint64_t version = 0;
    for (const auto& effect : aEffects) {
      if (const auto* persist = std::get_if<PersistStep>(&effect)) {
        version = persist->version;
      } else if (const auto* start = std::get_if<StartTask>(&effect)) {
        this->ScheduleAfter(kNetworkDelay,
                            [this, order = *start] { this->Start(order); });
      } else if (const auto* stop = std::get_if<StopTask>(&effect)) {
        this->ScheduleAfter(kNetworkDelay,
                            [this, order = *stop] { this->Stop(order); });
      } else if (const auto* ack = std::get_if<AcknowledgeEnds>(&effect)) {
        auto& ended = this->workers[ack->agent.Text()].ended;
        ended.erase(ended.begin(), ended.upper_bound(ack->number));
      }
    }
    if (version > 0) {
      this->ScheduleAfter(kPersistTime, [this, version] {
        this->ExecuteEffects(
          this->dispatcher->OnPersisted(version, this->Now()));
      });
    }
  }

  // Simulated workers.

  void Start(const StartTask& aOrder)
  {
    const std::string agent = aOrder.agent.Text();
    SimulatedWorker& worker = this->workers[agent];
    SimulatedJob& simulated = this->FindJob(aOrder.run.task.step.job);
    Run run{ agent, this->time, -1, worker.speed, false };
    worker.runs[aOrder.run] = run;
    this->Finish(this->dispatcher->OnOutcome(aOrder.agent,
                                             kSession,
                                             aOrder.incarnation,
                                             aOrder.run,
                                             OrderOutcome::Started,
                                             this->Now()));
    const job::StepSpec& step = simulated.spec->steps.front();
    std::vector<Run*> members = this->MembersOf(aOrder.run, step);
    if (members.size() < (step.isGang ? step.count : 1)) {
      return;
    }
    double speed = worker.speed;
    std::set<std::string> racks;
    for (Run* member : members) {
      member->workStartedAt = this->time;
      speed = std::min(speed, member->speed);
      racks.insert(this->workers[member->agent].info.rack.Text());
    }
    const std::uint32_t index = aOrder.run.task.index;
    const double factor =
      step.prefersOneRack && racks.size() > 1 ? kRemoteSlowdown : 1;
    for (Run* member : members) {
      member->speed = speed / factor;
    }
    double left = (simulated.work[index] - simulated.saved[index]) / speed;
    left = left * factor + (simulated.saved[index] > 0
                              ? Seconds(this->site.restoreTime).count()
                              : 0);
    const KindProfile& profile = this->site.kinds[simulated.kind];
    const bool hasFailed = this->SampleBernoulli(profile.failShare);
    this->ScheduleAfter(
      Seconds(hasFailed ? left * this->SampleUniform(0, 1) : left),
      [this, run = aOrder.run, hasFailed] {
        this->Finish(run, hasFailed ? EndKind::Failed : EndKind::Done);
      });
  }

  /** The run itself, or all present members of its gang. */
  std::vector<Run*> MembersOf(const job::TaskRun& aRun,
                              const job::StepSpec& aStep)
  {
    std::vector<Run*> members;
    for (auto& [name, worker] : this->workers) {
      for (auto& [run, state] : worker.runs) {
        if (run.run == aRun.run && run.task.step == aRun.task.step &&
            (aStep.isGang || run.task == aRun.task)) {
          members.push_back(&state);
        }
      }
    }
    return members;
  }

  void Finish(const job::TaskRun& aRun, EndKind aKind)
  {
    SimulatedJob& simulated = this->FindJob(aRun.task.step.job);
    const bool isGang = simulated.spec->steps.front().isGang;
    const bool isPresent = std::any_of(
      this->workers.begin(), this->workers.end(), [&](const auto& aWorker) {
        return aWorker.second.runs.contains(aRun);
      });
    if (!isPresent) {
      return; // The run was stopped.
    }
    std::vector<std::pair<std::string, job::TaskRun>> ends;
    for (auto& [name, worker] : this->workers) {
      for (auto& [run, state] : worker.runs) {
        const bool isMember = run == aRun || (isGang && run.run == aRun.run &&
                                              run.task.step == aRun.task.step);
        if (isMember && state.workStartedAt >= 0) {
          ends.emplace_back(name, run);
        }
      }
    }
    for (const auto& [agent, run] : ends) {
      this->End(agent,
                run,
                aKind == EndKind::Failed && run != aRun ? EndKind::Broken
                                                        : aKind);
    }
  }

  void End(const std::string& aAgent, const job::TaskRun& aRun, EndKind aKind)
  {
    SimulatedWorker& worker = this->workers[aAgent];
    const auto found = worker.runs.find(aRun);
    if (found == worker.runs.end()) {
      return;
    }
    SimulatedJob& simulated = this->FindJob(aRun.task.step.job);
    if (aKind != EndKind::Done) {
      this->RecordDiscardedWork(simulated, aRun, found->second);
    }
    worker.runs.erase(found);
    const std::uint64_t number = ++worker.lastEnd;
    worker.ended[number] = { number, aRun, aKind, {} };
    this->ScheduleAfter(kNetworkDelay,
                        [this, aAgent] { this->Report(aAgent); });
  }

  /** Checkpoints the work of the run, or counts it as discarded. */
  void RecordDiscardedWork(SimulatedJob& aJob,
                           const job::TaskRun& aRun,
                           const Run& aState)
  {
    const job::StepSpec& step = aJob.spec->steps.front();
    const double cores = step.need.milliCores / 1000.0 +
                         kCoresPerAccelerator * step.need.accelerators;
    const double elapsed = this->time - aState.startedAt;
    if (step.isCheckpointing && aState.workStartedAt >= 0) {
      double& saved = aJob.saved[aRun.task.index];
      saved =
        std::min(aJob.work[aRun.task.index],
                 saved + (this->time - aState.workStartedAt) * aState.speed);
    } else if (!aJob.isCancelled) {
      this->wastedWork += elapsed * cores;
    }
  }

  void Stop(const StopTask& aOrder)
  {
    const std::string agent = aOrder.agent.Text();
    const auto found = this->workers[agent].runs.find(aOrder.run);
    if (found == this->workers[agent].runs.end()) {
      this->Finish(this->dispatcher->OnOutcome(aOrder.agent,
                                               kSession,
                                               aOrder.incarnation,
                                               aOrder.run,
                                               OrderOutcome::Absent,
                                               this->Now()));
    } else if (!std::exchange(found->second.isStopping, true)) {
      this->ScheduleAfter(this->site.stopTime * this->SampleUniform(0.3, 1),
                          [this, agent, run = aOrder.run] {
                            this->End(agent, run, EndKind::Stopped);
                          });
    }
  }

  SimulationResult Summarise()
  {
    double totalValue = 0;
    double totalCredit = 0;
    std::uint32_t counted = 0;
    std::uint32_t served = 0;
    std::vector<std::pair<double, double>> byKind(this->site.kinds.size());
    for (const SimulatedJob& each : this->jobs) {
      if (each.isCancelled || each.arrival < 0) {
        continue;
      }
      const KindProfile& profile = this->site.kinds[each.kind];
      const double longestTask =
        *std::max_element(each.work.begin(), each.work.end());
      const double objective =
        profile.stretch * longestTask + Seconds(profile.slack).count();
      const double age = each.endedAt - each.arrival;
      const bool isServed = each.endedAt >= 0 && age <= 3 * objective;
      const double credit = !isServed ? 0
                            : age <= objective
                              ? each.value
                              : each.value * profile.lateValue / profile.value;
      ++counted;
      served += isServed ? 1 : 0;
      totalValue += each.value;
      totalCredit += credit;
      byKind[each.kind].first += credit;
      byKind[each.kind].second += each.value;
    }
    this->result.credit = totalCredit / totalValue;
    this->result.served = static_cast<double>(served) / counted;
    this->result.waste = this->wastedWork * kWastePrice / totalValue;
    for (const auto& [credit, all] : byKind) {
      this->result.creditByKind.push_back(all > 0 ? credit / all : 1);
    }
    return this->result;
  }

  const SiteProfile& site;
  base::RandomEngine random;
  EmptyRecordCodec codec;
  std::unique_ptr<Dispatcher> dispatcher;
  std::map<std::string, SimulatedWorker> workers;
  std::vector<SimulatedJob> jobs;
  std::priority_queue<Event> events;
  std::uint64_t lastEvent = 0;
  std::uint64_t lastOffset = 0;
  double time = -kBacklogLead - 1;
  double wastedWork = 0;
  SimulationResult result;
};

} // namespace

SimulationResult
Simulate(const SiteProfile& aSite, std::uint64_t aSeed)
{
  return Simulation(aSite, aSeed).RunToEnd();
}

} // namespace amaranthwind::dispatch
