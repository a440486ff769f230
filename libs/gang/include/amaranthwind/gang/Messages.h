#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Error.h"
#include "amaranthwind/base/Ids.h"
#include "amaranthwind/job/GangPlan.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace amaranthwind::gang {

/** Index of a member in its gang's plan. */
using Rank = std::uint32_t;

/**
 * Identifies one plan of one attempt. Two coordinators may use the same attempt
 * number if the first one was replaced before it decided; the fencing token of
 * the plan distinguishes the two plans.
 */
struct AttemptKey
{
  job::GangId gang;
  base::FencingToken planToken;

  auto operator<=>(const AttemptKey&) const = default;
};

AttemptKey
KeyOf(const job::GangPlan& aPlan);

/** Identifies the sender of an order: a cell's coordinator in one epoch. */
struct Fence
{
  base::ZoneId cell;
  base::FencingToken token;

  bool operator==(const Fence&) const = default;
};

/** Phases of a member, in order: a member never returns to an earlier one. */
enum class MemberPhase : std::uint8_t
{
  Promised,  // Resources are reserved; waits for the decision.
  Committed, // Waits for the first rank's Release.
  Starting,  // The worker was told to start the task.
  Running,
  Stopping,
  Ended,
  Aborted,
};

enum class MemberResult : std::uint8_t
{
  None,
  Succeeded,
  Failed,
  Stopped,    // Ended because of a stop order.
  NotStarted, // The task was never started.
  Lost,       // The member did not report a result.
};

enum class StopReason : std::uint8_t
{
  Cancelled,
  Preempted,
  MemberFailed,
  MemberLost,
  FirstRankLost,
  StartTimeout,
  UnknownAttempt, // The first rank does not know the attempt.
};

enum class Decision : std::uint8_t
{
  Commit,
  Abort,
};

/** State of an attempt according to the log. */
enum class AttemptState : std::uint8_t
{
  Unknown,
  Undecided,
  Committed,
  Aborted,
};

// Coordinator to member.

struct Prepare
{
  Fence fence;
  /** Shared by all members of the gang. */
  std::shared_ptr<const job::GangPlan> plan;
  Rank rank = 0;
};

struct Commit
{
  Fence fence;
  AttemptKey key;
  Rank rank = 0;
};

struct Abort
{
  Fence fence;
  AttemptKey key;
};

/** Also sent by the first rank to the other members, then without a fence. */
struct StopGang
{
  AttemptKey key;
  std::optional<Fence> fence;
  StopReason reason = StopReason::Cancelled;
  /** Time allowed for writing a checkpoint; zero stops immediately. */
  base::Duration grace{};
};

/** Tells the first rank that the end of the gang is recorded in the log. */
struct GangEndedAck
{
  AttemptKey key;
};

// Member to coordinator.

struct Promise
{
  AttemptKey key;
  Rank rank = 0;
  std::optional<base::Error> refusal;
};

struct CommitRefused
{
  AttemptKey key;
  Rank rank = 0;
  /** Token of the refused order. */
  base::FencingToken token;
  base::Error error;
};

/** From the first rank: all tasks of the gang are running. */
struct GangStarted
{
  AttemptKey key;
};

/** From a member that the coordinator stopped or that lost the first rank. */
struct MemberEnded
{
  AttemptKey key;
  Rank rank = 0;
  MemberResult result = MemberResult::None;
};

/** From the first rank. */
struct GangEnded
{
  AttemptKey key;
  /** False proves that Release was never sent: the attempt did not run. */
  bool wasReleased = true;
  /** Indexed by rank. */
  std::vector<MemberResult> results;
  std::optional<StopReason> reason;
  std::optional<Rank> rankAtFault;
};

// Member to the coordinator or to any entry, and the reply.

struct OutcomeQuery
{
  AttemptKey key;
  base::ZoneId cell;
};

struct OutcomeReply
{
  AttemptKey key;
  AttemptState state = AttemptState::Unknown;
};

// Between the first rank and the other members.

struct Committed
{
  AttemptKey key;
  Rank rank = 0;
};

struct Release
{
  AttemptKey key;
};

struct MemberHeartbeat
{
  AttemptKey key;
  Rank rank = 0;
  /**
   * The sender's monotonic clock in ticks, strictly increasing from message to
   * message. A message with a lower number than the newest one is stale.
   */
  std::uint64_t sequence = 0;
  /**
   * Highest sequence that the sender has received from the receiver; 0: none.
   * It proves that the sender was alive after the receiver sent that message.
   * The arrival of this message alone proves nothing, as it may have been
   * delayed.
   */
  std::uint64_t echo = 0;
  MemberPhase phase = MemberPhase::Promised;
  MemberResult result = MemberResult::None;
  /**
   * The sender counts as lost when its newest proof of liveness is older than
   * this.
   */
  base::Duration livenessTimeout{};
};

/** Event for members and coordinators: the time of NextDeadline() has come. */
struct Tick
{};

using CoordinatorToMember =
  std::variant<Prepare, Commit, Abort, StopGang, GangEndedAck>;
using MemberToCoordinator =
  std::variant<Promise, CommitRefused, GangStarted, MemberEnded, GangEnded>;
using PeerMessage = std::variant<Committed, Release, MemberHeartbeat, StopGang>;

} // namespace amaranthwind::gang
