#include "sycamore/base/ring.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <thread>
#include <vector>

namespace sycamore::base {

struct RingFixture
{
  Ring<int> mRing{ 4 };
};

// Guards against unbounded growth: back-pressure depends on the refusal.
BOOST_FIXTURE_TEST_CASE(RingWhenFullRefusesPush, RingFixture)
{
  for (int i = 0; i < 4; ++i) {
    BOOST_TEST(mRing.TryPush(i));
  }
  BOOST_TEST(!mRing.TryPush(4));
  BOOST_TEST(mRing.TryPop().value() == 0);
  BOOST_TEST(mRing.TryPush(5));
}

// Guards against items lost on shutdown.
BOOST_FIXTURE_TEST_CASE(RingWhenClosedKeepsAcceptedItems, RingFixture)
{
  mRing.TryPush(1);
  mRing.Close();
  BOOST_TEST(!mRing.TryPush(2));
  BOOST_TEST(mRing.PopFor(Micros(0)).value() == 1);
  BOOST_TEST(!mRing.PopFor(Seconds(60)).has_value());
}

// Guards against lost or duplicated items under concurrent producers.
BOOST_FIXTURE_TEST_CASE(RingWithFourProducersDeliversEachItemOnce, RingFixture)
{
  constexpr int kProducers = 4;
  constexpr int kItems = 5000;
  Ring<int> ring(64);
  std::vector<std::thread> producers;
  for (int producer = 0; producer < kProducers; ++producer) {
    producers.emplace_back([&ring, producer] {
      for (int i = 0; i < kItems; ++i) {
        while (!ring.TryPush(producer * kItems + i)) {
          std::this_thread::yield();
        }
      }
    });
  }
  std::vector<int> counts(kProducers * kItems);
  for (int i = 0; i < kProducers * kItems; ++i) {
    const auto item = ring.PopFor(Seconds(30));
    BOOST_REQUIRE(item.has_value());
    ++counts.at(static_cast<size_t>(*item));
  }
  for (auto& producer : producers) {
    producer.join();
  }
  BOOST_TEST(std::count(counts.begin(), counts.end(), 1) == kProducers * kItems);
}

}
