#include "amaranthwind/scheduling/CellScheduler.h"

#include "ResourceMath.h"
#include "SchedulerState.h"

#include <algorithm>
#include <variant>

namespace amaranthwind::scheduling {

using base::ErrorCode;
using fleet::Resources;
using fleet::WorkerIndex;

namespace {

/**
 * Retry delay after the first attempt that did not run. Doubles with each
 * further one, at most kMaxDelayDoublings times.
 */
constexpr base::Duration kInitialRetryDelay = std::chrono::seconds(1);
constexpr std::uint32_t kMaxDelayDoublings = 6;

} // namespace

CellScheduler::CellScheduler(const SchedulerSettings& aSettings,
                             std::unique_ptr<PlacementPolicy> aPlacement)
  : state(std::make_unique<State>(aSettings, std::move(aPlacement)))
{
}

CellScheduler::~CellScheduler() = default;

void
CellScheduler::Handle(base::TimePoint aNow,
                      const Event& aEvent,
                      std::vector<Effect>& aEffects)
{
  State& cell = *this->state;
  cell.now = aNow;
  cell.effects = &aEffects;
  if (!cell.gracePeriodEnd) {
    cell.gracePeriodEnd = aNow + cell.settings.startupGracePeriod;
  }
  std::visit([&cell](const auto& aBody) { cell.On(aBody); }, aEvent);
  cell.ledger.Repair();
  cell.SyncLedger();
  for (const Shortfall& shortfall : cell.ledger.TakeShortfallChanges()) {
    aEffects.emplace_back(
      ReportShortfall{ cell.ledger.AccountName(shortfall.account),
                       shortfall.units,
                       shortfall.accelerators });
  }
  cell.Dispatch();
  cell.effects = nullptr;
}

base::Result<WaitReport>
CellScheduler::ExplainWait(base::TimePoint aNow, const base::JobId& aJob) const
{
  const auto found = this->state->jobsById.find(aJob);
  if (found == this->state->jobsById.end() ||
      this->state->jobs[found->second].phase == Phase::Placed) {
    return base::Fail(ErrorCode::UnknownJob, aJob.View());
  }
  this->state->now = std::max(this->state->now, aNow);
  return this->state->Explain(this->state->jobs[found->second]);
}

std::optional<AllocationType>
CellScheduler::FindAllocationType(const base::JobId& aJob) const
{
  const auto found = this->state->jobsById.find(aJob);
  if (found == this->state->jobsById.end() ||
      this->state->jobs[found->second].phase != Phase::Placed) {
    return std::nullopt;
  }
  return this->state->jobs[found->second].allocation;
}

CellUsage
CellScheduler::Usage() const
{
  CellUsage usage;
  for (const WorkerUse& use : this->state->uses) {
    usage.accelerators += use.total.accelerators;
  }
  for (const JobRow& job : this->state->jobs) {
    if (job.phase == Phase::Placed) {
      ++usage.runningJobs;
      const std::uint64_t accelerators = job.spec.shape.TotalAccelerators();
      usage.guaranteed +=
        job.allocation == AllocationType::Guaranteed ? accelerators : 0;
      usage.spare += job.allocation == AllocationType::Spare ? accelerators : 0;
      usage.borrowed +=
        job.allocation == AllocationType::Borrowed ? accelerators : 0;
    } else if (job.phase != Phase::Unused) {
      ++usage.waitingJobs;
    }
  }
  return usage;
}

CellScheduler::State::State(const SchedulerSettings& aSettings,
                            std::unique_ptr<PlacementPolicy> aPlacement)
  : settings(aSettings)
  , placement(std::move(aPlacement))
  , ledger(*this->placement)
  , health(HealthSettings{ aSettings.initialIsolation,
                           aSettings.maxIsolation,
                           aSettings.failuresToIsolate })
{
}

void
CellScheduler::State::On(const WorkerJoined& aEvent)
{
  const fleet::Target& target = aEvent.target;
  if (target.kind != fleet::TargetKind::Worker ||
      target.zone != this->settings.zone) {
    return;
  }
  const auto known = this->cell.Find(target.id);
  if (known &&
      !this->cell.Worker(*known).target.resources.Covers(target.resources)) {
    this->mustCheckFeasibility = true;
  }
  const WorkerIndex worker = this->cell.Put(target);
  this->SetUsable(worker);
  const std::vector<JobIndex> here = this->uses[worker].jobs;
  for (const JobIndex job : here) {
    if (this->jobs[job].isRestored) {
      this->TryPromote(job);
    }
  }
}

void
CellScheduler::State::On(const WorkerLost& aEvent)
{
  const auto worker = this->cell.Find(aEvent.worker);
  if (worker &&
      this->cell.Worker(*worker).presence != fleet::WorkerPresence::Lost) {
    this->lostWorkers.push_back(*worker);
    this->cell.SetPresence(*worker, fleet::WorkerPresence::Lost, this->now);
    this->SetUsable(*worker);
  }
}

void
CellScheduler::State::On(const WorkerDraining& aEvent)
{
  const auto worker = this->cell.Find(aEvent.worker);
  if (worker &&
      this->cell.Worker(*worker).presence == fleet::WorkerPresence::Present) {
    this->cell.SetPresence(*worker, fleet::WorkerPresence::Draining, this->now);
    this->SetUsable(*worker);
  }
}

void
CellScheduler::State::On(const JobSubmitted& aEvent)
{
  if (this->jobsById.contains(aEvent.spec.id)) {
    return;
  }
  const JobIndex job = this->AddJob(aEvent.spec, aEvent.urgency);
  this->Enqueue(job);
  this->RefuseIfInfeasible(job);
}

void
CellScheduler::State::On(const JobCancelled& aEvent)
{
  const auto found = this->jobsById.find(aEvent.job);
  if (found == this->jobsById.end()) {
    return;
  }
  JobRow& job = this->jobs[found->second];
  if (job.phase != Phase::Placed) {
    this->EndJobWith(found->second,
                     base::Error{ ErrorCode::Cancelled, job.spec.id.Text() });
    return;
  }
  job.isCancelled = true;
  if (!job.isStopping) {
    this->StopGang(found->second, StopReason::Cancelled);
  }
}

void
CellScheduler::State::On(const GangStarted& aEvent)
{
  const auto found = this->jobsById.find(aEvent.gang.job);
  if (found == this->jobsById.end()) {
    return;
  }
  JobRow& job = this->jobs[found->second];
  if (job.phase == Phase::Placed &&
      job.lastAttempt == aEvent.gang.attempt.Get() && !job.hasStarted) {
    job.hasStarted = true;
    job.started = this->now;
    job.expectedEnd =
      this->now +
      this->runTimes.Estimate(job.workKind, job.spec.declaredRunTime).high;
  }
}

void
CellScheduler::State::On(const GangEnded& aEvent)
{
  const auto found = this->jobsById.find(aEvent.gang.job);
  if (found == this->jobsById.end()) {
    return;
  }
  const JobIndex index = found->second;
  JobRow& job = this->jobs[index];
  if (job.phase != Phase::Placed ||
      job.lastAttempt != aEvent.gang.attempt.Get()) {
    return;
  }
  const auto trial =
    std::find_if(this->trials.begin(),
                 this->trials.end(),
                 [index](const Trial& aTrial) { return aTrial.job == index; });
  if (trial != this->trials.end()) {
    const WorkerIndex worker = trial->worker;
    if (aEvent.outcome == AttemptOutcome::Succeeded ||
        aEvent.outcome == AttemptOutcome::Failed) {
      this->trials.erase(trial);
      this->health.EndTrial(
        this->now, worker, aEvent.outcome == AttemptOutcome::Succeeded);
      this->ReportHealth(worker);
    } else {
      trial->job = kNoJob; // Inconclusive; another job repeats the trial.
    }
  }
  const std::vector<WorkerIndex> workers = job.workers;
  const AccountIndex account = job.account;
  const bool wasGuaranteed = job.allocation == AllocationType::Guaranteed;
  this->ReleaseAttempt(index);
  switch (aEvent.outcome) {
    case AttemptOutcome::Succeeded:
      if (job.hasStarted && job.runs == 1) {
        this->runTimes.Add(job.workKind, this->now - job.started);
      }
      this->health.AddWorkKindSuccess(job.workKind);
      for (const WorkerIndex worker : workers) {
        this->health.AddSuccess(worker);
      }
      for (const WorkerIndex worker : job.failedOn) {
        if (this->health.AddConfirmedFailure(this->now, worker)) {
          this->ReportHealth(worker);
        }
      }
      this->EndJobWith(index, std::nullopt);
      break;
    case AttemptOutcome::Preempted:
      if (job.isCancelled) {
        this->EndJobWith(
          index, base::Error{ ErrorCode::Cancelled, job.spec.id.Text() });
      } else {
        this->Retry(index, false);
      }
      break;
    case AttemptOutcome::Failed:
    case AttemptOutcome::NotRun:
      this->EndFailed(index, aEvent);
      break;
  }
  if (wasGuaranteed) {
    this->Promote(account);
  }
}

void
CellScheduler::State::EndFailed(JobIndex aJob, const GangEnded& aEvent)
{
  JobRow& job = this->jobs[aJob];
  const bool hasRun = aEvent.outcome == AttemptOutcome::Failed;
  if (!hasRun) {
    --job.runs;
  }
  std::optional<WorkerIndex> faultyWorker;
  if (aEvent.faultyWorker) {
    faultyWorker = this->cell.Find(*aEvent.faultyWorker);
  } else if (hasRun && std::equal(job.workers.begin() + 1,
                                  job.workers.end(),
                                  job.workers.begin())) {
    faultyWorker = job.workers.front();
  }
  // A failure on a lost worker indicates neither a faulty job nor a faulty
  // worker.
  if (faultyWorker && this->cell.Worker(*faultyWorker).presence ==
                        fleet::WorkerPresence::Lost) {
    faultyWorker.reset();
  }
  if (faultyWorker) {
    if (this->health.AddFailure(this->now, *faultyWorker, job.workKind)) {
      this->ReportHealth(*faultyWorker);
    }
    if (std::find(job.failedOn.begin(), job.failedOn.end(), *faultyWorker) ==
        job.failedOn.end()) {
      job.failedOn.push_back(*faultyWorker);
    }
  }
  if (job.isCancelled) {
    this->EndJobWith(aJob,
                     base::Error{ ErrorCode::Cancelled, job.spec.id.Text() });
    return;
  }
  const auto healthy =
    std::count_if(job.failedOn.begin(), job.failedOn.end(), [&](auto aWorker) {
      return this->health.Health(aWorker) == WorkerHealth::Healthy;
    });
  if (hasRun &&
      healthy >= static_cast<std::ptrdiff_t>(this->settings.failuresToGiveUp)) {
    for (const WorkerIndex worker : job.failedOn) {
      this->health.RetractFailure(worker);
    }
    this->EndJobWith(
      aJob, base::Error{ ErrorCode::TargetFailed, job.spec.id.Text() });
    return;
  }
  this->mustCheckAvoidedWorkers = true;
  this->Retry(aJob, !hasRun);
}

void
CellScheduler::State::On(const JobEnded& aEvent)
{
  const auto found = this->jobsById.find(aEvent.job);
  if (found != this->jobsById.end()) {
    this->RemoveJob(found->second);
  }
}

void
CellScheduler::State::On(const PolicyChanged& aEvent)
{
  this->ledger.SetGuarantees(aEvent.accounts, this->settings.zone);
  this->ledger.Repair();
  this->SyncLedger();
  this->needsFullPass = true;
  for (JobIndex job = 0; job < this->jobs.size(); ++job) {
    if (this->jobs[job].phase == Phase::Placed) {
      this->TryPromote(job);
    }
  }
}

void
CellScheduler::State::On(const JobRestored& aEvent)
{
  if (this->jobsById.contains(aEvent.spec.id)) {
    return;
  }
  const JobIndex index = this->AddJob(aEvent.spec, aEvent.urgency);
  JobRow& job = this->jobs[index];
  job.lastAttempt = aEvent.lastAttempt.Get();
  job.runs = aEvent.runs;
  if (aEvent.workers.empty()) {
    this->Enqueue(index);
    return;
  }
  for (const base::TargetId& id : aEvent.workers) {
    const bool isKnown = this->cell.Find(id).has_value();
    const WorkerIndex worker = this->cell.FindOrAddLost(id, this->now);
    job.workers.push_back(worker);
    if (!isKnown) {
      this->lostWorkers.push_back(worker);
      this->SetUsable(worker);
    }
  }
  job.phase = Phase::Placed;
  job.isRestored = true;
  job.hasStarted = true;
  job.started = this->now;
  job.expectedEnd =
    this->now +
    this->runTimes.Estimate(job.workKind, job.spec.declaredRunTime).high;
  // job.runs already includes the current run.
  job.allocation = job.spec.isPreemptible && job.runs < job.spec.maxRuns
                     ? AllocationType::Borrowed
                     : AllocationType::Spare;
  if (job.allocation == AllocationType::Spare) {
    this->ledger.ForceCommit(job.workers, job.spec.shape.perMember);
  }
  this->OccupyWorkers(index);
  this->TryPromote(index);
}

void
CellScheduler::State::On(const Tick&)
{
  std::vector<JobIndex> due;
  std::erase_if(this->delayed, [&](JobIndex aJob) {
    const bool isDue = this->jobs[aJob].retryAt <= this->now;
    if (isDue) {
      due.push_back(aJob);
    }
    return isDue;
  });
  for (const JobIndex job : due) {
    this->Enqueue(job);
  }
  std::vector<WorkerIndex> onProbation;
  this->health.StartProbations(this->now, onProbation);
  for (const WorkerIndex worker : onProbation) {
    this->trials.push_back(Trial{ worker, kNoJob });
    this->ReportHealth(worker);
  }
  // End the probation as successful if no job could be used for a trial in
  // time: a trial needs a job that still has a run left if the trial fails.
  std::vector<WorkerIndex> untried;
  std::erase_if(this->trials, [&](const Trial& aTrial) {
    const bool isOver =
      aTrial.job == kNoJob && this->health.IsolatedUntil(aTrial.worker) +
                                  this->settings.initialIsolation <=
                                this->now;
    if (isOver) {
      untried.push_back(aTrial.worker);
    }
    return isOver;
  });
  for (const WorkerIndex worker : untried) {
    this->health.EndTrial(this->now, worker, true);
    this->ReportHealth(worker);
  }
  for (JobIndex job = 0; job < this->jobs.size(); ++job) {
    JobRow& row = this->jobs[job];
    if (row.isStopping && row.stopDeadline <= this->now) {
      this->StopGang(job,
                     row.isCancelled ? StopReason::Cancelled
                                     : StopReason::GuaranteeClaimed);
    }
  }
  if (this->mustCheckAvoidedWorkers) {
    this->mustCheckAvoidedWorkers = false;
    this->ClearAvoidedWorkers();
  }
  this->ForgetLostWorkers();
  const bool hasGracePeriodEnded =
    *this->gracePeriodEnd <= this->now &&
    *this->gracePeriodEnd != base::TimePoint::min();
  if (hasGracePeriodEnded) {
    // Check the jobs once that were submitted before the fleet was known.
    this->gracePeriodEnd = base::TimePoint::min();
  }
  if (hasGracePeriodEnded || this->mustCheckFeasibility) {
    this->mustCheckFeasibility = false;
    std::vector<JobIndex> waiting;
    for (const ClassRow& row : this->classes) {
      waiting.insert(waiting.end(), row.waiting.begin(), row.waiting.end());
    }
    for (const JobIndex job : waiting) {
      this->RefuseIfInfeasible(job);
    }
  }
}

void
CellScheduler::State::ClearAvoidedWorkers()
{
  // A worker on which the job failed before is better than none.
  std::vector<JobIndex> unplaceable;
  for (const ClassRow& row : this->classes) {
    if (row.waiting.empty() || row.key.exclusiveJob == kNoJob) {
      continue;
    }
    const JobRow& job = this->jobs[row.waiting.front()];
    const auto placeable = this->CountPlaceable(
      job.spec.shape, job.failedOn, [this](WorkerIndex aWorker) {
        return this->uses[aWorker].total;
      });
    if (placeable < job.spec.shape.members) {
      unplaceable.push_back(row.waiting.front());
    }
  }
  for (const JobIndex job : unplaceable) {
    this->Dequeue(job);
    this->jobs[job].failedOn.clear();
    this->Enqueue(job);
  }
}

JobIndex
CellScheduler::State::AddJob(const job::JobSpec& aSpec, std::uint32_t aUrgency)
{
  JobIndex index = 0;
  if (this->unusedJobs.empty()) {
    index = static_cast<JobIndex>(this->jobs.size());
    this->jobs.emplace_back();
  } else {
    index = this->unusedJobs.back();
    this->unusedJobs.pop_back();
  }
  JobRow& job = this->jobs[index];
  job.spec = aSpec;
  job.urgency = aUrgency;
  job.account = this->ledger.FindAccount(aSpec.account);
  job.workKind = this->runTimes.Find(aSpec.account, aSpec.kind);
  job.submitted = this->now;
  this->jobsById.emplace(aSpec.id, index);
  return index;
}

void
CellScheduler::State::RemoveJob(JobIndex aJob)
{
  JobRow& job = this->jobs[aJob];
  switch (job.phase) {
    case Phase::Waiting:
      this->Dequeue(aJob);
      break;
    case Phase::Delayed:
      std::erase(this->delayed, aJob);
      break;
    case Phase::Reclaiming:
      this->CancelClaim(aJob); // Dequeued when it was claimed.
      break;
    case Phase::Placed:
      for (Trial& trial : this->trials) {
        trial.job = trial.job == aJob ? kNoJob : trial.job;
      }
      this->ReleaseAttempt(aJob);
      break;
    case Phase::Unused:
      break;
  }
  this->jobsById.erase(job.spec.id);
  job = JobRow{};
  this->unusedJobs.push_back(aJob);
}

void
CellScheduler::State::EndJobWith(JobIndex aJob,
                                 std::optional<base::Error> aError)
{
  this->effects->emplace_back(
    EndJob{ this->jobs[aJob].spec.id, std::move(aError) });
  this->RemoveJob(aJob);
}

void
CellScheduler::State::Enqueue(JobIndex aJob)
{
  JobRow& job = this->jobs[aJob];
  const JobClass key{ job.account,
                      job.workKind,
                      job.urgency,
                      job.MayBorrow(),
                      job.failedOn.empty() ? kNoJob : aJob,
                      job.spec.shape };
  auto found = this->classesByKey.find(key);
  if (found == this->classesByKey.end()) {
    ClassIndex index = 0;
    if (this->unusedClasses.empty()) {
      index = static_cast<ClassIndex>(this->classes.size());
      this->classes.emplace_back();
    } else {
      index = this->unusedClasses.back();
      this->unusedClasses.pop_back();
    }
    this->classes[index].key = key;
    this->classes[index].coverGeneration = ~std::uint64_t{ 0 };
    found = this->classesByKey.emplace(key, index).first;
  }
  job.phase = Phase::Waiting;
  job.jobClass = found->second;
  auto& waiting = this->classes[job.jobClass].waiting;
  const auto at = std::upper_bound(waiting.begin(),
                                   waiting.end(),
                                   job.submitted,
                                   [this](base::TimePoint aTime, JobIndex aAt) {
                                     return aTime < this->jobs[aAt].submitted;
                                   });
  const bool isFirst = at == waiting.begin();
  waiting.insert(at, aJob);
  if (isFirst) {
    this->untriedClasses.push_back(job.jobClass);
  }
}

void
CellScheduler::State::Dequeue(JobIndex aJob)
{
  ClassRow& row = this->classes[this->jobs[aJob].jobClass];
  if (this->reservation.job == aJob) {
    this->CancelReservation();
  }
  const auto at = std::find(row.waiting.begin(), row.waiting.end(), aJob);
  if (at == row.waiting.begin()) {
    this->untriedClasses.push_back(this->jobs[aJob].jobClass);
  }
  row.waiting.erase(at);
  if (row.waiting.empty()) {
    std::erase(this->untriedClasses, this->jobs[aJob].jobClass);
    this->classesByKey.erase(row.key);
    this->unusedClasses.push_back(this->jobs[aJob].jobClass);
  }
}

void
CellScheduler::State::Retry(JobIndex aJob, bool aIsDelayed)
{
  JobRow& job = this->jobs[aJob];
  if (job.runs >= job.spec.maxRuns) {
    this->EndJobWith(
      aJob, base::Error{ ErrorCode::TargetFailed, job.spec.id.Text() });
    return;
  }
  job.workers.clear();
  if (!aIsDelayed) {
    this->Enqueue(aJob);
    return;
  }
  job.retryAt = this->now + kInitialRetryDelay *
                              (1 << std::min(job.delays, kMaxDelayDoublings));
  ++job.delays;
  job.phase = Phase::Delayed;
  this->delayed.push_back(aJob);
}

void
CellScheduler::State::ReleaseAttempt(JobIndex aJob)
{
  JobRow& job = this->jobs[aJob];
  const Resources& need = job.spec.shape.perMember;
  for (const WorkerIndex worker : job.workers) {
    std::erase(this->uses[worker].jobs, aJob);
  }
  this->RemoveUse(&WorkerUse::used, job.workers, need);
  if (job.allocation == AllocationType::Guaranteed) {
    this->ledger.ReleaseCharge(job.charge, need);
    job.charge.clear();
  } else if (job.allocation == AllocationType::Spare) {
    this->ledger.ReleaseCommitted(job.workers, need);
  }
  job.phase = Phase::Unused;
  job.isStopping = false;
  job.isRestored = false;
  this->ledger.Repair();
  this->SyncLedger();
  this->needsFullPass = true;
}

void
CellScheduler::State::RefuseIfInfeasible(JobIndex aJob)
{
  JobRow& job = this->jobs[aJob];
  if (this->now < *this->gracePeriodEnd || this->CouldEverFit(job.spec.shape)) {
    return;
  }
  this->effects->emplace_back(RefuseJob{
    job.spec.id, base::Error{ ErrorCode::NeverFits, job.spec.id.Text() } });
  this->RemoveJob(aJob);
}

bool
CellScheduler::State::CouldEverFit(const fleet::Shape& aShape)
{
  const PlacementRequest request{ aShape, {}, nullptr };
  if (this->placement->Place(this->announced, request, this->chosenWorkers)) {
    return true;
  }
  // The index splits racks of more than 64 workers; this count does not.
  return aShape.members != 0 &&
         this->CountPlaceable(aShape, {}, [this](WorkerIndex aWorker) {
           return this->cell.Worker(aWorker).target.resources;
         }) >= aShape.members;
}

void
CellScheduler::State::SetUsable(WorkerIndex aWorker)
{
  if (aWorker >= this->uses.size()) {
    this->uses.resize(aWorker + 1);
  }
  const fleet::WorkerRow& row = this->cell.Worker(aWorker);
  const bool isUsable = row.presence == fleet::WorkerPresence::Present &&
                        this->health.Health(aWorker) == WorkerHealth::Healthy;
  this->uses[aWorker].total = isUsable ? row.target.resources : Resources{};
  this->mustCheckAvoidedWorkers = this->mustCheckAvoidedWorkers || !isUsable;
  this->announced.Set(
    aWorker, row.rackPosition, row.target.resources, row.target.resources);
  this->ledger.SetWorker(aWorker, row.rackPosition, this->uses[aWorker].total);
  this->ledger.Repair();
  this->Refresh(aWorker);
  this->SyncLedger();
  this->needsFullPass = true;
}

void
CellScheduler::State::Refresh(WorkerIndex aWorker)
{
  const WorkerUse& use = this->uses[aWorker];
  Resources taken = use.used;
  taken += use.claimed;
  taken += use.reserved;
  const Resources available = SubtractClamped(use.total, taken);
  this->free.Set(
    aWorker, this->cell.Worker(aWorker).rackPosition, use.total, available);
}

void
CellScheduler::State::SyncLedger()
{
  this->ledger.TakeChangedWorkers(this->changedWorkers);
  for (const WorkerIndex worker : this->changedWorkers) {
    this->Refresh(worker);
  }
}

void
CellScheduler::State::ReportHealth(WorkerIndex aWorker)
{
  this->effects->emplace_back(
    ChangeWorkerHealth{ this->cell.Worker(aWorker).target.id,
                        this->health.Health(aWorker),
                        this->health.IsolatedUntil(aWorker) });
  this->SetUsable(aWorker);
}

void
CellScheduler::State::ForgetLostWorkers()
{
  std::vector<WorkerIndex> stillLost;
  for (const WorkerIndex worker : this->lostWorkers) {
    const fleet::WorkerRow& row = this->cell.Worker(worker);
    if (!row.isInUse || row.presence != fleet::WorkerPresence::Lost) {
      continue; // Returned, or listed twice.
    }
    if (row.lostAt + this->settings.lostWorkerRetention > this->now ||
        !this->uses[worker].jobs.empty() ||
        this->uses[worker].claimed != Resources{} ||
        this->uses[worker].reserved != Resources{}) {
      stillLost.push_back(worker);
      continue;
    }
    this->announced.Set(worker, row.rackPosition, {}, {});
    this->health.Reset(worker);
    std::erase_if(this->trials, [worker](const Trial& aTrial) {
      return aTrial.worker == worker;
    });
    for (JobRow& job : this->jobs) {
      std::erase(job.failedOn, worker);
    }
    this->cell.Remove(worker);
    this->mustCheckFeasibility = true;
  }
  this->lostWorkers = std::move(stillLost);
}

void
CellScheduler::State::AddUse(Resources WorkerUse::*aField,
                             std::span<const WorkerIndex> aWorkers,
                             const Resources& aNeed)
{
  for (const WorkerIndex worker : aWorkers) {
    this->uses[worker].*aField += aNeed;
    this->Refresh(worker);
  }
}

void
CellScheduler::State::OccupyWorkers(JobIndex aJob)
{
  const JobRow& job = this->jobs[aJob];
  this->AddUse(&WorkerUse::used, job.workers, job.spec.shape.perMember);
  for (const WorkerIndex worker : job.workers) {
    // UseOn() covers all members on a worker, so a second entry would count
    // them twice.
    std::vector<JobIndex>& here = this->uses[worker].jobs;
    if (here.empty() || here.back() != aJob) {
      here.push_back(aJob);
    }
  }
}

void
CellScheduler::State::RemoveUse(Resources WorkerUse::*aField,
                                std::span<const WorkerIndex> aWorkers,
                                const Resources& aNeed)
{
  for (const WorkerIndex worker : aWorkers) {
    this->uses[worker].*aField -= aNeed;
    this->Refresh(worker);
  }
}

} // namespace amaranthwind::scheduling
