#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Ids.h"
#include "amaranthwind/base/Result.h"

#include <cstdint>
#include <optional>
#include <span>
#include <variant>
#include <vector>

namespace amaranthwind::membership {

/** Vacancy after which the first entry in rendezvous order takes over. */
inline constexpr base::Duration kTakeoverDelay = std::chrono::seconds(3);

/**
 * Additional delay per rank, longer than an append and a read take. If two
 * entries race nevertheless, the newer epoch wins.
 */
inline constexpr base::Duration kRankDelay = std::chrono::milliseconds(500);

enum class StopReason : std::uint8_t
{
  NewerEpoch, // A newer epoch record was read from the log.
  StaleToken, // A target has seen a higher fencing token.
  Paused,     // The process was paused; acts again after reading the log.
  HandedOver,
};

/** Instructs the caller to append an epoch; OnEpochAppended() must follow. */
struct AppendEpoch
{
  bool operator==(const AppendEpoch&) const = default;
};

struct BecameCoordinator
{
  base::FencingToken token;
  bool operator==(const BecameCoordinator&) const = default;
};

/** Instructs the caller to stop sending messages under this token. */
struct StopActing
{
  base::FencingToken token;
  StopReason reason = StopReason::NewerEpoch;
  bool operator==(const StopActing&) const = default;
};

using ElectionEffect = std::variant<AppendEpoch, BecameCoordinator, StopActing>;
using ElectionEffects = std::vector<ElectionEffect>;

/** Sorts entries by their precedence as coordinators of the cell. */
std::vector<base::EntryId>
RendezvousOrder(const base::ZoneId& aZone,
                std::span<const base::EntryId> aEntries);

/**
 * Decides when this entry becomes coordinator of one cell and when it stops.
 * The writer of the newest epoch record in the log is the coordinator; all
 * other rules only determine which entry tries to append a record, and when.
 * Not thread-safe.
 */
class CoordinatorElection
{
public:
  CoordinatorElection(const base::ZoneId& aZone,
                      const base::EntryId& aSelf,
                      base::TimePoint aNow);

  /** Updates the set of live entries; this entry is added if missing. */
  ElectionEffects OnEntries(std::span<const base::EntryId> aLive,
                            base::TimePoint aNow);

  /** Handles a newer epoch found by the replay. aWriter is empty if unknown. */
  ElectionEffects OnEpoch(base::FencingToken aToken,
                          const base::EntryId& aWriter,
                          base::TimePoint aNow);

  /**
   * Handles a peer's report of the coordinator of an epoch whose record has
   * expired. Ignored unless it is the newest epoch and its writer is unknown.
   */
  ElectionEffects OnCoordinatorReported(base::FencingToken aToken,
                                        const base::EntryId& aCoordinator,
                                        base::TimePoint aNow);

  /** Called when the replay has reached the end of the log. */
  ElectionEffects OnCaughtUp(base::TimePoint aNow);

  /** Handles the result of the append requested by AppendEpoch. */
  ElectionEffects OnEpochAppended(
    const base::Result<base::FencingToken>& aResult,
    base::TimePoint aNow);

  /**
   * Handles the announcement of coordinator aFrom that it stops. aToken is the
   * token that it acted under.
   */
  ElectionEffects OnHandOver(const base::EntryId& aFrom,
                             base::FencingToken aToken,
                             base::TimePoint aNow);

  /** Handles the rejection of aToken by a target. */
  ElectionEffects OnStaleToken(base::FencingToken aToken, base::TimePoint aNow);

  /** Must be called at least every 250 ms. */
  ElectionEffects OnTick(base::TimePoint aNow);

  /** Called on shutdown; stops acting and never takes over again. */
  ElectionEffects HandOver(base::TimePoint aNow);

  bool IsActing() const noexcept { return this->isActing; }
  /** Writer of the newest epoch; empty if none or unknown. */
  const base::EntryId& Coordinator() const noexcept
  {
    return this->coordinator;
  }
  /** Recipient of the handover; empty if no other entry is alive. */
  base::EntryId Successor() const;

private:
  bool IsVacant() const;
  void UpdateVacancy(base::TimePoint aNow);
  base::Duration RankDelay() const;
  void Stop(StopReason aReason, ElectionEffects& aEffects);
  void StartIfNewest(ElectionEffects& aEffects);

  base::ZoneId zone;
  base::EntryId self;
  /** In rendezvous order. */
  std::vector<base::EntryId> order;

  std::optional<base::FencingToken> newestToken;
  base::EntryId coordinator;
  /** Token of the epoch record appended by this process. */
  std::optional<base::FencingToken> ownToken;
  bool isActing = false;
  bool isAppending = false;
  bool isCaughtUp = false;
  bool isShuttingDown = false;
  bool isHandedOver = false;
  /** Time since which no coordinator is known to act. */
  std::optional<base::TimePoint> vacantSince;
  base::Duration takeoverDelay = kTakeoverDelay;
  base::TimePoint earliestAppend;
  base::TimePoint lastTick;
};

} // namespace amaranthwind::membership
