#include "amaranthwind/telemetry/StandardMetrics.h"

#include <span>
#include <string_view>

namespace amaranthwind::telemetry {

namespace {

/** Buckets for short requests, from 1 ms to 30 s. */
constexpr std::array<double, 14> kRequestBuckets{
  0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30
};
/**
 * Buckets for release notes, gang starts and guarantee reclaims. The bounds 5,
 * 5.7, 7 and 30 s are guaranteed limits.
 */
constexpr std::array<double, 12> kControlBuckets{
  0.05, 0.1, 0.25, 0.5, 1, 2, 3, 5, 5.7, 7, 15, 30
};
/** Buckets for jobs, from 10 s to two days. */
constexpr std::array<double, 13> kJobBuckets{ 10,    30,    60,    300,   900,
                                              1800,  3600,  7200,  14400, 28800,
                                              57600, 86400, 172800 };
/** Buckets for placement decisions, from 10 us to 1 s. */
constexpr std::array<double, 11> kDecisionBuckets{
  0.00001, 0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.05, 0.1, 1
};

constexpr std::array<std::string_view, kRequestOutcomes>
  kOutcomeNames{ "done", "not_run", "unknown", "bad_input" };
constexpr std::array<std::string_view, kGangResults>
  kGangResultNames{ "succeeded", "failed", "preempted", "not_run" };
constexpr std::array<std::string_view, kTargetStates>
  kTargetStateNames{ "available", "draining", "ejected", "silent" };
constexpr std::array<std::string_view, kAppendResults> kAppendResultNames{
  "appended",
  "unavailable",
  "unconfirmed"
};

/**
 * Makes one counter per value of aLabel, optionally with the label aExtraLabel.
 */
template<std::size_t N>
std::array<Counter, N>
MakeCounters(Metrics& aMetrics,
             const MetricInfo& aInfo,
             std::string_view aLabel,
             const std::array<std::string_view, N>& aValues,
             const MetricLabel* aExtraLabel = nullptr)
{
  std::array<Counter, N> counters;
  for (std::size_t i = 0; i < N; ++i) {
    const MetricLabel label{ aLabel, aValues[i] };
    const std::array<MetricLabel, 2> labels{ label,
                                             aExtraLabel ? *aExtraLabel
                                                         : label };
    counters[i] = aMetrics.MakeCounter(
      aInfo, std::span(labels).first(aExtraLabel != nullptr ? 2 : 1));
  }
  return counters;
}

} // namespace

ProcessMetrics::ProcessMetrics(Metrics& aMetrics)
  : ready(aMetrics.MakeGauge({ "ready", "1 while the process is ready." }))
  , noteOffset(aMetrics.MakeGauge(
      { "note_offset", "Log offset of the policy in force." }))
  , lateResponses(aMetrics.MakeCounter(
      { "late_responses_total", "Responses discarded after a timeout." }))
  , unmatchedResponses(aMetrics.MakeCounter(
      { "unmatched_responses_total",
        "Responses with an unknown correlation id; must stay 0." }))
  , peerConnections(aMetrics.MakeGauge(
      { "peer_connections", "Open connections of the inner protocol." }))
  , silentConnections(aMetrics.MakeCounter(
      { "silent_connections_total",
        "Connections given up because no heartbeat came." }))
  , bytesSent(aMetrics.MakeCounter(
      { "inner_sent_bytes_total", "Bytes sent on the inner protocol." }))
  , bytesReceived(
      aMetrics.MakeCounter({ "inner_received_bytes_total",
                             "Bytes received on the inner protocol." }))
  , suppressedLogLines(aMetrics.MakeCounter(
      { "log_lines_suppressed_total", "Log lines above a rate limit." }))
{
}

PolicyMetrics::PolicyMetrics(Metrics& aMetrics)
  : version(aMetrics.MakeGauge(
      { "policy_version", "Number of accepted release notes in force." }))
  , offsetLag(aMetrics.MakeGauge(
      { "note_offset_lag", "Offsets that the newest known peer is ahead." }))
  , notesApplied(aMetrics.MakeCounter(
      { "notes_applied_total", "Release notes accepted." }))
  , notesRejected(aMetrics.MakeCounter(
      { "notes_rejected_total", "Release notes rejected." }))
  , delay(aMetrics.MakeHistogram(
      { "note_delay_seconds",
        "Time from the first sight of a newer note until it is in force." },
      kControlBuckets))
{
}

RequestMetrics::RequestMetrics(Metrics& aMetrics, const base::WorkKindId& aKind)
{
  const MetricLabel kind{ "kind", aKind.View() };
  const std::array<MetricLabel, 1> labels{ kind };
  const std::array<MetricLabel, 2> small{ kind, { "caller_size", "small" } };
  const std::array<MetricLabel, 2> large{ kind, { "caller_size", "large" } };
  const MetricInfo duration{
    "request_duration_seconds",
    "Time from receipt of a request to its answer, by size of the caller."
  };
  this->outcomes = MakeCounters(aMetrics,
                                { "requests_total", "Requests answered." },
                                "outcome",
                                kOutcomeNames,
                                &kind);
  this->durationSmallCallers =
    aMetrics.MakeHistogram(duration, kRequestBuckets, small);
  this->durationLargeCallers =
    aMetrics.MakeHistogram(duration, kRequestBuckets, large);
  this->queueWait = aMetrics.MakeHistogram(
    { "queue_wait_seconds", "Time that a request waited for capacity." },
    kRequestBuckets,
    labels);
  this->queued = aMetrics.MakeGauge(
    { "queued_requests", "Requests that wait for capacity." }, labels);
  this->slotSeconds = aMetrics.MakeCounter(
    { "kind_slot_seconds_total", "Slot time used by a kind of work." }, labels);
}

AccountMetrics::AccountMetrics(Metrics& aMetrics,
                               const base::AccountId& aAccount)
{
  const std::array<MetricLabel, 1> labels{ { { "account", aAccount.View() } } };
  this->slotSeconds = aMetrics.MakeCounter(
    { "account_slot_seconds_total", "Slot time used by a client account." },
    labels);
  this->notRun = aMetrics.MakeCounter(
    { "account_not_run_total", "Requests of a client account not run." },
    labels);
  this->queued = aMetrics.MakeGauge(
    { "account_queued_requests", "Requests of a client account that wait." },
    labels);
}

CellMetrics::CellMetrics(Metrics& aMetrics, const base::ZoneId& aZone)
{
  const MetricLabel zone{ "zone", aZone.View() };
  const std::array<MetricLabel, 1> labels{ zone };
  const auto gauge = [&](std::string_view aName, std::string_view aHelp) {
    return aMetrics.MakeGauge({ aName, aHelp }, labels);
  };
  const auto histogram = [&](std::string_view aName,
                             std::string_view aHelp,
                             std::span<const double> aBounds) {
    return aMetrics.MakeHistogram({ aName, aHelp }, aBounds, labels);
  };
  this->coordinator =
    gauge("cell_coordinator", "1 while this process coordinates the cell.");
  this->accelerators = gauge("cell_accelerators", "Accelerators in the cell.");
  this->freeAccelerators =
    gauge("cell_free_accelerators", "Accelerators that run no task.");
  this->borrowedAccelerators =
    gauge("cell_borrowed_accelerators", "Accelerators lent from guarantees.");
  this->fragmentation =
    gauge("cell_fragmentation_ratio",
          "Share of the free accelerators on partly used workers.");
  this->guaranteeShortfall = gauge(
    "cell_guarantee_shortfall", "Guaranteed shapes that do not fit the cell.");
  this->reclaimTime = histogram("guarantee_reclaim_seconds",
                                "Time until a claimed guarantee was free.",
                                kControlBuckets);
  this->attempts = MakeCounters(aMetrics,
                                { "gang_attempts_total", "Attempts ended." },
                                "result",
                                kGangResultNames,
                                &zone);
  this->partialStarts =
    aMetrics.MakeCounter({ "gang_partial_starts_total",
                           "Gangs started without every member; must stay 0." },
                         labels);
  this->queuedJobs = gauge("queued_jobs", "Accepted jobs that wait.");
  this->jobCompletion = histogram("job_completion_seconds",
                                  "Time from acceptance to the end of a job.",
                                  kJobBuckets);
  this->urgentStart = histogram("urgent_start_seconds",
                                "Time from acceptance to start, urgent jobs.",
                                kControlBuckets);
  this->preemptions = aMetrics.MakeCounter(
    { "preemptions_total", "Attempts stopped for a guarantee." }, labels);
  this->decisionTime = histogram("placement_decision_seconds",
                                 "Time of one placement decision.",
                                 kDecisionBuckets);
  this->isolatedWorkers =
    gauge("isolated_workers", "Workers that get no work as they fail tasks.");
}

AppendMetrics::AppendMetrics(Metrics& aMetrics)
  : appends(MakeCounters(aMetrics,
                         { "log_appends_total", "Appends to the log." },
                         "result",
                         kAppendResultNames))
  , appendTime(
      aMetrics.MakeHistogram({ "log_append_seconds", "Time of an append." },
                             kRequestBuckets))
{
}

EntryMetrics::EntryMetrics(Metrics& aMetrics)
  : callerConnections(aMetrics.MakeGauge(
      { "caller_connections", "Open connections of callers." }))
  , refusedConnections(
      aMetrics.MakeCounter({ "caller_connections_refused_total",
                             "Connections of callers above the limit." }))
  , refusedRetries(aMetrics.MakeCounter(
      { "retries_refused_total", "Retries above the retry budget." }))
  , interruptedRequests(aMetrics.MakeCounter(
      { "requests_interrupted_total",
        "Requests interrupted by a planned stop; must stay 0." }))
  , logAvailable(
      aMetrics.MakeGauge({ "log_available", "1 while the log answers." }))
{
  for (std::size_t i = 0; i < kTargetStates; ++i) {
    const std::array<MetricLabel, 1> labels{ { { "state",
                                                 kTargetStateNames[i] } } };
    this->targets[i] =
      aMetrics.MakeGauge({ "targets", "Known targets by state." }, labels);
  }
}

TargetMetrics::TargetMetrics(Metrics& aMetrics)
  : admittedRequests(aMetrics.MakeCounter(
      { "target_requests_admitted_total", "Requests given to the executor." }))
  , refusedRequests(aMetrics.MakeCounter(
      { "target_requests_refused_total", "Requests refused as not run." }))
  , repeatedKeys(aMetrics.MakeCounter(
      { "repeated_keys_total",
        "Requests answered from the table of idempotency keys." }))
  , witnessedClaims(aMetrics.MakeCounter(
      { "witnessed_claims_total", "Claims recorded for another target." }))
  , keys(aMetrics.MakeGauge(
      { "idempotency_keys", "Idempotency keys within the key window." }))
  , busySlots(
      aMetrics.MakeGauge({ "busy_slots", "Slots of the executor in use." }))
  , serviceTime(aMetrics.MakeHistogram(
      { "service_seconds", "Time that the executor took for a request." },
      kRequestBuckets))
  , reservations(aMetrics.MakeGauge(
      { "gang_reservations", "Promises to gangs that are undecided." }))
  , runningTasks(
      aMetrics.MakeGauge({ "running_tasks", "Tasks that run on the worker." }))
  , tasks(MakeCounters(aMetrics,
                       { "tasks_total", "Tasks ended." },
                       "result",
                       kGangResultNames))
  , gangStops(aMetrics.MakeCounter(
      { "gang_stops_total", "Tasks stopped because a peer was silent." }))
  , taskStopTime(aMetrics.MakeHistogram(
      { "task_stop_seconds",
        "Time from the order to stop until the task ended." },
      kControlBuckets))
  , staleTokens(aMetrics.MakeCounter(
      { "stale_tokens_total", "Messages with an old fencing token." }))
  , workAfterLeaving(aMetrics.MakeCounter(
      { "work_after_leaving_total",
        "Work received over 5 s after the drain was announced; must stay 0." }))
  , draining(aMetrics.MakeGauge({ "draining", "1 while draining." }))
{
}

} // namespace amaranthwind::telemetry
