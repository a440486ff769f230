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
  Waiting,    // Queued in its class.
  Delayed,    // Waits for retryAt before it is queued again.
  Reclaiming, // Holds a claim while gangs are stopped for it.
  Placed,     // An attempt holds resources.
};

struct JobRow
{
  job::JobSpec spec;
  std::uint32_t urgency = 0;
  Phase phase = Phase::Unused;
  AllocationType allocation = AllocationType::Spare;
  bool hasStarted = false; // The members were allowed to run.
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
  /** Workers of the attempt or of the claim, by rank. */
  std::vector<fleet::WorkerIndex> workers;
  Charge charge;
  std::vector<fleet::WorkerIndex> failedOn;

  /**
   * Returns true if the job may borrow. A borrower can be preempted, which uses
   * up a run, so another run must be left.
   */
  bool MayBorrow() const noexcept
  {
    return this->spec.isPreemptible && this->runs + 1 < this->spec.maxRuns;
  }
};

/**
 * Key of jobs that are equivalent for placement. If the first job of a class
 * does not fit, the others do not fit either.
 */
struct JobClass
{
  AccountIndex account = 0;
  RunTimeIndex workKind = 0;
  std::uint32_t urgency = 0;
  bool mayBorrow = false;
  /** Set for a job that avoids workers and therefore has a class of its own. */
  JobIndex exclusiveJob = kNoJob;
  fleet::Shape shape;

  auto operator<=>(const JobClass&) const = default;
};

struct ClassRow
{
  JobClass key;
  /** In order of submission. */
  std::deque<JobIndex> waiting;
  /** Ledger generation for which isCovered was computed. */
  std::uint64_t coverGeneration = ~std::uint64_t{ 0 };
  bool isCovered = false;
};

struct WorkerUse
{
  /** Zero while the worker accepts no work. */
  fleet::Resources total;
  fleet::Resources used;
  fleet::Resources claimed;
  fleet::Resources reserved;
  /** Each job that has members here, once. */
  std::vector<JobIndex> jobs;
};

/** Workers that are kept free for the future start of a large gang. */
struct Reservation
{
  JobIndex job = kNoJob;
  base::TimePoint start{};
  /** True while borrowers are stopped for it. */
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

  // Event handlers.
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

  // Job lifecycle.
  JobIndex AddJob(const job::JobSpec& aSpec, std::uint32_t aUrgency);
  void RemoveJob(JobIndex aJob);
  void EndJobWith(JobIndex aJob, std::optional<base::Error> aError);
  void Enqueue(JobIndex aJob);
  void Dequeue(JobIndex aJob);
  void Retry(JobIndex aJob, bool aIsDelayed);
  void ReleaseAttempt(JobIndex aJob);
  void EndFailed(JobIndex aJob, const GangEnded& aEvent);
  void RefuseIfInfeasible(JobIndex aJob);
  /** Lets jobs use the workers that they avoid if they fit on no others. */
  void ClearAvoidedWorkers();
  bool CouldEverFit(const fleet::Shape& aShape);

  // Worker state.
  void SetUsable(fleet::WorkerIndex aWorker);
  void Refresh(fleet::WorkerIndex aWorker);
  void SyncLedger();
  void ReportHealth(fleet::WorkerIndex aWorker);
  void ForgetLostWorkers();
  /** Adds or removes aNeed in aField once per entry of aWorkers. */
  void AddUse(fleet::Resources WorkerUse::*aField,
              std::span<const fleet::WorkerIndex> aWorkers,
              const fleet::Resources& aNeed);
  void RemoveUse(fleet::Resources WorkerUse::*aField,
                 std::span<const fleet::WorkerIndex> aWorkers,
                 const fleet::Resources& aNeed);
  /**
   * Adds the use of a placed job to its workers and lists the job once on each
   * of them.
   */
  void OccupyWorkers(JobIndex aJob);

  // Scheduling decisions.
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

  // Claims on guarantees.
  struct Offer
  {
    fleet::WorkerIndex worker = fleet::kNoWorker;
    std::uint32_t members = 0;
    /** Work lost by stopping borrowers, in accelerator seconds. */
    double cost = 0;
  };
  enum class OfferFilter : std::uint8_t
  {
    PartlyUsedAndFree,
    PartlyUsed,
    Free,
    Reclaimable,
    Any, // Free or not.
  };
  bool PlaceInGuarantee(AccountIndex aAccount,
                        const fleet::Shape& aShape,
                        std::span<const fleet::WorkerIndex> aAvoid,
                        OfferFilter aFilter,
                        std::vector<fleet::WorkerIndex>& aWorkers);
  bool FindInGuarantee(JobIndex aJob, OfferFilter aFilter);
  /** Chooses the cheapest of this->offers that together hold all members. */
  bool ChooseOffers(const fleet::Shape& aShape,
                    std::vector<fleet::WorkerIndex>& aWorkers);
  bool Reclaim(JobIndex aJob);
  /**
   * Stops borrowers until the claimed resources on aWorkers, plus aExtra per
   * member, become free. If aClaimant is given, stops only borrowers that it
   * may preempt.
   */
  void StopBorrowers(std::span<const fleet::WorkerIndex> aWorkers,
                     const fleet::Resources& aExtra,
                     const JobRow* aClaimant,
                     StopReason aReason);
  bool IsStoppable(const JobRow& aJob, const JobRow* aClaimant) const;
  void StopGang(JobIndex aJob, StopReason aReason);
  void AdvanceClaims();
  void CancelClaim(JobIndex aJob);
  fleet::Resources UseOn(JobIndex aJob, fleet::WorkerIndex aWorker) const;
  /** Returns the work that is lost if aNeed is taken on the worker. */
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
  /**
   * Returns false if the last plan is too recent; planning is then postponed.
   */
  bool MayPlan();
  bool PreemptForReservation(JobIndex aJob);
  /**
   * Fills this->offers with the capacity of each worker after all borrowers
   * that aClaimant may preempt are stopped.
   */
  void CollectOffers(const JobRow& aJob,
                     const JobRow* aClaimant,
                     bool aIsUncommittedOnly);
  base::TimePoint ReservationRank(JobIndex aJob) const;

  // Queries.
  /**
   * Returns how many members of the shape fit into the resources that
   * aAvailable returns for each worker. Racks are counted as a whole. Visits
   * every worker.
   */
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
  /** Resources that are neither used, claimed nor reserved. */
  CapacityIndex free;
  /** Total resources of every known worker, lost ones included. */
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

  /** Resources were freed, so all classes have to be tried again. */
  bool needsFullPass = false;
  /** Known capacity decreased, so a waiting job may have become infeasible. */
  bool mustCheckFeasibility = false;
  /** Fewer workers are usable, or a job avoids more workers. */
  bool mustCheckAvoidedWorkers = false;
  std::vector<ClassIndex> untriedClasses;
  std::vector<fleet::WorkerIndex> lostWorkers;
  // Scratch buffers, valid within one decision.
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
