#pragma once

#include "amaranthwind/scheduling/CellScheduler.h"
#include "amaranthwind/scheduling/GuaranteeLedger.h"
#include "amaranthwind/scheduling/HealthTracker.h"
#include "amaranthwind/scheduling/RunTimeModel.h"

#include <deque>
#include <functional>
#include <map>
#include <tuple>
#include <unordered_map>

namespace amaranthwind::scheduling {

using JobIndex = std::uint32_t;
using ClassIndex = std::uint32_t;

inline constexpr JobIndex kNoJob = ~JobIndex{ 0 };

enum class Phase : std::uint8_t
{
  Unused,
  Waiting,    // In the queue of its class.
  Delayed,    // Tried again later.
  Reclaiming, // Holds a claim; gangs are being stopped for it.
  Placed,     // An attempt holds resources.
};

struct JobRow
{
  job::JobSpec spec;
  std::uint32_t urgency = 0;
  Phase phase = Phase::Unused;
  AllocationType allocation = AllocationType::Spare;
  bool hasStarted = false; // The members run.
  bool isStopping = false;
  bool isCancelled = false;
  bool isRestored = false;
  AccountIndex account = 0;
  RunTimeIndex workKind = 0;
  ClassIndex jobClass = 0;
  std::uint32_t lastAttempt = 0;
  std::uint32_t runs = 0;
  std::uint32_t delays = 0;
  base::TimePoint submitted{};
  base::TimePoint started{};
  base::TimePoint expectedEnd{};
  base::TimePoint stopDeadline{};
  base::TimePoint retryAt{};
  /** Of the attempt or of the claim, by rank. */
  std::vector<fleet::WorkerIndex> workers;
  Charge charge;
  std::vector<fleet::WorkerIndex> failedOn;

  /** A borrower may be stopped, which uses up a run. */
  bool MayBorrow() const noexcept
  {
    return this->spec.isPreemptible && this->runs + 1 < this->spec.maxRuns;
  }
};

/** Jobs that are alike for placement: only the first needs to be tried. */
struct JobClass
{
  AccountIndex account = 0;
  RunTimeIndex workKind = 0;
  std::uint32_t urgency = 0;
  bool mayBorrow = false;
  /** Set for a job that avoids some workers and so has a class of its own. */
  JobIndex exclusiveJob = kNoJob;
  fleet::Shape shape;

  auto operator<=>(const JobClass&) const = default;
};

struct ClassRow
{
  JobClass key;
  /** In order of submission. */
  std::deque<JobIndex> waiting;
  /** Whether the unused guarantee covered the job at that generation. */
  std::uint64_t coverGeneration = ~std::uint64_t{ 0 };
  bool isCovered = false;
};

struct WorkerUse
{
  /** Zero while the worker gets no work. */
  fleet::Resources total;
  fleet::Resources used;
  fleet::Resources claimed;
  fleet::Resources reserved;
  std::vector<JobIndex> jobs;
};

/** A start in the future that is kept free for a large gang. */
struct Reservation
{
  JobIndex job = kNoJob;
  base::TimePoint start{};
  /** Borrowers are being stopped for it. */
  bool isReclaiming = false;
  std::vector<fleet::WorkerIndex> workers;
};

struct Trial
{
  fleet::WorkerIndex worker = fleet::kNoWorker;
  JobIndex job = kNoJob;
};

struct CellScheduler::State
{
  State(const SchedulerSettings& aSettings,
        std::unique_ptr<PlacementPolicy> aPlacement);

  // Events.
  void On(const WorkerJoined& aEvent);
  void On(const WorkerLost& aEvent);
  void On(const WorkerDraining& aEvent);
  void On(const JobSubmitted& aEvent);
  void On(const JobCancelled& aEvent);
  void On(const GangStarted& aEvent);
  void On(const GangEnded& aEvent);
  void On(const JobEnded& aEvent);
  void On(const PolicyChanged& aEvent);
  void On(const JobRestored& aEvent);
  void On(const Tick& aEvent);

  // Jobs.
  JobIndex AddJob(const job::JobSpec& aSpec, std::uint32_t aUrgency);
  void RemoveJob(JobIndex aJob);
  void EndJobWith(JobIndex aJob, std::optional<base::Error> aError);
  void Enqueue(JobIndex aJob);
  void Dequeue(JobIndex aJob);
  void Retry(JobIndex aJob, bool aIsDelayed);
  void ReleaseAttempt(JobIndex aJob);
  void EndFailed(JobIndex aJob, const GangEnded& aEvent);
  void RefuseIfInfeasible(JobIndex aJob);
  /** Lets jobs use the workers that they avoid if no others are left. */
  void ClearAvoidedWorkers();
  bool CouldEverFit(const fleet::Shape& aShape);

  // Workers.
  void SetUsable(fleet::WorkerIndex aWorker);
  void Refresh(fleet::WorkerIndex aWorker);
  void SyncLedger();
  void ReportHealth(fleet::WorkerIndex aWorker);
  void ForgetLostWorkers();
  /** aField gains or loses the need of each member. */
  void AddUse(fleet::Resources WorkerUse::*aField,
              std::span<const fleet::WorkerIndex> aWorkers,
              const fleet::Resources& aNeed);
  void RemoveUse(fleet::Resources WorkerUse::*aField,
                 std::span<const fleet::WorkerIndex> aWorkers,
                 const fleet::Resources& aNeed);

  // Decisions.
  void Dispatch();
  void RunPass();
  void TryClasses(std::span<const ClassIndex> aClasses);
  bool TryStart(JobIndex aJob);
  bool TryPartlyUsedUnit(JobIndex aJob);
  bool TryGuaranteed(JobIndex aJob);
  bool ChargeAndStart(JobIndex aJob);
  bool TryUnguaranteed(JobIndex aJob);
  void Start(JobIndex aJob, AllocationType aAllocation);
  bool IsCovered(ClassIndex aClass);
  bool CanBackfill(const JobRow& aJob) const;
  void StartTrials();
  std::vector<ClassIndex> ClassesInOrder();

  // Guarantees that are claimed.
  struct Offer
  {
    fleet::WorkerIndex worker = fleet::kNoWorker;
    std::uint32_t members = 0;
    /** Work that is lost by stopping borrowers, in accelerator seconds. */
    double cost = 0;
  };
  enum class OfferFilter : std::uint8_t
  {
    PartlyUsedAndFree,
    PartlyUsed,
    Free,
    Reclaimable,
    Any, // Whether it is free or not.
  };
  bool PlaceInGuarantee(AccountIndex aAccount,
                        const fleet::Shape& aShape,
                        std::span<const fleet::WorkerIndex> aAvoid,
                        OfferFilter aFilter,
                        std::vector<fleet::WorkerIndex>& aWorkers);
  bool FindInGuarantee(JobIndex aJob, OfferFilter aFilter);
  /** Chooses the cheapest of this->offers that hold all members. */
  bool ChooseOffers(const fleet::Shape& aShape,
                    std::vector<fleet::WorkerIndex>& aWorkers);
  bool Reclaim(JobIndex aJob);
  /** Stops borrowers until what is claimed on the workers, and aExtra for each
   * member, will be free. Only jobs that yield to aClaimant, if given. */
  void StopBorrowers(std::span<const fleet::WorkerIndex> aWorkers,
                     const fleet::Resources& aExtra,
                     const JobRow* aClaimant,
                     StopReason aReason);
  bool IsStoppable(const JobRow& aJob, const JobRow* aClaimant) const;
  void StopGang(JobIndex aJob, StopReason aReason);
  void AdvanceClaims();
  void CancelClaim(JobIndex aJob);
  fleet::Resources UseOn(JobIndex aJob, fleet::WorkerIndex aWorker) const;
  /** Work lost if aNeed is taken on the worker. */
  double PreemptionCost(fleet::WorkerIndex aWorker,
                        const fleet::Resources& aNeed,
                        const JobRow* aClaimant) const;
  double LostWork(const JobRow& aJob) const;
  void Promote(AccountIndex aAccount);
  bool TryPromote(JobIndex aJob);

  // Reservation.
  void ApplyReservation();
  void SuspendReservation();
  void CancelReservation();
  void AdvanceReservation();
  void ChooseReservation();
  bool PlanReservation(JobIndex aJob);
  /** False if the last plan is too recent; then it is made up for later. */
  bool MayPlan();
  bool PreemptForReservation(JobIndex aJob);
  /** What each worker offers when the borrowers that yield are stopped. */
  void CollectOffers(const JobRow& aJob,
                     const JobRow* aClaimant,
                     bool aIsUncommittedOnly);
  base::TimePoint ReservationRank(JobIndex aJob) const;

  // Queries.
  /** Members of the shape that fit into what aAvailable gives per worker,
   * counted over whole racks. Costs one step per worker. */
  std::uint32_t CountPlaceable(
    const fleet::Shape& aShape,
    std::span<const fleet::WorkerIndex> aAvoid,
    const std::function<fleet::Resources(fleet::WorkerIndex)>& aAvailable)
    const;
  WaitReport Explain(const JobRow& aJob) const;

  SchedulerSettings settings;
  std::unique_ptr<PlacementPolicy> placement;
  base::TimePoint now{};
  std::optional<base::TimePoint> gracePeriodEnd;
  std::vector<Effect>* effects = nullptr;

  fleet::CellTable cell;
  std::vector<WorkerUse> uses;
  /** Neither used, claimed nor reserved. */
  CapacityIndex free;
  /** Every known worker, empty. */
  CapacityIndex announced;
  GuaranteeLedger ledger;
  RunTimeModel runTimes;
  HealthTracker health;

  std::vector<JobRow> jobs;
  std::vector<JobIndex> unusedJobs;
  std::unordered_map<base::JobId, JobIndex> jobsById;
  std::vector<ClassRow> classes;
  std::vector<ClassIndex> unusedClasses;
  std::map<JobClass, ClassIndex> classesByKey;
  std::vector<JobIndex> delayed;
  std::vector<JobIndex> claims;
  std::vector<Trial> trials;
  Reservation reservation;
  base::TimePoint nextPlan = base::TimePoint::min();
  bool isPlanPending = false;

  /** Something was freed, so that every class is worth a try. */
  bool needsFullPass = false;
  /** Known workers shrank, so that a waiting job may have become hopeless. */
  bool mustCheckFeasibility = false;
  /** Fewer workers are usable, or a job avoids more of them. */
  bool mustCheckAvoidedWorkers = false;
  std::vector<ClassIndex> untriedClasses;
  std::vector<fleet::WorkerIndex> lostWorkers;
  // Scratch space of one decision.
  struct Released
  {
    fleet::Resources used;
    fleet::Resources committed;
  };
  std::vector<Released> released;
  std::vector<fleet::Resources> missingByWorker;
  std::vector<Offer> offers;
  std::vector<fleet::WorkerIndex> chosenWorkers;
  std::vector<fleet::WorkerIndex> changedWorkers;
  std::vector<SlotOffer> slotOffers;
};

} // namespace amaranthwind::scheduling
