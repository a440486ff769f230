#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Ids.h"
#include "amaranthwind/policy/Policy.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

namespace amaranthwind::admission {

inline constexpr std::size_t kCacheLine = 64;

/**
 * Usage counters of one client account or one kind of work. Owned by the
 * ShareTable and outlives its snapshots. Thread-safe.
 */
struct alignas(kCacheLine) Usage
{
  /** Slots currently held. */
  std::atomic<std::uint32_t> inUse{ 0 };
  /** Smoothed time that a request holds its slot; 0 before any sample. */
  std::atomic<std::uint32_t> meanServiceMicros{ 0 };
  /** Number of snapshots that refer to these counters. */
  std::atomic<std::uint32_t> pinCount{ 0 };

  void RecordServiceTime(base::Duration aServiceTime) noexcept;
};

/** Share of the request slots granted to one client account. */
struct AccountShare
{
  base::AccountId id;
  std::uint32_t weight = 1;
  std::uint32_t floorPercent = 0;
  Usage* usage = nullptr;
};

/** Share and limits of one kind of short request. */
struct KindShare
{
  base::WorkKindId id;
  /** 0 is the most urgent. */
  std::uint32_t urgency = 0;
  std::uint32_t floorPercent = 0;
  base::Duration queueLimit{};
  bool isIdempotent = false;
  Usage* usage = nullptr;
};

/**
 * Immutable table of the shares granted by a policy. Read concurrently under
 * base::RcuCell. Must not outlive the ShareTable that built it.
 */
class ShareSnapshot
{
public:
  ShareSnapshot(std::vector<AccountShare> aAccounts,
                std::vector<KindShare> aKinds);
  ~ShareSnapshot();
  ShareSnapshot(const ShareSnapshot&) = delete;
  ShareSnapshot& operator=(const ShareSnapshot&) = delete;

  /** Sorted by id. */
  std::span<const AccountShare> Accounts() const noexcept
  {
    return this->accounts;
  }
  /** Sorted by id. */
  std::span<const KindShare> Kinds() const noexcept { return this->kinds; }

  /** Returns null if the policy has no such account. */
  const AccountShare* FindAccount(std::string_view aId) const noexcept;
  /** Returns null if the policy has no such kind of short request. */
  const KindShare* FindKind(std::string_view aId) const noexcept;

private:
  std::vector<AccountShare> accounts;
  std::vector<KindShare> kinds;
};

/**
 * Owns the usage counters and builds snapshots. Used by a single thread; must
 * outlive its snapshots and every Slot.
 */
class ShareTable
{
public:
  /**
   * Builds the shares granted by aPolicy. Call once per owner: one snapshot for
   * the RcuCell of the I/O threads, another for the AdmissionQueue.
   */
  std::unique_ptr<const ShareSnapshot> Build(const policy::Policy& aPolicy);

  /** Number of usage counters in memory, including retired ones. */
  std::size_t UsageCount() const noexcept { return this->usages.size(); }

private:
  using UsageById = std::map<std::string, Usage*, std::less<>>;

  Usage* FindOrCreate(UsageById& aUsages, std::string_view aId);
  template<typename IsInPolicy>
  void RetireWithdrawn(UsageById& aUsages, IsInPolicy aIsInPolicy);

  std::deque<Usage> usages;
  UsageById accounts;
  UsageById kinds;
  /**
   * Counters of withdrawn ids. Reusable once no snapshot and no slot refers to
   * them.
   */
  std::vector<Usage*> retired;
};

} // namespace amaranthwind::admission
