#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/job/TaskId.h"
#include "amaranthwind/journal/FencedWriter.h"
#include "amaranthwind/telemetry/Logger.h"
#include "amaranthwind/telemetry/Metrics.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace amaranthwind::coordinator {

/** Kinds of work on the decision thread. */
enum class DecisionWork : std::uint8_t
{
  Report,
  Outcome,
  JobRecord,
  Persisted,
  Tick,
  Pass,
  Encode,
  RecordedEnds,
};

inline constexpr std::size_t kDecisionWorkCount = 8;

/**
 * Measures how busy and how late the decision thread is. The functions for the
 * queue are thread-safe; the others are confined to the decision thread.
 */
class LoadMonitor
{
public:
  LoadMonitor(const base::Clock& aClock,
              telemetry::Logger& aLogger,
              telemetry::Metrics& aMetrics);

  /** A message was received and waits for the decision thread. */
  void OnQueued() noexcept;
  void OnHandled(base::TimePoint aReceivedAt);
  /** The records of a decision became durable. */
  void OnDurable(base::TimePoint aDecidedAt, std::size_t aBytes);
  void OnAppendFailed(const journal::AppendFailure& aFailure);
  /** The record of the step is larger than the log takes. */
  void OnCheckpointsLeftOut(const job::StepId& aStep, std::size_t aBytes);
  /** The log stalls, so records of callers were returned to their entries. */
  void OnRecordsReturned(std::size_t aWaiting, std::size_t aUnconfirmed);
  /**
   * Logs a summary of the time since the last one, at most every 2 s.
   * @param aJobsAge Age of the view of the jobs.
   * @param aWaitingOrders Placements whose start order was not sent yet.
   */
  void Summarize(base::Duration aJobsAge, std::size_t aWaitingOrders);

  /** Adds its lifetime to the time spent on one kind of work. */
  class Measurement
  {
  public:
    Measurement(LoadMonitor& aMonitor, DecisionWork aWork);
    ~Measurement();
    Measurement(const Measurement&) = delete;
    Measurement& operator=(const Measurement&) = delete;

  private:
    LoadMonitor& monitor;
    const DecisionWork work;
    const base::TimePoint start;
  };

private:
  struct WorkTotal
  {
    std::uint64_t count = 0;
    base::Duration time{};
  };
  struct Summary
  {
    base::Duration maxDelay{};
    base::Duration maxDurableTime{};
    std::size_t recordBytes = 0;
    std::array<WorkTotal, kDecisionWorkCount> work{};
  };

  void UpdateDelayed(base::Duration aDelay);

  const base::Clock& clock;
  telemetry::Logger& logger;
  telemetry::Histogram queueTime;
  telemetry::Gauge queueLength;
  telemetry::Histogram durableTime;
  telemetry::Counter recordBytes;
  std::array<telemetry::Histogram, kDecisionWorkCount> workTime;
  std::atomic<std::int64_t> queued{ 0 };
  Summary summary;
  base::TimePoint summaryStart;
  bool isDelayed = false;
};

} // namespace amaranthwind::coordinator
