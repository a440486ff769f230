#include "amaranthwind/membership/TargetRegistry.h"

#include "TargetLifeCycle.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace amaranthwind::membership {

namespace {

using base::Duration;
using base::TimePoint;

/** A heartbeat on the wire, with the acknowledgement. */
constexpr std::int64_t kHeartbeatBytes = 60;
/** Heartbeat traffic that one process takes; the budget is 15 KB/s in all. */
constexpr std::int64_t kHeartbeatBytesPerSecond = 10'000;
constexpr Duration kShortestInterval = std::chrono::seconds(1);

/** A change of the interval by less than a sixteenth is not worth telling. */
constexpr int kIntervalTolerance = 16;

/**
 * A gap between two ticks as long as this means that the process was paused.
 * Heartbeats of that time are still unread, so the silence is not the targets'.
 */
constexpr Duration kPauseLimit = std::chrono::seconds(1);

/** Late messages of a target that has gone are recognised for this time. */
constexpr Duration kForgetAfter = std::chrono::minutes(10);

bool
IsPresent(TargetState aState) noexcept
{
  return aState != TargetState::Lost && aState != TargetState::Left;
}

} // namespace

Duration
HeartbeatInterval(std::size_t aTargets) noexcept
{
  const std::chrono::microseconds interval(static_cast<std::int64_t>(aTargets) *
                                           kHeartbeatBytes * 1'000'000 /
                                           kHeartbeatBytesPerSecond);
  return std::max<Duration>(interval, kShortestInterval);
}

class TargetRegistry::Impl
{
public:
  TargetEffects OnHello(const base::TargetId& aTarget,
                        base::Incarnation aIncarnation,
                        bool aIsDraining,
                        TimePoint aNow)
  {
    TargetEffects effects;
    auto [place, isNew] = this->places.try_emplace(aTarget, 0);
    if (isNew) {
      place->second = this->Add(aTarget, aIncarnation);
      ++this->present;
    }
    Entry& entry = this->entries[place->second];
    if (entry.incarnation != aIncarnation) {
      if (IsPresent(entry.State()) && aIncarnation < entry.incarnation) {
        return effects;
      }
      this->Process<lifecycle::Restart>(entry, effects);
      entry.incarnation = aIncarnation;
      entry.deadlineInterval = {};
    } else {
      this->Process<lifecycle::Hello>(entry, effects);
    }
    if (!IsPresent(entry.State())) {
      return effects;
    }
    entry.lastSign = aNow;
    entry.interval = this->Interval();
    entry.deadlineInterval = std::max(entry.deadlineInterval, entry.interval);
    effects.push_back(SendInterval{ aTarget, entry.interval });
    if (aIsDraining) {
      this->Process<lifecycle::Drain>(entry, effects);
    }
    return effects;
  }

  TargetEffects OnHeartbeat(const base::TargetId& aTarget,
                            base::Incarnation aIncarnation,
                            bool aIsDraining,
                            TimePoint aNow)
  {
    TargetEffects effects;
    Entry* const entry = this->Find(aTarget, aIncarnation);
    if (entry == nullptr || !IsPresent(entry->State())) {
      return effects;
    }
    entry->lastSign = aNow;
    // The interval told last may not have arrived before this heartbeat.
    entry->deadlineInterval = entry->interval;
    if (aIsDraining) {
      this->Process<lifecycle::Drain>(*entry, effects);
    } else {
      this->Process<lifecycle::Beat>(*entry, effects);
    }
    const Duration interval = this->Interval();
    const Duration change =
      std::max(interval, entry->interval) - std::min(interval, entry->interval);
    if (change * kIntervalTolerance > entry->interval) {
      entry->deadlineInterval = std::max(interval, entry->interval);
      entry->interval = interval;
      effects.push_back(SendInterval{ aTarget, interval });
    }
    return effects;
  }

  TargetEffects OnConnectionClosed(const base::TargetId& aTarget,
                                   base::Incarnation aIncarnation,
                                   TimePoint aNow)
  {
    TargetEffects effects;
    Entry* const entry = this->Find(aTarget, aIncarnation);
    if (entry != nullptr && IsPresent(entry->State())) {
      entry->lastSign = aNow;
      this->Process<lifecycle::Closed>(*entry, effects);
    }
    return effects;
  }

  TargetEffects OnTick(TimePoint aNow)
  {
    TargetEffects effects;
    const Duration gap = this->lastTick ? aNow - *this->lastTick : Duration{};
    this->lastTick = aNow;
    for (std::size_t i = 0; i < this->entries.size();) {
      Entry& entry = this->entries[i];
      if (gap >= kPauseLimit) {
        entry.lastSign = std::min(entry.lastSign + gap, aNow);
      }
      const Duration silence = aNow - entry.lastSign;
      if (!IsPresent(entry.State())) {
        if (silence >= kForgetAfter) {
          this->Remove(i);
          continue;
        }
      } else if (silence * 2 >= entry.deadlineInterval * 3) {
        this->Process<lifecycle::HalfSilent>(entry, effects);
        if (silence >= entry.deadlineInterval * 2) {
          entry.lastSign = aNow;
          this->Process<lifecycle::Silent>(entry, effects);
        }
      }
      ++i;
    }
    return effects;
  }

  Duration Interval() const noexcept
  {
    return HeartbeatInterval(this->present);
  }

  std::optional<TargetState> StateOf(const base::TargetId& aTarget) const
  {
    const auto found = this->places.find(aTarget);
    if (found == this->places.end()) {
      return std::nullopt;
    }
    return this->entries[found->second].State();
  }

  std::size_t PresentCount() const noexcept { return this->present; }

private:
  struct Entry
  {
    base::TargetId id;
    base::Incarnation incarnation;
    /** Last heartbeat or Hello; for one that has gone, when it went. */
    TimePoint lastSign;
    /** Told last. */
    Duration interval{};
    /** Longest interval that the target may be using. */
    Duration deadlineInterval{};
    lifecycle::Machine machine;

    TargetState State() const noexcept { return this->machine.current; }
  };

  std::size_t Add(const base::TargetId& aTarget, base::Incarnation aIncarnation)
  {
    Entry& entry = this->entries.emplace_back();
    entry.id = aTarget;
    entry.incarnation = aIncarnation;
    entry.machine.start();
    return this->entries.size() - 1;
  }

  void Remove(std::size_t aPlace)
  {
    this->places.erase(this->entries[aPlace].id);
    if (aPlace + 1 != this->entries.size()) {
      this->entries[aPlace] = std::move(this->entries.back());
      this->places[this->entries[aPlace].id] = aPlace;
    }
    this->entries.pop_back();
  }

  /** Null if there is no such target or it has another incarnation. */
  Entry* Find(const base::TargetId& aTarget, base::Incarnation aIncarnation)
  {
    const auto found = this->places.find(aTarget);
    if (found == this->places.end()) {
      return nullptr;
    }
    Entry& entry = this->entries[found->second];
    return entry.incarnation == aIncarnation ? &entry : nullptr;
  }

  template<typename Event>
  void Process(Entry& aEntry, TargetEffects& aEffects)
  {
    const bool wasPresent = IsPresent(aEntry.State());
    aEntry.machine.process_event(
      Event{ { aEntry.id, aEntry.incarnation, aEffects } });
    const bool isPresent = IsPresent(aEntry.State());
    if (wasPresent && !isPresent) {
      --this->present;
    } else if (!wasPresent && isPresent) {
      ++this->present;
    }
  }

  std::vector<Entry> entries;
  std::unordered_map<base::TargetId, std::size_t> places;
  std::size_t present = 0;
  std::optional<TimePoint> lastTick;
};

TargetRegistry::TargetRegistry()
  : impl(std::make_unique<Impl>())
{
}
TargetRegistry::~TargetRegistry() = default;
TargetRegistry::TargetRegistry(TargetRegistry&&) noexcept = default;
TargetRegistry&
TargetRegistry::operator=(TargetRegistry&&) noexcept = default;

TargetEffects
TargetRegistry::OnHello(const base::TargetId& aTarget,
                        base::Incarnation aIncarnation,
                        bool aIsDraining,
                        TimePoint aNow)
{
  return this->impl->OnHello(aTarget, aIncarnation, aIsDraining, aNow);
}

TargetEffects
TargetRegistry::OnHeartbeat(const base::TargetId& aTarget,
                            base::Incarnation aIncarnation,
                            bool aIsDraining,
                            TimePoint aNow)
{
  return this->impl->OnHeartbeat(aTarget, aIncarnation, aIsDraining, aNow);
}

TargetEffects
TargetRegistry::OnConnectionClosed(const base::TargetId& aTarget,
                                   base::Incarnation aIncarnation,
                                   TimePoint aNow)
{
  return this->impl->OnConnectionClosed(aTarget, aIncarnation, aNow);
}

TargetEffects
TargetRegistry::OnTick(TimePoint aNow)
{
  return this->impl->OnTick(aNow);
}

Duration
TargetRegistry::Interval() const noexcept
{
  return this->impl->Interval();
}

std::optional<TargetState>
TargetRegistry::StateOf(const base::TargetId& aTarget) const
{
  return this->impl->StateOf(aTarget);
}

std::size_t
TargetRegistry::PresentCount() const noexcept
{
  return this->impl->PresentCount();
}

} // namespace amaranthwind::membership
