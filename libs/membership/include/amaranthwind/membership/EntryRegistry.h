#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Ids.h"

#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace amaranthwind::membership {

/** What an entry tells its peers and targets about itself. */
struct EntryInfo
{
  base::EntryId id;
  base::Incarnation incarnation;
  /** Where it listens for the inner protocol, "IP:port". */
  std::string address;

  bool operator==(const EntryInfo&) const = default;
};

struct EntryJoined
{
  EntryInfo entry;
  bool operator==(const EntryJoined&) const = default;
};

struct EntryGone
{
  base::EntryId entry;
  bool operator==(const EntryGone&) const = default;
};

/** Fetch the policy from this peer: its offset is higher than the own one. */
struct FetchPolicyFrom
{
  base::EntryId entry;
  base::LogOffset offset;
  bool operator==(const FetchPolicyFrom&) const = default;
};

using EntryEffect = std::variant<EntryJoined, EntryGone, FetchPolicyFrom>;
using EntryEffects = std::vector<EntryEffect>;

/** Two intervals of one second, as for a few targets. */
inline constexpr base::Duration kEntrySilenceLimit = std::chrono::seconds(2);

/**
 * How long an entry that was ready may be behind a peer before it is not ready.
 * The entries read the log one after the other, so that each note leaves some
 * of them behind for a moment; P8 allows seconds.
 */
inline constexpr base::Duration kBehindTolerance = std::chrono::seconds(2);

/**
 * The entries that are alive and the note offset that each has shown. This
 * entry is not ready before it has caught up with every live peer once. Not
 * thread-safe.
 */
class EntryRegistry
{
public:
  explicit EntryRegistry(const EntryInfo& aSelf);

  /** Hello or heartbeat of a peer that shows its note offset. */
  EntryEffects OnSeen(const EntryInfo& aPeer,
                      base::LogOffset aNoteOffset,
                      base::TimePoint aNow);

  /** The last connection to this incarnation closed, or it said that it leaves.
   */
  EntryEffects OnGone(const base::EntryId& aPeer,
                      base::Incarnation aIncarnation);

  /** To be called every 250 ms or so. */
  EntryEffects OnTick(base::TimePoint aNow);

  /**
   * Offset of the policy in force here; a lower one is ignored. To be called
   * first when the log has been read to its end or a peer's policy was adopted;
   * this entry is not ready before.
   */
  void OnOwnOffset(base::LogOffset aNoteOffset, base::TimePoint aNow);

  bool IsReady(base::TimePoint aNow) const noexcept;

  /** All entries that are alive, this one first; told to newcomers. */
  std::span<const EntryInfo> Live() const noexcept { return this->live; }
  std::vector<base::EntryId> LiveIds() const;
  /** The highest offset that a live peer has shown. */
  base::LogOffset HighestPeerOffset() const noexcept;

private:
  /** Of the peer at the same place in live; the first element is unused. */
  struct Sign
  {
    base::LogOffset offset;
    base::TimePoint lastSeen;
  };

  void UpdateBehind(base::TimePoint aNow);
  void Remove(std::size_t aPlace, EntryEffects& aEffects);
  std::size_t PlaceOf(const base::EntryId& aPeer) const noexcept;

  std::vector<EntryInfo> live;
  std::vector<Sign> signs;
  base::LogOffset ownOffset;
  bool hasPolicy = false;
  bool wasReady = false;
  /** Set while a live peer is ahead. */
  std::optional<base::TimePoint> behindSince;
  std::optional<base::TimePoint> lastTick;
};

} // namespace amaranthwind::membership
