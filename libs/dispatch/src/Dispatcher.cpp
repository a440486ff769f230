#include "amaranthwind/dispatch/Dispatcher.h"

#include "DispatchState.h"

#include <algorithm>
#include <utility>

namespace amaranthwind::dispatch {

Dispatcher::Dispatcher(const DispatcherOptions& aOptions,
                       const ledger::JobTable& aJobs,
                       std::unique_ptr<Packing> aPacking,
                       DispatchObserver& aObserver,
                       const ClockReading& aNow,
                       std::unique_ptr<estimation::RunTimeLearner> aRunTimes)
  : state(std::make_unique<State>(aOptions,
                                  std::move(aPacking),
                                  aObserver,
                                  std::move(aRunTimes)))
{
  this->state->callTime = aNow;
  this->state->inheritedGrantsExpireAt =
    aNow.now + aOptions.inheritedGrantDuration;
  aJobs.ForEach([this](const base::JobId&, const ledger::JobEntry& aEntry) {
    this->state->Restore(aEntry);
  });
  aJobs.ForEachEarlyCancellation(
    [this](const base::JobId& aId, const ledger::JobEntry&) {
      this->state->earlyCancellations.emplace(aId, this->state->callTime.now);
    });
  aJobs.ForEachOrphan(
    [this](const base::JobId& aId, const ledger::JobEntry& aEntry) {
      ForgetJob& orphan = this->state->orphans.emplace_back();
      orphan.job = aId;
      for (const auto& [key, record] : aEntry.steps) {
        orphan.steps.push_back(record.id);
      }
    });
}

Dispatcher::~Dispatcher() = default;

namespace {

/** Scope of one call: sets the current time and collects the effects. */
class CallScope
{
public:
  CallScope(ClockReading& aStored, Effects& aEffects, const ClockReading& aNow)
    : effects(aEffects)
  {
    aStored = aNow;
    this->effects.clear();
  }
  Effects Finish() { return std::exchange(this->effects, {}); }

private:
  Effects& effects;
};

} // namespace

Effects
Dispatcher::OnJob(const ledger::JobEntry& aJob, const ClockReading& aNow)
{
  CallScope call(this->state->callTime, this->state->effects, aNow);
  this->state->Add(aJob);
  return call.Finish();
}

void
Dispatcher::OnEarlyCancellation(const base::JobId& aJob,
                                const ClockReading& aNow)
{
  this->state->earlyCancellations.emplace(aJob, aNow.now);
}

Effects
Dispatcher::OnGuarantees(std::span<const AccountGuarantee> aGuarantees,
                         const ClockReading& aNow)
{
  CallScope call(this->state->callTime, this->state->effects, aNow);
  this->state->guarantees.clear();
  for (const auto& each : aGuarantees) {
    this->state->guarantees[each.account] = each.accelerators;
  }
  this->state->mustSchedule = true;
  return call.Finish();
}

Effects
Dispatcher::OnReport(const WorkerReport& aReport,
                     SessionId aSession,
                     const ClockReading& aNow,
                     base::Duration aQueueTime)
{
  CallScope call(this->state->callTime, this->state->effects, aNow);
  this->state->HandleReport(aReport, aSession, aQueueTime);
  return call.Finish();
}

Effects
Dispatcher::OnOutcome(const base::AgentId& aAgent,
                      SessionId aSession,
                      const ledger::WorkerIncarnation& aIncarnation,
                      const job::TaskRun& aRun,
                      OrderOutcome aOutcome,
                      const ClockReading& aNow)
{
  CallScope call(this->state->callTime, this->state->effects, aNow);
  const auto found = this->state->workers.find(aAgent);
  if (found != this->state->workers.end() &&
      aSession >= found->second.session && found->second.info &&
      found->second.info->life == aIncarnation) {
    this->state->HandleOutcome(found->second, aRun, aOutcome);
  }
  return call.Finish();
}

Effects
Dispatcher::OnRecordedEnds(const EndRecord& aRecord,
                           const EndRecordId& aId,
                           const ClockReading& aNow)
{
  CallScope call(this->state->callTime, this->state->effects, aNow);
  this->state->HandleRecordedEnds(aRecord);
  this->state->unwrittenDeletions.push_back({ aId });
  return call.Finish();
}

Effects
Dispatcher::OnEndsConfirmed(base::TimePoint aAsOf, const ClockReading& aNow)
{
  CallScope call(this->state->callTime, this->state->effects, aNow);
  auto& known = this->state->endsAsOf;
  if (!known || *known < this->state->lastReleaseAt) {
    this->state->mustSchedule = true;
  }
  known = std::max(known.value_or(aAsOf), aAsOf);
  this->state->RecordReleases();
  return call.Finish();
}

Effects
Dispatcher::OnPersisted(std::uint64_t aVersion, const ClockReading& aNow)
{
  CallScope call(this->state->callTime, this->state->effects, aNow);
  this->state->persistedVersion = aVersion;
  this->state->SendReadyOrders();
  this->state->AcknowledgeDurableEnds();
  return call.Finish();
}

void
Dispatcher::OnPredecessorSteppedDown(base::Duration aBound,
                                     const ClockReading& aNow)
{
  this->state->inheritedGrantsExpireAt =
    std::min(this->state->inheritedGrantsExpireAt, aNow.now + aBound);
}

Effects
Dispatcher::OnJobsConfirmed(base::TimePoint aAsOf, const ClockReading& aNow)
{
  CallScope call(this->state->callTime, this->state->effects, aNow);
  this->state->jobsAsOf = std::max(this->state->jobsAsOf, aAsOf);
  this->state->SendReadyOrders();
  return call.Finish();
}

Effects
Dispatcher::OnEvacuations(std::span<const base::ZoneId> aZones,
                          base::TimePoint aAsOf,
                          const ClockReading& aNow)
{
  CallScope call(this->state->callTime, this->state->effects, aNow);
  if (this->state->options.maxEvacuationAge) {
    this->state->Evacuate(aZones, aAsOf);
    this->state->SendReadyOrders();
  }
  return call.Finish();
}

Effects
Dispatcher::OnTick(const ClockReading& aNow)
{
  CallScope call(this->state->callTime, this->state->effects, aNow);
  this->state->ExpireSilentWorkers();
  this->state->ExpireInheritedTasks();
  this->state->ForgetOldJobs();
  this->state->lateStarts.ForgetOld(aNow.now);
  if (this->state->runTimes != nullptr) {
    this->state->runTimes->OnTick(aNow.now);
  }
  // Waiting times, objectives and due times change without an event.
  this->state->mustSchedule = true;
  return call.Finish();
}

bool
Dispatcher::NeedsSchedule(const ClockReading& aNow)
{
  this->state->callTime = aNow;
  return this->state->mustSchedule && this->state->endsAsOf.has_value() &&
         this->state->AreInputsRecent();
}

Effects
Dispatcher::Schedule(const ClockReading& aNow)
{
  CallScope call(this->state->callTime, this->state->effects, aNow);
  this->state->mustSchedule = false;
  this->state->Schedule();
  return call.Finish();
}

Effects
Dispatcher::Commit(const ClockReading& aNow)
{
  CallScope call(this->state->callTime, this->state->effects, aNow);
  this->state->FlushWrites();
  this->state->SendReadyOrders();
  this->state->AcknowledgeDurableEnds();
  return call.Finish();
}

std::optional<estimation::LearnedSummary>
Dispatcher::Learned() const
{
  return this->state->runTimes == nullptr
           ? std::nullopt
           : std::optional(this->state->runTimes->Summarize());
}

Dispatcher::Counts
Dispatcher::Count() const
{
  Counts counts;
  counts.evacuatedZones = this->state->evacuatedZones.size();
  counts.waitingOrders = this->state->unwrittenPlacements.size() +
                         this->state->pendingPlacements.size();
  for (const auto& gang : this->state->readyGangs) {
    counts.waitingOrders += gang.size();
  }
  for (const auto& [id, job] : this->state->jobs) {
    counts.jobs += job.hasEnded ? 0 : 1;
  }
  for (const auto& [agent, worker] : this->state->workers) {
    counts.waitingOrders += worker.readyStarts.size();
    if (worker.info) {
      ++counts.workers;
      counts.tasksOnWorkers += worker.allocations.size();
      counts.accelerators += worker.info->capacity.accelerators;
      counts.freeAccelerators += worker.Free().accelerators;
    }
  }
  return counts;
}

} // namespace amaranthwind::dispatch
