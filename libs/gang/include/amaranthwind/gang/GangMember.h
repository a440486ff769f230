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
  /** From a promise until the outcome is asked for the first time. */
  base::Duration queryAfter = std::chrono::seconds(5);
  base::Duration queryInterval = std::chrono::seconds(2);
  base::Duration heartbeatInterval = std::chrono::milliseconds(500);
  /**
   * A peer is lost when the newest proof of its presence is older than this;
   * task leases end then, too. A loss may have to be found twice, by the first
   * rank and then by a member that misses its StopGang, so that a gang stops
   * within twice this time, whatever the network delays. The limit is 5 s.
   */
  base::Duration silenceTimeout = std::chrono::milliseconds(2400);
  /** From Commit until all tasks must run. */
  base::Duration startTimeout = std::chrono::seconds(10);
  /** From Release until all tasks must run. */
  base::Duration releaseTimeout = std::chrono::milliseconds(2500);
  /** The first rank waits this long for the members' results of a stop. */
  base::Duration stopTimeout = std::chrono::seconds(5);
  /** Silence that peers grant a daemon that hands its tasks over. */
  base::Duration handoverTimeout = std::chrono::seconds(5);
  /** Between two reports of the gang's end while none is acknowledged. */
  base::Duration reportInterval = std::chrono::seconds(2);
  /** An ended attempt is remembered this long, at most endedLimit of them. */
  base::Duration endedRetention = std::chrono::minutes(10);
  std::size_t endedLimit = 4096;
};

// Events besides the messages of the coordinator and the peers.

struct TaskStarted
{
  AttemptKey key;
};

/** The task ended or could not be started. */
struct TaskEnded
{
  AttemptKey key;
  /** Succeeded, Failed or Stopped. */
  MemberResult result = MemberResult::Failed;
};

/** A task that this daemon finds on its worker when it starts. */
struct AdoptTask
{
  base::ZoneId cell;
  std::shared_ptr<const job::GangPlan> plan;
  Rank rank = 0;
  /** What is left of the lease that the daemon before renewed. */
  base::Duration leaseLeft{};
};

/** No new promises from now on. */
struct Drain
{};

/** The daemon is about to exit and leaves its tasks to its successor. */
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
                                 MemberAlive,
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
  /** Empty: to the sender of the event. */
  base::TargetId worker;
  std::string address;
  PeerMessage message;
};

struct QueryOutcome
{
  OutcomeQuery query;
  /** False: ask the coordinator. True: ask any entry that reads the log. */
  bool askAnyEntry = false;
};

struct StartTask
{
  AttemptKey key;
  Rank rank = 0;
  std::shared_ptr<const job::GangPlan> plan;
  base::Duration lease{};
};

/** The worker kills the task when its lease ends. */
struct RenewLease
{
  AttemptKey key;
  base::Duration lease{};
};

struct StopTask
{
  AttemptKey key;
  /** Zero: kill at once. Otherwise write a checkpoint within this time. */
  base::Duration grace{};
};

using MemberEffect = std::variant<SendToCoordinator,
                                  SendToPeer,
                                  QueryOutcome,
                                  StartTask,
                                  RenewLease,
                                  StopTask>;

/** For the Hello message and the state dump. */
struct MemberStatus
{
  AttemptKey key;
  Rank rank = 0;
  MemberPhase phase = MemberPhase::Promised;
  MemberResult result = MemberResult::None;
  fleet::Resources reserved;
};

/**
 * All gangs of one worker, and the ledger of what they hold of it. A promise
 * is given up only by a decision, never by time. Has no thread: calls must not
 * overlap.
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

  /** Times never go back between calls. Late and repeated events do nothing. */
  std::vector<MemberEffect> Handle(base::TimePoint aNow,
                                   const MemberEvent& aEvent);

  /** When the next Tick is due; empty when nothing waits for time. */
  std::optional<base::TimePoint> NextDeadline() const;

  /** Held by promised, running and stopping gangs. */
  fleet::Resources Reserved() const;

  /** True when no gang holds anything: a draining daemon may exit. */
  bool IsIdle() const;

  /** Every attempt that has not ended or whose end must be reported. */
  std::vector<MemberStatus> Status() const;

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace amaranthwind::gang
