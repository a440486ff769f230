#include "amaranthwind/scheduling/GuaranteeLedger.h"

#include "ResourceMath.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <tuple>

namespace amaranthwind::scheduling {

using fleet::Resources;
using fleet::WorkerIndex;

namespace {

/**
 * Average number of units that one call of Repair() may repack. A small ledger
 * is repacked at every change, a large one only occasionally.
 */
constexpr std::size_t kRepackCreditPerRepair = 64;

} // namespace

GuaranteeLedger::GuaranteeLedger(const PlacementPolicy& aPlacement)
  : placement(aPlacement)
{
}

void
GuaranteeLedger::SetWorker(WorkerIndex aWorker,
                           const fleet::RackPosition& aRackPosition,
                           const Resources& aTotal)
{
  WorkerRow& worker = this->Row(aWorker);
  const bool isMoved = worker.rackPosition != aRackPosition;
  worker.rackPosition = aRackPosition;
  worker.total = aTotal;
  this->Refresh(aWorker);
  this->mayRepair = true;
  for (const SlotIndex slot : worker.slots) {
    ++this->accounts[this->units[this->slots[slot].unit].account].generation;
  }
  if (!isMoved && !this->IsOvercommitted(aWorker)) {
    return;
  }
  // Units in use stay on their workers until their jobs end.
  const std::vector<SlotIndex> here = this->Row(aWorker).slots;
  for (const SlotIndex slot : here) {
    const UnitIndex unit = this->slots[slot].unit;
    if (this->units[unit].charges == 0 && this->units[unit].isPlaced) {
      this->Unplace(unit);
    }
  }
}

void
GuaranteeLedger::SetGuarantees(std::span<const policy::Account> aAccounts,
                               const base::ZoneId& aZone)
{
  struct PendingUnit
  {
    AccountIndex account;
    std::uint32_t slots;
    Resources size;
  };
  std::vector<PendingUnit> added;
  for (Unit& unit : this->units) {
    unit.isRetained = false;
  }
  for (const policy::Account& account : aAccounts) {
    const AccountIndex index = this->FindAccount(account.id);
    for (const policy::Guarantee& guarantee : account.guarantees) {
      if (guarantee.zone != aZone || guarantee.shape.members == 0) {
        continue;
      }
      const fleet::Shape& shape = guarantee.shape;
      // Only members that must share a rack have to be moved together. All
      // others become units of their own.
      std::uint32_t slotCount = 1;
      std::uint32_t count = guarantee.count;
      Resources size = shape.perMember;
      if (shape.adjacency == fleet::Adjacency::SameWorker) {
        size = Multiply(size, shape.members);
      } else if (shape.adjacency == fleet::Adjacency::SameRack) {
        slotCount = shape.members;
      } else {
        count *= shape.members;
      }
      // Prefer to keep units that are in use.
      std::vector<UnitIndex> matchingUnits;
      for (const UnitIndex unit : this->accounts[index].units) {
        if (!this->units[unit].isRetained &&
            this->units[unit].slots == slotCount &&
            this->slots[this->units[unit].firstSlot].size == size) {
          matchingUnits.push_back(unit);
        }
      }
      std::stable_sort(matchingUnits.begin(),
                       matchingUnits.end(),
                       [this](UnitIndex aLeft, UnitIndex aRight) {
                         return this->units[aLeft].charges >
                                this->units[aRight].charges;
                       });
      for (std::uint32_t at = 0; at < count; ++at) {
        if (at < matchingUnits.size()) {
          this->units[matchingUnits[at]].isRetained = true;
        } else {
          added.push_back(PendingUnit{ index, slotCount, size });
        }
      }
    }
  }
  for (UnitIndex unit = 0; unit < this->units.size(); ++unit) {
    if (this->units[unit].isRetained || !this->units[unit].isInUse ||
        this->units[unit].isWithdrawn) {
      continue;
    }
    if (this->units[unit].charges == 0) {
      this->RemoveUnit(unit);
      continue;
    }
    this->Shrink(unit);
  }
  for (const PendingUnit& pendingUnit : added) {
    this->unplaced.push_back(
      this->AddUnit(pendingUnit.account, pendingUnit.slots, pendingUnit.size));
    ++this->accounts[pendingUnit.account].unplacedUnits;
    this->changed.push_back(pendingUnit.account);
  }
  this->mayRepair = true;
  this->repackCredit = this->units.size();
}

AccountIndex
GuaranteeLedger::FindAccount(const base::AccountId& aAccount)
{
  const auto [found, isNew] = this->accountsById.try_emplace(
    aAccount, static_cast<AccountIndex>(this->accounts.size()));
  if (isNew) {
    this->accounts.emplace_back();
    this->accounts.back().id = aAccount;
  }
  return found->second;
}

const base::AccountId&
GuaranteeLedger::AccountName(AccountIndex aAccount) const
{
  return this->accounts[aAccount].id;
}

bool
GuaranteeLedger::TryCommit(std::span<const WorkerIndex> aWorkers,
                           const Resources& aNeed)
{
  this->ForceCommit(aWorkers, aNeed);
  std::vector<Move> moves;
  if (this->ResolveOvercommit(aWorkers, {}, moves)) {
    return true;
  }
  this->ReleaseCommitted(aWorkers, aNeed);
  return false;
}

void
GuaranteeLedger::ForceCommit(std::span<const WorkerIndex> aWorkers,
                             const Resources& aNeed)
{
  for (const WorkerIndex worker : aWorkers) {
    this->Row(worker).committed += aNeed;
    this->Refresh(worker);
  }
}

void
GuaranteeLedger::ReleaseCommitted(std::span<const WorkerIndex> aWorkers,
                                  const Resources& aNeed)
{
  for (const WorkerIndex worker : aWorkers) {
    this->Row(worker).committed -= aNeed;
    this->Refresh(worker);
  }
  this->mayRepair = true;
}

void
GuaranteeLedger::FindOffers(AccountIndex aAccount,
                            const Resources& aNeed,
                            std::vector<SlotOffer>& aOffers) const
{
  aOffers.clear();
  for (const UnitIndex unitIndex : this->accounts[aAccount].units) {
    const Unit& unit = this->units[unitIndex];
    if (!unit.isPlaced) {
      continue;
    }
    for (std::uint32_t at = 0; at < unit.slots; ++at) {
      const Slot& slot = this->slots[unit.firstSlot + at];
      if (!this->workers[slot.worker].total.Covers(slot.size)) {
        continue; // Lost or isolated since the unit was charged.
      }
      const std::uint32_t members = CountFitting(
        SubtractClamped(slot.size, slot.used), aNeed, ~std::uint32_t{ 0 });
      if (members != 0) {
        aOffers.push_back(SlotOffer{ slot.worker, members, slot.charges != 0 });
      }
    }
  }
}

bool
GuaranteeLedger::HasUnusedUnit(AccountIndex aAccount,
                               const Resources& aNeed,
                               std::uint64_t aMaxAccelerators) const
{
  const std::vector<UnitIndex>& own = this->accounts[aAccount].units;
  return std::any_of(own.begin(), own.end(), [&](UnitIndex aUnit) {
    const Unit& unit = this->units[aUnit];
    return unit.isPlaced && unit.charges == 0 &&
           this->slots[unit.firstSlot].size.Covers(aNeed) &&
           this->AcceleratorsOf(aUnit) <= aMaxAccelerators;
  });
}

bool
GuaranteeLedger::TryCharge(AccountIndex aAccount,
                           std::span<const WorkerIndex> aWorkers,
                           const Resources& aNeed,
                           Charge& aCharge)
{
  std::vector<WorkerIndex> missing;
  if (this->ChargeInPlace(aAccount, aWorkers, aNeed, aCharge, &missing)) {
    return true;
  }
  std::vector<UnitIndex> moved;
  std::vector<Move> moves;
  if (!this->MoveUnitsTo(aAccount, missing, aNeed, moved, moves)) {
    this->RollBack(moves);
    return false;
  }
  std::vector<WorkerIndex> touched;
  for (const UnitIndex unit : moved) {
    for (std::uint32_t at = 0; at < this->units[unit].slots; ++at) {
      touched.push_back(this->slots[this->units[unit].firstSlot + at].worker);
    }
  }
  // Charged units are not moved, so that ResolveOvercommit() leaves these units
  // on their workers.
  if (!this->ChargeInPlace(aAccount, aWorkers, aNeed, aCharge, nullptr)) {
    this->RollBack(moves);
    return false;
  }
  if (!this->ResolveOvercommit(touched, moved, moves)) {
    this->Uncharge(aCharge, aNeed);
    aCharge.clear();
    return false;
  }
  for (const UnitIndex unit : moved) {
    if (std::erase(this->unplaced, unit) != 0) {
      --this->accounts[aAccount].unplacedUnits;
      this->changed.push_back(aAccount);
    }
  }
  return true;
}

void
GuaranteeLedger::ReleaseCharge(const Charge& aCharge, const Resources& aNeed)
{
  for (const SlotIndex index : aCharge) {
    Slot& slot = this->slots[index];
    Unit& unit = this->units[slot.unit];
    slot.used -= aNeed;
    --slot.charges;
    --unit.charges;
    ++this->accounts[unit.account].generation;
    if (unit.charges != 0) {
      continue;
    }
    if (unit.isWithdrawn) {
      this->RemoveUnit(slot.unit);
    } else if (unit.isPlaced) {
      // The unit was moved to these workers for its job. Place it again where
      // the placement policy leaves the most idle racks for non-preemptible
      // use.
      const std::vector<WorkerIndex> previousWorkers = this->Detach(slot.unit);
      std::vector<WorkerIndex> found;
      if (this->FindPlace(slot.unit, found)) {
        this->Attach(slot.unit, found);
      } else {
        this->Attach(slot.unit, previousWorkers);
        this->Unplace(slot.unit);
      }
    }
  }
  this->mayRepair = true;
}

void
GuaranteeLedger::Repair()
{
  if (!this->mayRepair || this->unplaced.empty()) {
    return;
  }
  this->mayRepair = false;
  const auto sizeOf = [this](UnitIndex aUnit) {
    const Unit& unit = this->units[aUnit];
    return std::tuple(unit.slots, this->slots[unit.firstSlot].size);
  };
  std::stable_sort(this->unplaced.begin(),
                   this->unplaced.end(),
                   [&](UnitIndex aLeft, UnitIndex aRight) {
                     return sizeOf(aRight) < sizeOf(aLeft);
                   });
  std::vector<UnitIndex> stillUnplaced;
  std::vector<WorkerIndex> workersFound;
  std::optional<UnitIndex> failed;
  for (const UnitIndex unit : this->unplaced) {
    const bool isKnownToFail = failed && sizeOf(*failed) == sizeOf(unit);
    if (!isKnownToFail && this->FindPlace(unit, workersFound)) {
      this->Attach(unit, workersFound);
      const AccountIndex account = this->units[unit].account;
      --this->accounts[account].unplacedUnits;
      this->changed.push_back(account);
    } else {
      failed = unit;
      stillUnplaced.push_back(unit);
    }
  }
  this->unplaced = std::move(stillUnplaced);
  if (this->unplaced.empty()) {
    return;
  }
  this->repackCredit += kRepackCreditPerRepair;
  if (this->repackCredit >= this->units.size()) {
    this->repackCredit = 0;
    this->Repack();
  }
}

void
GuaranteeLedger::Repack()
{
  std::vector<Move> moves;
  std::uint64_t missingBefore = 0;
  for (const UnitIndex unit : this->unplaced) {
    missingBefore += this->AcceleratorsOf(unit);
  }
  const auto detachAll = [&] {
    for (UnitIndex unit = 0; unit < this->units.size(); ++unit) {
      const Unit& row = this->units[unit];
      if (row.isInUse && row.charges == 0) {
        moves.push_back(Move{ unit, {} });
        if (row.isPlaced) {
          moves.back().previousWorkers = this->Detach(unit);
        }
      }
    }
  };
  const auto byTotal = [this](UnitIndex aUnit) {
    const Unit& unit = this->units[aUnit];
    return std::tuple(this->AcceleratorsOf(aUnit),
                      unit.slots,
                      this->slots[unit.firstSlot].size);
  };
  const auto bySlots = [this](UnitIndex aUnit) {
    const Unit& unit = this->units[aUnit];
    return std::tuple(std::uint64_t{ unit.slots },
                      unit.slots,
                      this->slots[unit.firstSlot].size);
  };
  const auto bySize = [this](UnitIndex aUnit) {
    const Unit& unit = this->units[aUnit];
    return std::tuple(
      std::uint64_t{ this->slots[unit.firstSlot].size.accelerators },
      unit.slots,
      this->slots[unit.firstSlot].size);
  };
  using Order =
    std::function<std::tuple<std::uint64_t, std::uint32_t, Resources>(
      UnitIndex)>;
  for (const Order& order : { Order(byTotal), Order(bySlots), Order(bySize) }) {
    detachAll();
    std::vector<UnitIndex> waiting;
    waiting.reserve(moves.size());
    for (const Move& move : moves) {
      waiting.push_back(move.unit);
    }
    std::stable_sort(waiting.begin(),
                     waiting.end(),
                     [&order](UnitIndex aLeft, UnitIndex aRight) {
                       return order(aRight) < order(aLeft);
                     });
    std::uint64_t missing = 0;
    std::vector<WorkerIndex> found;
    for (const UnitIndex unit : waiting) {
      if (this->FindPlace(unit, found)) {
        this->Attach(unit, found);
      } else {
        missing += this->AcceleratorsOf(unit);
      }
    }
    if (missing >= missingBefore) {
      this->RollBack(moves);
      continue;
    }
    this->unplaced.clear();
    for (const Move& move : moves) {
      const bool wasPlaced = !move.previousWorkers.empty();
      const bool isPlaced = this->units[move.unit].isPlaced;
      const AccountIndex account = this->units[move.unit].account;
      if (!isPlaced) {
        this->unplaced.push_back(move.unit);
      }
      if (wasPlaced != isPlaced) {
        this->accounts[account].unplacedUnits += wasPlaced ? 1 : 0;
        this->accounts[account].unplacedUnits -= isPlaced ? 1 : 0;
        this->changed.push_back(account);
      }
    }
    return;
  }
}

std::uint64_t
GuaranteeLedger::AcceleratorsOf(UnitIndex aUnit) const
{
  const Unit& unit = this->units[aUnit];
  return std::uint64_t{ unit.slots } *
         this->slots[unit.firstSlot].size.accelerators;
}

std::vector<Shortfall>
GuaranteeLedger::TakeShortfallChanges()
{
  std::vector<Shortfall> result;
  for (const AccountIndex index : this->changed) {
    AccountRow& account = this->accounts[index];
    if (account.unplacedUnits == account.reportedUnits) {
      continue;
    }
    account.reportedUnits = account.unplacedUnits;
    Shortfall shortfall{ index, account.unplacedUnits, 0 };
    for (const UnitIndex unit : account.units) {
      if (!this->units[unit].isPlaced) {
        shortfall.accelerators += this->AcceleratorsOf(unit);
      }
    }
    result.push_back(shortfall);
  }
  this->changed.clear();
  return result;
}

bool
GuaranteeLedger::IsConsistent() const
{
  for (const WorkerRow& worker : this->workers) {
    if (worker.total != Resources{} && !worker.total.Covers(worker.committed)) {
      return false;
    }
    Resources slotSizes;
    for (const SlotIndex slot : worker.slots) {
      slotSizes += this->slots[slot].size;
      if (!this->slots[slot].size.Covers(this->slots[slot].used)) {
        return false;
      }
    }
    if (!worker.committed.Covers(slotSizes)) {
      return false;
    }
  }
  return true;
}

GuaranteeLedger::UnitIndex
GuaranteeLedger::AddUnit(AccountIndex aAccount,
                         std::uint32_t aSlots,
                         const Resources& aSize)
{
  UnitIndex index = 0;
  std::vector<UnitIndex>& unused = this->unusedUnits[aSlots];
  if (unused.empty()) {
    index = static_cast<UnitIndex>(this->units.size());
    this->units.emplace_back();
    this->units.back().firstSlot = static_cast<SlotIndex>(this->slots.size());
    this->slots.resize(this->slots.size() + aSlots);
  } else {
    index = unused.back();
    unused.pop_back();
  }
  Unit& unit = this->units[index];
  unit = Unit{ aAccount, unit.firstSlot, aSlots };
  unit.isInUse = true;
  for (std::uint32_t at = 0; at < aSlots; ++at) {
    this->slots[unit.firstSlot + at] =
      Slot{ fleet::kNoWorker, index, aSize, {}, 0 };
  }
  this->accounts[aAccount].units.push_back(index);
  ++this->accounts[aAccount].generation;
  return index;
}

void
GuaranteeLedger::RemoveUnit(UnitIndex aUnit)
{
  Unit& unit = this->units[aUnit];
  AccountRow& account = this->accounts[unit.account];
  if (unit.isPlaced) {
    this->Detach(aUnit);
  } else {
    std::erase(this->unplaced, aUnit);
    --account.unplacedUnits;
    this->changed.push_back(unit.account);
  }
  std::erase(account.units, aUnit);
  ++account.generation;
  unit.isInUse = false;
  this->unusedUnits[unit.slots].push_back(aUnit);
}

void
GuaranteeLedger::Attach(UnitIndex aUnit, std::span<const WorkerIndex> aWorkers)
{
  Unit& unit = this->units[aUnit];
  for (std::uint32_t at = 0; at < unit.slots; ++at) {
    Slot& slot = this->slots[unit.firstSlot + at];
    slot.worker = aWorkers[at];
    WorkerRow& worker = this->Row(slot.worker);
    worker.committed += slot.size;
    worker.slots.push_back(unit.firstSlot + at);
    this->Refresh(slot.worker);
  }
  unit.isPlaced = true;
  ++this->accounts[unit.account].generation;
}

std::vector<WorkerIndex>
GuaranteeLedger::Detach(UnitIndex aUnit)
{
  Unit& unit = this->units[aUnit];
  std::vector<WorkerIndex> previousWorkers;
  previousWorkers.reserve(unit.slots);
  for (std::uint32_t at = 0; at < unit.slots; ++at) {
    Slot& slot = this->slots[unit.firstSlot + at];
    previousWorkers.push_back(slot.worker);
    WorkerRow& worker = this->Row(slot.worker);
    worker.committed -= slot.size;
    std::erase(worker.slots, unit.firstSlot + at);
    this->Refresh(slot.worker);
    slot.worker = fleet::kNoWorker;
  }
  unit.isPlaced = false;
  ++this->accounts[unit.account].generation;
  return previousWorkers;
}

bool
GuaranteeLedger::FindPlace(UnitIndex aUnit, std::vector<WorkerIndex>& aWorkers)
{
  const Unit& unit = this->units[aUnit];
  const PlacementRequest request{
    fleet::Shape{ unit.slots,
                  this->slots[unit.firstSlot].size,
                  fleet::Adjacency::SameRack },
    {},
    nullptr,
  };
  return this->placement.Place(this->uncommitted, request, aWorkers);
}

bool
GuaranteeLedger::IsOvercommitted(WorkerIndex aWorker) const
{
  const WorkerRow& worker = this->workers[aWorker];
  return !worker.total.Covers(worker.committed);
}

bool
GuaranteeLedger::Displace(WorkerIndex aWorker,
                          std::span<const UnitIndex> aPinnedUnits,
                          std::vector<Move>& aMoves)
{
  while (this->IsOvercommitted(aWorker)) {
    if (aMoves.size() >= this->kMaxDisplacedUnits + aPinnedUnits.size()) {
      return false;
    }
    const WorkerRow& worker = this->workers[aWorker];
    const Resources excess = SubtractClamped(worker.committed, worker.total);
    // Choose the smallest unit that frees enough, or else the largest one.
    std::optional<SlotIndex> best;
    bool isEnough = false;
    for (const SlotIndex index : worker.slots) {
      const Slot& slot = this->slots[index];
      if (this->units[slot.unit].charges != 0 ||
          std::find(aPinnedUnits.begin(), aPinnedUnits.end(), slot.unit) !=
            aPinnedUnits.end()) {
        continue;
      }
      const bool covers = slot.size.Covers(excess);
      const bool isSmaller = best && slot.size < this->slots[*best].size;
      if (!best || (covers && !isEnough) ||
          (covers == isEnough && isSmaller == covers)) {
        best = index;
        isEnough = covers;
      }
    }
    if (!best) {
      return false;
    }
    const UnitIndex unit = this->slots[*best].unit;
    aMoves.push_back(Move{ unit, this->Detach(unit) });
  }
  return true;
}

bool
GuaranteeLedger::PlaceDisplaced(std::vector<Move>& aMoves)
{
  std::vector<UnitIndex> waiting;
  for (const Move& move : aMoves) {
    if (!this->units[move.unit].isPlaced) {
      waiting.push_back(move.unit);
    }
  }
  std::stable_sort(
    waiting.begin(), waiting.end(), [this](UnitIndex aLeft, UnitIndex aRight) {
      const Unit& left = this->units[aLeft];
      const Unit& right = this->units[aRight];
      return std::tuple(right.slots, this->slots[right.firstSlot].size) <
             std::tuple(left.slots, this->slots[left.firstSlot].size);
    });
  std::vector<WorkerIndex> found;
  for (const UnitIndex unit : waiting) {
    if (!this->FindPlace(unit, found)) {
      return false;
    }
    this->Attach(unit, found);
  }
  return true;
}

void
GuaranteeLedger::RollBack(std::vector<Move>& aMoves)
{
  for (const Move& move : aMoves) {
    if (this->units[move.unit].isPlaced) {
      this->Detach(move.unit);
    }
  }
  for (const Move& move : aMoves) {
    if (!move.previousWorkers.empty()) {
      this->Attach(move.unit, move.previousWorkers);
    }
  }
  aMoves.clear();
}

bool
GuaranteeLedger::ResolveOvercommit(std::span<const WorkerIndex> aWorkers,
                                   std::span<const UnitIndex> aPinnedUnits,
                                   std::vector<Move>& aMoves)
{
  for (const WorkerIndex worker : aWorkers) {
    if (!this->Displace(worker, aPinnedUnits, aMoves)) {
      this->RollBack(aMoves);
      return false;
    }
  }
  if (!this->PlaceDisplaced(aMoves)) {
    this->RollBack(aMoves);
    return false;
  }
  return true;
}

bool
GuaranteeLedger::MoveUnitsTo(AccountIndex aAccount,
                             std::span<const WorkerIndex> aWorkers,
                             const Resources& aNeed,
                             std::vector<UnitIndex>& aMoved,
                             std::vector<Move>& aMoves)
{
  std::vector<UnitIndex> movable;
  for (const UnitIndex unit : this->accounts[aAccount].units) {
    if (this->units[unit].charges == 0 &&
        this->slots[this->units[unit].firstSlot].size.Covers(aNeed)) {
      movable.push_back(unit);
    }
  }
  // Move the smallest units first, so that large units remain available to
  // large jobs.
  std::stable_sort(
    movable.begin(), movable.end(), [this](UnitIndex aLeft, UnitIndex aRight) {
      const Unit& left = this->units[aLeft];
      const Unit& right = this->units[aRight];
      return std::tuple(left.slots, this->slots[left.firstSlot].size) <
             std::tuple(right.slots, this->slots[right.firstSlot].size);
    });
  std::size_t placedMembers = 0;
  for (const UnitIndex index : movable) {
    if (placedMembers == aWorkers.size()) {
      break;
    }
    const Unit& unit = this->units[index];
    const Resources& size = this->slots[unit.firstSlot].size;
    const fleet::RackIndex rack =
      this->Row(aWorkers[placedMembers]).rackPosition.rack;
    std::vector<WorkerIndex> target;
    while (target.size() < unit.slots && placedMembers < aWorkers.size() &&
           this->Row(aWorkers[placedMembers]).rackPosition.rack == rack) {
      // Members on the same worker share a slot as long as they fit.
      const WorkerIndex worker = aWorkers[placedMembers];
      std::uint32_t fitting = CountFitting(size, aNeed, ~std::uint32_t{ 0 });
      while (placedMembers < aWorkers.size() &&
             aWorkers[placedMembers] == worker && fitting != 0) {
        --fitting;
        ++placedMembers;
      }
      target.push_back(worker);
    }
    aMoves.push_back(Move{ index, {} });
    if (unit.isPlaced) {
      aMoves.back().previousWorkers = this->Detach(index);
    }
    aMoved.push_back(index);
    if (!this->FillUnit(index, target)) {
      return false;
    }
    this->Attach(index, target);
  }
  return placedMembers == aWorkers.size();
}

bool
GuaranteeLedger::ChargeInPlace(AccountIndex aAccount,
                               std::span<const WorkerIndex> aWorkers,
                               const Resources& aNeed,
                               Charge& aCharge,
                               std::vector<WorkerIndex>* aMissing)
{
  aCharge.clear();
  for (const WorkerIndex worker : aWorkers) {
    std::optional<SlotIndex> best;
    for (const SlotIndex index : this->Row(worker).slots) {
      const Slot& slot = this->slots[index];
      const Unit& unit = this->units[slot.unit];
      if (unit.account != aAccount || unit.isWithdrawn ||
          !SubtractClamped(slot.size, slot.used).Covers(aNeed)) {
        continue;
      }
      // Choose the fullest slot, so that empty slots stay available as a whole.
      if (!best ||
          SubtractClamped(slot.size, slot.used) <
            SubtractClamped(this->slots[*best].size, this->slots[*best].used)) {
        best = index;
      }
    }
    if (best) {
      this->slots[*best].used += aNeed;
      ++this->slots[*best].charges;
      ++this->units[this->slots[*best].unit].charges;
      aCharge.push_back(*best);
    } else if (aMissing == nullptr) {
      break;
    } else {
      aMissing->push_back(worker);
    }
  }
  if (aCharge.size() == aWorkers.size()) {
    ++this->accounts[aAccount].generation;
    return true;
  }
  this->Uncharge(aCharge, aNeed);
  aCharge.clear();
  return false;
}

void
GuaranteeLedger::Uncharge(const Charge& aCharge, const Resources& aNeed)
{
  for (const SlotIndex index : aCharge) {
    this->slots[index].used -= aNeed;
    --this->slots[index].charges;
    --this->units[this->slots[index].unit].charges;
  }
}

bool
GuaranteeLedger::FillUnit(UnitIndex aUnit, std::vector<WorkerIndex>& aWorkers)
{
  const Unit& unit = this->units[aUnit];
  const Resources& size = this->slots[unit.firstSlot].size;
  const fleet::RackIndex rack =
    this->workers[aWorkers.front()].rackPosition.rack;
  const std::size_t named = aWorkers.size();
  for (std::uint32_t position = 0;
       position < fleet::kWorkersPerRackRow && aWorkers.size() < unit.slots;
       ++position) {
    const WorkerIndex worker = this->uncommitted.WorkerAt(rack, position);
    if (worker >= this->workers.size() ||
        this->workers[worker].rackPosition !=
          fleet::RackPosition{ rack, position }) {
      continue;
    }
    const auto taken = static_cast<std::uint32_t>(
      std::count(aWorkers.begin(),
                 aWorkers.begin() + static_cast<std::ptrdiff_t>(named),
                 worker));
    const std::uint32_t fitting =
      CountFitting(this->uncommitted.Available(worker), size, unit.slots);
    for (std::uint32_t at = taken; at < fitting && aWorkers.size() < unit.slots;
         ++at) {
      aWorkers.push_back(worker);
    }
  }
  return aWorkers.size() == unit.slots;
}

void
GuaranteeLedger::Shrink(UnitIndex aUnit)
{
  const std::vector<WorkerIndex> previousWorkers = this->Detach(aUnit);
  Unit& unit = this->units[aUnit];
  for (std::uint32_t at = 0; at < unit.slots; ++at) {
    Slot& slot = this->slots[unit.firstSlot + at];
    slot.size = slot.used;
  }
  this->Attach(aUnit, previousWorkers);
  unit.isWithdrawn = true;
  std::erase(this->accounts[unit.account].units, aUnit);
}

void
GuaranteeLedger::TakeChangedWorkers(std::vector<WorkerIndex>& aWorkers)
{
  aWorkers.swap(this->changedWorkers);
  this->changedWorkers.clear();
}

void
GuaranteeLedger::Unplace(UnitIndex aUnit)
{
  this->Detach(aUnit);
  this->unplaced.push_back(aUnit);
  ++this->accounts[this->units[aUnit].account].unplacedUnits;
  this->changed.push_back(this->units[aUnit].account);
}

void
GuaranteeLedger::Refresh(WorkerIndex aWorker)
{
  const WorkerRow& worker = this->workers[aWorker];
  this->uncommitted.Set(aWorker,
                        worker.rackPosition,
                        worker.total,
                        SubtractClamped(worker.total, worker.committed));
  this->changedWorkers.push_back(aWorker);
}

GuaranteeLedger::WorkerRow&
GuaranteeLedger::Row(WorkerIndex aWorker)
{
  if (aWorker >= this->workers.size()) {
    this->workers.resize(aWorker + 1);
  }
  return this->workers[aWorker];
}

} // namespace amaranthwind::scheduling
