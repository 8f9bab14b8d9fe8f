#include "sycamore/accounts/account_table.h"
#include "sycamore/base/clock.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <fmt/format.h>
#include <string>

namespace sycamore::accounts {

struct AccountTableFixture
{
  AccountTable mTable;

  AccountTableFixture()
  {
    BOOST_TEST(AddAccount(mTable, { "one", 0, 1, {} }));
    BOOST_TEST(AddAccount(mTable, { "two", 0, std::nullopt, { 5, 10 } }));
  }
};

// Guards against a request that runs for another account than the one that holds its key.
BOOST_FIXTURE_TEST_CASE(AccountTableKeyFindsItsHolderOnly, AccountTableFixture)
{
  BOOST_TEST(mTable.mKeys.Add("key-a", 0));
  BOOST_TEST(mTable.mKeys.Add("key-b", 1));
  BOOST_TEST(mTable.mKeys.Add("key-c", 1));
  BOOST_TEST(HolderOf(mTable, DigestOf("key-a"))->mName == "one");
  BOOST_TEST(HolderOf(mTable, DigestOf("key-c"))->mName == "two");
  for (const char* unknown : { "", "key-", "key-a ", "KEY-A", "key-aa", "key-d" }) {
    BOOST_TEST(HolderOf(mTable, DigestOf(unknown)) == nullptr, unknown);
  }
}

// Guards against a key that belongs to whichever account was read last.
BOOST_FIXTURE_TEST_CASE(AccountTableKeyOfAnotherAccountIsRefused, AccountTableFixture)
{
  BOOST_TEST(mTable.mKeys.Add("key", 0));
  BOOST_TEST(mTable.mKeys.Add("key", 0)); // The same account may name it twice.
  BOOST_TEST(!mTable.mKeys.Add("key", 1));
  BOOST_TEST(HolderOf(mTable, DigestOf("key"))->mName == "one");
}

// Guards against two accounts of one name, whose requests would share turns and quota.
BOOST_FIXTURE_TEST_CASE(AccountTableNameOfAnotherAccountIsRefused, AccountTableFixture)
{
  BOOST_TEST(!AddAccount(mTable, { "one", 0, std::nullopt, {} }));
  BOOST_TEST(mTable.mAccounts.size() == 2U);
  BOOST_TEST(FindAccount(mTable, AccountId("two"))->mName == "two");
  BOOST_TEST(FindAccount(mTable, AccountId("three")) == nullptr);
  BOOST_TEST(AccountId("") > kNoAccount);
}

// Guards against a lookup whose time grows with the keys of the configuration: 5 microseconds at
// 100,000 keys are the target; the bound leaves room for a sanitizer and a busy machine.
BOOST_FIXTURE_TEST_CASE(AccountTableLookupAmongManyKeysIsFast, AccountTableFixture)
{
  static constexpr size_t kKeys = 100000;
  static constexpr size_t kLookups = 100000;
  for (size_t i = 0; i < kKeys; ++i) {
    mTable.mKeys.Add(fmt::format("key-{:016x}", i), i % 2);
  }
  const base::TimePoint begin = base::Clock::now();
  size_t found = 0;
  for (size_t i = 0; i < kLookups; ++i) {
    found += HolderOf(mTable, DigestOf(fmt::format("key-{:016x}", i * 7))) != nullptr ? 1 : 0;
  }
  const auto took = std::chrono::duration<double, std::micro>(base::Clock::now() - begin);
  BOOST_TEST_MESSAGE("microseconds a lookup: " << took.count() / kLookups);
  BOOST_TEST(found == (kKeys + 6) / 7);
  BOOST_TEST(took.count() / kLookups < 50);
}

}
