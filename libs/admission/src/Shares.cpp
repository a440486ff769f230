#include "amaranthwind/admission/Shares.h"

#include <algorithm>
#include <limits>
#include <string>
#include <utility>

namespace amaranthwind::admission {

namespace {

// The newest sample has weight 1/16. With 1/8, a few long requests tripled the
// estimate of a kind with widely varying service times.
constexpr std::int64_t kServiceSmoothing = 16;

template<typename Share>
const Share*
Find(std::span<const Share> aShares, std::string_view aId) noexcept
{
  auto found =
    std::lower_bound(aShares.begin(),
                     aShares.end(),
                     aId,
                     [](const Share& aShare, std::string_view aWanted) {
                       return aShare.id.View() < aWanted;
                     });
  return found != aShares.end() && found->id.View() == aId ? &*found : nullptr;
}

} // namespace

void
Usage::RecordServiceTime(base::Duration aServiceTime) noexcept
{
  // A race between two threads loses one sample, which is harmless.
  const std::int64_t sample = std::clamp<std::int64_t>(
    std::chrono::duration_cast<std::chrono::microseconds>(aServiceTime).count(),
    1,
    std::numeric_limits<std::uint32_t>::max());
  const std::int64_t old =
    this->meanServiceMicros.load(std::memory_order_relaxed);
  const std::int64_t next =
    old == 0 ? sample : old + (sample - old) / kServiceSmoothing;
  this->meanServiceMicros.store(static_cast<std::uint32_t>(next),
                                std::memory_order_relaxed);
}

ShareSnapshot::ShareSnapshot(std::vector<AccountShare> aAccounts,
                             std::vector<KindShare> aKinds)
  : accounts(std::move(aAccounts))
  , kinds(std::move(aKinds))
{
  for (const AccountShare& share : this->accounts) {
    share.usage->pinCount.fetch_add(1);
  }
  for (const KindShare& share : this->kinds) {
    share.usage->pinCount.fetch_add(1);
  }
}

ShareSnapshot::~ShareSnapshot()
{
  for (const AccountShare& share : this->accounts) {
    share.usage->pinCount.fetch_sub(1);
  }
  for (const KindShare& share : this->kinds) {
    share.usage->pinCount.fetch_sub(1);
  }
}

const AccountShare*
ShareSnapshot::FindAccount(std::string_view aId) const noexcept
{
  return Find(this->Accounts(), aId);
}

const KindShare*
ShareSnapshot::FindKind(std::string_view aId) const noexcept
{
  return Find(this->Kinds(), aId);
}

Usage*
ShareTable::FindOrCreate(UsageById& aUsages, std::string_view aId)
{
  if (auto found = aUsages.find(aId); found != aUsages.end()) {
    return found->second;
  }
  // A reader acquires slots only while its snapshot is alive, so no new slot
  // can refer to the counters once the pin count is zero.
  auto free = std::find_if(
    this->retired.begin(), this->retired.end(), [](const Usage* aUsage) {
      return aUsage->pinCount.load() == 0 && aUsage->inUse.load() == 0;
    });
  Usage* usage = nullptr;
  if (free != this->retired.end()) {
    usage = *free;
    usage->meanServiceMicros.store(0);
    this->retired.erase(free);
  } else {
    usage = &this->usages.emplace_back();
  }
  aUsages.emplace(aId, usage);
  return usage;
}

template<typename IsInPolicy>
void
ShareTable::RetireWithdrawn(UsageById& aUsages, IsInPolicy aIsInPolicy)
{
  std::erase_if(aUsages, [&](const auto& aItem) {
    if (aIsInPolicy(aItem.first)) {
      return false;
    }
    this->retired.push_back(aItem.second);
    return true;
  });
}

std::unique_ptr<const ShareSnapshot>
ShareTable::Build(const policy::Policy& aPolicy)
{
  this->RetireWithdrawn(this->accounts, [&](const std::string& aId) {
    return aPolicy.FindAccount(base::AccountId(aId)) != nullptr;
  });
  this->RetireWithdrawn(this->kinds, [&](const std::string& aId) {
    return aPolicy.FindKind(base::WorkKindId(aId)) != nullptr;
  });
  std::vector<AccountShare> accountShares;
  accountShares.reserve(aPolicy.accounts.size());
  for (const policy::Account& account : aPolicy.accounts) {
    accountShares.push_back(AccountShare{
      .id = account.id,
      .weight = std::max(account.weight, 1U),
      .floorPercent = account.floorPercent,
      .usage = this->FindOrCreate(this->accounts, account.id.View()) });
  }
  std::vector<KindShare> kindShares;
  for (const policy::WorkKind& kind : aPolicy.kinds) {
    if (kind.workClass != policy::WorkClass::Request) {
      continue;
    }
    kindShares.push_back(
      KindShare{ .id = kind.id,
                 .urgency = kind.urgency,
                 .floorPercent = kind.floorPercent,
                 .queueLimit = kind.queueLimit,
                 .isIdempotent = kind.isIdempotent,
                 .usage = this->FindOrCreate(this->kinds, kind.id.View()) });
  }
  return std::make_unique<const ShareSnapshot>(std::move(accountShares),
                                               std::move(kindShares));
}

} // namespace amaranthwind::admission
