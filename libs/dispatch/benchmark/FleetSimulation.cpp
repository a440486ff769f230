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
/** After the last arrival; longer than three objectives of most jobs. */
constexpr double kDrainSeconds = 45;
constexpr double kRemoteFactor = 3;
constexpr double kCoresPerAccelerator = 8;
/** Price of a core-second that is thrown away, in worth. */
constexpr double kWastePrice = 0.0012;
/** From a decision to the order at the worker: one append and one hop. */
constexpr Seconds kPersistTime = 6ms;
constexpr Seconds kHop = 2ms;
constexpr Seconds kTick = 500ms;
constexpr Seconds kReportInterval = 1s;
constexpr std::array kSpeeds{ 0.8, 1.0, 1.25 };

/** A table without jobs asks for nothing. */
class NoRecords final : public ledger::RecordCodec
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
  double worth = 0;
  /** Seconds of work of each task on a worker of speed 1. */
  std::vector<double> work;
  /** Work that is saved; of the whole gang or of each task. */
  std::vector<double> saved;
  double endedAt = -1;
  bool isCancelled = false;
};

struct Run
{
  std::string agent;
  double startedAt = 0;
  /** When the gang became complete, or the task's own start. */
  double worksFrom = -1;
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

  Figures Play()
  {
    for (auto& [name, worker] : this->workers) {
      this->At(-kBacklogLead - 1, [this, agent = name] {
        this->Report(agent);
        this->ReportLoop(agent);
      });
    }
    for (std::size_t i = 0; i < this->jobs.size(); ++i) {
      this->At(this->jobs[i].arrival, [this, i] { this->Submit(i); });
    }
    this->At(-kBacklogLead, [this] { this->Tick(); });
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
  void OnEnded(const job::TaskRun&,
               const base::AgentId&,
               EndKind,
               std::uint32_t) override
  {
  }
  void OnStopping(const job::TaskRun&,
                  const base::AgentId&,
                  std::string_view) override
  {
    ++this->figures.stoppedRuns;
  }
  void OnLost(const job::TaskRun&, std::string_view) override {}
  void OnWorker(const base::AgentId&, std::string_view) override {}
  void OnJobOver(const base::JobId& aJob,
                 std::string_view aOutcome,
                 base::Duration) override
  {
    if (aOutcome == "completed") {
      this->Find(aJob).endedAt = this->time;
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

  void At(double aTime, std::function<void()> aAction)
  {
    this->events.push({ aTime, ++this->lastEvent, std::move(aAction) });
  }
  void After(Seconds aDelay, std::function<void()> aAction)
  {
    this->At(this->time + aDelay.count(), std::move(aAction));
  }

  Moment Now() const
  {
    const Seconds since(this->time + 1000);
    return { base::TimePoint(std::chrono::duration_cast<base::Duration>(since)),
             base::WallTime(
               std::chrono::duration_cast<base::WallTime::duration>(since)) };
  }

  double Uniform(double aFrom, double aTo)
  {
    return std::uniform_real_distribution(aFrom, aTo)(this->random);
  }
  bool Chance(double aShare) { return this->Uniform(0, 1) < aShare; }
  double LogNormal(double aMean, double aSpread, double aMax)
  {
    const double mu = std::log(aMean) - aSpread * aSpread / 2;
    return std::min(aMax,
                    std::lognormal_distribution(mu, aSpread)(this->random));
  }

  SimulatedJob& Find(const base::JobId& aJob)
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
        for (const Burst& burst : this->site.bursts) {
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
               std::round(this->LogNormal(
                 profile.width, profile.widthSpread, profile.widthMax))));
    step.need = profile.need;
    step.need.accelerators =
      profile.accelerators[this->random() % profile.accelerators.size()];
    step.isGang = profile.isGang;
    step.prefersOneRack = this->Chance(profile.oneRackShare);
    step.isCheckpointing = this->Chance(profile.checkpointShare);
    const double seconds = this->LogNormal(
      profile.taskSeconds, profile.taskSpread, profile.taskSecondsMax);
    step.estimate = std::chrono::duration_cast<base::Duration>(
      Seconds(seconds * this->Uniform(0.8, 1.2)));
    simulated.work.assign(step.count, seconds);
    simulated.saved.assign(step.count, 0);
    const double cores = step.need.milliCores / 1000.0 +
                         kCoresPerAccelerator * step.need.accelerators;
    const double meanCores =
      profile.need.milliCores / 1000.0 + kCoresPerAccelerator * 4.6;
    const double size = step.count * seconds * cores /
                        (profile.width * profile.taskSeconds * meanCores);
    simulated.worth = profile.worth * std::min(4.0, 0.3 + 0.7 * size);
    simulated.isCancelled = this->Chance(profile.cancelShare);
    job::WorkflowSpec spec;
    spec.id = base::JobId(std::to_string(this->jobs.size()));
    // Half of the work is of the first account, a quarter of the second one.
    std::uint32_t account = 0;
    while (account + 1 < this->site.accounts && this->Chance(0.5)) {
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
    this->CarryOut(this->dispatcher->OnGuarantees(guarantees, this->Now()));
  }

  // What the coordinator is told.

  void Submit(std::size_t aIndex)
  {
    SimulatedJob& simulated = this->jobs[aIndex];
    auto accepted = *simulated.spec;
    accepted.acceptedAt = this->Now().wall;
    simulated.spec = std::make_shared<const job::WorkflowSpec>(accepted);
    ledger::JobEntry entry;
    entry.spec = simulated.spec;
    entry.acceptedOffset = base::LogOffset(++this->lastOffset);
    this->CarryOut(this->dispatcher->OnJob(entry, this->Now()));
    if (simulated.isCancelled) {
      this->At(this->time + this->Uniform(0.5, 6), [this, entry] {
        auto cancelled = entry;
        cancelled.isCancelRequested = true;
        this->CarryOut(this->dispatcher->OnJob(cancelled, this->Now()));
      });
    }
  }

  void Tick()
  {
    this->CarryOut(this->dispatcher->OnTick(this->Now()));
    this->After(kTick, [this] { this->Tick(); });
  }

  void ReportLoop(const std::string& aAgent)
  {
    this->After(kReportInterval, [this, aAgent] {
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
    this->CarryOut(this->dispatcher->OnReport(report, this->Now()));
  }

  void CarryOut(const Effects& aEffects)
  {
    std::uint64_t version = 0;
    for (const auto& effect : aEffects) {
      if (const auto* persist = std::get_if<PersistStep>(&effect)) {
        version = persist->version;
      } else if (const auto* start = std::get_if<StartTask>(&effect)) {
        this->After(kHop, [this, order = *start] { this->Start(order); });
      } else if (const auto* stop = std::get_if<StopTask>(&effect)) {
        this->After(kHop, [this, order = *stop] { this->Stop(order); });
      } else if (const auto* ack = std::get_if<AcknowledgeEnds>(&effect)) {
        auto& ended = this->workers[ack->agent.Text()].ended;
        ended.erase(ended.begin(), ended.upper_bound(ack->number));
      }
    }
    if (version > 0) {
      this->After(kPersistTime, [this, version] {
        this->CarryOut(this->dispatcher->OnPersisted(version, this->Now()));
      });
    }
  }

  // What the workers do.

  void Start(const StartTask& aOrder)
  {
    const std::string agent = aOrder.agent.Text();
    SimulatedWorker& worker = this->workers[agent];
    SimulatedJob& simulated = this->Find(aOrder.run.task.step.job);
    Run run{ agent, this->time, -1, worker.speed, false };
    worker.runs[aOrder.run] = run;
    this->CarryOut(this->dispatcher->OnOutcome(aOrder.agent,
                                               aOrder.life,
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
      member->worksFrom = this->time;
      speed = std::min(speed, member->speed);
      racks.insert(this->workers[member->agent].info.rack.Text());
    }
    const std::uint32_t index = aOrder.run.task.index;
    const double factor =
      step.prefersOneRack && racks.size() > 1 ? kRemoteFactor : 1;
    for (Run* member : members) {
      member->speed = speed / factor;
    }
    double left = (simulated.work[index] - simulated.saved[index]) / speed;
    left = left * factor + (simulated.saved[index] > 0
                              ? Seconds(this->site.restoreTime).count()
                              : 0);
    const KindProfile& profile = this->site.kinds[simulated.kind];
    const bool hasFailed = this->Chance(profile.failShare);
    this->After(Seconds(hasFailed ? left * this->Uniform(0, 1) : left),
                [this, run = aOrder.run, hasFailed] {
                  this->Finish(run,
                               hasFailed ? EndKind::Failed : EndKind::Done);
                });
  }

  /** The run itself, or all members of its gang that are there. */
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
    SimulatedJob& simulated = this->Find(aRun.task.step.job);
    const bool isGang = simulated.spec->steps.front().isGang;
    const bool isThere = std::any_of(
      this->workers.begin(), this->workers.end(), [&](const auto& aWorker) {
        return aWorker.second.runs.contains(aRun);
      });
    if (!isThere) {
      return; // It was stopped.
    }
    std::vector<std::pair<std::string, job::TaskRun>> ends;
    for (auto& [name, worker] : this->workers) {
      for (auto& [run, state] : worker.runs) {
        const bool isMember = run == aRun || (isGang && run.run == aRun.run &&
                                              run.task.step == aRun.task.step);
        if (isMember && state.worksFrom >= 0) {
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
    SimulatedJob& simulated = this->Find(aRun.task.step.job);
    if (aKind != EndKind::Done) {
      this->Discard(simulated, aRun, found->second);
    }
    worker.runs.erase(found);
    const std::uint64_t number = ++worker.lastEnd;
    worker.ended[number] = { number, aRun, aKind, {} };
    this->After(kHop, [this, aAgent] { this->Report(aAgent); });
  }

  /** Saves what the run has done, or counts it as thrown away. */
  void Discard(SimulatedJob& aJob, const job::TaskRun& aRun, const Run& aState)
  {
    const job::StepSpec& step = aJob.spec->steps.front();
    const double cores = step.need.milliCores / 1000.0 +
                         kCoresPerAccelerator * step.need.accelerators;
    const double elapsed = this->time - aState.startedAt;
    if (step.isCheckpointing && aState.worksFrom >= 0) {
      double& saved = aJob.saved[aRun.task.index];
      saved = std::min(aJob.work[aRun.task.index],
                       saved + (this->time - aState.worksFrom) * aState.speed);
    } else if (!aJob.isCancelled) {
      this->wastedWork += elapsed * cores;
    }
  }

  void Stop(const StopTask& aOrder)
  {
    const std::string agent = aOrder.agent.Text();
    const auto found = this->workers[agent].runs.find(aOrder.run);
    if (found == this->workers[agent].runs.end()) {
      this->CarryOut(this->dispatcher->OnOutcome(aOrder.agent,
                                                 aOrder.life,
                                                 aOrder.run,
                                                 OrderOutcome::Absent,
                                                 this->Now()));
    } else if (!std::exchange(found->second.isStopping, true)) {
      this->After(this->site.stopTime * this->Uniform(0.3, 1),
                  [this, agent, run = aOrder.run] {
                    this->End(agent, run, EndKind::Stopped);
                  });
    }
  }

  Figures Summarise()
  {
    double owed = 0;
    double earned = 0;
    std::uint32_t counted = 0;
    std::uint32_t served = 0;
    std::vector<std::pair<double, double>> byKind(this->site.kinds.size());
    for (const SimulatedJob& each : this->jobs) {
      if (each.isCancelled || each.arrival < 0) {
        continue;
      }
      const KindProfile& profile = this->site.kinds[each.kind];
      const double chain =
        *std::max_element(each.work.begin(), each.work.end());
      const double objective =
        profile.stretch * chain + Seconds(profile.slack).count();
      const double age = each.endedAt - each.arrival;
      const bool isServed = each.endedAt >= 0 && age <= 3 * objective;
      const double credit = !isServed ? 0
                            : age <= objective
                              ? each.worth
                              : each.worth * profile.lateWorth / profile.worth;
      ++counted;
      served += isServed ? 1 : 0;
      owed += each.worth;
      earned += credit;
      byKind[each.kind].first += credit;
      byKind[each.kind].second += each.worth;
    }
    this->figures.credit = earned / owed;
    this->figures.served = static_cast<double>(served) / counted;
    this->figures.waste = this->wastedWork * kWastePrice / owed;
    for (const auto& [credit, all] : byKind) {
      this->figures.creditByKind.push_back(all > 0 ? credit / all : 1);
    }
    return this->figures;
  }

  const SiteProfile& site;
  base::RandomEngine random;
  NoRecords codec;
  std::unique_ptr<Dispatcher> dispatcher;
  std::map<std::string, SimulatedWorker> workers;
  std::vector<SimulatedJob> jobs;
  std::priority_queue<Event> events;
  std::uint64_t lastEvent = 0;
  std::uint64_t lastOffset = 0;
  double time = -kBacklogLead - 1;
  double wastedWork = 0;
  Figures figures;
};

} // namespace

Figures
Simulate(const SiteProfile& aSite, std::uint64_t aSeed)
{
  return Simulation(aSite, aSeed).Play();
}

} // namespace amaranthwind::dispatch
