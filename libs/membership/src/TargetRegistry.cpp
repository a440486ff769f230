#include "amaranthwind/membership/TargetRegistry.h"

#include "TargetLifeCycle.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace amaranthwind::membership {

namespace {

using base::Duration;
using base::TimePoint;

/** Size on the wire of a heartbeat and its acknowledgement. */
constexpr std::int64_t kHeartbeatBytes = 60;
/** Heartbeat traffic per process, within a total budget of 15 KB/s. */
constexpr std::int64_t kHeartbeatBytesPerSecond = 10'000;
constexpr Duration kShortestInterval = std::chrono::seconds(1);

/** Interval changes of at most 1/16 are not sent to the targets. */
constexpr int kIntervalTolerance = 16;

/**
 * Gap between two ticks that indicates a pause of this process. Heartbeats
 * received during the pause are still unread, so the targets were not silent.
 */
constexpr Duration kPauseThreshold = std::chrono::seconds(1);

/** Departed targets are kept for this time to recognize late messages. */
constexpr Duration kDepartedRetention = std::chrono::minutes(10);

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
    auto [position, isNew] = this->indexById.try_emplace(aTarget, 0);
    if (isNew) {
      position->second = this->Add(aTarget, aIncarnation);
      ++this->present;
    }
    TargetRecord& record = this->records[position->second];
    if (record.incarnation != aIncarnation) {
      if (IsPresent(record.State()) && aIncarnation < record.incarnation) {
        return effects;
      }
      this->Process<lifecycle::Restart>(record, effects);
      record.incarnation = aIncarnation;
      record.deadlineInterval = {};
    } else {
      this->Process<lifecycle::Hello>(record, effects);
    }
    if (!IsPresent(record.State())) {
      return effects;
    }
    record.lastSeen = aNow;
    record.interval = this->Interval();
    record.deadlineInterval =
      std::max(record.deadlineInterval, record.interval);
    effects.push_back(SendInterval{ aTarget, record.interval });
    if (aIsDraining) {
      this->Process<lifecycle::Drain>(record, effects);
    }
    return effects;
  }

  TargetEffects OnHeartbeat(const base::TargetId& aTarget,
                            base::Incarnation aIncarnation,
                            bool aIsDraining,
                            TimePoint aNow)
  {
    TargetEffects effects;
    TargetRecord* const record = this->Find(aTarget, aIncarnation);
    if (record == nullptr || !IsPresent(record->State())) {
      return effects;
    }
    record->lastSeen = aNow;
    // The interval sent last may not have arrived before this heartbeat.
    record->deadlineInterval = record->interval;
    if (aIsDraining) {
      this->Process<lifecycle::Drain>(*record, effects);
    } else {
      this->Process<lifecycle::Heartbeat>(*record, effects);
    }
    const Duration interval = this->Interval();
    const Duration change = std::max(interval, record->interval) -
                            std::min(interval, record->interval);
    if (change * kIntervalTolerance > record->interval) {
      record->deadlineInterval = std::max(interval, record->interval);
      record->interval = interval;
      effects.push_back(SendInterval{ aTarget, interval });
    }
    return effects;
  }

  TargetEffects OnConnectionClosed(const base::TargetId& aTarget,
                                   base::Incarnation aIncarnation,
                                   TimePoint aNow)
  {
    TargetEffects effects;
    TargetRecord* const record = this->Find(aTarget, aIncarnation);
    if (record != nullptr && IsPresent(record->State())) {
      record->lastSeen = aNow;
      this->Process<lifecycle::ConnectionClosed>(*record, effects);
    }
    return effects;
  }

  TargetEffects OnTick(TimePoint aNow)
  {
    TargetEffects effects;
    const Duration gap = this->lastTick ? aNow - *this->lastTick : Duration{};
    this->lastTick = aNow;
    for (std::size_t i = 0; i < this->records.size();) {
      TargetRecord& record = this->records[i];
      if (gap >= kPauseThreshold) {
        record.lastSeen = std::min(record.lastSeen + gap, aNow);
      }
      const Duration silence = aNow - record.lastSeen;
      if (!IsPresent(record.State())) {
        if (silence >= kDepartedRetention) {
          this->Remove(i);
          continue;
        }
      } else if (silence * 2 >= record.deadlineInterval * 3) {
        this->Process<lifecycle::HeartbeatOverdue>(record, effects);
        if (silence >= record.deadlineInterval * 2) {
          record.lastSeen = aNow;
          this->Process<lifecycle::HeartbeatTimeout>(record, effects);
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
    const auto found = this->indexById.find(aTarget);
    if (found == this->indexById.end()) {
      return std::nullopt;
    }
    return this->records[found->second].State();
  }

  std::size_t PresentCount() const noexcept { return this->present; }

private:
  struct TargetRecord
  {
    base::TargetId id;
    base::Incarnation incarnation;
    /** Last heartbeat or Hello; time of departure for a departed target. */
    TimePoint lastSeen;
    /** Interval sent last. */
    Duration interval{};
    /** Longest interval that the target may be using; determines deadlines. */
    Duration deadlineInterval{};
    lifecycle::Machine machine;

    TargetState State() const noexcept { return this->machine.current; }
  };

  std::size_t Add(const base::TargetId& aTarget, base::Incarnation aIncarnation)
  {
    TargetRecord& record = this->records.emplace_back();
    record.id = aTarget;
    record.incarnation = aIncarnation;
    record.machine.start();
    return this->records.size() - 1;
  }

  void Remove(std::size_t aIndex)
  {
    this->indexById.erase(this->records[aIndex].id);
    if (aIndex + 1 != this->records.size()) {
      this->records[aIndex] = std::move(this->records.back());
      this->indexById[this->records[aIndex].id] = aIndex;
    }
    this->records.pop_back();
  }

  /** Returns null if the target is unknown or has another incarnation. */
  TargetRecord* Find(const base::TargetId& aTarget,
                     base::Incarnation aIncarnation)
  {
    const auto found = this->indexById.find(aTarget);
    if (found == this->indexById.end()) {
      return nullptr;
    }
    TargetRecord& record = this->records[found->second];
    return record.incarnation == aIncarnation ? &record : nullptr;
  }

  template<typename Event>
  void Process(TargetRecord& aRecord, TargetEffects& aEffects)
  {
    const bool wasPresent = IsPresent(aRecord.State());
    aRecord.machine.process_event(
      Event{ { aRecord.id, aRecord.incarnation, aEffects } });
    const bool isPresent = IsPresent(aRecord.State());
    if (wasPresent && !isPresent) {
      --this->present;
    } else if (!wasPresent && isPresent) {
      ++this->present;
    }
  }

  std::vector<TargetRecord> records;
  std::unordered_map<base::TargetId, std::size_t> indexById;
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
