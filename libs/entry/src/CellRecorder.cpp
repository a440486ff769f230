#include "CellRecorder.h"

namespace amaranthwind::entry {

namespace {

telemetry::GangResult
ToResult(gang::AttemptOutcome aOutcome)
{
  switch (aOutcome) {
    case gang::AttemptOutcome::Succeeded:
      return telemetry::GangResult::Succeeded;
    case gang::AttemptOutcome::Failed:
      return telemetry::GangResult::Failed;
    case gang::AttemptOutcome::Preempted:
      return telemetry::GangResult::Preempted;
    case gang::AttemptOutcome::NotRun:
      break;
  }
  return telemetry::GangResult::NotRun;
}

} // namespace

void
CellRecorder::OnAccepted(const base::JobId& aJob,
                         std::uint32_t aUrgency,
                         base::TimePoint aNow)
{
  this->accepted[aJob] = { aNow, aUrgency == 0 };
}

void
CellRecorder::OnStarted(const job::GangId& aGang,
                        bool aIsAborted,
                        base::TimePoint aNow)
{
  if (aIsAborted) {
    this->metrics.partialStarts.Increment();
  }
  const auto found = this->accepted.find(aGang.job);
  if (found != this->accepted.end() && found->second.isUrgent) {
    this->metrics.urgentStart.Observe(aNow - found->second.time);
    // A later attempt is no start of the job.
    found->second.isUrgent = false;
  }
}

void
CellRecorder::OnPreempt(const scheduling::PreemptGang& aEffect,
                        base::TimePoint aNow)
{
  if (aEffect.reason == scheduling::StopReason::Cancelled ||
      !this->preempted.try_emplace(aEffect.gang, aNow).second) {
    return;
  }
  this->metrics.preemptions.Increment();
  if (aEffect.reason == scheduling::StopReason::GuaranteeClaimed) {
    this->reclaimed.insert(aEffect.gang);
  }
}

void
CellRecorder::OnAttemptEnded(const job::GangId& aGang,
                             gang::AttemptOutcome aOutcome,
                             base::TimePoint aNow)
{
  this->metrics.Attempts(ToResult(aOutcome)).Increment();
  const auto found = this->preempted.find(aGang);
  if (found == this->preempted.end()) {
    return;
  }
  if (this->reclaimed.erase(aGang) > 0) {
    this->metrics.reclaimTime.Observe(aNow - found->second);
  }
  this->preempted.erase(found);
}

void
CellRecorder::OnJobEnded(const base::JobId& aJob, base::TimePoint aNow)
{
  const auto found = this->accepted.find(aJob);
  if (found != this->accepted.end()) {
    this->metrics.jobCompletion.Observe(aNow - found->second.time);
    this->accepted.erase(found);
  }
}

void
CellRecorder::OnJobRefused(const base::JobId& aJob)
{
  this->accepted.erase(aJob);
}

void
CellRecorder::OnShortfall(const scheduling::ReportShortfall& aEffect)
{
  this->shortfall[aEffect.account] = aEffect.units;
  std::uint64_t units = 0;
  for (const auto& [account, missing] : this->shortfall) {
    units += missing;
  }
  this->metrics.guaranteeShortfall.Set(static_cast<double>(units));
}

void
CellRecorder::OnHealth(const scheduling::ChangeWorkerHealth& aEffect)
{
  if (aEffect.health == scheduling::WorkerHealth::Isolated) {
    this->isolated.insert(aEffect.worker);
  } else {
    this->isolated.erase(aEffect.worker);
  }
  this->metrics.isolatedWorkers.Set(static_cast<double>(this->isolated.size()));
}

void
CellRecorder::OnStatus(const CellStatus& aStatus)
{
  const auto& usage = aStatus.usage;
  const auto free = static_cast<double>(aStatus.freeAccelerators);
  const auto scattered = static_cast<double>(aStatus.scatteredAccelerators);
  this->metrics.coordinator.Set(aStatus.isActing ? 1 : 0);
  this->metrics.queuedJobs.Set(usage.waitingJobs);
  // Only the coordinator knows what is in use.
  this->metrics.accelerators.Set(static_cast<double>(usage.accelerators));
  this->metrics.borrowedAccelerators.Set(static_cast<double>(usage.borrowed));
  this->metrics.freeAccelerators.Set(aStatus.isActing ? free : 0);
  const bool isFragmented = aStatus.isActing && free > 0;
  this->metrics.fragmentation.Set(isFragmented ? scattered / free : 0);
}

void
CellRecorder::OnStopActing()
{
  this->accepted.clear();
  this->preempted.clear();
  this->reclaimed.clear();
  this->shortfall.clear();
  this->isolated.clear();
  this->metrics.guaranteeShortfall.Set(0);
  this->metrics.isolatedWorkers.Set(0);
}

} // namespace amaranthwind::entry
