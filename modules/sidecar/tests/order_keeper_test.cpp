#include "sycamore/sidecar/order_keeper.h"

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

struct OrderKeeperFixture
{
  OrderKeeper mKeeper{ OrderRules{} };
  TimePoint mNow = TimePoint() + Seconds(1000);
};

// Guards against sending anything before the engine's present version is known.
BOOST_FIXTURE_TEST_CASE(OrderKeeperAtStartReadsEngineFirst, OrderKeeperFixture)
{
  mKeeper.Want(Order(5));
  BOOST_TEST((mKeeper.Poll(mNow) == OrderAction::Read));
  mKeeper.StateRead(Order(9), mNow);
  BOOST_TEST((mKeeper.Poll(mNow) == OrderAction::None));
  BOOST_TEST(mKeeper.HighestVersion() == 9U);
}

// Guards against loading weights without a slot.
BOOST_FIXTURE_TEST_CASE(OrderKeeperWithNewOrderTakesSlotThenSends, OrderKeeperFixture)
{
  BOOST_TEST((mKeeper.Poll(mNow) == OrderAction::Read));
  mKeeper.StateRead(Order(1), mNow);
  mKeeper.Want(Order(5));
  BOOST_TEST((mKeeper.Poll(mNow) == OrderAction::RequestSlot));
  mKeeper.SlotAnswered(true, Millis(0), 0, mNow);
  BOOST_TEST((mKeeper.Poll(mNow) == OrderAction::Send));
  mKeeper.Applied(mNow);
  BOOST_TEST(mKeeper.InEffect());
  BOOST_TEST((mKeeper.Poll(mNow) == OrderAction::None));
}

// Guards against an engine that restarted and stays without its model.
BOOST_FIXTURE_TEST_CASE(OrderKeeperWhenEngineLostStateSendsAgain, OrderKeeperFixture)
{
  mKeeper.Want(Order(5));
  mKeeper.Poll(mNow);
  mKeeper.StateRead(Order(5), mNow);
  BOOST_TEST((mKeeper.Poll(mNow) == OrderAction::None));
  mNow += Seconds(10);
  BOOST_TEST((mKeeper.Poll(mNow) == OrderAction::Read));
  mKeeper.StateRead(Order(0), mNow);
  BOOST_TEST((mKeeper.Poll(mNow) == OrderAction::RequestSlot));
}

// Guards against a retry storm and against waiting longer than the limit.
BOOST_FIXTURE_TEST_CASE(OrderKeeperBackoffStaysWithinLimits, OrderKeeperFixture)
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

// Guards against orders that go back: in any interleaving of tables, reads, denied slots, refusals
// and lost responses no version below the highest one known is sent, and none without a slot.
BOOST_FIXTURE_TEST_CASE(OrderKeeperInAnyInterleavingNeverSendsLowerVersion, OrderKeeperFixture)
{
  const bool holds = rc::check([] {
    OrderKeeper keeper{ OrderRules{} };
    TimePoint now = TimePoint() + Seconds(1000);
    uint64_t highest = 0;
    uint64_t slot = 0;
    for (int step = 0; step < 200; ++step) {
      if (*rc::gen::inRange(0, 3) == 0) {
        const auto version = *rc::gen::inRange<uint64_t>(1, 20);
        highest = std::max(highest, version);
        keeper.Want(Order(version));
      }
      const bool good = *rc::gen::arbitrary<bool>();
      switch (keeper.Poll(now)) {
        case OrderAction::None:
          now += Millis(*rc::gen::inRange(1, 20000));
          break;
        case OrderAction::Read:
          if (good) {
            const auto version = *rc::gen::inRange<uint64_t>(0, 20);
            highest = std::max(highest, version);
            keeper.StateRead(Order(version), now);
          } else {
            keeper.ReadFailed(0.5, now);
          }
          break;
        case OrderAction::RequestSlot:
          slot = good ? keeper.Wanted()->mVersion : 0;
          if (*rc::gen::arbitrary<bool>()) {
            highest = std::max<uint64_t>(highest, 21 + static_cast<uint64_t>(step));
            keeper.Want(Order(21 + static_cast<uint64_t>(step)));
          }
          keeper.SlotAnswered(good, Millis(0), 0.5, now);
          break;
        case OrderAction::Send:
          RC_ASSERT(keeper.Wanted()->mVersion == highest);
          RC_ASSERT(slot == highest);
          slot = 0;
          if (good) {
            keeper.Applied(now);
          } else if (*rc::gen::arbitrary<bool>()) {
            keeper.Refused(0.5, now);
          } else {
            keeper.SendFailed(0.5, now);
          }
          break;
      }
    }
  });
  BOOST_TEST(holds);
}

}
