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
  Announced, // Has sent Hello but no heartbeat yet.
  Active,
  Suspect, // Silent for 1.5 heartbeat intervals; still receives new work.
  Draining,
  Lost, // Must send Hello again.
  Left, // Closed its connection after draining.
};

enum class LossReason : std::uint8_t
{
  Closed,
  Silent,
  Restarted,
};

/** The target may receive new work. */
struct BecameUsable
{
  base::TargetId target;
  base::Incarnation incarnation;
  bool operator==(const BecameUsable&) const = default;
};

/** A heartbeat is overdue by half an interval; try a second connection. */
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

/** The target is draining and must not receive new work. */
struct StopNewWork
{
  base::TargetId target;
  base::Incarnation incarnation;
  bool operator==(const StopNewWork&) const = default;
};

/**
 * The target must not receive new work, and work sent to this incarnation has
 * an unknown outcome. Its remaining connections must be closed.
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

/** Heartbeat interval to send with Welcome or the next HeartbeatAck. */
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

/** Heartbeat interval of each target if there are aTargets of them. */
base::Duration
HeartbeatInterval(std::size_t aTargets) noexcept;

/**
 * Failure detector for the targets that report to this process. All times are
 * on the receiver's monotonic clock. A target is lost when its last connection
 * closes, or after two intervals without a heartbeat. Not thread-safe.
 */
class TargetRegistry
{
public:
  TargetRegistry();
  ~TargetRegistry();
  TargetRegistry(TargetRegistry&&) noexcept;
  TargetRegistry& operator=(TargetRegistry&&) noexcept;

  /**
   * Handles Hello on a first or second connection. A new incarnation replaces
   * the previous one. A lower incarnation is ignored as a late message, unless
   * the target is lost or has left.
   */
  TargetEffects OnHello(const base::TargetId& aTarget,
                        base::Incarnation aIncarnation,
                        bool aIsDraining,
                        base::TimePoint aNow);

  /** Handles a heartbeat; ignored if stale or if the target is not present. */
  TargetEffects OnHeartbeat(const base::TargetId& aTarget,
                            base::Incarnation aIncarnation,
                            bool aIsDraining,
                            base::TimePoint aNow);

  /** Handles the loss of the last connection of this incarnation. */
  TargetEffects OnConnectionClosed(const base::TargetId& aTarget,
                                   base::Incarnation aIncarnation,
                                   base::TimePoint aNow);

  /** Must be called every kTickInterval. */
  TargetEffects OnTick(base::TimePoint aNow);

  /** Heartbeat interval for the number of targets now present. */
  base::Duration Interval() const noexcept;

  /** Empty if the target is unknown. */
  std::optional<TargetState> StateOf(const base::TargetId& aTarget) const;

  /** Number of targets that are neither lost nor have left. */
  std::size_t PresentCount() const noexcept;

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

inline constexpr base::Duration kTickInterval = std::chrono::milliseconds(250);

} // namespace amaranthwind::membership
