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

/** When a peer was there for certain. */
struct Contact
{
  base::TimePoint provenAt;
  base::Duration allowance{};
  std::uint64_t sequence = 0;

  base::TimePoint LossTime() const { return this->provenAt + this->allowance; }

  bool IsLost(base::TimePoint aNow) const { return aNow >= this->LossTime(); }

  /** True if the message is newer than all before. */
  bool Hear(base::TimePoint aNow, const MemberAlive& aMessage)
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
    this->provenAt = std::max(this->provenAt, std::min(echoed, aNow));
    this->allowance = aMessage.allowance;
    return true;
  }
};

/** What the first rank knows of one member, itself included. */
struct Peer
{
  MemberPhase phase = MemberPhase::Promised;
  MemberResult result = MemberResult::None;
  /** Whether its silence counts; until then the start timeout does. */
  bool isWatched = false;
  /** Has not replied to the last heartbeat. */
  bool isAwaited = false;
  Contact contact;
};

/** What the first rank keeps of the whole gang. */
struct FirstRank
{
  FirstRankLifeCycle life;
  std::vector<Peer> peers;
  std::size_t committed = 0;
  std::size_t running = 0;
  std::size_t ended = 0;
  std::size_t awaited = 0;
  /** A member that ended without success while no stop was ordered. */
  std::optional<Rank> failedRank;
  /** When members must run; then when they must have reported a stop. */
  std::optional<base::TimePoint> deadline;
  /** When the next member is lost if it stays silent. */
  std::optional<base::TimePoint> nextLoss;
  base::TimePoint nextReport;
  bool isAcknowledged = false;
  GangEnded report;

  void Advance(Rank aRank, MemberPhase aPhase, MemberResult aResult)
  {
    Peer& peer = this->peers[aRank];
    if (aPhase <= peer.phase || aPhase > MemberPhase::Ended) {
      return;
    }
    const auto passes = [&](MemberPhase aLimit) {
      return peer.phase < aLimit && aPhase >= aLimit;
    };
    this->committed += passes(MemberPhase::Committed) ? 1 : 0;
    this->running += passes(MemberPhase::Running) ? 1 : 0;
    this->ended += passes(MemberPhase::Ended) ? 1 : 0;
    peer.phase = aPhase;
    if (aPhase == MemberPhase::Ended) {
      peer.result = aResult;
      if (aResult != MemberResult::Succeeded && !this->failedRank) {
        this->failedRank = aRank;
      }
    }
  }
};

/** What a worker's daemon keeps of one attempt. */
struct GangRecord
{
  AttemptKey key;
  base::ZoneId cell;
  /** Empty once no message needs it any more. */
  std::shared_ptr<const job::GangPlan> plan;
  Rank rank = 0;
  MemberLifeCycle life;
  MemberResult result = MemberResult::None;
  fleet::Resources reserved;
  base::TimePoint nextQuery;
  bool hasAskedCoordinator = false;
  base::TimePoint nextHeartbeat;
  /** Of a member other than the first rank. */
  Contact firstRank;
  StopReason stopReason = StopReason::Cancelled;
  base::Duration grace{};
  base::TimePoint nextStopTask;
  bool mustReportToCoordinator = false;
  base::TimePoint endedAt;
  std::unique_ptr<FirstRank> first;

  bool IsOver() const { return this->life.Phase() >= MemberPhase::Ended; }

  bool HasTask() const
  {
    return this->life.Phase() >= MemberPhase::Starting && !this->IsOver();
  }
};

} // namespace amaranthwind::gang
