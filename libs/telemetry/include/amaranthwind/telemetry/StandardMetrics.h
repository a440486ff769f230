#pragma once

#include "amaranthwind/base/Ids.h"
#include "amaranthwind/telemetry/Metrics.h"

#include <array>
#include <cstddef>
#include <cstdint>

/**
 * Definitions of all metrics of the daemons. Each struct registers its metrics
 * on construction and is cheap to copy. Structs with a label are constructed
 * when a snapshot is built and stored in it, so that a request needs no lookup
 * by name.
 */
namespace amaranthwind::telemetry {

/** Outcome of a short request as reported to its caller. */
enum class RequestOutcome : std::uint8_t
{
  Done,
  NotRun,   // Guaranteed not to have run.
  Unknown,  // May have run.
  BadInput, // Rejected before it was queued.
};
inline constexpr std::size_t kRequestOutcomes = 4;

/** Result of a gang attempt. */
enum class GangResult : std::uint8_t
{
  Succeeded,
  Failed,
  Preempted,
  NotRun,
};
inline constexpr std::size_t kGangResults = 4;

/** State of a target in the routing table of an entry. */
enum class TargetState : std::uint8_t
{
  Available,
  Draining,
  Ejected, // Responds with errors or too slowly.
  Silent,
};
inline constexpr std::size_t kTargetStates = 4;

/** Result of an append to the log. */
enum class AppendResult : std::uint8_t
{
  Appended,
  Unavailable,
  Unconfirmed,
};
inline constexpr std::size_t kAppendResults = 3;

/** Metrics of every daemon. */
struct ProcessMetrics
{
  explicit ProcessMetrics(Metrics& aMetrics);

  /** 1 while /ready returns 200. */
  Gauge ready;
  /** Offset of the policy in effect, or of the newest known entry. */
  Gauge noteOffset;
  /** Responses discarded because their request had timed out. */
  Counter lateResponses;
  /**
   * Responses with an unused correlation id; must stay 0, because each caller
   * gets the complete response to their own request.
   */
  Counter unmatchedResponses;
  Gauge peerConnections;
  Counter silentConnections;
  Counter bytesSent;
  Counter bytesReceived;
  Counter suppressedLogLines;
};

/**
 * Policy metrics of an entry. An accepted release note takes effect everywhere
 * within seconds and never reverts.
 */
struct PolicyMetrics
{
  explicit PolicyMetrics(Metrics& aMetrics);

  Gauge version;
  /** Number of offsets by which the newest peer is ahead. */
  Gauge offsetLag;
  Counter notesApplied;
  Counter notesRejected;
  /** Time from first observing a newer offset until it takes effect. */
  Histogram delay;
};

/** Metrics of one kind of short request, on an entry. */
struct RequestMetrics
{
  RequestMetrics() = default;
  RequestMetrics(Metrics& aMetrics, const base::WorkKindId& aKind);

  const Counter& Outcome(RequestOutcome aOutcome) const
  {
    return this->outcomes[static_cast<std::size_t>(aOutcome)];
  }

  /**
   * Answered requests by outcome. One reported as not run did not run, and a
   * non-idempotent one runs at most once.
   */
  std::array<Counter, kRequestOutcomes> outcomes;
  /**
   * Completion time by caller size: a small caller uses less than an
   * equal share of its account.
   */
  Histogram durationSmallCallers;
  Histogram durationLargeCallers;
  Histogram queueWait;
  Gauge queued;
  /** Capacity used by the kind. */
  Counter slotSeconds;
};

/** Metrics of one client account, on an entry. */
struct AccountMetrics
{
  AccountMetrics() = default;
  AccountMetrics(Metrics& aMetrics, const base::AccountId& aAccount);

  Counter slotSeconds;
  Counter notRun;
  Gauge queued;
};

/** Metrics of one cell, on the entry that coordinates it. */
struct CellMetrics
{
  CellMetrics() = default;
  CellMetrics(Metrics& aMetrics, const base::ZoneId& aZone);

  const Counter& Attempts(GangResult aResult) const
  {
    return this->attempts[static_cast<std::size_t>(aResult)];
  }

  /** 1 while this process is the coordinator. */
  Gauge coordinator;
  Gauge accelerators;
  Gauge freeAccelerators;
  /** Accelerators lent from unused guarantees. */
  Gauge borrowedAccelerators;
  /** Share of free accelerators on partly used workers, 0 to 1. */
  Gauge fragmentation;
  /**
   * Guaranteed shapes that do not fit; 0 unless workers were lost, because an
   * account can always reclaim its guaranteed accelerators.
   */
  Gauge guaranteeShortfall;
  /** Time from claiming a guarantee until its shape is free. */
  Histogram reclaimTime;
  /** Ended attempts by result. */
  std::array<Counter, kGangResults> attempts;
  /**
   * Gangs that run without a commit in the log; must stay 0, because no part of
   * a gang runs unless the whole gang runs.
   */
  Counter partialStarts;
  Gauge queuedJobs;
  /** Time from acceptance to the end of a job. */
  Histogram jobCompletion;
  /** Time from acceptance to start, for the most urgent class. */
  Histogram urgentStart;
  Counter preemptions;
  /** Duration of one placement decision. */
  Histogram decisionTime;
  Gauge isolatedWorkers;
};

/** Metrics of an entry's appends to the log. */
struct AppendMetrics
{
  AppendMetrics() = default;
  explicit AppendMetrics(Metrics& aMetrics);

  const Counter& Appends(AppendResult aResult) const
  {
    return this->appends[static_cast<std::size_t>(aResult)];
  }

  std::array<Counter, kAppendResults> appends;
  Histogram appendTime;
};

/** Metrics of an entry as a whole. */
struct EntryMetrics
{
  explicit EntryMetrics(Metrics& aMetrics);

  const Gauge& Targets(TargetState aState) const
  {
    return this->targets[static_cast<std::size_t>(aState)];
  }
  Gauge callerConnections;
  Counter refusedConnections;
  Counter refusedRetries;
  std::array<Gauge, kTargetStates> targets;
  /** In-flight requests interrupted by a planned stop; must stay 0. */
  Counter interruptedRequests;
  /** 1 while the log is available. */
  Gauge logAvailable;
};

/** Metrics of a target's daemon. */
struct TargetMetrics
{
  explicit TargetMetrics(Metrics& aMetrics);

  const Counter& Tasks(GangResult aResult) const
  {
    return this->tasks[static_cast<std::size_t>(aResult)];
  }

  Counter admittedRequests;
  /** Requests refused by the daemon, which therefore did not run. */
  Counter refusedRequests;
  /** Requests answered from the idempotency table without running again. */
  Counter repeatedKeys;
  /**
   * Claims recorded for another target, so that a non-idempotent request runs
   * at most once.
   */
  Counter witnessedClaims;
  Gauge keys;
  Gauge busySlots;
  Histogram serviceTime;
  /** Reservations for a gang whose attempt is not yet decided. */
  Gauge reservations;
  Gauge runningTasks;
  std::array<Counter, kGangResults> tasks;
  /** Tasks stopped because a gang member sent no heartbeat. */
  Counter gangStops;
  /** Time from the stop request until the task ended. */
  Histogram taskStopTime;
  /** Messages with a stale fencing token. */
  Counter staleTokens;
  /** Work received over 5 s after the drain was announced; must stay 0. */
  Counter workAfterLeaving;
  Gauge draining;
};

} // namespace amaranthwind::telemetry
