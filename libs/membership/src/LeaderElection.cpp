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
  this->lastSign = aNow;
  if (this->ownToken && aToken > *this->ownToken) {
    this->ownToken.reset();
  }
}

void
LeaderElection::OnPulse(base::FencingToken aToken, base::TimePoint aNow)
{
  if (aToken == this->token) {
    this->lastSign = aNow;
  }
}

void
LeaderElection::OnCurrent(base::TimePoint aAsOf, base::TimePoint aNow)
{
  const bool wasBlind =
    !this->currentAsOf || aNow - *this->currentAsOf > this->options.viewLimit;
  if (wasBlind) {
    // During an outage the leader could not write pulses either.
    this->lastSign = std::max(this->lastSign.value_or(aNow), aNow);
  }
  this->currentAsOf =
    std::max(this->currentAsOf.value_or(base::TimePoint::min()), aAsOf);
}

bool
LeaderElection::ShouldClaim(base::TimePoint aNow) const
{
  if (this->ownToken || !this->currentAsOf ||
      aNow - *this->currentAsOf > this->options.viewLimit) {
    return false;
  }
  if (!this->claim || this->claim->isResigned) {
    return true;
  }
  if (this->claim->holder == this->options.self &&
      this->claim->incarnation != this->options.incarnation) {
    return true;
  }
  return aNow - this->lastSign.value_or(aNow) > this->options.silenceLimit;
}

bool
LeaderElection::OnClaimed(base::FencingToken aToken, base::TimePoint aNow)
{
  if (this->claim && this->token > aToken) {
    return false;
  }
  this->ownToken = aToken;
  this->token = aToken;
  this->lastSign = aNow;
  return true;
}

void
LeaderElection::StepDown() noexcept
{
  this->ownToken.reset();
}

} // namespace amaranthwind::membership
