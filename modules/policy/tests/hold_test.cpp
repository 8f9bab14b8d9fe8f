#include "sycamore/policy/hold.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>
#include <vector>

namespace sycamore::policy {

using base::Millis;

BOOST_AUTO_TEST_SUITE(HoldTest)

// A probability outside its range, or one that falls with a longer wait, would invert the decision.
RC_BOOST_PROP(ResumeProbabilityStaysInRangeAndGrowsWithTheWait, ())
{
  PauseHistogram pauses;
  const auto observed = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000000));
  for (const int pause : observed) {
    pauses.Add(Millis{ pause });
  }
  const Millis idle{ *rc::gen::inRange(0, 1000000) };
  const Millis wait{ *rc::gen::inRange(0, 100000) };
  const double shorter = pauses.ResumeProbability(idle, wait);
  const double longer = pauses.ResumeProbability(idle, wait + Millis{ 5000 });
  RC_ASSERT(shorter >= 0.0);
  RC_ASSERT(longer <= 1.0);
  RC_ASSERT(shorter <= longer + 1e-9);
}

static PauseHistogram
PausesOf(Millis aPause)
{
  PauseHistogram pauses;
  for (int i = 0; i < 1000; ++i) {
    pauses.Add(aPause);
  }
  return pauses;
}

BOOST_AUTO_TEST_CASE(PrefixOfProgramWithinUsualPauseIsKept)
{
  const PauseHistogram pauses = PausesOf(Millis{ 5000 });
  BOOST_TEST(IsWorthHolding(pauses, 1000, Millis{ 1000 }, Millis{ 60000 }, HoldCosts{}));
}

// A program idle for far longer than any observed pause is not expected back.
BOOST_AUTO_TEST_CASE(PrefixOfProgramBeyondUsualPauseIsDropped)
{
  const PauseHistogram pauses = PausesOf(Millis{ 5000 });
  BOOST_TEST(!IsWorthHolding(pauses, 1000, Millis{ 600000 }, Millis{ 60000 }, HoldCosts{}));
}

BOOST_AUTO_TEST_CASE(PrefixIsKeptWhileTooFewPausesAreKnown)
{
  BOOST_TEST(
    IsWorthHolding(PauseHistogram{}, 1000, Millis{ 600000 }, Millis{ 60000 }, HoldCosts{}));
  BOOST_TEST(!IsWorthHolding(PauseHistogram{}, 0, Millis{ 0 }, Millis{ 60000 }, HoldCosts{}));
}

BOOST_AUTO_TEST_SUITE_END()

}
