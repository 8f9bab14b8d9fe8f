#include "sycamore/sidecar/config_age.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

namespace sycamore::sidecar {

using base::Millis;
using base::Seconds;
using base::TimePoint;

struct ConfigAgeFixture
{
  ConfigAge mAge{ ConfigAgeLimits{} };
  TimePoint mNow = TimePoint() + Seconds(1000);
};

// Guards against a version that decreases, and against an age that ignores the time since receipt.
BOOST_FIXTURE_TEST_CASE(ConfigAgeInAnyInterleavingNeverRevertsAndGrows, ConfigAgeFixture)
{
  const bool holds = rc::check([] {
    ConfigAge age{ ConfigAgeLimits{} };
    TimePoint now = TimePoint() + Seconds(1000);
    for (int step = 0; step < 100; ++step) {
      const uint64_t before = age.Version();
      const auto version = *rc::gen::inRange<uint64_t>(0, 10);
      const Millis stated(*rc::gen::inRange(0, 400000));
      if (*rc::gen::arbitrary<bool>()) {
        age.Adopted(version, stated, now);
        RC_ASSERT(age.Version() == std::max(before, version));
      } else {
        age.EntryReported(version, stated, now);
        RC_ASSERT(age.Version() == before);
      }
      const Millis waited(*rc::gen::inRange(0, 9000));
      const Millis old = age.Age(now);
      now += waited;
      RC_ASSERT(age.Age(now) == std::min(old + waited, Millis(std::chrono::hours(24 * 365))));
      RC_ASSERT(age.Stale(now) || (waited <= Millis(7000) && age.Age(now) <= Millis(300000)));
    }
  });
  BOOST_TEST(holds);
}

// Guards against work under a table that is known to be outdated.
BOOST_FIXTURE_TEST_CASE(ConfigAgeWhenOnlyNewerVersionIsReportedBecomesStale, ConfigAgeFixture)
{
  mAge.Adopted(3, Millis(0), mNow);
  mNow += Seconds(8);
  mAge.EntryReported(4, Millis(0), mNow);
  BOOST_TEST(mAge.Stale(mNow));
  mAge.Adopted(4, Millis(0), mNow);
  BOOST_TEST(!mAge.Stale(mNow));
}

// Guards against refusing repeatable calls in a log outage of less than 300 s.
BOOST_FIXTURE_TEST_CASE(ConfigAgeWithPeersButNoLogIsStaleAfterLongLimit, ConfigAgeFixture)
{
  mAge.EntryReported(0, Millis(299000), mNow);
  BOOST_TEST(!mAge.Stale(mNow));
  mAge.EntryReported(0, Millis(302000), mNow + Seconds(2));
  BOOST_TEST(mAge.Stale(mNow + Seconds(2)));
}

// Guards against an hour without service in a network partition in which the entries have an older
// table than the sidecar, and against accepting their reports as a confirmation of its table.
BOOST_FIXTURE_TEST_CASE(ConfigAgeWithEntriesOfOlderVersionIsStaleAfterLongLimit, ConfigAgeFixture)
{
  mAge.Adopted(3, Millis(0), mNow);
  for (int second = 0; second <= 300; ++second) {
    mAge.EntryReported(2, Millis(0), mNow + Seconds(second));
    BOOST_TEST(!mAge.Stale(mNow + Seconds(second)));
  }
  mAge.EntryReported(2, Millis(0), mNow + Seconds(301));
  BOOST_TEST(mAge.Stale(mNow + Seconds(301)));
}

BOOST_FIXTURE_TEST_CASE(ConfigAgeBeforeAnyReportIsStale, ConfigAgeFixture)
{
  BOOST_TEST(mAge.Stale(mNow));
}

}
