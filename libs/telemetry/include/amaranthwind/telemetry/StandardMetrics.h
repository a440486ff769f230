#pragma once

#include "amaranthwind/base/Ids.h"
#include "amaranthwind/telemetry/Metrics.h"

#include <array>
#include <cstddef>
#include <cstdint>

/**
 * All metrics of the daemons, in one place. Each struct registers its metrics
 * when it is made and is then copied freely. Structs with a label are made
 * when a snapshot is built and kept in it, so that a request finds its handles
 * without a look-up by name.
 *
 * P1 to P8 and section 1.4 refer to docs/design.md.
 */
namespace amaranthwind::telemetry {

/** How a short request ended for its caller. */
enum class RequestOutcome : std::uint8_t
{
  Done,
  NotRun,   // P4
  Unknown,  // It may have run.
  BadInput, // Refused before it reached a queue.
};
inline constexpr std::size_t kRequestOutcomes = 4;

/** How an attempt of a gang ended. */
enum class GangResult : std::uint8_t
{
  Succeeded,
  Failed,
  Preempted,
  NotRun,
};
inline constexpr std::size_t kGangResults = 4;

/** State of a target in the table of an entry. */
enum class TargetState : std::uint8_t
{
  Available,
  Draining,
  Ejected, // Answers with errors or too slowly.
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

/** Of every daemon. */
struct ProcessMetrics
{
  explicit ProcessMetrics(Metrics& aMetrics);

  /** 1 while /ready answers 200. */
  Gauge ready;
  /** P8: offset of the policy in force, or of the newest known entry. */
  Gauge noteOffset;
  /** P3: responses to requests that had timed out; discarded. */
  Counter lateResponses;
  /** P3: must stay 0: responses whose correlation id was never used. */
  Counter unmatchedResponses;
  Gauge peerConnections;
  Counter silentConnections;
  Counter bytesSent;
  Counter bytesReceived;
  Counter suppressedLogLines;
};

/** P8: of an entry, which keeps the policy in force. */
struct PolicyMetrics
{
  explicit PolicyMetrics(Metrics& aMetrics);

  Gauge version;
  /** How far the newest peer is ahead. */
  Gauge offsetLag;
  Counter notesApplied;
  Counter notesRejected;
  /** Time from the first sight of a newer offset until it is in force. */
  Histogram delay;
};

/** Of one kind of short request, on an entry. */
struct RequestMetrics
{
  RequestMetrics() = default;
  RequestMetrics(Metrics& aMetrics, const base::WorkKindId& aKind);

  const Counter& Outcome(RequestOutcome aOutcome) const
  {
    return this->outcomes[static_cast<std::size_t>(aOutcome)];
  }

  /** P4, P5, 1.4. */
  std::array<Counter, kRequestOutcomes> outcomes;
  /**
   * Completion time by the size of the caller (1.4): small callers use less
   * than an equal share of their account.
   */
  Histogram durationSmallCallers;
  Histogram durationLargeCallers;
  Histogram queueWait;
  Gauge queued;
  /** Capacity that the kind has used (1.4). */
  Counter slotSeconds;
};

/** Of one client account, on an entry. */
struct AccountMetrics
{
  AccountMetrics() = default;
  AccountMetrics(Metrics& aMetrics, const base::AccountId& aAccount);

  Counter slotSeconds;
  Counter notRun;
  Gauge queued;
};

/** Of one cell, on the entry that coordinates it. */
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
  /** Lent out of unused guarantees. */
  Gauge borrowedAccelerators;
  /** 1.4: free accelerators that are not on a wholly free worker, 0 to 1. */
  Gauge fragmentation;
  /** P1: guaranteed shapes that do not fit; 0 unless the cell lost workers. */
  Gauge guaranteeShortfall;
  /** P1: time from the claim of a guarantee until its shape was free. */
  Histogram reclaimTime;
  /** P2. */
  std::array<Counter, kGangResults> attempts;
  /** P2: must stay 0: gangs that run although the log has no commit. */
  Counter partialStarts;
  Gauge queuedJobs;
  /** 1.4: from acceptance to the end of a job. */
  Histogram jobCompletion;
  /** 1.4: from acceptance to the start, of the most urgent class. */
  Histogram urgentStart;
  Counter preemptions;
  /** Time that one placement decision takes. */
  Histogram decisionTime;
  Gauge isolatedWorkers;
};

/** Of the appends of an entry. */
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

/** Of an entry as a whole. */
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
  /** P7: must stay 0: requests in flight that a planned stop interrupted. */
  Counter interruptedRequests;
  /** 1 while the log answers. */
  Gauge logAvailable;
};

/** Of a target's daemon. */
struct TargetMetrics
{
  explicit TargetMetrics(Metrics& aMetrics);

  const Counter& Tasks(GangResult aResult) const
  {
    return this->tasks[static_cast<std::size_t>(aResult)];
  }

  Counter admittedRequests;
  /** P4: refused by the daemon, so they did not run. */
  Counter refusedRequests;
  /** P5: answered from the table of keys instead of running again. */
  Counter repeatedKeys;
  /** P5: claims recorded for another target. */
  Counter witnessedClaims;
  Gauge keys;
  Gauge busySlots;
  Histogram serviceTime;
  /** P2: promised to a gang and not yet decided. */
  Gauge reservations;
  Gauge runningTasks;
  std::array<Counter, kGangResults> tasks;
  /** P2: tasks stopped here because a peer of the gang was silent. */
  Counter gangStops;
  /** Time from the order to stop a task until it had ended. */
  Histogram taskStopTime;
  /** Messages with an old fencing token. */
  Counter staleTokens;
  /** P6: must stay 0: work that came over 5 s after the drain was announced. */
  Counter workAfterLeaving;
  Gauge draining;
};

} // namespace amaranthwind::telemetry
