#include "amaranthwind/policy/Policy.h"

#include <algorithm>

namespace amaranthwind::policy {

namespace {

template<typename Item, typename Id>
const Item*
FindById(std::span<const Item> aItems, const Id& aId) noexcept
{
  auto found = std::lower_bound(
    aItems.begin(), aItems.end(), aId, [](const Item& aItem, const Id& aKey) {
      return aItem.id < aKey;
    });
  if (found == aItems.end() || found->id != aId) {
    return nullptr;
  }
  return &*found;
}

} // namespace

const Account*
Policy::FindAccount(const base::AccountId& aId) const noexcept
{
  return FindById(std::span<const Account>(this->accounts), aId);
}

const WorkKind*
Policy::FindKind(const base::WorkKindId& aId) const noexcept
{
  return FindById(std::span<const WorkKind>(this->kinds), aId);
}

} // namespace amaranthwind::policy
