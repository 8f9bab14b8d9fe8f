#include "sycamore/base/ring.h"
#include "sycamore/base/timer_service.h"

#include <boost/test/unit_test.hpp>

namespace sycamore::base {

struct TimerServiceFixture
{
  // Declared before the service: subscribers use it until the service has stopped.
  Ring<int> mTicks{ 16 };
  TimerService mTimers;
};

// Guards against a subscription that fires once or never.
BOOST_FIXTURE_TEST_CASE(TimerServiceSubscriptionTicksRepeatedly, TimerServiceFixture)
{
  mTimers.Subscribe(Millis(1), [this] { mTicks.TryPush(1); });
  BOOST_TEST(mTicks.PopFor(Seconds(10)).has_value());
  BOOST_TEST(mTicks.PopFor(Seconds(10)).has_value());
}

// Guards against a stop that waits for the next due time.
BOOST_FIXTURE_TEST_CASE(TimerServiceStopWithLongPeriodReturnsAtOnce, TimerServiceFixture)
{
  mTimers.Subscribe(std::chrono::hours(1), [this] { mTicks.TryPush(1); });
  const TimePoint before = Clock::now();
  mTimers.Stop();
  BOOST_TEST((Clock::now() - before < Seconds(10)));
  BOOST_TEST(!mTicks.TryPop().has_value());
}

}
