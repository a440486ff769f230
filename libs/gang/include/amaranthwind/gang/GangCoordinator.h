#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/gang/Messages.h"

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace amaranthwind::gang {

struct CoordinatorSettings
{
  /** Time from Prepare within which every member must promise. */
  base::Duration prepareTimeout = std::chrono::seconds(3);
  /** Interval between attempts to write a decision while the log is down. */
  base::Duration logRetryInterval = std::chrono::seconds(1);
  /**
   * Time from Commit within which the first rank must report. It exceeds the
   * sum of the first rank's own start timeout and the time limit for stopping.
   */
  base::Duration startReportTimeout = std::chrono::seconds(20);
  /**
   * Time from a stop order within which the end must be reported, in addition
   * to the order's grace.
   */
  base::Duration stopReportTimeout = std::chrono::seconds(12);
};

// Events other than messages from members.

struct StartGang
{
  std::shared_ptr<const job::GangPlan> plan;
};

/**
 * Resumes a committed attempt that is in the log when this coordinator takes
 * over. The plan keeps the token of the coordinator that created it. Of each
 * member, only the worker needs to be set.
 */
struct ResumeGang
{
  std::shared_ptr<const job::GangPlan> plan;
};

/**
 * A former coordinator committed the attempt and its end is not in the log.
 * Until ResumeGang or AllowEndAck, a reported end is not acknowledged, because
 * the first rank would discard the report before it is recorded.
 */
struct DeferEndAck
{
  job::GangId gang;
};

/** The attempt was abandoned, or its end is in the log. */
struct AllowEndAck
{
  job::GangId gang;
};

/** The decision record was read back and no newer epoch precedes it in the log.
 */
struct DecisionConfirmed
{
  AttemptKey key;
};

/** The decision record may or may not be in the log. */
struct DecisionUnconfirmed
{
  AttemptKey key;
};

/** The end of a committed attempt is in the log. */
struct EndConfirmed
{
  AttemptKey key;
};

/** Membership declared the worker lost. A broken connection alone is no loss.
 */
struct WorkerLost
{
  base::TargetId worker;
};

/** The attempts that a worker's daemon reports when it connects (Status()). */
struct WorkerReported
{
  base::TargetId worker;
  std::vector<AttemptKey> attempts;
};

/** A stop requested by the caller or the scheduler. */
struct StopRequested
{
  AttemptKey key;
  /** Either Cancelled or Preempted. */
  StopReason reason = StopReason::Cancelled;
  base::Duration grace{};
};

/** A newer epoch exists, or a decision record was refused as stale. */
struct TokenLost
{};

using CoordinatorEvent = std::variant<StartGang,
                                      ResumeGang,
                                      DeferEndAck,
                                      AllowEndAck,
                                      Promise,
                                      DecisionConfirmed,
                                      DecisionUnconfirmed,
                                      EndConfirmed,
                                      CommitRefused,
                                      GangStarted,
                                      MemberEnded,
                                      GangEnded,
                                      WorkerLost,
                                      WorkerReported,
                                      StopRequested,
                                      TokenLost,
                                      Tick>;

enum class AttemptOutcome : std::uint8_t
{
  Succeeded,
  Failed,
  Preempted, // Stopped on request, including cancellation.
  NotRun,    // Proven not to have run.
};

// Effects.

struct SendToMember
{
  /** Empty: reply to the sender of the event. */
  base::TargetId worker;
  CoordinatorToMember message;
};

/**
 * Write the decision with the coordinator's token and read it back, then report
 * DecisionConfirmed or DecisionUnconfirmed.
 */
struct WriteDecision
{
  AttemptKey key;
  Decision decision = Decision::Abort;
  std::vector<base::TargetId> members;
};

/** The attempt is undecided because the log is unavailable. */
struct AttemptWaitingForLog
{
  AttemptKey key;
};

struct AttemptStarted
{
  AttemptKey key;
};

/**
 * Unless the attempt was aborted, writing the end to the log must be retried
 * until EndConfirmed or TokenLost can be passed in. The first rank repeats its
 * report until then, so that the next coordinator gets it if this one is lost.
 */
struct AttemptEnded
{
  AttemptKey key;
  /** An abort record is in the log; no other record is needed. */
  bool isAborted = false;
  AttemptOutcome outcome = AttemptOutcome::Failed;
  std::optional<Rank> rankAtFault;
  std::optional<StopReason> reason;
  /** Error of a refused Prepare or Commit. */
  std::optional<base::Error> error;
};

/** A newer coordinator exists; this one has dropped all its attempts. */
struct CoordinatorSuperseded
{};

using CoordinatorEffect = std::variant<SendToMember,
                                       WriteDecision,
                                       AttemptWaitingForLog,
                                       AttemptStarted,
                                       AttemptEnded,
                                       CoordinatorSuperseded>;

/**
 * Coordinates all gang attempts of one cell in one epoch: those that it starts
 * and those that it takes over. Commits are two-phase: each member promises its
 * resources, then the decision is written to the log. Not thread-safe: all
 * calls must be made on the cell's decision thread.
 */
class GangCoordinator
{
public:
  explicit GangCoordinator(Fence aFence, CoordinatorSettings aSettings = {});
  ~GangCoordinator();
  GangCoordinator(GangCoordinator&&) noexcept;
  GangCoordinator& operator=(GangCoordinator&&) noexcept;

  /**
   * Processes an event and returns the effects to carry out. aNow must not
   * decrease between calls. Late and repeated events have no effect.
   */
  std::vector<CoordinatorEffect> Handle(base::TimePoint aNow,
                                        const CoordinatorEvent& aEvent);

  /** Time at which the next Tick is due; empty if there is no timeout. */
  std::optional<base::TimePoint> NextDeadline() const;

  /** Unknown once the end of an attempt is in the log; then consult the log. */
  AttemptState StateOf(const AttemptKey& aKey) const;

  std::size_t AttemptCount() const;

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace amaranthwind::gang
