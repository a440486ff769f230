#include "ResourceMath.h"
#include "SchedulerState.h"

#include <algorithm>
#include <limits>
#include <optional>

namespace amaranthwind::scheduling {

using fleet::Adjacency;
using fleet::Resources;
using fleet::WorkerIndex;

namespace {

/**
 * A borrower of the same urgency as a waiting gang is preempted for it only if
 * it was submitted this much later: a preemption costs both up to one
 * checkpoint interval.
 */
constexpr base::Duration kMinSubmissionLead = std::chrono::minutes(60);
/**
 * Estimated seconds per accelerator until a stopped gang is placed again. A
 * gang of three idle workers waits hours for a rack, a small gang minutes.
 */
constexpr double kRestartDelayPerAccelerator = 300;

} // namespace

bool
CellScheduler::State::PlaceInGuarantee(AccountIndex aAccount,
                                       const fleet::Shape& aShape,
                                       std::span<const WorkerIndex> aAvoid,
                                       OfferFilter aFilter,
                                       std::vector<WorkerIndex>& aWorkers)
{
  aWorkers.clear();
  this->ledger.FindOffers(aAccount, aShape.perMember, this->slotOffers);
  std::vector<Offer>& offers = this->offers;
  offers.clear();
  std::stable_sort(this->slotOffers.begin(),
                   this->slotOffers.end(),
                   [](const SlotOffer& aLeft, const SlotOffer& aRight) {
                     return aLeft.worker < aRight.worker;
                   });
  for (const SlotOffer& offer : this->slotOffers) {
    if (((aFilter == OfferFilter::PartlyUsedAndFree ||
          aFilter == OfferFilter::PartlyUsed) &&
         !offer.isPartlyUsed) ||
        std::find(aAvoid.begin(), aAvoid.end(), offer.worker) != aAvoid.end()) {
      continue;
    }
    if (offers.empty() || offers.back().worker != offer.worker) {
      offers.push_back(Offer{ offer.worker, 0, 0 });
    }
    const std::uint64_t members =
      std::uint64_t{ offers.back().members } + offer.members;
    offers.back().members = static_cast<std::uint32_t>(
      std::min<std::uint64_t>(members, aShape.members));
  }
  for (Offer& offer : offers) {
    if (aFilter == OfferFilter::Any || aFilter == OfferFilter::PartlyUsed) {
      continue;
    }
    if (aFilter == OfferFilter::Reclaimable) {
      offer.cost = this->PreemptionCost(
        offer.worker, Multiply(aShape.perMember, offer.members), nullptr);
    } else {
      offer.members = CountFitting(
        this->free.Available(offer.worker), aShape.perMember, offer.members);
    }
  }
  return this->ChooseOffers(aShape, aWorkers);
}

bool
CellScheduler::State::ChooseOffers(const fleet::Shape& aShape,
                                   std::vector<WorkerIndex>& aWorkers)
{
  aWorkers.clear();
  std::vector<Offer>& offers = this->offers;
  std::erase_if(offers,
                [](const Offer& aOffer) { return aOffer.members == 0; });
  const auto cheapestFirst = [](const Offer& aLeft, const Offer& aRight) {
    return std::pair(aLeft.cost, aLeft.worker) <
           std::pair(aRight.cost, aRight.worker);
  };
  // Finds the cheapest offers of a group that together hold all members.
  double lowestCost = std::numeric_limits<double>::max();
  const auto consider = [&](std::span<Offer> aGroup) {
    // Each offer holds at least one member, so no more offers than members are
    // needed.
    if (aGroup.size() > aShape.members) {
      std::nth_element(aGroup.begin(),
                       aGroup.begin() +
                         static_cast<std::ptrdiff_t>(aShape.members),
                       aGroup.end(),
                       cheapestFirst);
      aGroup = aGroup.first(aShape.members);
    }
    std::sort(aGroup.begin(), aGroup.end(), cheapestFirst);
    std::uint32_t missing = aShape.members;
    double cost = 0;
    std::size_t end = 0;
    while (end < aGroup.size() && missing != 0) {
      missing -= std::min(missing, aGroup[end].members);
      cost += aGroup[end].cost;
      ++end;
    }
    if (missing != 0 || cost >= lowestCost) {
      return;
    }
    lowestCost = cost;
    aWorkers.clear();
    for (const Offer& offer : aGroup.first(end)) {
      const auto left =
        aShape.members - static_cast<std::uint32_t>(aWorkers.size());
      aWorkers.insert(
        aWorkers.end(), std::min(left, offer.members), offer.worker);
    }
  };
  if (aShape.members == 1 || aShape.adjacency == Adjacency::SameWorker) {
    for (Offer& offer : offers) {
      consider(std::span(&offer, 1));
    }
  } else if (aShape.adjacency == Adjacency::SameZone) {
    consider(offers);
  } else {
    const auto rackOf = [this](const Offer& aOffer) {
      return this->cell.Worker(aOffer.worker).rackPosition.rack;
    };
    std::stable_sort(offers.begin(),
                     offers.end(),
                     [&](const Offer& aLeft, const Offer& aRight) {
                       return rackOf(aLeft) < rackOf(aRight);
                     });
    for (std::size_t first = 0; first < offers.size();) {
      std::size_t end = first;
      while (end < offers.size() &&
             rackOf(offers[end]) == rackOf(offers[first])) {
        ++end;
      }
      consider(std::span(offers).subspan(first, end - first));
      first = end;
    }
  }
  return !aWorkers.empty();
}

double
CellScheduler::State::LostWork(const JobRow& aJob) const
{
  const auto accelerators =
    static_cast<double>(aJob.spec.shape.TotalAccelerators() + 1);
  const std::chrono::duration<double> elapsed = this->now - aJob.started;
  return accelerators *
         (elapsed.count() + kRestartDelayPerAccelerator * accelerators);
}

double
CellScheduler::State::PreemptionCost(WorkerIndex aWorker,
                                     const Resources& aNeed,
                                     const JobRow* aClaimant) const
{
  const WorkerUse& use = this->uses[aWorker];
  Resources taken = use.used;
  taken += use.claimed;
  taken += aNeed;
  if (use.total.Covers(taken)) {
    return 0;
  }
  double cost = 0;
  for (const JobIndex job : use.jobs) {
    const JobRow& row = this->jobs[job];
    if (this->IsStoppable(row, aClaimant)) {
      cost += this->LostWork(row);
    }
  }
  return cost;
}

bool
CellScheduler::State::IsStoppable(const JobRow& aJob,
                                  const JobRow* aClaimant) const
{
  return aJob.allocation == AllocationType::Borrowed && !aJob.isStopping &&
         (aClaimant == nullptr || aJob.urgency > aClaimant->urgency ||
          (aJob.urgency == aClaimant->urgency &&
           aJob.submitted > aClaimant->submitted + kMinSubmissionLead));
}

bool
CellScheduler::State::Reclaim(JobIndex aJob)
{
  JobRow& job = this->jobs[aJob];
  const Resources& need = job.spec.shape.perMember;
  const auto charge = [&] {
    const bool isCharged = this->ledger.TryCharge(
      job.account, this->chosenWorkers, need, job.charge);
    this->SyncLedger();
    return isCharged;
  };
  // First the cheapest workers that a unit can move to, then the unit's own
  // workers.
  const auto findCheapest = [&] {
    this->CollectOffers(job, nullptr, false);
    return this->ChooseOffers(job.spec.shape, this->chosenWorkers);
  };
  const bool isCharged =
    (this->FindInGuarantee(aJob, OfferFilter::PartlyUsed) && charge()) ||
    (findCheapest() && charge()) ||
    (this->FindInGuarantee(aJob, OfferFilter::Reclaimable) && charge()) ||
    // Violating the guarantee is worse than using a worker on which the job
    // failed before.
    (!job.failedOn.empty() &&
     this->PlaceInGuarantee(job.account,
                            job.spec.shape,
                            {},
                            OfferFilter::Reclaimable,
                            this->chosenWorkers) &&
     charge());
  if (!isCharged) {
    return false;
  }
  this->Dequeue(aJob);
  job.phase = Phase::Reclaiming;
  job.workers = this->chosenWorkers;
  job.stopDeadline = this->now + this->settings.reclaimTime;
  this->AddUse(&WorkerUse::claimed, job.workers, need);
  this->claims.push_back(aJob);
  this->StopBorrowers(job.workers, {}, nullptr, StopReason::GuaranteeClaimed);
  this->AdvanceClaims();
  return true;
}

void
CellScheduler::State::StopBorrowers(std::span<const WorkerIndex> aWorkers,
                                    const Resources& aExtra,
                                    const JobRow* aClaimant,
                                    StopReason aReason)
{
  struct Deficit
  {
    WorkerIndex worker;
    Resources missing;
  };
  std::vector<Deficit> deficits;
  WorkerIndex before = fleet::kNoWorker;
  for (const WorkerIndex worker : aWorkers) {
    if (worker == before) {
      continue;
    }
    before = worker;
    const WorkerUse& use = this->uses[worker];
    Resources taken = use.used;
    taken += use.claimed;
    taken += Multiply(aExtra,
                      static_cast<std::uint32_t>(
                        std::count(aWorkers.begin(), aWorkers.end(), worker)));
    Resources missing = SubtractClamped(taken, use.total);
    for (const JobIndex job : use.jobs) {
      if (this->jobs[job].isStopping) {
        missing = SubtractClamped(missing, this->UseOn(job, worker));
      }
    }
    if (missing != Resources{}) {
      deficits.push_back(Deficit{ worker, missing });
    }
  }
  std::vector<JobIndex> candidates;
  this->missingByWorker.resize(this->uses.size());
  for (const Deficit& deficit : deficits) {
    this->missingByWorker[deficit.worker] = deficit.missing;
    for (const JobIndex job : this->uses[deficit.worker].jobs) {
      if (this->IsStoppable(this->jobs[job], aClaimant)) {
        candidates.push_back(job);
      }
    }
  }
  std::sort(candidates.begin(), candidates.end());
  candidates.erase(std::unique(candidates.begin(), candidates.end()),
                   candidates.end());
  std::size_t open = deficits.size();
  while (open != 0 && !candidates.empty()) {
    // Choose the gang that loses the least work per accelerator freed.
    std::size_t victim = candidates.size();
    double lowestCost = 0;
    for (std::size_t at = 0; at < candidates.size(); ++at) {
      const JobRow& row = this->jobs[candidates[at]];
      double freed = 0;
      for (const WorkerIndex worker : row.workers) {
        const Resources useful = ComponentwiseMin(
          row.spec.shape.perMember, this->missingByWorker[worker]);
        freed += useful.accelerators + useful.cores * 1e-3 +
                 static_cast<double>(useful.memoryMiB) * 1e-6;
      }
      const double cost = (this->LostWork(row) + 1) / freed;
      if (freed > 0 && (victim == candidates.size() || cost < lowestCost)) {
        victim = at;
        lowestCost = cost;
      }
    }
    if (victim == candidates.size()) {
      break; // The remaining blocker ends on its own, for example a restart.
    }
    const JobRow& stopped = this->jobs[candidates[victim]];
    this->StopGang(candidates[victim], aReason);
    for (const WorkerIndex worker : stopped.workers) {
      Resources& missing = this->missingByWorker[worker];
      const bool wasOpen = missing != Resources{};
      missing = SubtractClamped(missing, stopped.spec.shape.perMember);
      open -= wasOpen && missing == Resources{} ? 1 : 0;
    }
    candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(victim));
  }
  for (const Deficit& deficit : deficits) {
    this->missingByWorker[deficit.worker] = Resources{};
  }
}

Resources
CellScheduler::State::UseOn(JobIndex aJob, WorkerIndex aWorker) const
{
  const JobRow& job = this->jobs[aJob];
  return Multiply(job.spec.shape.perMember,
                  static_cast<std::uint32_t>(std::count(
                    job.workers.begin(), job.workers.end(), aWorker)));
}

void
CellScheduler::State::StopGang(JobIndex aJob, StopReason aReason)
{
  JobRow& job = this->jobs[aJob];
  job.isStopping = true;
  job.stopDeadline = this->now + this->settings.reclaimTime;
  this->effects->emplace_back(
    PreemptGang{ { job.spec.id, base::Attempt(job.lastAttempt) },
                 job.stopDeadline,
                 aReason });
}

void
CellScheduler::State::AdvanceClaims()
{
  const std::vector<JobIndex> open = this->claims;
  for (const JobIndex index : open) {
    JobRow& job = this->jobs[index];
    const Resources& need = job.spec.shape.perMember;
    bool isReady = true;
    bool isBroken = false;
    for (std::size_t first = 0; first < job.workers.size();) {
      std::size_t end = first;
      while (end < job.workers.size() &&
             job.workers[end] == job.workers[first]) {
        ++end;
      }
      const WorkerUse& use = this->uses[job.workers[first]];
      isBroken = isBroken || use.total == Resources{};
      isReady =
        isReady &&
        SubtractClamped(use.total, use.used)
          .Covers(Multiply(need, static_cast<std::uint32_t>(end - first)));
      first = end;
    }
    if (isBroken) {
      this->CancelClaim(index);
      this->Enqueue(index);
    } else if (isReady) {
      std::erase(this->claims, index);
      this->RemoveUse(&WorkerUse::claimed, job.workers, need);
      this->chosenWorkers = job.workers;
      this->Start(index, AllocationType::Guaranteed);
    }
  }
}

void
CellScheduler::State::CancelClaim(JobIndex aJob)
{
  JobRow& job = this->jobs[aJob];
  const Resources& need = job.spec.shape.perMember;
  std::erase(this->claims, aJob);
  this->RemoveUse(&WorkerUse::claimed, job.workers, need);
  this->ledger.ReleaseCharge(job.charge, need);
  job.charge.clear();
  job.workers.clear();
  job.phase = Phase::Unused;
  this->ledger.Repair();
  this->SyncLedger();
  this->needsFullPass = true;
}

void
CellScheduler::State::Promote(AccountIndex aAccount)
{
  // Protect the borrowers that would lose the most work first.
  std::vector<JobIndex> borrowers;
  for (JobIndex index = 0; index < this->jobs.size(); ++index) {
    const JobRow& job = this->jobs[index];
    if (job.phase == Phase::Placed && job.account == aAccount &&
        job.allocation == AllocationType::Borrowed && !job.isStopping) {
      borrowers.push_back(index);
    }
  }
  std::stable_sort(borrowers.begin(),
                   borrowers.end(),
                   [this](JobIndex aLeft, JobIndex aRight) {
                     return this->LostWork(this->jobs[aLeft]) >
                            this->LostWork(this->jobs[aRight]);
                   });
  for (const JobIndex job : borrowers) {
    if (!this->TryPromote(job)) {
      return;
    }
  }
}

bool
CellScheduler::State::TryPromote(JobIndex aJob)
{
  JobRow& job = this->jobs[aJob];
  const Resources& need = job.spec.shape.perMember;
  const bool isTrial =
    std::any_of(this->trials.begin(),
                this->trials.end(),
                [aJob](const Trial& aTrial) { return aTrial.job == aJob; });
  if (job.allocation == AllocationType::Guaranteed || job.isStopping ||
      isTrial) {
    return false;
  }
  if (job.allocation == AllocationType::Spare) {
    this->ledger.ReleaseCommitted(job.workers, need);
  }
  const bool isCharged =
    this->ledger.TryCharge(job.account, job.workers, need, job.charge);
  if (isCharged) {
    job.allocation = AllocationType::Guaranteed;
    job.isRestored = false;
  } else if (job.allocation == AllocationType::Spare) {
    this->ledger.ForceCommit(job.workers, need);
  }
  this->SyncLedger();
  return isCharged;
}

} // namespace amaranthwind::scheduling
