#pragma once

#include "amaranthwind/membership/LeaderElection.h"

#include <optional>

namespace amaranthwind::membership {

/**
 * Decides when a leader is settled: the grants of all earlier leaders then end
 * no later than grants that the leader itself could issue. Passive: has neither
 * threads nor timers.
 */
class InheritedGrants
{
public:
  /**
   * @param aSelf Name of this entry.
   * @param aMaxDuration How long after the beginning of a term the grants of
   * earlier terms can run.
   */
  InheritedGrants(base::EntryId aSelf, base::Duration aMaxDuration);

  /** This entry became the leader. */
  void OnElected(const std::optional<LeaderTerm>& aFormer,
                 base::TimePoint aNow);
  /** The leader of the former term issues no more grants. */
  void OnFormerStopped() noexcept { this->hasFormerStopped = true; }
  /** A pulse said that the term is settled. */
  void OnTermSettled(base::FencingToken aToken) noexcept;

  /**
   * Whether the newest term of this entry is settled, also after its end. True
   * if this entry has not led.
   */
  bool IsSettled(base::TimePoint aNow) const;
  /** Whether the leader of the former term may still issue grants. */
  bool IsFormerActive() const noexcept { return !this->hasFormerStopped; }

private:
  const base::EntryId self;
  const base::Duration maxDuration;
  std::optional<base::TimePoint> electedAt;
  std::optional<LeaderTerm> former;
  bool hasFormerStopped = true;
  bool isFormerSettled = true;
};

} // namespace amaranthwind::membership
