// Preemption: frees resources for a step by stopping less important work.

#include "DispatchState.h"

#include <algorithm>
#include <limits>

namespace amaranthwind::dispatch {

namespace {

/** Cores that one accelerator is equivalent to when lost work is weighed. */
constexpr double kCoresPerAccelerator = 8.0;
/**
 * A step without a guarantee may discard at most this multiple of its own work,
 * because it gains only the difference between finishing on time and late.
 */
constexpr double kWasteLimit = 0.5;
/** Run time that a checkpointing task loses when it is stopped. */
constexpr base::Duration kCheckpointLoss = std::chrono::milliseconds(500);

/** A preemption candidate: tasks that end together if one is stopped. */
struct Victim
{
  Step* step = nullptr;
  std::vector<std::uint32_t> tasks;
  /** Core-seconds of lost work. */
  double cost = 0;
  bool isChosen = false;
};

/** Core-seconds of work that one task does in the given time. */
double
WorkOf(const job::StepSpec& aSpec, base::Duration aTime)
{
  const double cores = aSpec.need.milliCores / 1000.0 +
                       kCoresPerAccelerator * aSpec.need.accelerators;
  return cores * std::chrono::duration<double>(aTime).count();
}

/** Core-seconds of work that is lost if the task is stopped. */
double
CostOf(const job::StepSpec& aSpec, base::Duration aElapsed)
{
  return WorkOf(aSpec,
                aSpec.isCheckpointing ? std::min(aElapsed, kCheckpointLoss)
                                      : aElapsed);
}

} // namespace

bool
Dispatcher::State::Preempt(const Candidate& aCandidate, std::uint32_t aCount)
{
  const auto usable = this->UsableWorkers(aCandidate);
  const job::StepSpec& spec = aCandidate.Spec();
  auto available = this->ToPackingWorkers(usable, *aCandidate.step, spec);
  std::map<base::AgentId, std::size_t> workerIndices;
  for (std::size_t i = 0; i < usable.size(); ++i) {
    workerIndices[usable[i]->agent] = i;
  }
  std::vector<Victim> victims;
  for (auto& [id, job] : this->jobs) {
    const bool isUrgent = job.spec->urgency == 0;
    const bool mayBePreempted = !this->guaranteedJobs.contains(id) &&
                                (aCandidate.isGuaranteed || !isUrgent);
    for (auto& [key, step] : job.steps) {
      const auto& stepSpec = job.spec->steps[key.second];
      Victim gang{ &step, {}, 0, false };
      for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
        const Task& task = step.tasks[i];
        const bool isRunning =
          task.phase == Phase::Ordered || task.phase == Phase::Running;
        // A task that was preempted before is preempted again only for a
        // guarantee; otherwise its work could be discarded run after run.
        const bool isProtected =
          task.preemptions > 0 && !aCandidate.isGuaranteed;
        if (!mayBePreempted || !isRunning || isProtected ||
            !workerIndices.contains(task.agent)) {
          continue;
        }
        const double cost =
          CostOf(stepSpec, this->callTime.now - task.startedAt);
        if (stepSpec.isGang) {
          gang.tasks.push_back(i);
          gang.cost += cost;
        } else {
          victims.push_back({ &step, { i }, cost, false });
        }
      }
      if (!gang.tasks.empty()) {
        victims.push_back(std::move(gang));
      }
    }
  }
  // Resources of tasks that are already stopping count as available.
  for (std::size_t i = 0; i < usable.size(); ++i) {
    for (const auto& [run, need] : usable[i]->allocations) {
      const Task* task = this->FindRun(run);
      if (task == nullptr || !task->IsOnWorker() ||
          task->phase == Phase::Stopping) {
        available[i].free += need;
      }
    }
  }
  const auto setFreed = [&](const Victim& aVictim, bool aIsFreed) {
    const fleet::TaskResources need = RequiredResources(
      this->FindJob(aVictim.step->id.job)->spec->steps[aVictim.step->id.step]);
    for (const std::uint32_t index : aVictim.tasks) {
      auto& worker =
        available[workerIndices[aVictim.step->tasks[index].agent]].free;
      if (aIsFreed) {
        worker += need;
      } else {
        worker -= need;
      }
    }
  };
  std::sort(victims.begin(),
            victims.end(),
            [](const Victim& aLeft, const Victim& aRight) {
              return aLeft.cost < aRight.cost;
            });
  auto chosen = this->Pack(usable, aCandidate, aCount, available);
  for (Victim& victim : victims) {
    if (chosen) {
      break;
    }
    victim.isChosen = true;
    setFreed(victim, true);
    chosen = this->Pack(usable, aCandidate, aCount, available);
  }
  if (!chosen) {
    return false;
  }
  // Drops victims that turn out to be unnecessary, most expensive first.
  for (auto victim = victims.rbegin(); victim != victims.rend(); ++victim) {
    if (!victim->isChosen) {
      continue;
    }
    setFreed(*victim, false);
    if (auto reduced = this->Pack(usable, aCandidate, aCount, available)) {
      victim->isChosen = false;
      chosen = std::move(reduced);
    } else {
      setFreed(*victim, true);
    }
  }
  const double wasteLimit =
    aCandidate.isGuaranteed
      ? std::numeric_limits<double>::infinity()
      : kWasteLimit * WorkOf(spec, spec.estimate) * aCount;
  double waste = 0;
  for (const Victim& victim : victims) {
    waste += victim.isChosen ? victim.cost : 0;
  }
  if (waste > wasteLimit) {
    return false;
  }
  Reservation reservation;
  reservation.until = this->callTime.now;
  for (const Worker* worker : *chosen) {
    reservation.workers.insert(worker->agent);
  }
  this->reservations.push_back(std::move(reservation));
  for (const Victim& victim : victims) {
    if (victim.isChosen) {
      for (const std::uint32_t index : victim.tasks) {
        ++victim.step->tasks[index].preemptions;
        this->RequestStop(*victim.step,
                          index,
                          aCandidate.isGuaranteed ? "reclaimed for a guarantee"
                                                  : "preempted by urgent work");
      }
    }
  }
  return true;
}

} // namespace amaranthwind::dispatch
