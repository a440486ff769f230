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

/** Row of an account in the ledger; never invalidated. */
using AccountIndex = std::uint32_t;
/**
 * Index of a slot: capacity on one worker that belongs to a unit of a
 * guarantee.
 */
using SlotIndex = std::uint32_t;

/** Slot that each member of a job is charged to. */
using Charge = std::vector<SlotIndex>;

/**
 * Number of members of a job that fit into the unused part of a slot on one
 * worker.
 */
struct SlotOffer
{
  fleet::WorkerIndex worker = fleet::kNoWorker;
  std::uint32_t members = 0;
  /** True if another job of the account is charged to the slot. */
  bool isPartlyUsed = false;
};

struct Shortfall
{
  AccountIndex account = 0;
  std::uint32_t units = 0;
  std::uint64_t accelerators = 0;
};

/**
 * Verifies that the guarantees of all accounts can be fulfilled at the same
 * time.
 *
 * To this end it maintains a packing: every guaranteed unit is assigned to
 * specific workers, and no worker is committed to more than its resources. The
 * committed resources are the assigned units plus the non-preemptible use
 * outside guarantees. A unit in use stays on the workers of the jobs charged to
 * it; an unused unit may be moved. Borrowers are not counted, because they are
 * stopped when a unit is claimed. A use that would overcommit a worker is
 * accepted only after the units in its way were moved elsewhere, at most
 * kMaxDisplacedUnits of them. The search is a heuristic: it may miss a packing
 * that exists, but never reports one that does not exist.
 */
class GuaranteeLedger
{
public:
  /** Maximum number of units moved for one decision; bounds its cost. */
  static constexpr std::size_t kMaxDisplacedUnits = 64;

  /** aPlacement must outlive the ledger. */
  explicit GuaranteeLedger(const PlacementPolicy& aPlacement);

  /**
   * Sets the resources of aWorker that can be committed; zero if the worker
   * accepts no work.
   */
  void SetWorker(fleet::WorkerIndex aWorker,
                 const fleet::RackPosition& aRackPosition,
                 const fleet::Resources& aTotal);

  /**
   * Replaces all guarantees. Units of unchanged shape keep their workers and
   * charges. Jobs charged to a withdrawn unit keep the resources that they use
   * of it until they end.
   */
  void SetGuarantees(std::span<const policy::Account> aAccounts,
                     const base::ZoneId& aZone);

  /** Returns the row of the account, and adds it if it is new. */
  AccountIndex FindAccount(const base::AccountId& aAccount);
  const base::AccountId& AccountName(AccountIndex aAccount) const;

  /**
   * Commits aNeed per member on aWorkers for non-preemptible use outside
   * guarantees. Returns false and changes nothing if the guarantees would no
   * longer fit.
   */
  bool TryCommit(std::span<const fleet::WorkerIndex> aWorkers,
                 const fleet::Resources& aNeed);
  /** Commits resources that are already in use. May overcommit workers. */
  void ForceCommit(std::span<const fleet::WorkerIndex> aWorkers,
                   const fleet::Resources& aNeed);
  void ReleaseCommitted(std::span<const fleet::WorkerIndex> aWorkers,
                        const fleet::Resources& aNeed);

  /**
   * Writes the unused parts of the account's slots that hold at least one more
   * member to aOffers.
   */
  void FindOffers(AccountIndex aAccount,
                  const fleet::Resources& aNeed,
                  std::vector<SlotOffer>& aOffers) const;
  /**
   * Returns true if the account has an unused unit of at most aMaxAccelerators
   * accelerators whose slots hold at least one member.
   */
  bool HasUnusedUnit(AccountIndex aAccount,
                     const fleet::Resources& aNeed,
                     std::uint64_t aMaxAccelerators) const;
  /**
   * Charges a job on aWorkers to the guarantees of aAccount, and moves units of
   * the account to these workers if necessary. Returns false and changes
   * nothing if that is impossible.
   */
  bool TryCharge(AccountIndex aAccount,
                 std::span<const fleet::WorkerIndex> aWorkers,
                 const fleet::Resources& aNeed,
                 Charge& aCharge);
  void ReleaseCharge(const Charge& aCharge, const fleet::Resources& aNeed);

  /** Assigns unplaced units to workers, the largest units first. */
  void Repair();
  /** Returns the accounts whose shortfall changed since the last call. */
  std::vector<Shortfall> TakeShortfallChanges();
  bool HasShortfall() const noexcept { return !this->unplaced.empty(); }
  /**
   * Writes the workers whose entry in Uncommitted() changed since the last call
   * to aWorkers.
   */
  void TakeChangedWorkers(std::vector<fleet::WorkerIndex>& aWorkers);

  /**
   * Resources of each worker that are not committed to guarantees or to
   * non-preemptible use.
   */
  const CapacityIndex& Uncommitted() const noexcept
  {
    return this->uncommitted;
  }
  /**
   * Returns a counter that grows with each change to the charges or units of
   * the account.
   */
  std::uint64_t Generation(AccountIndex aAccount) const noexcept
  {
    return this->accounts[aAccount].generation;
  }
  /** Returns true if no worker is overcommitted. Used by tests. */
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
  /**
   * A group of slots that must be in the same rack. Most units have one slot.
   */
  struct Unit
  {
    AccountIndex account = 0;
    SlotIndex firstSlot = 0;
    std::uint32_t slots = 0;
    std::uint32_t charges = 0;
    bool isPlaced = false;
    bool isWithdrawn = false;
    bool isInUse = false;
    /** Set while a policy is applied if the policy still contains the unit. */
    bool isRetained = false;
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
    /** Non-preemptible use plus the sizes of the slots on this worker. */
    fleet::Resources committed;
    std::vector<SlotIndex> slots;
  };
  struct Move
  {
    UnitIndex unit = 0;
    std::vector<fleet::WorkerIndex> previousWorkers;
  };

  UnitIndex AddUnit(AccountIndex aAccount,
                    std::uint32_t aSlots,
                    const fleet::Resources& aSize);
  void RemoveUnit(UnitIndex aUnit);
  void Attach(UnitIndex aUnit, std::span<const fleet::WorkerIndex> aWorkers);
  /** Returns the previous workers of the slots. */
  std::vector<fleet::WorkerIndex> Detach(UnitIndex aUnit);
  bool FindPlace(UnitIndex aUnit, std::vector<fleet::WorkerIndex>& aWorkers);
  /** Withdraws the unit and reduces it to the resources charged to it. */
  void Shrink(UnitIndex aUnit);
  /** Extends aWorkers, in the same rack, to one worker per slot of the unit. */
  bool FillUnit(UnitIndex aUnit, std::vector<fleet::WorkerIndex>& aWorkers);
  void Uncharge(const Charge& aCharge, const fleet::Resources& aNeed);
  bool IsOvercommitted(fleet::WorkerIndex aWorker) const;
  bool Displace(fleet::WorkerIndex aWorker,
                std::span<const UnitIndex> aPinnedUnits,
                std::vector<Move>& aMoves);
  bool PlaceDisplaced(std::vector<Move>& aMoves);
  void RollBack(std::vector<Move>& aMoves);
  /**
   * Moves units away from overcommitted workers among aWorkers. On failure,
   * rolls back aMoves and returns false.
   */
  bool ResolveOvercommit(std::span<const fleet::WorkerIndex> aWorkers,
                         std::span<const UnitIndex> aPinnedUnits,
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
  /**
   * Reassigns all unused units if that reduces the accelerators of the units
   * without workers.
   */
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
  /** Units that are not assigned to workers. */
  std::vector<UnitIndex> unplaced;
  /** Free unit rows by number of slots. */
  std::map<std::uint32_t, std::vector<UnitIndex>> unusedUnits;
  /** Accounts whose number of unplaced units may have changed. */
  std::vector<AccountIndex> changed;
  std::vector<fleet::WorkerIndex> changedWorkers;
  bool mayRepair = false;
  std::size_t repackCredit = 0;
};

} // namespace amaranthwind::scheduling
