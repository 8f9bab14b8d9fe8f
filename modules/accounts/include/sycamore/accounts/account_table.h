#pragma once

#include "sycamore/accounts/account.h"
#include "sycamore/accounts/api_keys.h"

#include <unordered_map>
#include <vector>

namespace sycamore::accounts {

// The client accounts of one version of the configuration. Requests need a key if there are any.
struct AccountTable
{
  std::vector<Account> mAccounts;
  ApiKeys mKeys;                             // Values index mAccounts.
  std::unordered_map<uint64_t, size_t> mIds; // Index in mAccounts by account id.

  bool InForce() const { return !mAccounts.empty(); }
};

// Adds aAccount and sets its id. False if there is an account of that name.
bool
AddAccount(AccountTable& aTable, Account aAccount);

// The account that holds the key; null if none does.
const Account*
HolderOf(const AccountTable& aTable, const KeyDigest& aKey);

// The account with that id; null if there is none.
const Account*
FindAccount(const AccountTable& aTable, uint64_t aId);

}
