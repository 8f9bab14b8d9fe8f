#include "sycamore/sidecar/order_reconciler.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

namespace sycamore::sidecar {

using base::Millis;
using base::Seconds;
using base::TimePoint;

static table::Order
Order(uint64_t aVersion)
{
  return { "model", "", std::to_string(aVersion), "", aVersion };
}

struct OrderReconcilerFixture
{
  OrderReconciler mReconciler{ OrderRules{} };
  TimePoint mNow = TimePoint() + Seconds(1000);
};

// Guards against sending an order before the engine's current version is known.
BOOST_FIXTURE_TEST_CASE(OrderReconcilerAtStartReadsEngineFirst, OrderReconcilerFixture)
{
  mReconciler.SetDesired(Order(5));
  BOOST_TEST((mReconciler.Poll(mNow) == OrderAction::Read));
  mReconciler.StateRead(Order(9), mNow);
  BOOST_TEST((mReconciler.Poll(mNow) == OrderAction::None));
  BOOST_TEST(mReconciler.HighestVersion() == 9U);
}

// Guards against loading weights without a slot.
BOOST_FIXTURE_TEST_CASE(OrderReconcilerWithNewOrderTakesSlotThenSends, OrderReconcilerFixture)
{
  BOOST_TEST((mReconciler.Poll(mNow) == OrderAction::Read));
  mReconciler.StateRead(Order(1), mNow);
  mReconciler.SetDesired(Order(5));
  BOOST_TEST((mReconciler.Poll(mNow) == OrderAction::RequestSlot));
  mReconciler.SlotAnswered(true, Millis(0), 0, mNow);
  BOOST_TEST((mReconciler.Poll(mNow) == OrderAction::Send));
  mReconciler.Applied(mNow);
  BOOST_TEST(mReconciler.InEffect());
  BOOST_TEST((mReconciler.Poll(mNow) == OrderAction::None));
}

// Guards against an engine that stays without its model after a restart.
BOOST_FIXTURE_TEST_CASE(OrderReconcilerWhenEngineLostStateSendsAgain, OrderReconcilerFixture)
{
  mReconciler.SetDesired(Order(5));
  mReconciler.Poll(mNow);
  mReconciler.StateRead(Order(5), mNow);
  BOOST_TEST((mReconciler.Poll(mNow) == OrderAction::None));
  mNow += Seconds(10);
  BOOST_TEST((mReconciler.Poll(mNow) == OrderAction::Read));
  mReconciler.StateRead(Order(0), mNow);
  BOOST_TEST((mReconciler.Poll(mNow) == OrderAction::RequestSlot));
}

// Guards against a backoff delay outside its limits, or shorter than the requested one.
BOOST_FIXTURE_TEST_CASE(OrderReconcilerBackoffStaysWithinLimits, OrderReconcilerFixture)
{
  const bool holds = rc::check([](uint32_t aFailures, uint32_t aAtLeast) {
    const double random = *rc::gen::inRange(0, 1000) / 1000.0;
    const Millis delay = BackoffDelay(OrderRules{}, aFailures, Millis(aAtLeast), random);
    RC_ASSERT(delay >= Millis(500));
    RC_ASSERT(delay <= Millis(30000));
    const Millis longer = BackoffDelay(OrderRules{}, aFailures, Millis(0), random);
    RC_ASSERT(delay >= longer);
  });
  BOOST_TEST(holds);
  BOOST_TEST((BackoffDelay(OrderRules{}, 0, Millis(3000), 0) == Millis(3000)));
}

// Guards against an engine that is set back to an older order: in any interleaving of tables,
// reads, denied slots, refusals and lost responses, no version below the highest known one is sent,
// and none without a slot.
BOOST_FIXTURE_TEST_CASE(OrderReconcilerInAnyInterleavingNeverSendsLowerVersion,
                        OrderReconcilerFixture)
{
  const bool holds = rc::check([] {
    OrderReconciler reconciler{ OrderRules{} };
    TimePoint now = TimePoint() + Seconds(1000);
    uint64_t highest = 0;
    uint64_t slot = 0;
    for (int step = 0; step < 200; ++step) {
      if (*rc::gen::inRange(0, 3) == 0) {
        const auto version = *rc::gen::inRange<uint64_t>(1, 20);
        highest = std::max(highest, version);
        reconciler.SetDesired(Order(version));
      }
      const bool good = *rc::gen::arbitrary<bool>();
      switch (reconciler.Poll(now)) {
        case OrderAction::None:
          now += Millis(*rc::gen::inRange(1, 20000));
          break;
        case OrderAction::Read:
          if (good) {
            const auto version = *rc::gen::inRange<uint64_t>(0, 20);
            highest = std::max(highest, version);
            reconciler.StateRead(Order(version), now);
          } else {
            reconciler.ReadFailed(0.5, now);
          }
          break;
        case OrderAction::RequestSlot:
          slot = good ? reconciler.Desired()->mVersion : 0;
          if (*rc::gen::arbitrary<bool>()) {
            highest = std::max<uint64_t>(highest, 21 + static_cast<uint64_t>(step));
            reconciler.SetDesired(Order(21 + static_cast<uint64_t>(step)));
          }
          reconciler.SlotAnswered(good, Millis(0), 0.5, now);
          break;
        case OrderAction::Send:
          RC_ASSERT(reconciler.Desired()->mVersion == highest);
          RC_ASSERT(slot == highest);
          slot = 0;
          if (good) {
            reconciler.Applied(now);
          } else if (*rc::gen::arbitrary<bool>()) {
            reconciler.Refused(0.5, now);
          } else {
            reconciler.SendFailed(0.5, now);
          }
          break;
      }
    }
  });
  BOOST_TEST(holds);
}

}
