#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Ids.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace amaranthwind::membership {

enum class TargetState : std::uint8_t
{
  Announced, // It said Hello and has not sent a heartbeat yet.
  Active,
  Suspect, // Silent for one and a half intervals; it still gets new work.
  Draining,
  Lost, // It must say Hello again.
  Left, // It drained and closed its connection.
};

enum class LossReason : std::uint8_t
{
  Closed,
  Silent,
  Restarted,
};

/** New work may go to the target. */
struct BecameUsable
{
  base::TargetId target;
  base::Incarnation incarnation;
  bool operator==(const BecameUsable&) const = default;
};

/** A heartbeat is overdue by half an interval: try a second connection. */
struct BecameSuspect
{
  base::TargetId target;
  base::Incarnation incarnation;
  bool operator==(const BecameSuspect&) const = default;
};

struct SuspicionCleared
{
  base::TargetId target;
  base::Incarnation incarnation;
  bool operator==(const SuspicionCleared&) const = default;
};

/** The target drains: no new work from now on. */
struct StopNewWork
{
  base::TargetId target;
  base::Incarnation incarnation;
  bool operator==(const StopNewWork&) const = default;
};

/**
 * No new work; what was sent to this incarnation has an unknown outcome. Close
 * the connections that it still has.
 */
struct TargetLost
{
  base::TargetId target;
  base::Incarnation incarnation;
  LossReason reason = LossReason::Silent;
  bool operator==(const TargetLost&) const = default;
};

struct TargetLeft
{
  base::TargetId target;
  base::Incarnation incarnation;
  bool operator==(const TargetLeft&) const = default;
};

/** Tell the target, with Welcome or the next HeartbeatAck. */
struct SendInterval
{
  base::TargetId target;
  base::Duration interval{};
  bool operator==(const SendInterval&) const = default;
};

using TargetEffect = std::variant<BecameUsable,
                                  BecameSuspect,
                                  SuspicionCleared,
                                  StopNewWork,
                                  TargetLost,
                                  TargetLeft,
                                  SendInterval>;
using TargetEffects = std::vector<TargetEffect>;

/** Time between the heartbeats of each of so many targets. */
base::Duration
HeartbeatInterval(std::size_t aTargets) noexcept;

/**
 * The targets that report to this process. All times are those of the
 * receiver's monotonic clock. A target is lost when its last connection closes,
 * or after two intervals without a heartbeat. Not thread-safe.
 */
class TargetRegistry
{
public:
  TargetRegistry();
  ~TargetRegistry();
  TargetRegistry(TargetRegistry&&) noexcept;
  TargetRegistry& operator=(TargetRegistry&&) noexcept;

  /**
   * Hello on a first or second connection. Another incarnation replaces the one
   * before; a lower one is taken for late unless the target is lost or left.
   */
  TargetEffects OnHello(const base::TargetId& aTarget,
                        base::Incarnation aIncarnation,
                        bool aIsDraining,
                        base::TimePoint aNow);

  /** Ignored from another incarnation and from a target that is not present. */
  TargetEffects OnHeartbeat(const base::TargetId& aTarget,
                            base::Incarnation aIncarnation,
                            bool aIsDraining,
                            base::TimePoint aNow);

  /** The last connection of this incarnation has closed. */
  TargetEffects OnConnectionClosed(const base::TargetId& aTarget,
                                   base::Incarnation aIncarnation,
                                   base::TimePoint aNow);

  /** To be called every kTickInterval. */
  TargetEffects OnTick(base::TimePoint aNow);

  /** Interval for the number of targets that are present now. */
  base::Duration Interval() const noexcept;

  /** Empty if not known. */
  std::optional<TargetState> StateOf(const base::TargetId& aTarget) const;

  /** Targets that are neither lost nor left. */
  std::size_t PresentCount() const noexcept;

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

inline constexpr base::Duration kTickInterval = std::chrono::milliseconds(250);

} // namespace amaranthwind::membership
