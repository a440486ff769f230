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
 * Live use of one client account or one kind of work. Owned by the ShareTable,
 * outlives snapshots. Thread-safe.
 */
struct alignas(kCacheLine) Usage
{
  /** Slots held now. */
  std::atomic<std::uint32_t> inUse{ 0 };
  /** Smoothed time that a request holds its slot; 0 before the first one. */
  std::atomic<std::uint32_t> meanServiceMicros{ 0 };
  /** Snapshots that name it. */
  std::atomic<std::uint32_t> pins{ 0 };

  void Observe(base::Duration aServiceTime) noexcept;
};

/** Share of one client account in the request slots. */
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
 * Immutable table of the shares that a policy grants. Read by many threads
 * under base::RcuCell. Must not outlive the ShareTable that built it.
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

  /** Null if the policy has no such account. */
  const AccountShare* FindAccount(std::string_view aId) const noexcept;
  /** Null if the policy has no such kind, or it is not a short request. */
  const KindShare* FindKind(std::string_view aId) const noexcept;

private:
  std::vector<AccountShare> accounts;
  std::vector<KindShare> kinds;
};

/**
 * Owns the live counters and builds snapshots. Used by one thread; must
 * outlive its snapshots and every Slot.
 */
class ShareTable
{
public:
  /**
   * Shares under aPolicy. Call it once for each holder: one snapshot for the
   * RcuCell of the I/O threads, one for the AdmissionQueue.
   */
  std::unique_ptr<const ShareSnapshot> Build(const policy::Policy& aPolicy);

  /** Counters held in memory, in use or not. */
  std::size_t Places() const noexcept { return this->usages.size(); }

private:
  using UsageById = std::map<std::string, Usage*, std::less<>>;

  Usage* Take(UsageById& aKnown, std::string_view aId);
  template<typename IsNamed>
  void Retire(UsageById& aKnown, IsNamed aIsNamed);

  std::deque<Usage> usages;
  UsageById accounts;
  UsageById kinds;
  /** Of withdrawn ids; reusable when no snapshot and no slot refers to them. */
  std::vector<Usage*> retired;
};

} // namespace amaranthwind::admission
