#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/fleet/Resources.h"

#include "amaranthwind/gang/Messages.h"

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace amaranthwind::gang {

struct MemberSettings
{
  /** Time from a promise until the outcome is queried for the first time. */
  base::Duration queryAfter = std::chrono::seconds(5);
  base::Duration queryInterval = std::chrono::seconds(2);
  base::Duration heartbeatInterval = std::chrono::milliseconds(500);
  /**
   * A peer counts as lost when its newest proof of liveness is older than this;
   * task leases expire at the same time. A loss may have to be detected twice,
   * by the first rank and then by a member that misses its StopGang. Thus a
   * gang stops within twice this time regardless of network delays, and twice
   * this time must be below the limit of 5 s.
   */
  base::Duration peerTimeout = std::chrono::milliseconds(2400);
  /** Time from Commit within which all tasks must run. */
  base::Duration startTimeout = std::chrono::seconds(10);
  /** Time from Release within which all tasks must run. */
  base::Duration releaseTimeout = std::chrono::milliseconds(2500);
  /** How long the first rank waits for the members' results after a stop. */
  base::Duration stopTimeout = std::chrono::seconds(5);
  /** Peer timeout that applies to a daemon that hands its tasks over. */
  base::Duration handoverTimeout = std::chrono::seconds(5);
  /** Interval between reports of the gang's end until one is acknowledged. */
  base::Duration reportInterval = std::chrono::seconds(2);
  /** How long ended attempts are kept; at most endedLimit of them. */
  base::Duration endedRetention = std::chrono::minutes(10);
  std::size_t endedLimit = 4096;
};

// Events other than messages from the coordinator and the peers.

struct TaskStarted
{
  AttemptKey key;
};

/** The task ended or could not be started. */
struct TaskEnded
{
  AttemptKey key;
  /** One of Succeeded, Failed and Stopped. */
  MemberResult result = MemberResult::Failed;
};

/** A task that is already running on the worker when the daemon starts. */
struct AdoptTask
{
  base::ZoneId cell;
  std::shared_ptr<const job::GangPlan> plan;
  Rank rank = 0;
  /** Remaining time of the lease that the previous daemon renewed. */
  base::Duration leaseLeft{};
};

/** Refuse new promises from now on. */
struct Drain
{};

/** The daemon is about to exit and leaves its tasks running for its successor.
 */
struct HandOver
{};

using MemberEvent = std::variant<Prepare,
                                 Commit,
                                 Abort,
                                 StopGang,
                                 GangEndedAck,
                                 OutcomeReply,
                                 Committed,
                                 Release,
                                 MemberHeartbeat,
                                 TaskStarted,
                                 TaskEnded,
                                 AdoptTask,
                                 Drain,
                                 HandOver,
                                 Tick>;

// Effects.

struct SendToCoordinator
{
  base::ZoneId cell;
  MemberToCoordinator message;
};

struct SendToPeer
{
  /** Empty: reply to the sender of the event. */
  base::TargetId worker;
  std::string address;
  PeerMessage message;
};

struct QueryOutcome
{
  OutcomeQuery query;
  /** False: query the coordinator. True: query any entry that reads the log. */
  bool askAnyEntry = false;
};

struct StartTask
{
  AttemptKey key;
  Rank rank = 0;
  std::shared_ptr<const job::GangPlan> plan;
  base::Duration lease{};
};

/** The worker kills the task when its lease expires. */
struct RenewLease
{
  AttemptKey key;
  base::Duration lease{};
};

struct StopTask
{
  AttemptKey key;
  /** Zero: kill immediately. Otherwise write a checkpoint within this time. */
  base::Duration grace{};
};

using MemberEffect = std::variant<SendToCoordinator,
                                  SendToPeer,
                                  QueryOutcome,
                                  StartTask,
                                  RenewLease,
                                  StopTask>;

/** Status of one attempt, for the Hello message and the state dump. */
struct MemberStatus
{
  AttemptKey key;
  Rank rank = 0;
  MemberPhase phase = MemberPhase::Promised;
  MemberResult result = MemberResult::None;
  fleet::Resources reserved;
};

/**
 * Manages the gang members on one worker and the resources that they reserve. A
 * promise is only released by a decision, never by a timeout. Not thread-safe:
 * calls must not overlap.
 */
class GangMember
{
public:
  GangMember(base::TargetId aWorker,
             fleet::Resources aCapacity,
             MemberSettings aSettings = {});
  ~GangMember();
  GangMember(GangMember&&) noexcept;
  GangMember& operator=(GangMember&&) noexcept;

  /**
   * Processes an event and returns the effects to carry out. aNow must not
   * decrease between calls. Late and repeated events have no effect.
   */
  std::vector<MemberEffect> Handle(base::TimePoint aNow,
                                   const MemberEvent& aEvent);

  /** Time at which the next Tick is due; empty if there is no timeout. */
  std::optional<base::TimePoint> NextDeadline() const;

  /** Resources reserved by all gangs that have not ended. */
  fleet::Resources Reserved() const;

  /**
   * Returns true if every gang has ended and no end remains to be reported. A
   * draining daemon may then exit.
   */
  bool IsIdle() const;

  /** Attempts that have not ended or whose end must still be reported. */
  std::vector<MemberStatus> Status() const;

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace amaranthwind::gang
