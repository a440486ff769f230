#include "amaranthwind/scheduling/HealthTracker.h"

#include <algorithm>

namespace amaranthwind::scheduling {
namespace {

/**
 * A kind of work that fails on this many workers without a success in between
 * is considered faulty itself.
 */
constexpr std::size_t kFailingWorkersForFaultyKind = 3;
/**
 * Failure score that isolates a worker even if other jobs succeed on it. A
 * failure of a job that succeeded elsewhere adds 1.
 */
constexpr double kScoreToIsolate = 2;
/**
 * With this decay, a worker on which fewer than one in five jobs fail is not
 * isolated; isolating it would not be worthwhile.
 */
constexpr double kScoreDecayPerSuccess = 0.25;

} // namespace

HealthTracker::HealthTracker(const HealthSettings& aSettings)
  : settings(aSettings)
{
}

void
HealthTracker::Reset(fleet::WorkerIndex aWorker)
{
  this->At(aWorker) = Row{};
  std::erase(this->isolated, aWorker);
}

bool
HealthTracker::AddFailure(base::TimePoint aNow,
                          fleet::WorkerIndex aWorker,
                          RunTimeIndex aWorkKind)
{
  if (aWorkKind >= this->workKinds.size()) {
    this->workKinds.resize(aWorkKind + 1);
  }
  std::vector<fleet::WorkerIndex>& failedOn =
    this->workKinds[aWorkKind].failedOn;
  if (std::find(failedOn.begin(), failedOn.end(), aWorker) == failedOn.end() &&
      failedOn.size() < kFailingWorkersForFaultyKind) {
    failedOn.push_back(aWorker);
  }
  Row& row = this->At(aWorker);
  if (failedOn.size() >= kFailingWorkersForFaultyKind ||
      row.health != WorkerHealth::Healthy ||
      ++row.consecutiveFailures < this->settings.failuresToIsolate) {
    return false;
  }
  this->Isolate(aNow, aWorker);
  return true;
}

void
HealthTracker::AddSuccess(fleet::WorkerIndex aWorker)
{
  Row& row = this->At(aWorker);
  row.consecutiveFailures = 0;
  row.failureScore = std::max(0.0, row.failureScore - kScoreDecayPerSuccess);
}

void
HealthTracker::AddWorkKindSuccess(RunTimeIndex aWorkKind)
{
  if (aWorkKind < this->workKinds.size()) {
    this->workKinds[aWorkKind].failedOn.clear();
  }
}

bool
HealthTracker::AddConfirmedFailure(base::TimePoint aNow,
                                   fleet::WorkerIndex aWorker)
{
  Row& row = this->At(aWorker);
  row.failureScore += 1;
  if (row.health != WorkerHealth::Healthy ||
      row.failureScore < kScoreToIsolate) {
    return false;
  }
  this->Isolate(aNow, aWorker);
  return true;
}

void
HealthTracker::RetractFailure(fleet::WorkerIndex aWorker)
{
  Row& row = this->At(aWorker);
  row.consecutiveFailures -= row.consecutiveFailures == 0 ? 0 : 1;
}

WorkerHealth
HealthTracker::Health(fleet::WorkerIndex aWorker) const
{
  return aWorker < this->rows.size() ? this->rows[aWorker].health
                                     : WorkerHealth::Healthy;
}

base::TimePoint
HealthTracker::IsolatedUntil(fleet::WorkerIndex aWorker) const
{
  return this->rows[aWorker].until;
}

void
HealthTracker::StartProbations(base::TimePoint aNow,
                               std::vector<fleet::WorkerIndex>& aWorkers)
{
  aWorkers.clear();
  for (const fleet::WorkerIndex worker : this->isolated) {
    Row& row = this->rows[worker];
    if (row.health == WorkerHealth::Isolated && row.until <= aNow) {
      row.health = WorkerHealth::Probation;
      aWorkers.push_back(worker);
    }
  }
}

void
HealthTracker::EndTrial(base::TimePoint aNow,
                        fleet::WorkerIndex aWorker,
                        bool aHasSucceeded)
{
  if (aHasSucceeded) {
    this->Reset(aWorker);
  } else {
    this->Isolate(aNow, aWorker);
  }
}

void
HealthTracker::Isolate(base::TimePoint aNow, fleet::WorkerIndex aWorker)
{
  Row& row = this->At(aWorker);
  row.isolation = row.isolation == base::Duration{}
                    ? this->settings.initialIsolation
                    : std::min(row.isolation * 2, this->settings.maxIsolation);
  row.until = aNow + row.isolation;
  row.health = WorkerHealth::Isolated;
  row.consecutiveFailures = 0;
  row.failureScore = 0;
  if (std::find(this->isolated.begin(), this->isolated.end(), aWorker) ==
      this->isolated.end()) {
    this->isolated.push_back(aWorker);
  }
}

HealthTracker::Row&
HealthTracker::At(fleet::WorkerIndex aWorker)
{
  if (aWorker >= this->rows.size()) {
    this->rows.resize(aWorker + 1);
  }
  return this->rows[aWorker];
}

} // namespace amaranthwind::scheduling
