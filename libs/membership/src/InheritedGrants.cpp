#include "amaranthwind/membership/InheritedGrants.h"

#include <utility>

namespace amaranthwind::membership {

InheritedGrants::InheritedGrants(base::EntryId aSelf,
                                 base::Duration aMaxDuration)
  : self(std::move(aSelf))
  , maxDuration(aMaxDuration)
{
}

void
InheritedGrants::OnElected(const std::optional<LeaderTerm>& aFormer,
                           base::TimePoint aNow)
{
  const bool isAgain = this->electedAt && aFormer && this->former &&
                       aFormer->token == this->former->token;
  if (isAgain && this->IsSettled(aNow)) {
    // Only this entry has led since the former term.
    this->hasFormerStopped = true;
    this->isFormerSettled = true;
  } else if (!isAgain) {
    // The former process of this entry has ended, and with it its grants.
    this->hasFormerStopped = !aFormer || aFormer->claim.isResigned ||
                             aFormer->claim.holder == this->self;
    this->isFormerSettled =
      !aFormer || (aFormer->claim.isResigned && aFormer->claim.isSettled);
  }
  this->former = aFormer;
  this->electedAt = aNow;
}

void
InheritedGrants::OnTermSettled(base::FencingToken aToken) noexcept
{
  if (this->former && aToken == this->former->token) {
    this->isFormerSettled = true;
  }
}

bool
InheritedGrants::IsSettled(base::TimePoint aNow) const
{
  return !this->electedAt ||
         (this->hasFormerStopped && this->isFormerSettled) ||
         aNow - *this->electedAt >= this->maxDuration;
}

} // namespace amaranthwind::membership
