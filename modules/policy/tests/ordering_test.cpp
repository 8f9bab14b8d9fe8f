#include "sycamore/policy/ordering.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <vector>

namespace sycamore::policy {

using base::Millis;
using base::TimePoint;

struct OrderingFixture
{
  TimePoint mNow = TimePoint() + base::Seconds(1000);
  OrderingRules mRules;

  WaitingCall Call(uint64_t aArrival, uint64_t aServiceTokens) const
  {
    WaitingCall call;
    call.mArrival = aArrival;
    call.mQueuedAt = mNow;
    call.mServiceTokens = aServiceTokens;
    return call;
  }
};

// Guards against long programs delaying short ones.
BOOST_FIXTURE_TEST_CASE(OrderingWithLessServiceGoesFirst, OrderingFixture)
{
  const std::vector<WaitingCall> calls{ Call(1, 50000), Call(2, 1000) };
  BOOST_TEST(PickNext(calls, mRules, mNow).value() == 1U);
}

// Guards against weights that are ignored.
BOOST_FIXTURE_TEST_CASE(OrderingWithHigherWeightGoesFirst, OrderingFixture)
{
  std::vector<WaitingCall> calls{ Call(1, 50000), Call(2, 80000) };
  calls[1].mWeight = 4;
  BOOST_TEST(PickNext(calls, mRules, mNow).value() == 1U);
}

// Guards against ignoring a cached prefix when two calls have equal scores.
BOOST_FIXTURE_TEST_CASE(OrderingWithTieFavoursLocalPrefix, OrderingFixture)
{
  std::vector<WaitingCall> calls{ Call(1, 1100), Call(2, 1100) };
  calls[1].mPrefixLocal = true;
  BOOST_TEST(PickNext(calls, mRules, mNow).value() == 1U);
}

// Guards against a baseline that is not first come, first served.
BOOST_FIXTURE_TEST_CASE(OrderingWhenFifoIgnoresService, OrderingFixture)
{
  mRules.mFifo = true;
  const std::vector<WaitingCall> calls{ Call(1, 50000), Call(2, 0) };
  BOOST_TEST(PickNext(calls, mRules, mNow).value() == 0U);
}

BOOST_FIXTURE_TEST_CASE(OrderingWithoutCallsPicksNone, OrderingFixture)
{
  BOOST_TEST(!PickNext({}, mRules, mNow).has_value());
}

// Guards against starvation: a call that has waited longer than another by the overtaking bound
// precedes it, whatever their services and weights.
BOOST_FIXTURE_TEST_CASE(OrderingAfterOvertakingBoundFavoursOlderCall, OrderingFixture)
{
  const bool holds = rc::check([this] {
    WaitingCall older = Call(1, *rc::gen::arbitrary<uint64_t>());
    older.mWeight = *rc::gen::element(1e-6, 0.1, 1.0, 50.0);
    WaitingCall newer = Call(2, *rc::gen::arbitrary<uint64_t>());
    newer.mWeight = *rc::gen::element(1e-6, 0.1, 1.0, 50.0);
    newer.mPrefixLocal = *rc::gen::arbitrary<bool>();
    older.mQueuedAt -= OvertakingBound(mRules) + Millis(*rc::gen::inRange(0, 100000));
    const std::vector<WaitingCall> calls{ newer, older };
    RC_ASSERT(PickNext(calls, mRules, mNow).value() == 1U);
  });
  BOOST_TEST(holds);
}

// Guards against starvation in a simulated run: with one server and an endless supply of new
// programs, a call starts after at most the overtaking bound and the time to serve the calls that
// arrived within it.
BOOST_FIXTURE_TEST_CASE(OrderingUnderEndlessArrivalsStartsEveryCall, OrderingFixture)
{
  const bool holds = rc::check([this] {
    constexpr int kServicesPerSecond = 10;
    std::vector<WaitingCall> waiting{ Call(0, *rc::gen::arbitrary<uint64_t>()) };
    const int64_t bound = OvertakingBound(mRules).count() * kServicesPerSecond / 1000;
    const int64_t limit = bound * 2 + 10;
    bool started = false;
    for (int64_t step = 1; step <= limit && !started; ++step) {
      const TimePoint now = mNow + Millis(step * 1000 / kServicesPerSecond);
      WaitingCall arrival = Call(static_cast<uint64_t>(step), 0);
      arrival.mQueuedAt = now;
      waiting.push_back(arrival);
      const size_t next = PickNext(waiting, mRules, now).value();
      started = waiting[next].mArrival == 0;
      waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(next));
    }
    RC_ASSERT(started);
  });
  BOOST_TEST(holds);
}

}
