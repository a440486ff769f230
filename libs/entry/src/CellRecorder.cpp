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
  this->acceptedJobs[aJob] = { aNow, aUrgency == 0 };
}

void
CellRecorder::OnStarted(const job::GangId& aGang,
                        bool aIsAborted,
                        base::TimePoint aNow)
{
  if (aIsAborted) {
    this->metrics.partialStarts.Increment();
  }
  const auto found = this->acceptedJobs.find(aGang.job);
  if (found != this->acceptedJobs.end() && found->second.isUrgent) {
    this->metrics.urgentStart.Observe(aNow - found->second.time);
    // The start of a later attempt is not the first start of the job.
    found->second.isUrgent = false;
  }
}

void
CellRecorder::OnPreempt(const scheduling::PreemptGang& aEffect,
                        base::TimePoint aNow)
{
  if (aEffect.reason == scheduling::StopReason::Cancelled ||
      !this->preemptedSince.try_emplace(aEffect.gang, aNow).second) {
    return;
  }
  this->metrics.preemptions.Increment();
  if (aEffect.reason == scheduling::StopReason::GuaranteeClaimed) {
    this->reclaimedGangs.insert(aEffect.gang);
  }
}

void
CellRecorder::OnAttemptEnded(const job::GangId& aGang,
                             gang::AttemptOutcome aOutcome,
                             base::TimePoint aNow)
{
  this->metrics.Attempts(ToResult(aOutcome)).Increment();
  const auto found = this->preemptedSince.find(aGang);
  if (found == this->preemptedSince.end()) {
    return;
  }
  if (this->reclaimedGangs.erase(aGang) > 0) {
    this->metrics.reclaimTime.Observe(aNow - found->second);
  }
  this->preemptedSince.erase(found);
}

void
CellRecorder::OnJobEnded(const base::JobId& aJob, base::TimePoint aNow)
{
  const auto found = this->acceptedJobs.find(aJob);
  if (found != this->acceptedJobs.end()) {
    this->metrics.jobCompletion.Observe(aNow - found->second.time);
    this->acceptedJobs.erase(found);
  }
}

void
CellRecorder::OnJobRefused(const base::JobId& aJob)
{
  this->acceptedJobs.erase(aJob);
}

void
CellRecorder::OnShortfall(const scheduling::ReportShortfall& aEffect)
{
  this->shortfallUnits[aEffect.account] = aEffect.units;
  std::uint64_t units = 0;
  for (const auto& [account, missing] : this->shortfallUnits) {
    units += missing;
  }
  this->metrics.guaranteeShortfall.Set(static_cast<double>(units));
}

void
CellRecorder::OnHealth(const scheduling::ChangeWorkerHealth& aEffect)
{
  if (aEffect.health == scheduling::WorkerHealth::Isolated) {
    this->isolatedWorkers.insert(aEffect.worker);
  } else {
    this->isolatedWorkers.erase(aEffect.worker);
  }
  this->metrics.isolatedWorkers.Set(
    static_cast<double>(this->isolatedWorkers.size()));
}

void
CellRecorder::OnStatus(const CellStatus& aStatus)
{
  const auto& usage = aStatus.usage;
  const auto free = static_cast<double>(aStatus.freeAccelerators);
  const auto fragmented = static_cast<double>(aStatus.fragmentedAccelerators);
  this->metrics.coordinator.Set(aStatus.isActing ? 1 : 0);
  this->metrics.queuedJobs.Set(usage.waitingJobs);
  // Only the coordinator knows which accelerators are in use.
  this->metrics.accelerators.Set(static_cast<double>(usage.accelerators));
  this->metrics.borrowedAccelerators.Set(static_cast<double>(usage.borrowed));
  this->metrics.freeAccelerators.Set(aStatus.isActing ? free : 0);
  const bool isFragmented = aStatus.isActing && free > 0;
  this->metrics.fragmentation.Set(isFragmented ? fragmented / free : 0);
}

void
CellRecorder::OnStopActing()
{
  this->acceptedJobs.clear();
  this->preemptedSince.clear();
  this->reclaimedGangs.clear();
  this->shortfallUnits.clear();
  this->isolatedWorkers.clear();
  this->metrics.guaranteeShortfall.Set(0);
  this->metrics.isolatedWorkers.Set(0);
}

} // namespace amaranthwind::entry
