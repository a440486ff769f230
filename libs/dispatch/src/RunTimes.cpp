// Run times and speeds that are learned from the runs.

#include "DispatchState.h"

#include <algorithm>
#include <utility>

namespace amaranthwind::dispatch {

namespace {

/** Progress below this says too little of the speed of a run. */
constexpr std::uint32_t kMinProgressPercent = 10;
constexpr std::uint32_t kAllPercent = 100;
/** Progress from which the speed of a run is evidence of that of its worker. */
constexpr std::uint32_t kLearnedProgressPercent = 40;
/** A run is assumed to need at least this part of its run time more. */
constexpr int kMinRemainingDivisor = 20;
/** Longer than workers take to report progress, some half a second. */
constexpr base::Duration kMaxProgressAge = std::chrono::milliseconds(1500);

base::Duration
Scaled(base::Duration aDuration, double aFactor)
{
  return std::chrono::duration_cast<base::Duration>(
    std::chrono::duration<double>(aDuration) * aFactor);
}

estimation::WorkloadKey
WorkloadOf(const job::WorkflowSpec& aSpec)
{
  return { aSpec.account, aSpec.kind };
}

} // namespace

void
Dispatcher::State::BeginProgress(Task& aTask) const
{
  if (!aTask.isResumed) {
    aTask.firstProgress = ProgressMark{ this->callTime.now, 0 };
  }
}

void
Dispatcher::State::OnProgress(const Worker& aWorker,
                              Step& aStep,
                              std::uint32_t aIndex,
                              std::uint32_t aPercent)
{
  if (this->runTimes == nullptr || aPercent == 0) {
    return;
  }
  Task& task = aStep.tasks[aIndex];
  const ProgressMark mark{ aWorker.reportedAt, aPercent };
  if (!task.firstProgress) {
    task.firstProgress = mark;
    return;
  }
  // A report repeats the percentage that the worker has listed last.
  const ProgressMark& known =
    task.lastProgress ? *task.lastProgress : *task.firstProgress;
  if (aPercent <= known.percent || mark.at <= known.at) {
    return;
  }
  task.lastProgress = mark;
  const std::uint32_t progress = aPercent - task.firstProgress->percent;
  if (progress >= kLearnedProgressPercent && aPercent < kAllPercent &&
      !std::exchange(task.isProgressLearned, true)) {
    estimation::RunObservation run = this->Observe(aWorker, aStep, aIndex);
    run.elapsed = (mark.at - task.firstProgress->at) * kAllPercent / progress;
    this->runTimes->OnProgress(run, this->callTime.now);
  }
}

estimation::RunObservation
Dispatcher::State::Observe(const Worker& aWorker,
                           const Step& aStep,
                           std::uint32_t aIndex) const
{
  const job::WorkflowSpec& spec = *this->jobs.at(aStep.id.job).spec;
  const job::StepSpec& step = spec.steps[aStep.id.step];
  estimation::RunObservation run;
  run.workload = WorkloadOf(spec);
  run.step = aStep.id;
  run.worker = aWorker.agent;
  run.estimate = step.estimate;
  run.stepTasks = step.isGang ? 1 : step.count;
  run.isGangMember = step.isGang;
  run.slowdown = this->SlowdownOf(aStep, aStep.tasks[aIndex], aWorker);
  if (!step.isGang) {
    run.slowdown /= this->SlownessOf(aWorker); // The learner knows it.
  }
  return run;
}

double
Dispatcher::State::SlownessOf(const Worker& aWorker) const
{
  return this->UsesSpeeds() ? this->runTimes->SlownessOf(aWorker.agent) : 1.0;
}

bool
Dispatcher::State::UsesSpeeds() const
{
  return this->runTimes != nullptr && this->runTimes->HasUnevenWorkers();
}

double
Dispatcher::State::SlownessOfGang(const Step& aStep) const
{
  double slowest = 0;
  for (const Task& task : aStep.tasks) {
    const auto worker = this->workers.find(task.agent);
    slowest = std::max(
      slowest,
      worker == this->workers.end() ? 1.0 : this->SlownessOf(worker->second));
  }
  return slowest > 0 ? slowest : 1.0;
}

double
Dispatcher::State::SlowdownOf(const Step& aStep,
                              const Task& aTask,
                              const Worker& aWorker) const
{
  const auto job = this->jobs.find(aStep.id.job);
  const job::StepSpec& spec = job->second.spec->steps[aStep.id.step];
  const auto rackOf = [this](const Task& aOther) {
    const auto found = this->workers.find(aOther.agent);
    return found == this->workers.end() || !found->second.info
             ? base::RackId()
             : found->second.info->rack;
  };
  if (!spec.isGang && spec.dataRack.IsEmpty()) {
    return this->SlownessOf(aWorker);
  }
  const base::RackId rack = rackOf(aTask);
  const bool isAwayFromData = !spec.dataRack.IsEmpty() && rack != spec.dataRack;
  const bool isSpread =
    spec.isGang && spec.prefersOneRack &&
    std::any_of(aStep.tasks.begin(),
                aStep.tasks.end(),
                [&](const Task& aOther) { return rackOf(aOther) != rack; });
  const double speed =
    spec.isGang ? this->SlownessOfGang(aStep) : this->SlownessOf(aWorker);
  return speed * (isAwayFromData || isSpread ? kRemoteSlowdown : 1.0);
}

void
Dispatcher::State::LearnFrom(const Worker& aWorker,
                             const Step& aStep,
                             std::uint32_t aIndex,
                             EndKind aKind)
{
  const Task& task = aStep.tasks[aIndex];
  // Without its start, the time of the run is not known; one that resumed did
  // only a part of the work.
  if (this->runTimes == nullptr || !task.firstProgress || task.isResumed ||
      task.firstProgress->percent > 0) {
    return;
  }
  const job::WorkflowSpec& spec = *this->FindJob(aStep.id.job)->spec;
  if (spec.steps[aStep.id.step].isLongRunning) {
    return;
  }
  estimation::RunObservation run = this->Observe(aWorker, aStep, aIndex);
  run.elapsed = this->callTime.now - task.firstProgress->at;
  if (aKind == EndKind::Done) {
    this->observer.OnRunTimeLearned(
      { Scaled(run.elapsed, 1 / this->SlowdownOf(aStep, task, aWorker)),
        run.estimate,
        this->ExpectedRunTime(spec, aStep.id.step) });
    this->runTimes->OnCompleted(run, this->callTime.now);
  } else if (aKind != EndKind::Failed) {
    // Each member of a gang reports an end of its own.
    run.stepTasks = spec.steps[aStep.id.step].count;
    this->runTimes->OnInterrupted(run, this->callTime.now);
  }
}

base::Duration
Dispatcher::State::ExpectedRunTime(const job::WorkflowSpec& aSpec,
                                   std::uint32_t aStep) const
{
  const base::Duration estimate = aSpec.steps[aStep].estimate;
  if (this->runTimes == nullptr) {
    return estimate;
  }
  const auto prediction = this->runTimes->Predict(WorkloadOf(aSpec), estimate);
  return prediction ? prediction->Median() : base::Duration::zero();
}

base::Duration
Dispatcher::State::ExpectedPath(const Job& aJob) const
{
  if (this->runTimes == nullptr) {
    return aJob.criticalPath;
  }
  std::vector<base::Duration> runTimes;
  for (std::uint32_t i = 0; i < aJob.spec->steps.size(); ++i) {
    runTimes.push_back(this->ExpectedRunTime(*aJob.spec, i));
  }
  return LongestChain(*aJob.spec, runTimes);
}

std::optional<base::Duration>
Dispatcher::State::MeasuredRemaining(const Task& aTask) const
{
  const auto& first = aTask.firstProgress;
  const auto& last = aTask.lastProgress;
  if (!first || !last || last->percent >= kAllPercent ||
      last->percent < first->percent + kMinProgressPercent) {
    return std::nullopt;
  }
  const base::Duration left = (last->at - first->at) *
                              (kAllPercent - last->percent) /
                              (last->percent - first->percent);
  const base::Duration since = this->callTime.now - last->at;
  if (since > std::max(2 * left, kMaxProgressAge)) {
    // The run has stopped making progress; its end is not near.
    return std::nullopt;
  }
  return std::max(left - since, left / kMinRemainingDivisor);
}

std::optional<base::Duration>
Dispatcher::State::ExpectedRemaining(const Worker& aWorker,
                                     const Step& aStep,
                                     const Task& aTask) const
{
  if (aStep.predictedAt != this->callTime.now) {
    const job::WorkflowSpec& spec = *this->jobs.at(aStep.id.job).spec;
    aStep.prediction = this->runTimes->Predict(
      WorkloadOf(spec), spec.steps[aStep.id.step].estimate);
    aStep.gangSlowdown = spec.steps[aStep.id.step].isGang
                           ? this->SlowdownOf(aStep, aTask, aWorker)
                           : 0.0;
    aStep.predictedAt = this->callTime.now;
  }
  const auto& prediction = aStep.prediction;
  if (!prediction) {
    return std::nullopt;
  }
  const double slowdown = aStep.gangSlowdown > 0
                            ? aStep.gangSlowdown
                            : this->SlowdownOf(aStep, aTask, aWorker);
  const base::Duration elapsed = this->callTime.now - aTask.startedAt;
  const base::Duration total =
    Scaled(prediction->MedianAfter(Scaled(elapsed, 1 / slowdown)), slowdown);
  // A run that is long overdue is expected to take as long again as it is
  // overdue, as without predictions: longer and longer jobs pass a step that
  // waits for a run that may never end.
  return std::max({ total - elapsed,
                    total / kMinRemainingDivisor,
                    elapsed - Scaled(prediction->High(), slowdown) });
}

} // namespace amaranthwind::dispatch
