#include "sycamore/accounts/account_usage.h"

#include <boost/test/unit_test.hpp>

namespace sycamore::accounts {

using base::Millis;
using base::Seconds;
using base::TimePoint;

struct AccountUsageFixture
{
  // 20 requests in a window of 5 s.
  const Account mAccount{ "one", AccountId("one"), std::nullopt, { 3, 5 } };
  TimePoint mNow = TimePoint(Seconds(1000));
  AccountUsage mUsage{ { Seconds(5), 0 }, "front-1" };

  AccountUsageFixture() { Hear({}); }

  // The hub has followed the gateways for long and tells the requests elsewhere.
  void Hear(const UsageRows& aRows) { mUsage.HearOthers(aRows, Seconds(60), mNow); }

  size_t Admitted(size_t aCount, bool aBegins)
  {
    size_t admitted = 0;
    for (size_t i = 0; i < aCount; ++i) {
      admitted += mUsage.Admit(mAccount, mNow, aBegins).mAllowed ? 1 : 0;
    }
    return admitted;
  }
};

// Guards against programs that begin and use up the quota which running ones need to end: a burst
// of new programs leaves room for the calls of those that have begun.
BOOST_FIXTURE_TEST_CASE(AccountUsageBeginningsLeaveRoomForRunningPrograms, AccountUsageFixture)
{
  BOOST_TEST(Admitted(30, true) == 17U);
  mUsage.HearOthers({}, Seconds(60), mNow);
  BOOST_TEST(Admitted(1, true) == 0U);
  BOOST_TEST(Admitted(30, false) >= 2U);
}

// Guards against a limit that an account without one gets, and against counting it.
BOOST_FIXTURE_TEST_CASE(AccountUsageOfAnAccountWithoutALimitIsNotCounted, AccountUsageFixture)
{
  const Account unlimited{ "two", AccountId("two"), std::nullopt, {} };
  for (int i = 0; i < 1000; ++i) {
    BOOST_TEST_REQUIRE(mUsage.Admit(unlimited, mNow).mAllowed);
  }
  BOOST_TEST(mUsage.Report(true, mNow).empty());
}

// Guards against memory that grows with the accounts of many days.
BOOST_FIXTURE_TEST_CASE(AccountUsageForgetsAccountsWithoutRequests, AccountUsageFixture)
{
  for (int i = 0; i < 1000; ++i) {
    const std::string name = "account-" + std::to_string(i);
    mUsage.Admit({ name, AccountId(name), std::nullopt, { 1, 1 } }, mNow);
  }
  BOOST_TEST(mUsage.Size() == 1000U);
  mNow += Seconds(20);
  mUsage.Expire(mNow);
  BOOST_TEST(mUsage.Size() == 0U);
}

// Guards against a gateway that is cut off and uses the whole limit for good, as if it were alone.
BOOST_FIXTURE_TEST_CASE(AccountUsageOfAGatewayCutOffForLongIsHalfOfTheLimit, AccountUsageFixture)
{
  mNow += Seconds(30);
  BOOST_TEST(Admitted(50, false) <= 10U);
}

}
