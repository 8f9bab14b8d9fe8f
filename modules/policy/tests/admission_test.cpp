#include "sycamore/policy/admission.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

namespace sycamore::policy {

using base::Millis;
using base::TimePoint;

BOOST_AUTO_TEST_SUITE(TokenBucketTest)

// Over any period no more may be admitted than the burst plus the rate times the period, except for
// the last amount, which may make the level negative.
RC_BOOST_PROP(TakenAmountsStayWithinRateAndBurst, ())
{
  const double rate = *rc::gen::inRange(1, 1000);
  const double burst = *rc::gen::inRange(1, 1000);
  TimePoint now{ base::Seconds{ 100 } };
  const TimePoint start = now;
  TokenBucket bucket(rate, burst, now);
  double taken = 0;
  double last = 0;
  const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
    rc::gen::pair(rc::gen::inRange(0, 500), rc::gen::inRange(1, 2000)));
  for (const auto& [pause, amount] : steps) {
    now += Millis{ pause };
    if (bucket.CanTake(amount, now)) {
      bucket.Take(amount, now);
      taken += amount;
      last = amount;
    }
    const double seconds = std::chrono::duration<double>(now - start).count();
    RC_ASSERT(taken <= burst + rate * seconds + last + 1e-6);
  }
}

// The wait that WaitFor returns must suffice, or callers would be refused again.
RC_BOOST_PROP(AmountCanBeTakenAfterReturnedWait, ())
{
  const double rate = *rc::gen::inRange(1, 1000);
  const double burst = *rc::gen::inRange(1, 1000);
  const double first = *rc::gen::inRange(1, 3000);
  const double second = *rc::gen::inRange(1, 3000);
  TimePoint now{ base::Seconds{ 100 } };
  TokenBucket bucket(rate, burst, now);
  bucket.Take(first, now);
  const Millis wait = bucket.WaitFor(second, now);
  RC_PRE(wait < TokenBucket::kMaxWait);
  // One more millisecond covers the rounding of the level.
  RC_ASSERT(bucket.CanTake(second, now + wait + Millis{ 1 }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AdmissionTest)

// The calls running at the same time must never exceed the row's concurrency.
RC_BOOST_PROP(RunningCallsStayWithinConcurrency, ())
{
  const auto limit = *rc::gen::inRange<uint32_t>(0, 6);
  const world::Contract share{ 1, 1e6, 1e9, limit };
  Admission admission;
  TimePoint now{ base::Seconds{ 100 } };
  uint32_t running = 0;
  const auto steps = *rc::gen::container<std::vector<bool>>(rc::gen::arbitrary<bool>());
  for (const bool start : steps) {
    now += Millis{ 1 };
    if (start) {
      const auto refusal = admission.Admit("row", share, 10, now);
      RC_ASSERT(refusal.has_value() == (running >= limit));
      running += refusal ? 0 : 1;
    } else if (running > 0) {
      admission.Finish("row", 10, 5, now);
      --running;
    }
    RC_ASSERT(admission.Running("row") == running);
  }
}

// The shares of all entries together must not exceed the row's rates.
RC_BOOST_PROP(SharesTogetherStayWithinRates, ())
{
  const auto entries = *rc::gen::inRange<size_t>(1, 50);
  const world::Contract contract{ 1, 100, 5000, *rc::gen::inRange<uint32_t>(0, 100) };
  const world::Contract share = ShareOf(contract, entries);
  const auto count = static_cast<double>(entries);
  RC_ASSERT(share.mRequestsPerSecond * count <= contract.mRequestsPerSecond * 1.000001);
  RC_ASSERT(share.mTokensPerSecond * count <= contract.mTokensPerSecond * 1.000001);
  RC_ASSERT((share.mConcurrency == 0) == (contract.mConcurrency == 0));
}

BOOST_AUTO_TEST_CASE(RowWithZeroLimitsAdmitsNothing)
{
  Admission admission;
  const TimePoint now{ base::Seconds{ 100 } };
  BOOST_TEST(admission.Admit("row", world::Contract{ 1, 0, 1000, 5 }, 1, now).has_value());
  BOOST_TEST(admission.Admit("other", world::Contract{ 1, 10, 0, 5 }, 1, now).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}
