#include "DecisionLog.h"

#include <algorithm>
#include <array>
#include <chrono>

namespace amaranthwind::coordinator {

namespace {

constexpr std::array<double, 12> kTimeBounds{ 0.01, 0.03, 0.1, 0.3, 1,   2,
                                              4,    8,    15,  30,  100, 1000 };

constexpr std::array<double, 9> kErrorBounds{ 1.1, 1.2, 1.35, 1.5, 1.75,
                                              2,   2.5, 3,    5 };

/** Histogram of the error of what was expected by the given source. */
telemetry::Histogram
MakeErrorRatio(telemetry::Metrics& aMetrics, std::string_view aSource)
{
  const std::array labels{ telemetry::MetricLabel{ "expected", aSource } };
  return aMetrics.MakeHistogram(
    { "run_time_error_ratio",
      "Run time against what was expected, the larger to the smaller." },
    kErrorBounds,
    labels);
}

/** 1 for equal times, 2 if one is twice as long as the other. */
double
ErrorRatio(base::Duration aRunTime, base::Duration aExpected)
{
  const auto [shorter, longer] = std::minmax(aRunTime, aExpected);
  return std::chrono::duration<double>(longer) /
         std::chrono::duration<double>(shorter);
}

std::int64_t
ToMs(base::Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

} // namespace

std::string_view
ToText(dispatch::EndKind aKind) noexcept
{
  switch (aKind) {
    case dispatch::EndKind::Done:
      return "done";
    case dispatch::EndKind::Failed:
      return "failed";
    case dispatch::EndKind::Stopped:
      return "stopped";
    case dispatch::EndKind::Lapsed:
      return "lapsed";
    case dispatch::EndKind::Broken:
      return "broken";
    case dispatch::EndKind::Alone:
      break;
  }
  return "alone";
}

DecisionLog::DecisionLog(telemetry::Logger& aLogger,
                         telemetry::Metrics& aMetrics)
  : logger(aLogger)
  , placed(aMetrics.MakeCounter(
      { "tasks_placed_total", "Tasks that were given to a worker." }))
  , withdrawn(aMetrics.MakeCounter(
      { "placements_withdrawn_total",
        "Placements given up before their start was ordered." }))
  , ended(aMetrics.MakeCounter(
      { "tasks_ended_total", "Ends of tasks that workers reported." }))
  , stopped(aMetrics.MakeCounter(
      { "tasks_stopped_total", "Stops that were ordered." }))
  , lostWork(aMetrics.MakeCounter(
      { "stopped_core_seconds_total",
        "Work that stops are estimated to have lost, in core-seconds." }))
  , lost(aMetrics.MakeCounter(
      { "tasks_lost_total", "Tasks that were on a worker that was lost." }))
  , waitTime(
      aMetrics.MakeHistogram({ "task_wait_seconds", "From ready to placed." },
                             kTimeBounds))
  , jobTime(aMetrics.MakeHistogram(
      { "job_seconds", "From acceptance to the end of a job." },
      kTimeBounds))
  , estimateError(MakeErrorRatio(aMetrics, "estimate"))
  , predictionError(MakeErrorRatio(aMetrics, "prediction"))
{
}

void
DecisionLog::OnPlaced(const job::TaskRun& aRun,
                      const base::AgentId& aAgent,
                      base::Duration aWaited)
{
  this->placed.Increment();
  this->waitTime.Observe(aWaited);
  this->logger.Info("task placed",
                    { { "job", aRun.task.step.job },
                      { "task", job::ToText(aRun.task) },
                      { "run", aRun.run },
                      { "agent", aAgent },
                      { "waitedMs", ToMs(aWaited) } });
}

void
DecisionLog::OnPlacementWithdrawn(const job::TaskRun& aRun,
                                  const base::AgentId& aAgent,
                                  std::string_view aReason)
{
  this->withdrawn.Increment();
  this->logger.Info("placement withdrawn",
                    { { "job", aRun.task.step.job },
                      { "task", job::ToText(aRun.task) },
                      { "run", aRun.run },
                      { "agent", aAgent },
                      { "reason", aReason } });
}

void
DecisionLog::OnRunTimeLearned(const dispatch::RunTimeOutcome& aOutcome)
{
  if (aOutcome.runTime <= base::Duration::zero()) {
    return;
  }
  if (aOutcome.estimate > base::Duration::zero()) {
    this->estimateError.Observe(
      ErrorRatio(aOutcome.runTime, aOutcome.estimate));
  }
  if (aOutcome.prediction > base::Duration::zero()) {
    this->predictionError.Observe(
      ErrorRatio(aOutcome.runTime, aOutcome.prediction));
  }
  this->logger.Debug("run time learned",
                     { { "runMs", ToMs(aOutcome.runTime) },
                       { "estimateMs", ToMs(aOutcome.estimate) },
                       { "predictedMs", ToMs(aOutcome.prediction) } });
}

void
DecisionLog::OnStartRepeated(const job::TaskRun& aRun,
                             const base::AgentId& aAgent)
{
  this->logger.Info("repeating task start",
                    { { "job", aRun.task.step.job },
                      { "task", job::ToText(aRun.task) },
                      { "run", aRun.run },
                      { "agent", aAgent },
                      { "inputAgeMs", ToMs(this->inputAge) } });
}

void
DecisionLog::OnEnded(const job::TaskRun& aRun,
                     const base::AgentId& aAgent,
                     dispatch::EndKind aKind,
                     std::uint32_t aFailures)
{
  this->ended.Increment();
  this->logger.Info("task ended",
                    { { "job", aRun.task.step.job },
                      { "task", job::ToText(aRun.task) },
                      { "run", aRun.run },
                      { "agent", aAgent },
                      { "kind", ToText(aKind) },
                      { "failures", aFailures } });
}

void
DecisionLog::OnLateCompletion(const job::TaskRun& aRun,
                              const base::AgentId& aAgent,
                              std::uint32_t aLatest)
{
  this->logger.Warning("run completed after it was given up",
                       { { "job", aRun.task.step.job },
                         { "task", job::ToText(aRun.task) },
                         { "run", aRun.run },
                         { "latestRun", aLatest },
                         { "agent", aAgent },
                         { "inputAgeMs", ToMs(this->inputAge) } });
}

void
DecisionLog::OnEndIgnored(const job::TaskRun& aRun,
                          const base::AgentId& aAgent,
                          dispatch::EndKind aKind,
                          std::string_view aReason)
{
  this->logger.Info("task end ignored",
                    { { "job", aRun.task.step.job },
                      { "task", job::ToText(aRun.task) },
                      { "run", aRun.run },
                      { "agent", aAgent },
                      { "kind", ToText(aKind) },
                      { "reason", aReason },
                      { "inputAgeMs", ToMs(this->inputAge) } });
}

void
DecisionLog::OnStopping(const job::TaskRun& aRun,
                        const base::AgentId& aAgent,
                        std::string_view aReason,
                        double aLostWork)
{
  this->stopped.Increment();
  this->lostWork.Increment(aLostWork);
  this->logger.Info(
    "stopping task",
    { { "job", aRun.task.step.job },
      { "task", job::ToText(aRun.task) },
      { "run", aRun.run },
      { "agent", aAgent },
      { "reason", aReason },
      { "lostCoreSeconds", static_cast<std::int64_t>(aLostWork) },
      { "inputAgeMs", ToMs(this->inputAge) } });
}

void
DecisionLog::OnLost(const job::TaskRun& aRun, std::string_view aReason)
{
  this->lost.Increment();
  this->logger.Warning("task lost",
                       { { "job", aRun.task.step.job },
                         { "task", job::ToText(aRun.task) },
                         { "run", aRun.run },
                         { "reason", aReason },
                         { "inputAgeMs", ToMs(this->inputAge) } });
}

void
DecisionLog::OnWorkerChanged(const base::AgentId& aAgent,
                             std::string_view aChange)
{
  this->logger.Info("worker changed",
                    { { "agent", aAgent },
                      { "change", aChange },
                      { "inputAgeMs", ToMs(this->inputAge) } });
}

void
DecisionLog::OnJobEnded(const base::JobId& aJob,
                        std::string_view aOutcome,
                        base::Duration aAge)
{
  this->jobTime.Observe(aAge);
  this->logger.Info(
    "job ended",
    { { "job", aJob }, { "outcome", aOutcome }, { "ageMs", ToMs(aAge) } });
}

} // namespace amaranthwind::coordinator
