#pragma once

#include "FirstRankLifeCycle.h"
#include "MemberLifeCycle.h"

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/fleet/Resources.h"
#include "amaranthwind/gang/Messages.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace amaranthwind::gang {

/** Tracks the newest proof that a peer is alive. */
struct PeerLiveness
{
  /** Latest time at which the peer is known to have been alive. */
  base::TimePoint lastAliveAt;
  base::Duration livenessTimeout{};
  std::uint64_t sequence = 0;

  base::TimePoint LossTime() const
  {
    return this->lastAliveAt + this->livenessTimeout;
  }

  bool IsLost(base::TimePoint aNow) const { return aNow >= this->LossTime(); }

  /** Returns true if the message is newer than all previous ones. */
  bool Update(base::TimePoint aNow, const MemberHeartbeat& aMessage)
  {
    if (aMessage.sequence <= this->sequence) {
      return false;
    }
    this->sequence = aMessage.sequence;
    if (aMessage.echo == 0) {
      return true;
    }
    const base::TimePoint echoed{ base::Duration(
      static_cast<base::Duration::rep>(aMessage.echo)) };
    this->lastAliveAt = std::max(this->lastAliveAt, std::min(echoed, aNow));
    this->livenessTimeout = aMessage.livenessTimeout;
    return true;
  }
};

/** The first rank's view of one member, including itself. */
struct Peer
{
  MemberPhase phase = MemberPhase::Promised;
  MemberResult result = MemberResult::None;
  /** Whether the peer timeout applies; until then, the start timeout does. */
  bool isMonitored = false;
  /** The member has not replied to the last heartbeat. */
  bool isReplyPending = false;
  PeerLiveness liveness;
};

/** State of the whole gang, kept by the first rank. */
struct GangState
{
  FirstRankLifeCycle lifeCycle;
  std::vector<Peer> peers;
  std::size_t committedCount = 0;
  std::size_t runningCount = 0;
  std::size_t endedCount = 0;
  std::size_t pendingReplies = 0;
  /** The first member that ended without success; ignored during a stop. */
  std::optional<Rank> failedRank;
  /** Time by which members must run or, after a stop, must report results. */
  std::optional<base::TimePoint> deadline;
  /** Earliest time at which a member counts as lost without further proof. */
  std::optional<base::TimePoint> nextLossTime;
  base::TimePoint nextReport;
  bool isAcknowledged = false;
  GangEnded report;

  void Advance(Rank aRank, MemberPhase aPhase, MemberResult aResult)
  {
    Peer& peer = this->peers[aRank];
    if (aPhase <= peer.phase || aPhase > MemberPhase::Ended) {
      return;
    }
    const auto crosses = [&](MemberPhase aLimit) {
      return peer.phase < aLimit && aPhase >= aLimit;
    };
    this->committedCount += crosses(MemberPhase::Committed) ? 1 : 0;
    this->runningCount += crosses(MemberPhase::Running) ? 1 : 0;
    this->endedCount += crosses(MemberPhase::Ended) ? 1 : 0;
    peer.phase = aPhase;
    if (aPhase == MemberPhase::Ended) {
      peer.result = aResult;
      if (aResult != MemberResult::Succeeded && !this->failedRank) {
        this->failedRank = aRank;
      }
    }
  }
};

/** State of one attempt on a worker's daemon. */
struct GangRecord
{
  AttemptKey key;
  base::ZoneId cell;
  /** Null once no further message needs it. */
  std::shared_ptr<const job::GangPlan> plan;
  Rank rank = 0;
  MemberLifeCycle lifeCycle;
  MemberResult result = MemberResult::None;
  fleet::Resources reserved;
  base::TimePoint nextQuery;
  bool hasAskedCoordinator = false;
  base::TimePoint nextHeartbeat;
  /** Liveness of the first rank, as seen by another member. */
  PeerLiveness firstRankLiveness;
  StopReason stopReason = StopReason::Cancelled;
  base::Duration grace{};
  base::TimePoint nextStopTask;
  bool mustReportToCoordinator = false;
  base::TimePoint endedAt;
  /** Null unless this member is the first rank. */
  std::unique_ptr<GangState> gangState;

  bool HasEnded() const
  {
    return this->lifeCycle.Phase() >= MemberPhase::Ended;
  }

  bool HasTask() const
  {
    return this->lifeCycle.Phase() >= MemberPhase::Starting &&
           !this->HasEnded();
  }
};

} // namespace amaranthwind::gang
