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

/** Time without a coordinator before the first entry in order takes over. */
inline constexpr base::Duration kTakeoverDelay = std::chrono::seconds(3);

/**
 * Each further entry in order waits this much longer, which is more than an
 * append and a read take. Two that race are still safe: the newer epoch wins.
 */
inline constexpr base::Duration kRankDelay = std::chrono::milliseconds(500);

enum class StopReason : std::uint8_t
{
  NewerEpoch, // Read from the log.
  StaleToken, // A target has seen a higher token.
  Paused,     // Until the log has been read to its end.
  HandedOver,
};

/** Append an epoch record; then call OnEpochAppended(). */
struct AppendEpoch
{
  bool operator==(const AppendEpoch&) const = default;
};

struct BecameCoordinator
{
  base::FencingToken token;
  bool operator==(const BecameCoordinator&) const = default;
};

/** Send nothing more under this token. */
struct StopActing
{
  base::FencingToken token;
  StopReason reason = StopReason::NewerEpoch;
  bool operator==(const StopActing&) const = default;
};

using ElectionEffect = std::variant<AppendEpoch, BecameCoordinator, StopActing>;
using ElectionEffects = std::vector<ElectionEffect>;

/** Entries in the order in which they would coordinate the cell. */
std::vector<base::EntryId>
RendezvousOrder(const base::ZoneId& aZone,
                std::span<const base::EntryId> aEntries);

/**
 * Decides when this entry takes over the coordination of one cell and when it
 * stops. The newest epoch record in the log makes the coordinator; everything
 * else only decides who tries to append one, and when. Not thread-safe.
 */
class CoordinatorElection
{
public:
  CoordinatorElection(const base::ZoneId& aZone,
                      const base::EntryId& aSelf,
                      base::TimePoint aNow);

  /** The entries that are alive; this one is added if missing. */
  ElectionEffects OnEntries(std::span<const base::EntryId> aLive,
                            base::TimePoint aNow);

  /** The replay of the cell has a newer epoch. aWriter is empty if unknown. */
  ElectionEffects OnEpoch(base::FencingToken aToken,
                          const base::EntryId& aWriter,
                          base::TimePoint aNow);

  /**
   * A peer names the coordinator of an epoch whose record has expired. Ignored
   * if it is not the newest epoch or its writer is known.
   */
  ElectionEffects OnCoordinatorTold(base::FencingToken aToken,
                                    const base::EntryId& aCoordinator,
                                    base::TimePoint aNow);

  /** The replay has reached the end of the log. */
  ElectionEffects OnCaughtUp(base::TimePoint aNow);

  /** What became of the record that AppendEpoch asked for. */
  ElectionEffects OnEpochAppended(
    const base::Result<base::FencingToken>& aResult,
    base::TimePoint aNow);

  /** The coordinator aFrom says that it stops, under the token that it had. */
  ElectionEffects OnHandOver(const base::EntryId& aFrom,
                             base::FencingToken aToken,
                             base::TimePoint aNow);

  /** A target has refused aToken. */
  ElectionEffects OnStaleToken(base::FencingToken aToken, base::TimePoint aNow);

  /** To be called every 250 ms or more often. */
  ElectionEffects OnTick(base::TimePoint aNow);

  /** This entry is shutting down: stops acting and never takes over again. */
  ElectionEffects HandOver(base::TimePoint aNow);

  bool IsActing() const noexcept { return this->isActing; }
  /** Writer of the newest epoch; empty if there is none or it is unknown. */
  const base::EntryId& Coordinator() const noexcept
  {
    return this->coordinator;
  }
  /** Whom to announce a hand-over to; empty if no other entry is alive. */
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

  std::optional<base::FencingToken> newest;
  base::EntryId coordinator;
  /** Of the epoch record that this process has appended. */
  std::optional<base::FencingToken> own;
  bool isActing = false;
  bool isAppending = false;
  bool isCaughtUp = false;
  bool isLeaving = false;
  bool isHandedOver = false;
  /** Since when there is no coordinator that acts, as far as is known here. */
  std::optional<base::TimePoint> vacantSince;
  base::Duration takeoverDelay = kTakeoverDelay;
  base::TimePoint notBefore;
  base::TimePoint lastTick;
};

} // namespace amaranthwind::membership
