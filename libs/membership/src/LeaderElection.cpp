#include "amaranthwind/membership/LeaderElection.h"

#include <algorithm>

namespace amaranthwind::membership {

LeaderElection::LeaderElection(const LeaderElectionOptions& aOptions)
  : options(aOptions)
{
}

void
LeaderElection::OnClaim(const LeaderClaim& aClaim,
                        base::FencingToken aToken,
                        base::TimePoint aNow)
{
  if (this->claim && aToken <= this->token) {
    return;
  }
  this->claim = aClaim;
  this->token = aToken;
  this->lastActivity = aNow;
  if (this->ownToken && aToken > *this->ownToken) {
    this->ownToken.reset();
  }
}

void
LeaderElection::OnPulse(const LeaderPulse& aPulse, base::TimePoint aNow)
{
  if (aPulse.token == this->token) {
    const base::TimePoint active = aNow - aPulse.stalledFor;
    this->lastActivity = std::max(this->lastActivity.value_or(active), active);
  }
  if (aPulse.isSettled) {
    this->settledToken = std::max(this->settledToken, aPulse.token);
  }
}

void
LeaderElection::OnCurrent(base::TimePoint aAsOf, base::TimePoint aNow)
{
  const bool wasStale =
    !this->viewAsOf || aNow - *this->viewAsOf > this->options.maxViewAge;
  if (wasStale) {
    // During an outage of the log the leader could not write pulses either.
    this->lastActivity = std::max(this->lastActivity.value_or(aNow), aNow);
  }
  this->viewAsOf =
    std::max(this->viewAsOf.value_or(base::TimePoint::min()), aAsOf);
}

bool
LeaderElection::IsViewFresh(base::TimePoint aNow) const
{
  return this->viewAsOf && aNow - *this->viewAsOf <= this->options.maxViewAge;
}

bool
LeaderElection::ShouldClaim(base::TimePoint aNow) const
{
  if (this->ownToken || !this->IsViewFresh(aNow)) {
    return false;
  }
  if (!this->claim || this->claim->isResigned) {
    return true;
  }
  if (this->claim->holder == this->options.self &&
      this->claim->incarnation != this->options.incarnation) {
    return true;
  }
  // Judged by when the newest read was sent, not by when its answer was
  // handled: a busy entry handles pulses late.
  return this->lastActivity &&
         *this->viewAsOf - *this->lastActivity > this->options.leaderTimeout;
}

bool
LeaderElection::ShouldConfirmSilence(base::TimePoint aNow) const
{
  return !this->ownToken && this->claim && this->lastActivity &&
         this->IsViewFresh(aNow) &&
         aNow - *this->lastActivity > this->options.leaderTimeout;
}

bool
LeaderElection::OnClaimed(base::FencingToken aToken, base::TimePoint aNow)
{
  if (this->claim && this->token > aToken) {
    return false;
  }
  this->ownToken = aToken;
  this->token = aToken;
  this->lastActivity = aNow;
  return true;
}

void
LeaderElection::StepDown() noexcept
{
  this->ownToken.reset();
}

} // namespace amaranthwind::membership
