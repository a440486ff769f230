#include "Simulation.h"

#include "amaranthwind/scheduling/PlacementPolicy.h"

#include <algorithm>
#include <map>
#include <utility>

namespace amaranthwind::scheduling {
namespace {

using fleet::Resources;
using fleet::WorkerIndex;

class SchedulerEngine final : public Engine
{
public:
  SchedulerEngine()
    : scheduler(MakeSettings())
  {
  }
  void Handle(base::TimePoint aNow,
              const Event& aEvent,
              std::vector<Effect>& aEffects) override
  {
    this->scheduler.Handle(aNow, aEvent, aEffects);
  }
  bool IsGuaranteed(const base::JobId& aJob) const override
  {
    return this->scheduler.FindAllocationType(aJob) ==
           AllocationType::Guaranteed;
  }
  bool HasGuarantees() const override { return true; }

private:
  static SchedulerSettings MakeSettings()
  {
    SchedulerSettings settings;
    settings.zone = base::ZoneId("z");
    return settings;
  }
  CellScheduler scheduler;
};

/**
 * Baselines may exceed the maximum number of runs. Otherwise the jobs that they
 * fail would be missing from their completion times, which would then look too
 * good.
 */
constexpr std::uint32_t kMaxAttempts = 20;

/**
 * Baseline without guarantees, reservations or health tracking: only a queue
 * order and a placement policy.
 */
class BaselineEngine final : public Engine
{
public:
  explicit BaselineEngine(Baseline aKind)
    : kind(aKind)
    , placement(aKind == Baseline::BestFit ? MakeBestFitPolicy()
                                           : MakeFirstFitPolicy())
  {
  }

  void Handle(base::TimePoint,
              const Event& aEvent,
              std::vector<Effect>& aEffects) override
  {
    if (const auto* joined = std::get_if<WorkerJoined>(&aEvent)) {
      const WorkerIndex worker = this->cell.Put(joined->target);
      this->free.resize(std::max<std::size_t>(this->free.size(), worker + 1));
      this->free[worker] = joined->target.resources;
      this->Refresh(worker);
    } else if (const auto* submitted = std::get_if<JobSubmitted>(&aEvent)) {
      Job job{ submitted->spec, submitted->urgency, this->order++, 0, {} };
      this->Enqueue(std::move(job));
    } else if (const auto* ended = std::get_if<GangEnded>(&aEvent)) {
      this->End(*ended, aEffects);
    } else if (const auto* cancelled = std::get_if<JobCancelled>(&aEvent)) {
      this->Cancel(cancelled->job, aEffects);
    } else {
      return;
    }
    this->Start(aEffects);
  }
  bool IsGuaranteed(const base::JobId&) const override { return false; }
  bool HasGuarantees() const override { return false; }

private:
  struct Job
  {
    job::JobSpec spec;
    std::uint32_t urgency = 0;
    std::uint64_t order = 0;
    std::uint32_t attempts = 0;
    std::vector<WorkerIndex> workers;
  };
  using Rank = std::pair<std::uint32_t, std::uint64_t>;

  void Enqueue(Job aJob)
  {
    const Rank rank{ this->kind == Baseline::StrictPriority ? aJob.urgency : 0,
                     aJob.order };
    this->waiting.emplace(rank, std::move(aJob));
  }

  void End(const GangEnded& aEnded, std::vector<Effect>& aEffects)
  {
    auto node = this->running.extract(aEnded.gang.job);
    if (node.empty()) {
      return;
    }
    Job job = std::move(node.mapped());
    for (const WorkerIndex worker : job.workers) {
      this->free[worker] += job.spec.shape.perMember;
      this->Refresh(worker);
    }
    const bool isOver =
      aEnded.outcome != AttemptOutcome::Failed || job.attempts >= kMaxAttempts;
    if (!isOver) {
      this->Enqueue(std::move(job));
      return;
    }
    std::optional<base::Error> error;
    if (aEnded.outcome != AttemptOutcome::Succeeded) {
      error = base::Error{ base::ErrorCode::TargetFailed, {} };
    }
    aEffects.emplace_back(EndJob{ job.spec.id, error });
  }

  void Cancel(const base::JobId& aJob, std::vector<Effect>& aEffects)
  {
    if (const auto found = this->running.find(aJob);
        found != this->running.end()) {
      aEffects.emplace_back(
        PreemptGang{ { aJob, base::Attempt(found->second.attempts) },
                     {},
                     StopReason::Cancelled });
      return;
    }
    std::erase_if(this->waiting, [&](const auto& aEntry) {
      return aEntry.second.spec.id == aJob;
    });
    aEffects.emplace_back(
      EndJob{ aJob, base::Error{ base::ErrorCode::Cancelled, {} } });
  }

  void Start(std::vector<Effect>& aEffects)
  {
    std::vector<fleet::Shape> failed;
    std::vector<WorkerIndex> chosenWorkers;
    for (auto at = this->waiting.begin(); at != this->waiting.end();) {
      Job& job = at->second;
      const bool isKnownToFail =
        std::find(failed.begin(), failed.end(), job.spec.shape) != failed.end();
      if (isKnownToFail || !this->placement->Place(this->index,
                                                   { job.spec.shape, {} },
                                                   chosenWorkers)) {
        if (this->kind == Baseline::FirstFitFifo) {
          return;
        }
        if (!isKnownToFail) {
          failed.push_back(job.spec.shape);
        }
        ++at;
        continue;
      }
      ++job.attempts;
      job.workers = chosenWorkers;
      job::GangPlan plan{
        { job.spec.id, base::Attempt(job.attempts) }, {}, {}, {}
      };
      for (const WorkerIndex worker : chosenWorkers) {
        this->free[worker] -= job.spec.shape.perMember;
        this->Refresh(worker);
        plan.members.push_back({ this->cell.Worker(worker).target.id,
                                 {},
                                 job.spec.shape.perMember });
      }
      aEffects.emplace_back(
        StartGang{ std::move(plan), AllocationType::Spare });
      this->running.emplace(job.spec.id, std::move(job));
      at = this->waiting.erase(at);
    }
  }

  void Refresh(WorkerIndex aWorker)
  {
    const fleet::WorkerRow& row = this->cell.Worker(aWorker);
    this->index.Set(
      aWorker, row.rackPosition, row.target.resources, this->free[aWorker]);
  }

  Baseline kind;
  std::unique_ptr<PlacementPolicy> placement;
  fleet::CellTable cell;
  CapacityIndex index;
  std::vector<Resources> free;
  std::map<Rank, Job> waiting;
  std::map<base::JobId, Job> running;
  std::uint64_t order = 0;
};

} // namespace

std::unique_ptr<Engine>
MakeEngine()
{
  return std::make_unique<SchedulerEngine>();
}

std::unique_ptr<Engine>
MakeBaseline(Baseline aKind)
{
  return std::make_unique<BaselineEngine>(aKind);
}

} // namespace amaranthwind::scheduling
