#include "amaranthwind/routing/TargetPicker.h"

#include <cstddef>
#include <cstdint>

namespace amaranthwind::routing {

namespace {

/** Maps a random 32-bit number to [0, aSize) without a division. */
std::size_t
Scale(std::uint32_t aRandom, std::size_t aSize)
{
  return (std::uint64_t{ aRandom } * aSize) >> 32U;
}

struct Candidate
{
  const RoutingEntry* entry;
  std::uint32_t inFlight;
  std::uint32_t limit;

  bool HasCapacity() const { return this->inFlight < this->limit; }
  /**
   * Compares (in flight + 1) / limit without a division. Uses the full limit,
   * because a target on probation would appear busy relative to its reduced
   * limit and never receive the trial requests that end its probation.
   */
  bool IsLessLoadedThan(const Candidate& aOther) const
  {
    return std::uint64_t{ this->inFlight + 1 } * aOther.entry->state->Limit() <
           std::uint64_t{ aOther.inFlight + 1 } * this->entry->state->Limit();
  }
};

Candidate
MakeCandidate(const RoutingEntry& aEntry,
              base::TimePoint aNow,
              TargetHandle aAvoid)
{
  const std::uint32_t limit =
    aEntry.handle == aAvoid ? 0 : aEntry.state->EffectiveLimit(aNow);
  return { &aEntry, aEntry.state->ApproximateInFlight(), limit };
}

} // namespace

std::optional<TargetPermit>
PowerOfTwoPicker::Pick(const RoutingSnapshot& aSnapshot,
                       base::TimePoint aNow,
                       base::RandomEngine& aRandom,
                       TargetHandle aAvoid) const
{
  const auto targets = aSnapshot.Serving();
  if (targets.empty()) {
    return std::nullopt;
  }
  const std::uint64_t random = aRandom();
  const auto low = static_cast<std::uint32_t>(random);
  const std::size_t first = Scale(low, targets.size());
  if (targets.size() > 1) {
    std::size_t second =
      Scale(static_cast<std::uint32_t>(random >> 32U), targets.size() - 1);
    second += second >= first ? 1 : 0;
    Candidate best = MakeCandidate(targets[first], aNow, aAvoid);
    const Candidate other = MakeCandidate(targets[second], aNow, aAvoid);
    if (!best.HasCapacity() ||
        (other.HasCapacity() && other.IsLessLoadedThan(best))) {
      best = other;
    }
    if (best.HasCapacity()) {
      if (auto permit = aSnapshot.TryAcquire(*best.entry, aNow)) {
        return permit;
      }
    }
  }
  const RoutingEntry* avoided = nullptr;
  for (std::size_t i = 0; i < targets.size(); ++i) {
    const std::size_t position = first + i;
    const RoutingEntry& entry =
      targets[position < targets.size() ? position : position - targets.size()];
    if (entry.handle == aAvoid) {
      avoided = &entry;
      continue;
    }
    if (auto permit = aSnapshot.TryAcquire(entry, aNow)) {
      return permit;
    }
  }
  if (avoided != nullptr) {
    return aSnapshot.TryAcquire(*avoided, aNow);
  }
  return std::nullopt;
}

} // namespace amaranthwind::routing
