#include "amaranthwind/admission/Shares.h"

#include <algorithm>
#include <limits>
#include <string>
#include <utility>

namespace amaranthwind::admission {

namespace {

// Weight 1/16 of the newest sample. With 1/8 a few long requests of a kind with
// spread-out service times tripled the estimate.
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
Usage::Observe(base::Duration aServiceTime) noexcept
{
  // A lost update between two threads drops one sample, which is harmless.
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
    share.usage->pins.fetch_add(1);
  }
  for (const KindShare& share : this->kinds) {
    share.usage->pins.fetch_add(1);
  }
}

ShareSnapshot::~ShareSnapshot()
{
  for (const AccountShare& share : this->accounts) {
    share.usage->pins.fetch_sub(1);
  }
  for (const KindShare& share : this->kinds) {
    share.usage->pins.fetch_sub(1);
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
ShareTable::Take(UsageById& aKnown, std::string_view aId)
{
  if (auto found = aKnown.find(aId); found != aKnown.end()) {
    return found->second;
  }
  // The last reader of a snapshot takes its slots before the snapshot is
  // destroyed, so no slot can appear once the pins are gone.
  auto free = std::find_if(
    this->retired.begin(), this->retired.end(), [](const Usage* aUsage) {
      return aUsage->pins.load() == 0 && aUsage->inUse.load() == 0;
    });
  Usage* usage = nullptr;
  if (free != this->retired.end()) {
    usage = *free;
    usage->meanServiceMicros.store(0);
    this->retired.erase(free);
  } else {
    usage = &this->usages.emplace_back();
  }
  aKnown.emplace(aId, usage);
  return usage;
}

template<typename IsNamed>
void
ShareTable::Retire(UsageById& aKnown, IsNamed aIsNamed)
{
  std::erase_if(aKnown, [&](const auto& aItem) {
    if (aIsNamed(aItem.first)) {
      return false;
    }
    this->retired.push_back(aItem.second);
    return true;
  });
}

std::unique_ptr<const ShareSnapshot>
ShareTable::Build(const policy::Policy& aPolicy)
{
  this->Retire(this->accounts, [&](const std::string& aId) {
    return aPolicy.FindAccount(base::AccountId(aId)) != nullptr;
  });
  this->Retire(this->kinds, [&](const std::string& aId) {
    return aPolicy.FindKind(base::WorkKindId(aId)) != nullptr;
  });
  std::vector<AccountShare> accountShares;
  accountShares.reserve(aPolicy.accounts.size());
  for (const policy::Account& account : aPolicy.accounts) {
    accountShares.push_back(
      AccountShare{ .id = account.id,
                    .weight = std::max(account.weight, 1U),
                    .floorPercent = account.floorPercent,
                    .usage = this->Take(this->accounts, account.id.View()) });
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
                 .usage = this->Take(this->kinds, kind.id.View()) });
  }
  return std::make_unique<const ShareSnapshot>(std::move(accountShares),
                                               std::move(kindShares));
}

} // namespace amaranthwind::admission
