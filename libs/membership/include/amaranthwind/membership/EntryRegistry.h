#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Ids.h"

#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace amaranthwind::membership {

/** Identity and address that an entry announces to its peers and targets. */
struct EntryInfo
{
  base::EntryId id;
  base::Incarnation incarnation;
  /** Listening address of the inner protocol, "IP:port". */
  std::string address;

  bool operator==(const EntryInfo&) const = default;
};

struct EntryJoined
{
  EntryInfo entry;
  bool operator==(const EntryJoined&) const = default;
};

struct EntryRemoved
{
  base::EntryId entry;
  bool operator==(const EntryRemoved&) const = default;
};

/** Instructs the caller to fetch the policy from a peer that is ahead. */
struct FetchPolicyFrom
{
  base::EntryId entry;
  base::LogOffset offset;
  bool operator==(const FetchPolicyFrom&) const = default;
};

using EntryEffect = std::variant<EntryJoined, EntryRemoved, FetchPolicyFrom>;
using EntryEffects = std::vector<EntryEffect>;

/** Two heartbeat intervals of 1 s, the interval that a small fleet uses. */
inline constexpr base::Duration kEntryHeartbeatTimeout =
  std::chrono::seconds(2);

/**
 * Time that a ready entry may lag behind a peer before it becomes not ready.
 * Entries read each note at slightly different times, so some of them lag
 * briefly after every note. An accepted release note must be in force
 * everywhere within seconds and never revert.
 */
inline constexpr base::Duration kLagTolerance = std::chrono::seconds(2);

/**
 * Tracks the live entries and the note offset that each has reported. This
 * entry is not ready until it has caught up once with every live peer. Not
 * thread-safe.
 */
class EntryRegistry
{
public:
  explicit EntryRegistry(const EntryInfo& aSelf);

  /** Handles a Hello or heartbeat of a peer, which reports its note offset. */
  EntryEffects OnSeen(const EntryInfo& aPeer,
                      base::LogOffset aNoteOffset,
                      base::TimePoint aNow);

  /**
   * Handles the loss of the last connection to this incarnation, or its
   * announcement that it is leaving.
   */
  EntryEffects OnGone(const base::EntryId& aPeer,
                      base::Incarnation aIncarnation);

  /** Must be called about every 250 ms. */
  EntryEffects OnTick(base::TimePoint aNow);

  /**
   * Sets the offset of the policy in force here; lower offsets are ignored.
   * This entry is not ready before the first call, which must follow the first
   * complete read of the log or the adoption of a peer's policy.
   */
  void OnOwnOffset(base::LogOffset aNoteOffset, base::TimePoint aNow);

  bool IsReady(base::TimePoint aNow) const noexcept;

  /** All live entries, this one first; sent to entries that join. */
  std::span<const EntryInfo> Live() const noexcept { return this->live; }
  std::vector<base::EntryId> LiveIds() const;
  /** Highest offset reported by a live peer. */
  base::LogOffset HighestPeerOffset() const noexcept;

private:
  /** State of the peer at the same index in live; element 0 is unused. */
  struct PeerState
  {
    base::LogOffset offset;
    base::TimePoint lastSeen;
  };

  void UpdateLag(base::TimePoint aNow);
  void Remove(std::size_t aIndex, EntryEffects& aEffects);
  std::size_t IndexOf(const base::EntryId& aPeer) const noexcept;

  std::vector<EntryInfo> live;
  std::vector<PeerState> peerStates;
  base::LogOffset ownOffset;
  bool hasPolicy = false;
  bool wasReady = false;
  /** Set while this entry is behind a live peer. */
  std::optional<base::TimePoint> laggingSince;
  std::optional<base::TimePoint> lastTick;
};

} // namespace amaranthwind::membership
