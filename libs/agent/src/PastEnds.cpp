#include "PastEnds.h"

#include <algorithm>
#include <utility>

namespace amaranthwind::agent {

using namespace std::chrono_literals;

namespace {

/** Longer than a coordinator is away in any failover. */
constexpr base::Duration kMaxAge = 5min;
/** Limits the size of the reports, which all list these ends. */
constexpr std::size_t kMaxEnds = 1024;

} // namespace

void
PastEnds::Add(const ledger::WorkerIncarnation& aLife,
              EndsByNumber aEnds,
              base::TimePoint aNow)
{
  if (!aEnds.empty()) {
    this->size += aEnds.size();
    this->lives.push_back({ aLife, aNow, std::move(aEnds) });
  }
}

EndsByNumber
PastEnds::Take(const ledger::WorkerIncarnation& aLife)
{
  EndsByNumber taken;
  std::erase_if(this->lives, [&](Life& aEach) {
    if (aEach.id != aLife) {
      return false;
    }
    this->size -= aEach.ends.size();
    taken.merge(aEach.ends);
    return true;
  });
  return taken;
}

std::size_t
PastEnds::Acknowledge(const ledger::WorkerIncarnation& aLife,
                      std::uint64_t aNumber)
{
  const std::size_t before = this->size;
  std::erase_if(this->lives, [&](Life& aEach) {
    if (aEach.id != aLife) {
      return false;
    }
    this->size -= std::erase_if(aEach.ends, [aNumber](const auto& aEnd) {
      return aEnd.first <= aNumber;
    });
    return aEach.ends.empty();
  });
  return before - this->size;
}

std::vector<PastEnds::Discarded>
PastEnds::Limit(base::TimePoint aNow)
{
  std::vector<Discarded> discarded;
  while (!this->lives.empty() && this->lives.front().since + kMaxAge <= aNow) {
    const Life& oldest = this->lives.front();
    discarded.push_back(
      { oldest.id, oldest.ends.size(), "not acknowledged in time" });
    this->size -= oldest.ends.size();
    this->lives.pop_front();
  }
  while (this->size > kMaxEnds) {
    Life& oldest = this->lives.front();
    const std::size_t count =
      std::min(this->size - kMaxEnds, oldest.ends.size());
    discarded.push_back({ oldest.id, count, "too many" });
    this->size -= count;
    oldest.ends.erase(
      oldest.ends.begin(),
      std::next(oldest.ends.begin(), static_cast<std::ptrdiff_t>(count)));
    if (oldest.ends.empty()) {
      this->lives.pop_front();
    }
  }
  return discarded;
}

std::vector<dispatch::PastEnd>
PastEnds::List() const
{
  std::vector<dispatch::PastEnd> list;
  list.reserve(this->size);
  for (const Life& life : this->lives) {
    for (const auto& [number, end] : life.ends) {
      list.push_back({ life.id, end });
    }
  }
  return list;
}

} // namespace amaranthwind::agent
