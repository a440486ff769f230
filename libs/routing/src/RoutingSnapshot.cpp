#include "amaranthwind/routing/RoutingSnapshot.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace amaranthwind::routing {

namespace {

std::uint64_t
Score(std::string_view aKey, const RoutingEntry& aEntry) noexcept
{
  return XXH3_64bits_withSeed(aKey.data(), aKey.size(), aEntry.idHash);
}

} // namespace

std::uint64_t
HashTargetId(const base::TargetId& aId) noexcept
{
  return XXH3_64bits(aId.View().data(), aId.View().size());
}

RoutingSnapshot::RoutingSnapshot(std::vector<RoutingEntry> aEntries,
                                 base::TimePoint aHistoryStart)
  : entries(std::move(aEntries))
  , historyStart(aHistoryStart)
{
  for (const RoutingEntry& entry : this->entries) {
    if (entry.state != nullptr) {
      entry.state->pinCount.fetch_add(1);
    }
    if (entry.status == TargetStatus::Serving) {
      ++this->serving;
    }
  }
}

RoutingSnapshot::~RoutingSnapshot()
{
  for (const RoutingEntry& entry : this->entries) {
    if (entry.state != nullptr) {
      entry.state->pinCount.fetch_sub(1);
    }
  }
}

std::uint32_t
RoutingSnapshot::Capacity(base::TimePoint aNow) const noexcept
{
  std::uint32_t sum = 0;
  for (const RoutingEntry& entry : this->Serving()) {
    sum += entry.state->EffectiveLimit(aNow);
  }
  return sum;
}

std::optional<TargetPermit>
RoutingSnapshot::TryAcquire(const RoutingEntry& aEntry,
                            base::TimePoint aNow) const noexcept
{
  if (aEntry.status != TargetStatus::Serving ||
      !aEntry.state->TryAcquire(aNow)) {
    return std::nullopt;
  }
  return TargetPermit(*aEntry.state, aEntry.handle, aNow);
}

std::span<const RoutingEntry*>
RoutingSnapshot::Rank(std::string_view aKey,
                      std::span<const RoutingEntry*> aOrder) const noexcept
{
  std::size_t filled = 0;
  for (const RoutingEntry& entry : this->entries) {
    // Insertion sort into a short prefix; callers request two to four targets.
    const std::uint64_t score = Score(aKey, entry);
    std::size_t position = filled;
    while (position > 0) {
      const RoutingEntry& before = *aOrder[position - 1];
      const std::uint64_t other = Score(aKey, before);
      if (other > score || (other == score && before.id < entry.id)) {
        break;
      }
      --position;
    }
    if (position == aOrder.size()) {
      continue;
    }
    filled = std::min(filled + 1, aOrder.size());
    for (std::size_t i = filled - 1; i > position; --i) {
      aOrder[i] = aOrder[i - 1];
    }
    aOrder[position] = &entry;
  }
  return aOrder.first(filled);
}

} // namespace amaranthwind::routing
