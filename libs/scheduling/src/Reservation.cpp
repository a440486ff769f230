#include "ResourceMath.h"
#include "SchedulerState.h"

#include <algorithm>

namespace amaranthwind::scheduling {
namespace {

using fleet::Resources;
using fleet::WorkerIndex;

/**
 * Time in the queue that is equivalent to one level of urgency when
 * reservations are ranked, so that less urgent gangs get a reservation even
 * while urgent work overloads the cell. It exceeds the backlog of one day: with
 * 4 hours, old jobs from a burst of the least urgent work held the
 * reservations, and large gangs waited a day.
 */
constexpr base::Duration kAgePerUrgencyLevel = std::chrono::hours(24);
/** Number of candidates to plan for before giving up on a reservation. */
constexpr std::size_t kMaxCandidates = 4;
/** Maximum number of placements tried per plan; bounds its cost. */
constexpr std::size_t kMaxPlacementsPerPlan = 16;
/**
 * Minimum time between plans. A plan visits every worker and every running job:
 * with one plan per ended job, a decision on 24,000 workers took 10 ms.
 */
constexpr base::Duration kPlanInterval = std::chrono::seconds(1);

} // namespace

void
CellScheduler::State::ApplyReservation()
{
  if (this->reservation.job != kNoJob) {
    this->AddUse(&WorkerUse::reserved,
                 this->reservation.workers,
                 this->jobs[this->reservation.job].spec.shape.perMember);
  }
}

void
CellScheduler::State::SuspendReservation()
{
  if (this->reservation.job != kNoJob) {
    this->RemoveUse(&WorkerUse::reserved,
                    this->reservation.workers,
                    this->jobs[this->reservation.job].spec.shape.perMember);
  }
}

void
CellScheduler::State::CancelReservation()
{
  this->SuspendReservation();
  this->reservation = Reservation{};
  this->needsFullPass = true;
}

bool
CellScheduler::State::CanBackfill(const JobRow& aJob) const
{
  if (aJob.MayBorrow() && !this->reservation.isReclaiming &&
      aJob.urgency > this->jobs[this->reservation.job].urgency) {
    return true; // It is preempted once the other reserved workers are free.
  }
  return this->now +
           this->runTimes.Estimate(aJob.workKind, aJob.spec.declaredRunTime)
             .high <=
         this->reservation.start;
}

void
CellScheduler::State::AdvanceReservation()
{
  if (this->reservation.job == kNoJob) {
    return;
  }
  const bool isOverdue =
    !this->reservation.isReclaiming && this->now >= this->reservation.start;
  if (isOverdue) {
    this->needsFullPass = true;
  }
  if (!this->needsFullPass) {
    return;
  }
  const JobIndex owner = this->reservation.job;
  this->SuspendReservation();
  // Starting the owner dequeues it, which would cancel the reservation.
  const Reservation suspended = std::exchange(this->reservation, Reservation{});
  if (this->TryStart(owner)) {
    return;
  }
  if (!suspended.isReclaiming && this->MayPlan() &&
      this->PreemptForReservation(owner)) {
    this->ApplyReservation();
    return;
  }
  if (isOverdue && this->MayPlan()) {
    // A run takes longer than was expected, perhaps for ever.
    this->nextPlan = this->now + kPlanInterval;
    if (this->PlanReservation(owner)) {
      this->ApplyReservation();
    }
    return;
  }
  const bool isBroken = std::any_of(
    suspended.workers.begin(),
    suspended.workers.end(),
    [this](WorkerIndex aWorker) {
      const WorkerUse& use = this->uses[aWorker];
      return use.total == Resources{} || !use.total.Covers(use.claimed);
    });
  if (!isBroken) {
    this->reservation = suspended;
    this->ApplyReservation();
  }
}

base::TimePoint
CellScheduler::State::ReservationRank(JobIndex aJob) const
{
  return this->jobs[aJob].submitted +
         kAgePerUrgencyLevel * this->jobs[aJob].urgency;
}

bool
CellScheduler::State::MayPlan()
{
  if (this->now < this->nextPlan) {
    this->isPlanPending = true;
    return false;
  }
  return true;
}

void
CellScheduler::State::ChooseReservation()
{
  // Workers that are being reclaimed stay reserved until the stops are overdue.
  if (this->reservation.isReclaiming && this->now < this->reservation.start) {
    return;
  }
  std::vector<std::pair<base::TimePoint, JobIndex>> candidates;
  for (const ClassRow& row : this->classes) {
    // No new non-preemptible use starts while guarantees have a shortfall.
    if (!row.waiting.empty() &&
        (row.key.mayBorrow || !this->ledger.HasShortfall())) {
      candidates.emplace_back(this->ReservationRank(row.waiting.front()),
                              row.waiting.front());
    }
  }
  const std::size_t count = std::min(candidates.size(), kMaxCandidates);
  if (count == 0 || !this->MayPlan()) {
    return;
  }
  std::partial_sort(candidates.begin(),
                    candidates.begin() + static_cast<std::ptrdiff_t>(count),
                    candidates.end());
  if (this->reservation.job != kNoJob) {
    // Only a job that ranks before the owner replaces the reservation.
    if (!this->reservation.isReclaiming &&
        (count == 0 || candidates.front().first >=
                         this->ReservationRank(this->reservation.job))) {
      return;
    }
    this->SuspendReservation();
    this->reservation = Reservation{};
  }
  this->nextPlan = this->now + kPlanInterval;
  for (std::size_t at = 0; at < count; ++at) {
    if (this->PreemptForReservation(candidates[at].second) ||
        this->PlanReservation(candidates[at].second)) {
      this->ApplyReservation();
      return;
    }
  }
}

void
CellScheduler::State::CollectOffers(const JobRow& aJob,
                                    const JobRow* aClaimant,
                                    bool aIsUncommittedOnly)
{
  const Resources& need = aJob.spec.shape.perMember;
  this->offers.clear();
  for (WorkerIndex worker = 0; worker < this->uses.size(); ++worker) {
    const WorkerUse& use = this->uses[worker];
    if (use.total == Resources{} ||
        std::find(aJob.failedOn.begin(), aJob.failedOn.end(), worker) !=
          aJob.failedOn.end()) {
      continue;
    }
    Resources taken = use.used;
    taken += use.claimed;
    for (const JobIndex other : use.jobs) {
      if (this->IsStoppable(this->jobs[other], aClaimant)) {
        taken = SubtractClamped(taken, this->UseOn(other, worker));
      }
    }
    Resources available = SubtractClamped(use.total, taken);
    if (aIsUncommittedOnly) {
      available = ComponentwiseMin(
        available, this->ledger.Uncommitted().Available(worker));
    }
    const std::uint32_t members =
      CountFitting(available, need, aJob.spec.shape.members);
    if (members != 0) {
      this->offers.push_back(Offer{
        worker,
        members,
        this->PreemptionCost(worker, Multiply(need, members), aClaimant) });
    }
  }
}

bool
CellScheduler::State::PreemptForReservation(JobIndex aJob)
{
  const JobRow& job = this->jobs[aJob];
  const Resources& need = job.spec.shape.perMember;
  this->CollectOffers(job, &job, !job.MayBorrow());
  bool isPlaced = this->ChooseOffers(job.spec.shape, this->chosenWorkers);
  if (!isPlaced && !job.MayBorrow()) {
    // Units may have to be moved; commit and release to test whether they can
    // be.
    this->CollectOffers(job, &job, false);
    isPlaced = this->ChooseOffers(job.spec.shape, this->chosenWorkers) &&
               this->ledger.TryCommit(this->chosenWorkers, need);
    if (isPlaced) {
      this->ledger.ReleaseCommitted(this->chosenWorkers, need);
    }
    this->SyncLedger();
  }
  if (!isPlaced) {
    return false;
  }
  this->reservation = Reservation{
    aJob, this->now + this->settings.reclaimTime, true, this->chosenWorkers
  };
  this->StopBorrowers(this->chosenWorkers, need, &job, StopReason::UrgentWork);
  return true;
}

bool
CellScheduler::State::PlanReservation(JobIndex aJob)
{
  const JobRow& job = this->jobs[aJob];
  const bool isNonPreemptible = !job.MayBorrow();
  struct End
  {
    base::TimePoint at;
    JobIndex job;
  };
  std::vector<End> ends;
  for (JobIndex index = 0; index < this->jobs.size(); ++index) {
    const JobRow& row = this->jobs[index];
    if (row.phase != Phase::Placed) {
      continue;
    }
    // Assume that an overdue run needs half of its elapsed time again.
    ends.push_back(End{ row.expectedEnd > this->now
                          ? row.expectedEnd
                          : this->now + (this->now - row.started) / 2,
                        index });
  }
  std::sort(ends.begin(), ends.end(), [](const End& aLeft, const End& aRight) {
    return std::tuple(aLeft.at, aLeft.job) < std::tuple(aRight.at, aRight.job);
  });
  // Modify the index in place and restore it below; a copy would cost more.
  CapacityIndex& index = this->free;
  const PlacementRequest request{ job.spec.shape, job.failedOn, nullptr };
  std::vector<WorkerIndex> touched;
  this->released.resize(this->uses.size());
  const std::size_t step =
    std::max<std::size_t>(1, ends.size() / kMaxPlacementsPerPlan);
  bool isPlaced = false;
  for (std::size_t at = 0; at < ends.size() && !isPlaced; ++at) {
    const JobRow& ending = this->jobs[ends[at].job];
    for (const WorkerIndex worker : ending.workers) {
      Released& releasedHere = this->released[worker];
      releasedHere.used += ending.spec.shape.perMember;
      if (ending.allocation == AllocationType::Spare) {
        releasedHere.committed += ending.spec.shape.perMember;
      }
      touched.push_back(worker);
      const WorkerUse& use = this->uses[worker];
      Resources taken = use.used;
      taken += use.claimed;
      Resources available =
        SubtractClamped(use.total, SubtractClamped(taken, releasedHere.used));
      if (isNonPreemptible) {
        Resources uncommitted = this->ledger.Uncommitted().Available(worker);
        uncommitted += releasedHere.committed;
        available = ComponentwiseMin(available, uncommitted);
      }
      index.Set(
        worker, this->cell.Worker(worker).rackPosition, use.total, available);
    }
    if ((at + 1) % step == 0 || at + 1 == ends.size()) {
      isPlaced = this->placement->Place(index, request, this->chosenWorkers);
      if (isPlaced) {
        this->reservation =
          Reservation{ aJob, ends[at].at, false, this->chosenWorkers };
      }
    }
  }
  for (const WorkerIndex worker : touched) {
    this->released[worker] = Released{};
    this->Refresh(worker);
  }
  return isPlaced;
}

} // namespace amaranthwind::scheduling
