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
  /** From Prepare until every member must have promised. */
  base::Duration prepareTimeout = std::chrono::seconds(3);
  /** Between two tries to write a decision record while the log is down. */
  base::Duration logRetryInterval = std::chrono::seconds(1);
  /**
   * From Commit until the first rank must have reported. The first rank's own
   * start timeout and the bound for stopping pass before it.
   */
  base::Duration startReportTimeout = std::chrono::seconds(20);
  /** From a stop order without grace until the end must be reported. */
  base::Duration stopReportTimeout = std::chrono::seconds(12);
};

// Events besides the messages of the members.

struct StartGang
{
  std::shared_ptr<const job::GangPlan> plan;
};

/**
 * A committed attempt that the log holds when this coordinator takes over. Its
 * plan keeps the token of the coordinator that made it. Of the members only the
 * workers are needed.
 */
struct ResumeGang
{
  std::shared_ptr<const job::GangPlan> plan;
};

/**
 * A former coordinator committed the attempt and its end is not in the log.
 * Until ResumeGang or AwaitOver, an end that is reported is not acknowledged:
 * its first rank would forget it before it is recorded.
 */
struct AwaitGang
{
  job::GangId gang;
};

/** The attempt is given up, or its end is in the log. */
struct AwaitOver
{
  job::GangId gang;
};

/** The decision record was read back and no newer epoch precedes it. */
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

/** Membership gave the worker up; a single broken connection is no such case.
 */
struct WorkerLost
{
  base::TargetId worker;
};

/** What a worker's daemon knows when it connects: keys of Status(). */
struct WorkerReported
{
  base::TargetId worker;
  std::vector<AttemptKey> attempts;
};

/** Of the caller or the scheduler. */
struct StopRequested
{
  AttemptKey key;
  /** Cancelled or Preempted. */
  StopReason reason = StopReason::Cancelled;
  base::Duration grace{};
};

/** A newer epoch exists, or a decision record was refused as stale. */
struct TokenLost
{};

using CoordinatorEvent = std::variant<StartGang,
                                      ResumeGang,
                                      AwaitGang,
                                      AwaitOver,
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
  Preempted, // Stopped on request, also by cancelling.
  NotRun,    // Proven not to have run.
};

// Effects.

struct SendToMember
{
  /** Empty: to the sender of the event. */
  base::TargetId worker;
  CoordinatorToMember message;
};

/** To be written with the coordinator's token, read back, then reported. */
struct WriteDecision
{
  AttemptKey key;
  Decision decision = Decision::Abort;
  std::vector<base::TargetId> members;
};

/** The attempt is undecided and waits for the log. */
struct AttemptWaits
{
  AttemptKey key;
};

struct AttemptStarted
{
  AttemptKey key;
};

/**
 * Unless the attempt was aborted, the end is to be written to the log until
 * EndConfirmed or TokenLost can be given. The first rank repeats its report
 * until then, so that the next coordinator hears it if this one is lost.
 */
struct AttemptEnded
{
  AttemptKey key;
  /** By an abort record; no other record is needed. */
  bool isAborted = false;
  AttemptOutcome outcome = AttemptOutcome::Failed;
  std::optional<Rank> rankAtFault;
  std::optional<StopReason> reason;
  /** Of a refused Prepare or Commit. */
  std::optional<base::Error> error;
};

/** This coordinator is no longer one; it gave up all its attempts. */
struct CoordinatorSuperseded
{};

using CoordinatorEffect = std::variant<SendToMember,
                                       WriteDecision,
                                       AttemptWaits,
                                       AttemptStarted,
                                       AttemptEnded,
                                       CoordinatorSuperseded>;

/**
 * Life cycles of all gang attempts that one coordinator of one cell starts or
 * takes over. Has no thread: every call belongs on the cell's decision thread.
 */
class GangCoordinator
{
public:
  explicit GangCoordinator(Fence aFence, CoordinatorSettings aSettings = {});
  ~GangCoordinator();
  GangCoordinator(GangCoordinator&&) noexcept;
  GangCoordinator& operator=(GangCoordinator&&) noexcept;

  /** Times never go back between calls. Late and repeated events do nothing. */
  std::vector<CoordinatorEffect> Handle(base::TimePoint aNow,
                                        const CoordinatorEvent& aEvent);

  /** When the next Tick is due; empty when nothing waits for time. */
  std::optional<base::TimePoint> NextDeadline() const;

  /** Unknown once the end of an attempt is in the log: then the log answers. */
  AttemptState StateOf(const AttemptKey& aKey) const;

  std::size_t AttemptCount() const;

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace amaranthwind::gang
