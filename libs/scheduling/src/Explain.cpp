#include "ResourceMath.h"
#include "SchedulerState.h"

#include <algorithm>

namespace amaranthwind::scheduling {

using fleet::Adjacency;
using fleet::Resources;
using fleet::WorkerIndex;

std::uint32_t
CellScheduler::State::CountPlaceable(
  const fleet::Shape& aShape,
  std::span<const WorkerIndex> aAvoid,
  const std::function<Resources(WorkerIndex)>& aAvailable) const
{
  std::unordered_map<base::RackId, std::uint32_t> racks;
  std::uint64_t most = 0;
  std::uint64_t all = 0;
  const auto rows = this->cell.Workers();
  for (WorkerIndex worker = 0; worker < rows.size(); ++worker) {
    if (!rows[worker].isInUse ||
        std::find(aAvoid.begin(), aAvoid.end(), worker) != aAvoid.end()) {
      continue;
    }
    const std::uint32_t here =
      CountFitting(aAvailable(worker), aShape.perMember, aShape.members);
    std::uint64_t together = here;
    if (aShape.adjacency == Adjacency::SameRack) {
      std::uint32_t& rack = racks[rows[worker].target.rack];
      rack += std::min(here, aShape.members - rack);
      together = rack;
    }
    most = std::max(most, together);
    all += here;
  }
  return static_cast<std::uint32_t>(std::min<std::uint64_t>(
    aShape.members, aShape.adjacency == Adjacency::SameZone ? all : most));
}

WaitReport
CellScheduler::State::Explain(const JobRow& aJob) const
{
  const fleet::Shape& shape = aJob.spec.shape;
  WaitReport report;
  report.missing = shape;
  if (aJob.phase == Phase::Reclaiming) {
    report.reason = WaitReason::ReclaimPending;
    report.expectedStart = aJob.stopDeadline;
    return report;
  }
  const bool isOwner = this->reservation.job != kNoJob &&
                       &this->jobs[this->reservation.job] == &aJob;
  if (this->reservation.job != kNoJob) {
    // No job behind the reservation is expected to start before it.
    report.expectedStart = std::max(this->reservation.start, this->now);
  }
  const auto freeOn = [this](WorkerIndex aWorker) {
    const WorkerUse& use = this->uses[aWorker];
    Resources taken = use.used;
    taken += use.claimed;
    return SubtractClamped(use.total, taken);
  };
  const auto spareOn = [this, &freeOn](WorkerIndex aWorker) {
    return ComponentwiseMin(freeOn(aWorker),
                            this->ledger.Uncommitted().Available(aWorker));
  };
  const std::uint32_t fitFree =
    this->CountPlaceable(shape, aJob.failedOn, freeOn);
  const std::uint32_t fitSpare =
    aJob.MayBorrow() ? fitFree
                     : this->CountPlaceable(shape, aJob.failedOn, spareOn);
  report.missing.members = shape.members - fitSpare;
  if (fitFree >= shape.members && fitSpare < shape.members) {
    report.reason = WaitReason::UntilGuaranteeReturns;
  } else if (fitFree >= shape.members && !isOwner &&
             this->reservation.job != kNoJob) {
    report.reason = WaitReason::BehindReservation;
  }
  return report;
}

} // namespace amaranthwind::scheduling
