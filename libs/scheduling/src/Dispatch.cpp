#include "ResourceMath.h"
#include "SchedulerState.h"

#include <algorithm>
#include <tuple>

namespace amaranthwind::scheduling {

using fleet::Resources;
using fleet::WorkerIndex;

namespace {

/**
 * An unused unit is preferred for a job only if it has at most this many times
 * the accelerators of the job. A larger unit is used only if the job does not
 * fit elsewhere.
 */
constexpr std::uint64_t kMaxUnitToJobRatio = 2;
/**
 * Maximum number of placements tried for non-preemptible use before the job
 * waits.
 */
constexpr std::uint32_t kMaxPlacementTries = 4;

} // namespace

void
CellScheduler::State::Dispatch()
{
  if (this->isPlanPending && this->now >= this->nextPlan) {
    this->isPlanPending = false;
    this->needsFullPass = true;
  }
  this->AdvanceClaims();
  this->AdvanceReservation();
  if (!this->needsFullPass && this->untriedClasses.empty()) {
    return;
  }
  if (this->needsFullPass) {
    this->needsFullPass = false;
    this->untriedClasses.clear();
    this->RunPass();
  } else {
    // Only in these classes has the first job not been tried yet.
    std::vector<ClassIndex> untried;
    untried.swap(this->untriedClasses);
    std::sort(untried.begin(), untried.end());
    untried.erase(std::unique(untried.begin(), untried.end()), untried.end());
    this->TryClasses(untried);
  }
  this->StartTrials();
  this->ChooseReservation();
}

void
CellScheduler::State::RunPass()
{
  this->TryClasses(this->ClassesInOrder());
}

void
CellScheduler::State::TryClasses(std::span<const ClassIndex> aClasses)
{
  // A pass only allocates resources, so a shape that failed once in a pass
  // fails again.
  std::vector<std::pair<fleet::Shape, bool>> failed;
  const auto tryAll = [&](bool aIsBackfill) {
    failed.clear();
    for (const ClassIndex index : aClasses) {
      while (!this->classes[index].waiting.empty()) {
        const JobIndex first = this->classes[index].waiting.front();
        const JobRow& job = this->jobs[first];
        if (first == this->reservation.job) {
          break;
        }
        if (aIsBackfill && !this->CanBackfill(job)) {
          break;
        }
        const std::pair tried(job.spec.shape, job.MayBorrow());
        const bool isKnownToFail =
          !this->IsCovered(index) &&
          std::find(failed.begin(), failed.end(), tried) != failed.end();
        if (isKnownToFail) {
          break;
        }
        if (!this->TryStart(first)) {
          if (job.failedOn.empty()) {
            failed.push_back(tried);
          }
          break;
        }
      }
    }
  };
  tryAll(false);
  if (this->reservation.job != kNoJob) {
    this->SuspendReservation();
    tryAll(true);
    this->ApplyReservation();
  }
  this->untriedClasses.clear();
}

std::vector<ClassIndex>
CellScheduler::State::ClassesInOrder()
{
  using Rank = std::tuple<bool, std::uint32_t, base::TimePoint, ClassIndex>;
  std::vector<Rank> ranks;
  for (ClassIndex index = 0; index < this->classes.size(); ++index) {
    const ClassRow& row = this->classes[index];
    if (!row.waiting.empty()) {
      ranks.emplace_back(!this->IsCovered(index),
                         row.key.urgency,
                         this->jobs[row.waiting.front()].submitted,
                         index);
    }
  }
  std::sort(ranks.begin(), ranks.end());
  std::vector<ClassIndex> order;
  order.reserve(ranks.size());
  for (const Rank& rank : ranks) {
    order.push_back(std::get<3>(rank));
  }
  return order;
}

bool
CellScheduler::State::IsCovered(ClassIndex aClass)
{
  ClassRow& row = this->classes[aClass];
  const std::uint64_t generation = this->ledger.Generation(row.key.account);
  if (row.coverGeneration != generation) {
    row.coverGeneration = generation;
    std::vector<WorkerIndex> workers;
    row.isCovered = this->PlaceInGuarantee(
      row.key.account,
      row.key.shape,
      {}, // Avoid no worker: the unit can still move to other workers.
      OfferFilter::Any,
      workers);
  }
  return row.isCovered;
}

bool
CellScheduler::State::TryStart(JobIndex aJob)
{
  const JobRow& job = this->jobs[aJob];
  const fleet::Shape& shape = job.spec.shape;
  if (!this->IsCovered(job.jobClass)) {
    return this->TryUnguaranteed(aJob);
  }
  // A small job does not split a large unit while it can run elsewhere, because
  // the account needs the complete unit for its large jobs.
  const bool fillsUnit =
    this->ledger.HasUnusedUnit(job.account,
                               shape.perMember,
                               kMaxUnitToJobRatio * shape.TotalAccelerators());
  if (fillsUnit) {
    return this->TryGuaranteed(aJob) || this->TryUnguaranteed(aJob) ||
           this->Reclaim(aJob);
  }
  return this->TryPartlyUsedUnit(aJob) || this->TryUnguaranteed(aJob) ||
         this->TryGuaranteed(aJob) || this->Reclaim(aJob);
}

bool
CellScheduler::State::ChargeAndStart(JobIndex aJob)
{
  JobRow& job = this->jobs[aJob];
  const bool isCharged = this->ledger.TryCharge(
    job.account, this->chosenWorkers, job.spec.shape.perMember, job.charge);
  this->SyncLedger();
  if (isCharged) {
    this->Start(aJob, AllocationType::Guaranteed);
  }
  return isCharged;
}

bool
CellScheduler::State::FindInGuarantee(JobIndex aJob, OfferFilter aFilter)
{
  const JobRow& job = this->jobs[aJob];
  return this->PlaceInGuarantee(
    job.account, job.spec.shape, job.failedOn, aFilter, this->chosenWorkers);
}

bool
CellScheduler::State::TryPartlyUsedUnit(JobIndex aJob)
{
  return this->FindInGuarantee(aJob, OfferFilter::PartlyUsedAndFree) &&
         this->ChargeAndStart(aJob);
}

bool
CellScheduler::State::TryGuaranteed(JobIndex aJob)
{
  if (this->TryPartlyUsedUnit(aJob)) {
    return true;
  }
  // Fill a partly used unit before splitting an unused one, even if borrowers
  // have to be stopped. Otherwise no unit remains for jobs that need a complete
  // one.
  if (this->FindInGuarantee(aJob, OfferFilter::PartlyUsed)) {
    return false;
  }
  // First the unit's own workers, then workers that are already partly
  // committed, then any free workers.
  const JobRow& job = this->jobs[aJob];
  const PlacementRequest anywhere{ job.spec.shape, job.failedOn, nullptr };
  const PlacementRequest packed{ job.spec.shape, job.failedOn, &this->free };
  return (this->FindInGuarantee(aJob, OfferFilter::Free) &&
          this->ChargeAndStart(aJob)) ||
         (this->placement->Place(
            this->ledger.Uncommitted(), packed, this->chosenWorkers) &&
          this->ChargeAndStart(aJob)) ||
         (this->placement->Place(this->free, anywhere, this->chosenWorkers) &&
          this->ChargeAndStart(aJob));
}

bool
CellScheduler::State::TryUnguaranteed(JobIndex aJob)
{
  JobRow& job = this->jobs[aJob];
  const PlacementRequest request{ job.spec.shape, job.failedOn, nullptr };
  if (job.MayBorrow()) {
    if (!this->placement->Place(this->free, request, this->chosenWorkers)) {
      return false;
    }
    this->Start(aJob, AllocationType::Borrowed);
    return true;
  }
  // No new non-preemptible use starts while guarantees have a shortfall.
  if (this->ledger.HasShortfall()) {
    return false;
  }
  // Nor while a more urgent gang has a reservation: jobs that must not be
  // preempted any more would otherwise occupy its workers one after the other.
  if (this->reservation.job != kNoJob &&
      job.urgency > this->jobs[this->reservation.job].urgency) {
    return false;
  }
  const auto take = [&] {
    const bool isTaken =
      this->ledger.TryCommit(this->chosenWorkers, job.spec.shape.perMember);
    this->SyncLedger();
    if (isTaken) {
      this->Start(aJob, AllocationType::Spare);
    }
    return isTaken;
  };
  // Pack non-preemptible use next to other committed resources. Borrowers are
  // ignored, because they are short-lived and can be stopped.
  if (this->placement->Place(this->ledger.Uncommitted(),
                             { job.spec.shape, job.failedOn, &this->free },
                             this->chosenWorkers) &&
      take()) {
    return true;
  }
  // Then try workers from which unused units have to be moved away.
  std::vector<WorkerIndex> avoid = job.failedOn;
  for (std::uint32_t tries = 0; tries < kMaxPlacementTries; ++tries) {
    if (!this->placement->Place(this->free,
                                { job.spec.shape, avoid, nullptr },
                                this->chosenWorkers)) {
      return false;
    }
    if (take()) {
      return true;
    }
    avoid.insert(
      avoid.end(), this->chosenWorkers.begin(), this->chosenWorkers.end());
  }
  return false;
}

void
CellScheduler::State::Start(JobIndex aJob, AllocationType aAllocation)
{
  JobRow& job = this->jobs[aJob];
  if (job.phase == Phase::Waiting) {
    this->Dequeue(aJob);
  }
  job.phase = Phase::Placed;
  job.allocation = aAllocation;
  job.workers = this->chosenWorkers;
  job.hasStarted = false;
  job.isStopping = false;
  job.started = this->now;
  job.expectedEnd =
    this->now +
    this->runTimes.Estimate(job.workKind, job.spec.declaredRunTime).high;
  ++job.lastAttempt;
  ++job.runs;
  this->OccupyWorkers(aJob);
  job::GangPlan plan{ { job.spec.id, base::Attempt(job.lastAttempt) },
                      this->settings.token,
                      {},
                      job.spec.payload };
  plan.members.reserve(job.workers.size());
  for (const WorkerIndex worker : job.workers) {
    const fleet::Target& target = this->cell.Worker(worker).target;
    plan.members.push_back(job::GangMemberPlan{
      target.id, target.address, job.spec.shape.perMember });
  }
  this->effects->emplace_back(StartGang{ std::move(plan), aAllocation });
}

void
CellScheduler::State::StartTrials()
{
  for (std::size_t at = 0; at < this->trials.size(); ++at) {
    const WorkerIndex worker = this->trials[at].worker;
    if (this->trials[at].job != kNoJob ||
        this->cell.Worker(worker).presence != fleet::WorkerPresence::Present) {
      continue;
    }
    const Resources& total = this->cell.Worker(worker).target.resources;
    for (ClassIndex index = 0; index < this->classes.size(); ++index) {
      const ClassRow& row = this->classes[index];
      if (row.waiting.empty()) {
        continue;
      }
      const JobIndex first = row.waiting.front();
      const JobRow& job = this->jobs[first];
      const fleet::Shape& shape = job.spec.shape;
      const bool isOneTask =
        shape.members == 1 || shape.adjacency == fleet::Adjacency::SameWorker;
      // The job needs another run in case the trial fails.
      if (!isOneTask || job.runs + 1 >= job.spec.maxRuns ||
          !total.Covers(Multiply(shape.perMember, shape.members)) ||
          !SubtractClamped(total, this->uses[worker].used)
             .Covers(Multiply(shape.perMember, shape.members)) ||
          std::find(job.failedOn.begin(), job.failedOn.end(), worker) !=
            job.failedOn.end()) {
        continue;
      }
      this->chosenWorkers.assign(shape.members, worker);
      if (!job.MayBorrow()) {
        this->ledger.ForceCommit(this->chosenWorkers, shape.perMember);
      }
      this->trials[at].job = first;
      this->Start(first,
                  job.MayBorrow() ? AllocationType::Borrowed
                                  : AllocationType::Spare);
      break;
    }
  }
}

} // namespace amaranthwind::scheduling
