#include "request_quota.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <set>

namespace sycamore::gateway {

using base::Millis;
using base::TimePoint;

struct RequestQuotaFixture
{
  TimePoint mNow = TimePoint(base::Seconds(1000));
  RequestQuota mQuota;

  static std::vector<std::string> Gateways(size_t aCount)
  {
    std::vector<std::string> gateways;
    for (size_t i = 0; i < aCount; ++i) {
      gateways.push_back(fmt::format("front-{}", i));
    }
    return gateways;
  }

  // Calls sent in aTime by a gateway that always has some.
  size_t SendFor(Millis aTime)
  {
    size_t sent = 0;
    for (const TimePoint end = mNow + aTime; mNow < end; mNow += Millis(1)) {
      while (DelayOf(mQuota, mNow) == Millis(0)) {
        Take(mQuota, mNow);
        ++sent;
      }
    }
    return sent;
  }
};

// Guards against a gateway that sends more than its rate after a time without calls, as one that
// was frozen does.
BOOST_FIXTURE_TEST_CASE(RequestQuotaUnusedTimeIsNotSavedUp, RequestQuotaFixture)
{
  SetRate(mQuota, 2, mNow);
  BOOST_TEST(SendFor(base::Seconds(10)) == 19U);
  mNow += base::Seconds(100);
  BOOST_TEST(SendFor(base::Seconds(4)) <= 9U);
}

// Guards against calls that are promised the same turn: each one that waits moves the next back.
BOOST_FIXTURE_TEST_CASE(RequestQuotaCallsThatWaitHaveTheirOwnTurns, RequestQuotaFixture)
{
  SetRate(mQuota, 10, mNow);
  mNow += base::Seconds(1);
  BOOST_TEST((DelayOf(mQuota, mNow) == Millis(0)));
  while (DelayOf(mQuota, mNow) == Millis(0)) {
    Take(mQuota, mNow);
  }
  const auto first = DelayOf(mQuota, mNow);
  BOOST_TEST((first > Millis(0) && first <= Millis(100)));
  Take(mQuota, mNow);
  BOOST_TEST((DelayOf(mQuota, mNow) == *first + Millis(100)));
  Return(mQuota, mNow);
  BOOST_TEST((DelayOf(mQuota, mNow) == first));
}

// Guards against a gateway without a share that waits for its turn.
BOOST_FIXTURE_TEST_CASE(RequestQuotaWithoutARateNeverAllowsACall, RequestQuotaFixture)
{
  SetRate(mQuota, 0, mNow);
  mNow += base::Seconds(100);
  BOOST_TEST(!DelayOf(mQuota, mNow).has_value());
}

// Guards against shares that do not add up to the limit, at any size of the fleet, and against
// shares so small that a gateway's first call exceeds them.
BOOST_FIXTURE_TEST_CASE(RequestQuotaSharesAddUpToTheLimit, RequestQuotaFixture)
{
  for (const size_t count : { 1U, 2U, 7U, 127U, 330U }) {
    const auto gateways = Gateways(count);
    for (const double limit : { 0.5, 1.0, 3.8, 5.1, 40.0, 1000.0 }) {
      double sum = 0;
      size_t holders = 0;
      for (const std::string& gateway : gateways) {
        const QuotaShare share = ShareOf(gateway, gateways, "i-1", limit);
        sum += share.mPerSecond;
        holders += share.mPerSecond > 0 ? 1 : 0;
      }
      BOOST_TEST(std::abs(sum - limit) < 1e-6);
      BOOST_TEST(static_cast<double>(holders) < limit + 1);
    }
  }
}

// Guards against a limit of zero that nobody would ever hear the end of.
BOOST_FIXTURE_TEST_CASE(RequestQuotaOfALimitOfZeroLetsOneGatewayAskNowAndThen, RequestQuotaFixture)
{
  const auto gateways = Gateways(330);
  double sum = 0;
  for (const std::string& gateway : gateways) {
    sum += ShareOf(gateway, gateways, "i-1", 0).mPerSecond;
  }
  BOOST_TEST(sum > 0);
  // 5 requests in 4 s are allowed whatever the limit is.
  BOOST_TEST(sum * 4 + 1 < 5);
}

// Guards against a join that gives the whole limit to other gateways: those that do not know of it
// yet would send beside them.
BOOST_FIXTURE_TEST_CASE(RequestQuotaJoinChangesOneHolderAtMost, RequestQuotaFixture)
{
  const auto before = Gateways(40);
  const auto after = Gateways(41);
  for (int replica = 0; replica < 50; ++replica) {
    const std::string id = fmt::format("i-{}", replica);
    std::set<std::string> lost;
    for (const std::string& gateway : before) {
      const bool held = ShareOf(gateway, before, id, 5).mPerSecond > 0;
      if (held && ShareOf(gateway, after, id, 5).mPerSecond == 0) {
        lost.insert(gateway);
      }
    }
    BOOST_TEST(lost.size() <= 1U);
  }
}

}
