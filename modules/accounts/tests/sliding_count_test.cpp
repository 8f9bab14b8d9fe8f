#include "sycamore/accounts/sliding_count.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <random>

namespace sycamore::accounts {

using base::Millis;
using base::TimePoint;

struct SlidingCountFixture
{
  static constexpr Millis kWindow{ 5000 };
  TimePoint mNow = TimePoint(base::Seconds(1000));
  SlidingCount mCount;
};

// Guards against a window that loses events too soon, so that a limit is broken, or keeps them for
// more than a cell, so that requests within the limit are refused.
BOOST_FIXTURE_TEST_CASE(SlidingCountOfRandomEventsIsBetweenTheWindowAndACellMore,
                        SlidingCountFixture)
{
  std::mt19937_64 random(7);
  std::deque<TimePoint> events;
  const Millis cell = kWindow / static_cast<int>(SlidingCount::kCells);
  for (int step = 0; step < 20000; ++step) {
    mNow += Millis(random() % 100 == 0 ? 6000 : random() % 40);
    mCount.Add(1, mNow, kWindow);
    events.push_back(mNow);
    while (events.front() <= mNow - kWindow - cell) {
      events.pop_front();
    }
    size_t inside = 0;
    for (const TimePoint event : events) {
      inside += event > mNow - kWindow ? 1 : 0;
    }
    const size_t sum = mCount.Sum(mNow, kWindow);
    BOOST_TEST_REQUIRE(sum >= inside);
    BOOST_TEST_REQUIRE(sum <= events.size());
  }
}

// Guards against a request that reached no replica and still counts, and against taking back one
// that has left the window, which would hide another.
BOOST_FIXTURE_TEST_CASE(SlidingCountEventIsTakenBackWhileItCounts, SlidingCountFixture)
{
  const TimePoint first = mNow;
  mCount.Add(1, mNow, kWindow);
  mNow += Millis(300);
  mCount.Add(1, mNow, kWindow);
  mCount.Remove(first, mNow, kWindow);
  BOOST_TEST(mCount.Sum(mNow, kWindow) == 1U);
  mCount.Remove(first, mNow, kWindow);
  BOOST_TEST(mCount.Sum(mNow, kWindow) == 1U);
  mNow += base::Seconds(6);
  mCount.Add(1, mNow, kWindow);
  mCount.Remove(first, mNow, kWindow);
  BOOST_TEST(mCount.Sum(mNow, kWindow) == 1U);
}

// Guards against a Retry-After at which the quota has no room yet.
BOOST_FIXTURE_TEST_CASE(SlidingCountTellsWhenEventsAreGone, SlidingCountFixture)
{
  mCount.Add(3, mNow, kWindow);
  mNow += base::Seconds(2);
  mCount.Add(4, mNow, kWindow);
  for (const uint32_t wanted : { 1U, 3U, 4U, 7U }) {
    SlidingCount later = mCount;
    const Millis wait = mCount.UntilGone(wanted, mNow, kWindow);
    BOOST_TEST(later.Sum(mNow + wait, kWindow) <= 7 - wanted, wanted);
    BOOST_TEST((wait <= kWindow + Millis(250)));
  }
  BOOST_TEST((mCount.UntilGone(8, mNow, kWindow) == kWindow));
}

}
