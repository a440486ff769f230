#include "GivenLease.h"

#include <algorithm>
#include <utility>

namespace amaranthwind::agent {

GivenLease::GivenLease(base::Duration aMaxLease)
  : maxLease(std::chrono::ceil<WorkerClockTime>(aMaxLease))
{
}

void
GivenLease::BeginLife(bool aHasSameId)
{
  this->latestOfEarlierLives =
    aHasSameId ? std::max(this->latestOfEarlierLives,
                          this->latest.value_or(WorkerClockTime::zero()))
               : WorkerClockTime::zero();
  this->latest.reset();
  this->latestOfOthers.reset();
  this->isLapseTaken = false;
}

void
GivenLease::OnDeadline(WorkerClockTime aDeadline)
{
  if (!this->latest || aDeadline > *this->latest) {
    this->latest = aDeadline;
    this->isLapseTaken = false;
  }
}

void
GivenLease::OnClock(WorkerClockTime aClock)
{
  if (!this->latestOfOthers) {
    // An earlier process gave its last deadline before this reading, and no
    // lease is longer than the maximum.
    this->latestOfOthers =
      std::max(aClock + this->maxLease, this->latestOfEarlierLives);
  }
}

std::optional<WorkerClockTime>
GivenLease::TimePast(WorkerClockTime aClock) const
{
  return this->latest ? std::optional(aClock - *this->latest) : std::nullopt;
}

bool
GivenLease::MayHaveOther(WorkerClockTime aClock) const
{
  return !this->latestOfOthers || aClock <= *this->latestOfOthers;
}

bool
GivenLease::TakeLapse(WorkerClockTime aClock)
{
  const bool hasLapsed =
    (!this->latest || aClock > *this->latest) && !this->MayHaveOther(aClock);
  return hasLapsed && !std::exchange(this->isLapseTaken, true);
}

} // namespace amaranthwind::agent
