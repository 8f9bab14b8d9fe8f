#include "sycamore/capacity/store_load.h"

#include <boost/test/unit_test.hpp>

namespace sycamore::capacity {

using base::Millis;

// A fleet under the burst of the large site: 14 turns a second for each gateway.
struct StoreLoadFixture
{
  static constexpr double kBurstTurns = 14;
  static constexpr Millis kDuration{ 8000 };
  static constexpr uint64_t kSeed = 20261205;

  static StoreLoad Run(Collection aCollection, uint32_t aGateways, double aTurns = kBurstTurns)
  {
    FleetModel fleet;
    fleet.mCollection = aCollection;
    fleet.mGateways = aGateways;
    fleet.mTurnsPerSecond = aTurns;
    return SimulateStoreLoad(fleet, StoreModel{}, kDuration, kSeed);
  }
};

// Guards against a model that does not show the collapse it was made for: in a burst the appends of
// 127 gateways queue for hundreds of milliseconds and their reads take most of the bandwidth.
BOOST_FIXTURE_TEST_CASE(StoreLoadOfEachGatewayByItselfGrowsWithTheirNumber, StoreLoadFixture)
{
  const StoreLoad few = Run(Collection::EachGateway, 30);
  const StoreLoad many = Run(Collection::EachGateway, 127);
  BOOST_TEST((many.mCommitMedian > few.mCommitMedian + Millis(100)));
  BOOST_TEST(many.mReadShare > 10 * few.mReadShare);
  BOOST_TEST(many.mReadShare > 0.5);
}

// Guards against a record that waits for the gateways of the whole fleet: the target is a round
// trip to the store and 30 ms, here with the time in which records are collected.
BOOST_FIXTURE_TEST_CASE(StoreLoadOfAggregatorsInABurstCommitsInARoundTrip, StoreLoadFixture)
{
  const StoreLoad load = Run(Collection::Aggregators, 127);
  BOOST_TEST((load.mCommitMedian <= StoreModel{}.mFarRoundTrip + Millis(30)));
  BOOST_TEST((load.mCommitP95 <= 2 * StoreModel{}.mFarRoundTrip));
  BOOST_TEST(load.mReadShare < 0.1);
}

// Guards against calls that grow with the fleet: at 300 gateways a turn costs at most 1.1 times the
// calls of one at 30.
BOOST_FIXTURE_TEST_CASE(StoreLoadOfAggregatorsAt300GatewaysCostsNoMoreCallsATurn, StoreLoadFixture)
{
  const StoreLoad few = Run(Collection::Aggregators, 30);
  const StoreLoad many = Run(Collection::Aggregators, 300);
  BOOST_TEST(many.mCallsPerTurn <= 1.1 * few.mCallsPerTurn);
  BOOST_TEST((many.mCommitP95 <= 2 * StoreModel{}.mFarRoundTrip));
}

// The size of two years: 330 gateways, 2,400 requests a second.
BOOST_FIXTURE_TEST_CASE(StoreLoadOfAggregatorsAtTheSizeOfTwoYearsFits, StoreLoadFixture)
{
  const StoreLoad load = Run(Collection::Aggregators, 330, 2400.0 / 330);
  BOOST_TEST((load.mCommitMedian <= StoreModel{}.mFarRoundTrip + Millis(30)));
  BOOST_TEST(load.mReadShare < 0.1);
}

// Guards against a comparison of two runs that differ by chance.
BOOST_FIXTURE_TEST_CASE(StoreLoadOfTheSameSeedIsTheSame, StoreLoadFixture)
{
  const StoreLoad first = Run(Collection::Aggregators, 30);
  const StoreLoad second = Run(Collection::Aggregators, 30);
  BOOST_TEST(first.mTurns == second.mTurns);
  BOOST_TEST(first.mCallsPerTurn == second.mCallsPerTurn);
  BOOST_TEST((first.mCommitP95 == second.mCommitP95));
}

}
