#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Ids.h"

#include <chrono>
#include <optional>
#include <string>

namespace amaranthwind::membership {

/** Log record with which an entry claims or resigns the leadership. */
struct LeaderClaim
{
  base::EntryId holder;
  /** Incarnation of the process; changes when the entry restarts. */
  base::Incarnation incarnation;
  /** Address of the holder for workers' daemons, "IP:port". */
  std::string address;
  /** Whether the holder has resigned. */
  bool isResigned = false;
  /**
   * With isResigned: as LeaderPulse::isSettled.
   */
  bool isSettled = false;

  bool operator==(const LeaderClaim&) const = default;
};

/** Record with which the leader shows that it is active. */
struct LeaderPulse
{
  base::FencingToken token;
  /**
   * The grants of all earlier leaders end no later than those of the leader
   * itself.
   */
  bool isSettled = false;
  /** How long the leader's decisions have made no progress. */
  std::chrono::milliseconds stalledFor{ 0 };

  bool operator==(const LeaderPulse&) const = default;
};

/** A claim and the fencing token that follows from its offset. */
struct LeaderTerm
{
  LeaderClaim claim;
  base::FencingToken token;
};

struct LeaderElectionOptions
{
  base::EntryId self;
  base::Incarnation incarnation;
  /** Interval between pulses, which are the leader's heartbeats in the log. */
  base::Duration pulseInterval = std::chrono::milliseconds(500);
  /** Silence after which the leader may be replaced. */
  base::Duration leaderTimeout = std::chrono::milliseconds(1700);
  /** Maximum age of a view of the log; an older view is no proof of silence. */
  base::Duration maxViewAge = std::chrono::milliseconds(2000);
};

/**
 * Decides when an entry claims the leadership. Claims are appended to the log
 * on condition that no other claim precedes them, so that the log arbitrates
 * between entries, and the offset of a claim determines its fencing token. The
 * leader writes pulses. It does not step down during an outage of the log,
 * because no other entry can be elected without the log either. Passive: has
 * neither threads nor timers.
 */
class LeaderElection
{
public:
  explicit LeaderElection(const LeaderElectionOptions& aOptions);

  /** Handles the newest claim in the log. */
  void OnClaim(const LeaderClaim& aClaim,
               base::FencingToken aToken,
               base::TimePoint aNow);
  /** Handles a pulse of the current or an earlier leader. */
  void OnPulse(const LeaderPulse& aPulse, base::TimePoint aNow);
  /**
   * Called when all pulses acknowledged before aAsOf have been read. Reading
   * claims does not imply this, because pulses may be held up while claims are
   * read.
   */
  void OnCurrent(base::TimePoint aAsOf, base::TimePoint aNow);

  /** Whether the entry should append a claim now. */
  bool ShouldClaim(base::TimePoint aNow) const;
  /**
   * Whether the leader may be replaced if a read that is sent now delivers no
   * pulse. Pulses may have been read that this entry has not handled yet.
   */
  bool ShouldConfirmSilence(base::TimePoint aNow) const;
  /** Handles the append of the own claim. False if a newer claim is known. */
  bool OnClaimed(base::FencingToken aToken, base::TimePoint aNow);
  /** Called when a newer leader has fenced this entry, or on resignation. */
  void StepDown() noexcept;

  bool IsLeader() const noexcept { return this->ownToken.has_value(); }
  base::FencingToken OwnToken() const noexcept
  {
    return this->ownToken.value_or(base::FencingToken(0));
  }
  /** Newest known claim, if any. */
  const std::optional<LeaderClaim>& Leader() const noexcept
  {
    return this->claim;
  }
  base::FencingToken Token() const noexcept { return this->token; }
  /** Newest term of which a pulse said that it is settled, or 0. */
  base::FencingToken SettledToken() const noexcept
  {
    return this->settledToken;
  }

private:
  bool IsViewFresh(base::TimePoint aNow) const;

  const LeaderElectionOptions options;
  std::optional<LeaderClaim> claim;
  base::FencingToken token;
  base::FencingToken settledToken{ 0 };
  std::optional<base::FencingToken> ownToken;
  /** Last time at which the leader was active, or could not write pulses. */
  std::optional<base::TimePoint> lastActivity;
  std::optional<base::TimePoint> viewAsOf;
};

} // namespace amaranthwind::membership
