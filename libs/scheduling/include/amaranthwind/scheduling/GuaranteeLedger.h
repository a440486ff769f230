#pragma once

#include "amaranthwind/base/Ids.h"
#include "amaranthwind/fleet/CellTable.h"
#include "amaranthwind/fleet/Shape.h"
#include "amaranthwind/policy/Policy.h"
#include "amaranthwind/scheduling/CapacityIndex.h"
#include "amaranthwind/scheduling/PlacementPolicy.h"

#include <cstdint>
#include <map>
#include <span>
#include <unordered_map>
#include <vector>

namespace amaranthwind::scheduling {

/** Row of an account in the ledger; stays valid. */
using AccountIndex = std::uint32_t;
/** A place for members of one guarantee on one worker. */
using SlotIndex = std::uint32_t;

/** The slot that each member of a job is charged to. */
using Charge = std::vector<SlotIndex>;

/** Members of a job that fit into the unused guarantee on one worker. */
struct SlotOffer
{
  fleet::WorkerIndex worker = fleet::kNoWorker;
  std::uint32_t members = 0;
  /** True if another job of the account is charged there. */
  bool isPartlyUsed = false;
};

struct Shortfall
{
  AccountIndex account = 0;
  std::uint32_t units = 0;
  std::uint64_t accelerators = 0;
};

/**
 * Proves that the guarantees of all accounts can be had together.
 *
 * The proof is a packing: every guaranteed unit has a place on named workers,
 * and no worker carries more units and firm use than it has. A unit that is in
 * use stays on the workers of the jobs charged to it; an unused one may move.
 * Borrowers are not counted, since they are stopped when a unit is claimed. A
 * use that would break the packing is allowed only after the units in its way
 * have found other places, at most kMaxDisplacedUnits of them. The search may
 * miss a packing that exists; it never claims one that does not.
 */
class GuaranteeLedger
{
public:
  /** Bounds the cost of one decision. */
  static constexpr std::size_t kMaxDisplacedUnits = 64;

  /** aPlacement must outlive the ledger. */
  explicit GuaranteeLedger(const PlacementPolicy& aPlacement);

  /** aTotal is what may be promised; zero for a worker that gets no work. */
  void SetWorker(fleet::WorkerIndex aWorker,
                 const fleet::RackPosition& aRackPosition,
                 const fleet::Resources& aTotal);

  /**
   * Replaces all guarantees. Units of equal shape keep their places and
   * charges. Jobs that are charged to a withdrawn unit keep what they use of
   * it until they end.
   */
  void SetGuarantees(std::span<const policy::Account> aAccounts,
                     const base::ZoneId& aZone);

  /** Adds the account if it is new. */
  AccountIndex FindAccount(const base::AccountId& aAccount);
  const base::AccountId& AccountName(AccountIndex aAccount) const;

  /** Takes firm use, if all guarantees still fit; otherwise no change. */
  bool TryCommit(std::span<const fleet::WorkerIndex> aWorkers,
                 const fleet::Resources& aNeed);
  /** Takes firm use that exists already; may break the packing. */
  void ForceCommit(std::span<const fleet::WorkerIndex> aWorkers,
                   const fleet::Resources& aNeed);
  void ReleaseCommitted(std::span<const fleet::WorkerIndex> aWorkers,
                        const fleet::Resources& aNeed);

  /** Places for more members inside the unused guarantee of the account. */
  void FindOffers(AccountIndex aAccount,
                  const fleet::Resources& aNeed,
                  std::vector<SlotOffer>& aOffers) const;
  /** True if the account has an unused unit of at most that many accelerators
   * whose slots hold a member. */
  bool HasUnusedUnit(AccountIndex aAccount,
                     const fleet::Resources& aNeed,
                     std::uint64_t aMaxAccelerators) const;
  /**
   * Charges a job on these workers to its account. Units of the account move
   * there if they must. Otherwise no change.
   */
  bool TryCharge(AccountIndex aAccount,
                 std::span<const fleet::WorkerIndex> aWorkers,
                 const fleet::Resources& aNeed,
                 Charge& aCharge);
  void ReleaseCharge(const Charge& aCharge, const fleet::Resources& aNeed);

  /** Gives units without a place one, the largest first. */
  void Repair();
  /** Accounts whose shortfall changed since the last call. */
  std::vector<Shortfall> TakeShortfallChanges();
  bool HasShortfall() const noexcept { return !this->unplaced.empty(); }
  /** Workers whose Unpromised() changed since the last call. */
  void TakeChangedWorkers(std::vector<fleet::WorkerIndex>& aWorkers);

  /** What neither guarantees nor firm use need, for each worker. */
  const CapacityIndex& Uncommitted() const noexcept
  {
    return this->uncommitted;
  }
  /** Counts changes of the charges and units of the account. */
  std::uint64_t Generation(AccountIndex aAccount) const noexcept
  {
    return this->accounts[aAccount].generation;
  }
  /** True if no worker carries more than it has; for tests. */
  bool IsConsistent() const;

private:
  using UnitIndex = std::uint32_t;

  struct Slot
  {
    fleet::WorkerIndex worker = fleet::kNoWorker;
    UnitIndex unit = 0;
    fleet::Resources size;
    fleet::Resources used;
    std::uint32_t charges = 0;
  };
  /** Slots that must lie in one rack; most units have only one. */
  struct Unit
  {
    AccountIndex account = 0;
    SlotIndex firstSlot = 0;
    std::uint32_t slots = 0;
    std::uint32_t charges = 0;
    bool isPlaced = false;
    bool isWithdrawn = false;
    bool isInUse = false;
    /** Found in the policy that is being applied. */
    bool isKept = false;
  };
  struct AccountRow
  {
    base::AccountId id;
    std::vector<UnitIndex> units;
    std::uint64_t generation = 0;
    std::uint32_t unplacedUnits = 0;
    std::uint32_t reportedUnits = 0;
  };
  struct WorkerRow
  {
    fleet::RackPosition rackPosition;
    fleet::Resources total;
    /** Firm use and the sizes of the slots that lie here. */
    fleet::Resources committed;
    std::vector<SlotIndex> slots;
  };
  struct Move
  {
    UnitIndex unit = 0;
    std::vector<fleet::WorkerIndex> before;
  };

  UnitIndex AddUnit(AccountIndex aAccount,
                    std::uint32_t aSlots,
                    const fleet::Resources& aSize);
  void RemoveUnit(UnitIndex aUnit);
  void Attach(UnitIndex aUnit, std::span<const fleet::WorkerIndex> aWorkers);
  /** Returns where the slots were. */
  std::vector<fleet::WorkerIndex> Detach(UnitIndex aUnit);
  bool FindPlace(UnitIndex aUnit, std::vector<fleet::WorkerIndex>& aWorkers);
  /** Takes the withdrawn unit down to what is charged to it. */
  void Shrink(UnitIndex aUnit);
  /** Workers for the slots that aWorkers does not name, in the same rack. */
  bool FillUnit(UnitIndex aUnit, std::vector<fleet::WorkerIndex>& aWorkers);
  void Uncharge(const Charge& aCharge, const fleet::Resources& aNeed);
  bool IsOvercommitted(fleet::WorkerIndex aWorker) const;
  bool Displace(fleet::WorkerIndex aWorker,
                std::span<const UnitIndex> aKept,
                std::vector<Move>& aMoves);
  bool PlaceDisplaced(std::vector<Move>& aMoves);
  void RollBack(std::vector<Move>& aMoves);
  /** Makes room on overcommitted workers; undoes aMoves when it cannot. */
  bool ResolveOvercommit(std::span<const fleet::WorkerIndex> aWorkers,
                         std::span<const UnitIndex> aKept,
                         std::vector<Move>& aMoves);
  bool MoveUnitsTo(AccountIndex aAccount,
                   std::span<const fleet::WorkerIndex> aWorkers,
                   const fleet::Resources& aNeed,
                   std::vector<UnitIndex>& aMoved,
                   std::vector<Move>& aMoves);
  bool ChargeInPlace(AccountIndex aAccount,
                     std::span<const fleet::WorkerIndex> aWorkers,
                     const fleet::Resources& aNeed,
                     Charge& aCharge,
                     std::vector<fleet::WorkerIndex>* aMissing);
  void Unplace(UnitIndex aUnit);
  /** Places all units that are not in use anew, if fewer then lack a place. */
  void Repack();
  std::uint64_t AcceleratorsOf(UnitIndex aUnit) const;
  void Refresh(fleet::WorkerIndex aWorker);
  WorkerRow& Row(fleet::WorkerIndex aWorker);

  const PlacementPolicy& placement;
  CapacityIndex uncommitted;
  std::vector<WorkerRow> workers;
  std::vector<Slot> slots;
  std::vector<Unit> units;
  std::vector<AccountRow> accounts;
  std::unordered_map<base::AccountId, AccountIndex> accountsById;
  /** Units without a place. */
  std::vector<UnitIndex> unplaced;
  /** Unused unit rows by their number of slots. */
  std::map<std::uint32_t, std::vector<UnitIndex>> unusedUnits;
  /** Accounts whose number of unplaced units may have changed. */
  std::vector<AccountIndex> changed;
  std::vector<fleet::WorkerIndex> changedWorkers;
  bool mayRepair = false;
  std::size_t repackCredit = 0;
};

} // namespace amaranthwind::scheduling
