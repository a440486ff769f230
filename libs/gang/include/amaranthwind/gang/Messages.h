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

/** Index of a member in its plan. */
using Rank = std::uint32_t;

/**
 * Identity of one plan of one attempt. Two coordinators may use the same
 * attempt number when the first of them never decided; the token of the plan
 * tells the two apart.
 */
struct AttemptKey
{
  job::GangId gang;
  base::FencingToken planToken;

  auto operator<=>(const AttemptKey&) const = default;
};

AttemptKey
KeyOf(const job::GangPlan& aPlan);

/** Says who gives an order: the coordinator of a cell in one epoch. */
struct Fence
{
  base::ZoneId cell;
  base::FencingToken token;

  bool operator==(const Fence&) const = default;
};

/** Life cycle of a member. Ordered: a member never goes back. */
enum class MemberPhase : std::uint8_t
{
  Promised,
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
  Stopped,    // Ended by a stop order.
  NotStarted, // Its task was never started.
  Lost,       // It did not report.
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

/** What the log says about an attempt. */
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
  /** Shared, because every member of a gang gets the same plan. */
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

/** Also from the first rank to the members, then without a fence. */
struct StopGang
{
  AttemptKey key;
  std::optional<Fence> fence;
  StopReason reason = StopReason::Cancelled;
  /** Time to write a checkpoint; zero stops at once. */
  base::Duration grace{};
};

/** Tells the first rank that the end of the gang is in the log. */
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
  /** Of the order that was refused. */
  base::FencingToken token;
  base::Error error;
};

/** From the first rank: every task of the gang runs. */
struct GangStarted
{
  AttemptKey key;
};

/** From a member that was stopped by the coordinator or lost the first rank. */
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
  /** False attests that Release was never sent: the attempt did not run. */
  bool wasReleased = true;
  /** By rank. */
  std::vector<MemberResult> results;
  std::optional<StopReason> reason;
  std::optional<Rank> rankAtFault;
};

// Member to coordinator or to any entry, and the reply.

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

struct MemberAlive
{
  AttemptKey key;
  Rank rank = 0;
  /**
   * The sender's monotonic time in ticks, made to grow with each message. A
   * message with a lower one than the last is out of date.
   */
  std::uint64_t sequence = 0;
  /**
   * The newest sequence that the sender has heard from the receiver; 0: none.
   * It proves that the sender was there after the receiver sent that message.
   * The arrival of this message alone proves nothing, as it may be delayed.
   */
  std::uint64_t echo = 0;
  MemberPhase phase = MemberPhase::Promised;
  MemberResult result = MemberResult::None;
  /** The sender is lost when its newest proof is older than this. */
  base::Duration allowance{};
};

/** Event of both sides: the time of NextDeadline() has come. */
struct Tick
{};

using CoordinatorToMember =
  std::variant<Prepare, Commit, Abort, StopGang, GangEndedAck>;
using MemberToCoordinator =
  std::variant<Promise, CommitRefused, GangStarted, MemberEnded, GangEnded>;
using PeerMessage = std::variant<Committed, Release, MemberAlive, StopGang>;

} // namespace amaranthwind::gang
