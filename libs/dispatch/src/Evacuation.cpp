// Evacuation of availability zones, and how long starts are valid.

#include "DispatchState.h"

#include <algorithm>

namespace amaranthwind::dispatch {

void
Dispatcher::State::Evacuate(std::span<const base::ZoneId> aZones,
                            base::TimePoint aAsOf)
{
  this->evacuationsAsOf = std::max(this->evacuationsAsOf, aAsOf);
  std::set<base::ZoneId> zones(aZones.begin(), aZones.end());
  if (zones == this->evacuatedZones) {
    return;
  }
  this->evacuatedZones = std::move(zones);
  this->mustSchedule = true;
  this->WithdrawEvacuatedPlacements();
}

bool
Dispatcher::State::IsEvacuated(const Worker& aWorker) const
{
  return !this->evacuatedZones.empty() && aWorker.info &&
         this->evacuatedZones.contains(aWorker.info->zone);
}

void
Dispatcher::State::WithdrawEvacuatedPlacements()
{
  // Copied, since the withdrawal of a gang releases several runs of a worker.
  std::vector<job::TaskRun> runs;
  for (const auto& [agent, worker] : this->workers) {
    if (this->IsEvacuated(worker)) {
      for (const auto& [run, need] : worker.allocations) {
        runs.push_back(run);
      }
    }
  }
  constexpr std::string_view kReason = "zone evacuated";
  for (const job::TaskRun& run : runs) {
    const Task* task = this->FindRun(run);
    if (task == nullptr || task->phase != Phase::Placing) {
      continue;
    }
    this->observer.OnPlacementWithdrawn(run, task->agent, kReason);
    Step& step = *this->FindStep(run.task.step);
    if (this->SpecOf(run.task.step)->isGang) {
      // Its members are ordered together, so that none was ordered yet.
      this->StopGangMembers(step, run.run, kReason);
    } else {
      this->RequestStop(step, run.task.index, kReason);
    }
  }
}

bool
Dispatcher::State::AreInputsRecent() const
{
  // Half of the time is left for the age of the agent's report.
  const auto& limit = this->options.maxEvacuationAge;
  return this->callTime.now - this->jobsAsOf <= this->options.maxStartAge / 2 &&
         (!limit || this->callTime.now - this->evacuationsAsOf <= *limit / 2);
}

base::Duration
Dispatcher::State::RemainingStartTime() const
{
  const base::Duration remaining =
    this->options.maxStartAge - (this->callTime.now - this->jobsAsOf);
  if (!this->options.maxEvacuationAge) {
    return remaining;
  }
  return std::min(remaining,
                  *this->options.maxEvacuationAge -
                    (this->callTime.now - this->evacuationsAsOf));
}

} // namespace amaranthwind::dispatch
