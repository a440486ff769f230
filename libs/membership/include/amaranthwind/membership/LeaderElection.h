#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Ids.h"

#include <chrono>
#include <optional>
#include <string>

namespace amaranthwind::membership {

/** A record by which an entry takes or gives up the leadership. */
struct LeaderClaim
{
  base::EntryId holder;
  /** Of the process; a restarted entry has another one. */
  base::Incarnation incarnation;
  /** Where workers' daemons reach the holder, "IP:port". */
  std::string address;
  /** The holder has handed the leadership back. */
  bool isResigned = false;
  /** With isResigned: no time that an earlier holder granted is still running.
   */
  bool isSettled = false;

  bool operator==(const LeaderClaim&) const = default;
};

struct LeaderElectionOptions
{
  base::EntryId self;
  base::Incarnation incarnation;
  /** Between two signs of life of the leader in the log. */
  base::Duration pulseInterval = std::chrono::milliseconds(500);
  /** A leader that is silent for this long may be replaced. */
  base::Duration silenceLimit = std::chrono::milliseconds(1700);
  /** A view of the log that is older proves no silence. */
  base::Duration viewLimit = std::chrono::milliseconds(2000);
};

/**
 * Decides when an entry claims the leadership. Claims are appended to the log
 * under the condition that no other claim came first; the log thus decides
 * between entries, and the offset of a claim is the fencing token. The leader
 * writes pulses. It never gives up because of an outage of the log: nobody can
 * be elected without the log either. No thread, no timer of its own.
 */
class LeaderElection
{
public:
  explicit LeaderElection(const LeaderElectionOptions& aOptions);

  /** The newest claim in the log. */
  void OnClaim(const LeaderClaim& aClaim,
               base::FencingToken aToken,
               base::TimePoint aNow);
  /** A pulse of the leader with the given token was read. */
  void OnPulse(base::FencingToken aToken, base::TimePoint aNow);
  /**
   * The pulses that were acknowledged before aAsOf are known. Reading claims
   * is no substitute: pulses may be held up while claims are read.
   */
  void OnCurrent(base::TimePoint aAsOf, base::TimePoint aNow);

  /** True if the entry should append a claim now. */
  bool ShouldClaim(base::TimePoint aNow) const;
  /** The own claim was appended; false if a newer one is known. */
  bool OnClaimed(base::FencingToken aToken, base::TimePoint aNow);
  /** Another coordinator has fenced this one off, or it resigns. */
  void StepDown() noexcept;

  bool IsLeader() const noexcept { return this->ownToken.has_value(); }
  base::FencingToken OwnToken() const noexcept
  {
    return this->ownToken.value_or(base::FencingToken(0));
  }
  /** Nothing if no claim is known. */
  const std::optional<LeaderClaim>& Leader() const noexcept
  {
    return this->claim;
  }
  base::FencingToken Token() const noexcept { return this->token; }

private:
  const LeaderElectionOptions options;
  std::optional<LeaderClaim> claim;
  base::FencingToken token;
  std::optional<base::FencingToken> ownToken;
  /** When the leader last gave a sign of life, or could not have given one. */
  std::optional<base::TimePoint> lastSign;
  std::optional<base::TimePoint> currentAsOf;
};

} // namespace amaranthwind::membership
