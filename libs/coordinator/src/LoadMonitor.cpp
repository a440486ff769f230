#include "LoadMonitor.h"

#include <algorithm>
#include <string>
#include <string_view>

namespace amaranthwind::coordinator {

using namespace std::chrono_literals;

namespace {

constexpr std::array<double, 12> kTimeBounds{ 0.0003, 0.001, 0.003, 0.01,
                                              0.03,   0.1,   0.3,   1.0,
                                              2.0,    4.0,   8.0,   15.0 };
constexpr std::array<std::string_view, kDecisionWorkCount> kWorkNames{
  "report", "outcome", "record", "persisted", "tick", "pass", "encode", "ends"
};
constexpr base::Duration kSummaryInterval = 2s;
/** Queueing time from which messages are handled too late to answer in time. */
constexpr base::Duration kDelayedThreshold = 1s;
/** Hysteresis: the delay below which the decision thread has caught up. */
constexpr base::Duration kCaughtUpThreshold = 200ms;

std::int64_t
ToMs(base::Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

} // namespace

LoadMonitor::LoadMonitor(const base::Clock& aClock,
                         telemetry::Logger& aLogger,
                         telemetry::Metrics& aMetrics)
  : clock(aClock)
  , logger(aLogger)
  , queueTime(aMetrics.MakeHistogram(
      { "decision_queue_seconds",
        "From the receipt of an agent's message to its handling." },
      kTimeBounds))
  , queueLength(aMetrics.MakeGauge(
      { "decision_queue_length",
        "Messages of agents that wait for the decision thread." }))
  , durableTime(aMetrics.MakeHistogram(
      { "decision_durable_seconds",
        "From a decision to the durability of its records." },
      kTimeBounds))
  , recordBytes(aMetrics.MakeCounter(
      { "step_record_bytes_total", "Bytes of step records written." }))
  , summaryStart(aClock.Now())
{
  for (std::size_t i = 0; i < kDecisionWorkCount; ++i) {
    const telemetry::MetricLabel labels[] = { { "work", kWorkNames[i] } };
    this->workTime[i] = aMetrics.MakeHistogram(
      { "decision_seconds", "Time of the decision thread by kind of work." },
      kTimeBounds,
      labels);
  }
}

void
LoadMonitor::OnQueued() noexcept
{
  this->queueLength.Set(static_cast<double>(
    this->queued.fetch_add(1, std::memory_order_relaxed) + 1));
}

void
LoadMonitor::OnHandled(base::TimePoint aReceivedAt)
{
  this->queueLength.Set(static_cast<double>(
    this->queued.fetch_sub(1, std::memory_order_relaxed) - 1));
  const base::Duration delay = this->clock.Now() - aReceivedAt;
  this->queueTime.Observe(delay);
  this->summary.maxDelay = std::max(this->summary.maxDelay, delay);
  this->UpdateDelayed(delay);
}

void
LoadMonitor::UpdateDelayed(base::Duration aDelay)
{
  const bool isNowDelayed =
    aDelay > (this->isDelayed ? kCaughtUpThreshold : kDelayedThreshold);
  if (isNowDelayed == this->isDelayed) {
    return;
  }
  this->isDelayed = isNowDelayed;
  this->logger.Warning(
    isNowDelayed ? "decisions delayed" : "decisions on time again",
    { { "delayMs", ToMs(aDelay) }, { "queued", this->queued.load() } });
}

void
LoadMonitor::OnDurable(base::TimePoint aDecidedAt, std::size_t aBytes)
{
  const base::Duration time = this->clock.Now() - aDecidedAt;
  this->durableTime.Observe(time);
  this->recordBytes.Increment(static_cast<double>(aBytes));
  this->summary.maxDurableTime = std::max(this->summary.maxDurableTime, time);
  this->summary.recordBytes += aBytes;
}

void
LoadMonitor::OnAppendFailed(const journal::AppendFailure& aFailure)
{
  this->logger.Warning("append failed",
                       { { "error", base::Describe(aFailure.error) },
                         { "attempt", aFailure.attempt },
                         { "records", aFailure.records },
                         { "bytes", aFailure.bytes } });
}

void
LoadMonitor::OnCheckpointsLeftOut(const job::StepId& aStep, std::size_t aBytes)
{
  this->logger.Warning("checkpoints left out: record is too large",
                       { { "job", aStep.job },
                         { "occurrence", aStep.occurrence },
                         { "step", aStep.step },
                         { "bytes", aBytes } });
}

void
LoadMonitor::OnRecordsReturned(std::size_t aWaiting, std::size_t aUnconfirmed)
{
  this->logger.Warning(
    "records of callers returned: log stalls",
    { { "waiting", aWaiting }, { "unconfirmed", aUnconfirmed } });
}

void
LoadMonitor::Summarize(base::Duration aJobsAge, std::size_t aWaitingOrders)
{
  const base::TimePoint now = this->clock.Now();
  if (now - this->summaryStart < kSummaryInterval) {
    return;
  }
  const auto& work = this->summary.work;
  const auto describe = [&](DecisionWork aWork) {
    const WorkTotal& total = work[static_cast<std::size_t>(aWork)];
    return std::to_string(total.count) + "/" + std::to_string(ToMs(total.time));
  };
  this->logger.Info("decision load",
                    { { "windowMs", ToMs(now - this->summaryStart) },
                      { "queued", this->queued.load() },
                      { "maxDelayMs", ToMs(this->summary.maxDelay) },
                      { "maxDurableMs", ToMs(this->summary.maxDurableTime) },
                      { "jobsAgeMs", ToMs(aJobsAge) },
                      { "waitingOrders", aWaitingOrders },
                      { "recordBytes", this->summary.recordBytes },
                      // Count and milliseconds.
                      { "reports", describe(DecisionWork::Report) },
                      { "outcomes", describe(DecisionWork::Outcome) },
                      { "records", describe(DecisionWork::JobRecord) },
                      { "persisted", describe(DecisionWork::Persisted) },
                      { "ticks", describe(DecisionWork::Tick) },
                      { "passes", describe(DecisionWork::Pass) },
                      { "encodes", describe(DecisionWork::Encode) } });
  this->summary = {};
  this->summaryStart = now;
}

LoadMonitor::Measurement::Measurement(LoadMonitor& aMonitor, DecisionWork aWork)
  : monitor(aMonitor)
  , work(aWork)
  , start(aMonitor.clock.Now())
{
}

LoadMonitor::Measurement::~Measurement()
{
  const base::Duration time = this->monitor.clock.Now() - this->start;
  const auto index = static_cast<std::size_t>(this->work);
  this->monitor.workTime[index].Observe(time);
  WorkTotal& total = this->monitor.summary.work[index];
  ++total.count;
  total.time += time;
}

} // namespace amaranthwind::coordinator
