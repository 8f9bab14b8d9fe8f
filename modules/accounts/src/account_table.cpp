#include "sycamore/accounts/account_table.h"

#include <utility>

namespace sycamore::accounts {

bool
AddAccount(AccountTable& aTable, Account aAccount)
{
  aAccount.mId = AccountId(aAccount.mName);
  if (!aTable.mIds.try_emplace(aAccount.mId, aTable.mAccounts.size()).second) {
    return false;
  }
  aTable.mAccounts.push_back(std::move(aAccount));
  return true;
}

const Account*
HolderOf(const AccountTable& aTable, const KeyDigest& aKey)
{
  const auto index = aTable.mKeys.Find(aKey);
  return index ? &aTable.mAccounts[*index] : nullptr;
}

const Account*
FindAccount(const AccountTable& aTable, uint64_t aId)
{
  const auto entry = aTable.mIds.find(aId);
  return entry == aTable.mIds.end() ? nullptr : &aTable.mAccounts[entry->second];
}

}
