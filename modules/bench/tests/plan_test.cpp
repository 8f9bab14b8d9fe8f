#include "sycamore/bench/plan.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <rapidcheck.h>

namespace sycamore::bench {

using base::Millis;

// A mix of one account with all kinds of steps.
static Mix
TestMix()
{
  Mix mix;
  mix.mDay = Millis(100000);
  Template leaf{ "leaf", 1000, 0, Millis(0), true, false, {} };
  leaf.mSteps = { { ModelStep{ "m", { 1, 9 }, { 1, 9 }, true } } };
  Template root{ "root", 1000, 0, Millis(0), true, false, {} };
  root.mSteps = { { RepeatStep{
                    { 1, 3 },
                    { { PauseStep{ { 10, 20 } } }, { ToolStep{ "s", "t", { 5, 5 }, false } } } } },
                  { SubAgentsStep{ "leaf", { 2, 2 } } } };
  mix.mTemplates = { leaf, root };
  mix.mAccounts = {
    { "a", {}, { { "east", 2, 20, 0.3, 0.05 }, { "west", 2, 20, 0.7, 0.05 } }, {} }
  };
  mix.mAccounts[0].mPrograms = { { "root", 3 }, { "leaf", 1 } };
  return mix;
}

// Guards against runs that cannot be repeated.
BOOST_AUTO_TEST_CASE(PlanOfOneSeedIsAlwaysTheSame)
{
  BOOST_TEST(rc::check("the same seed gives the same plan", [] {
    const Mix mix = TestMix();
    const auto seed = *rc::gen::arbitrary<uint64_t>();
    const auto plan = BuildPlan(mix, seed, Millis(10000));
    RC_ASSERT(plan == BuildPlan(mix, seed, Millis(10000)));
    RC_ASSERT(plan != BuildPlan(mix, seed + 1, Millis(10000)));
  }));
}

// Guards against arrivals out of order or beyond the end, and numbers out of their range.
BOOST_AUTO_TEST_CASE(PlanKeepsToTheMix)
{
  BOOST_TEST(rc::check("arrivals ascend and numbers are in range", [] {
    const auto plan = BuildPlan(TestMix(), *rc::gen::arbitrary<uint64_t>(), Millis(10000));
    Millis last(0);
    for (const PlannedProgram& program : plan) {
      RC_ASSERT(program.mArrival >= last);
      RC_ASSERT(program.mArrival < Millis(10000));
      last = program.mArrival;
      if (program.mTemplate == 0) {
        const auto& model = std::get<PlannedModel>(program.mSteps.at(0));
        RC_ASSERT(model.mPromptTokens >= 1U && model.mPromptTokens <= 9U);
        continue;
      }
      RC_ASSERT(program.mSteps.size() >= 3U && program.mSteps.size() <= 7U);
      const auto& agents = std::get<PlannedSubAgents>(program.mSteps.back());
      RC_ASSERT(agents.mPrograms.size() == 2U);
    }
  }));
}

// Programs of aRegion that arrive between two fractions of the first day.
static double
Count(const std::vector<PlannedProgram>& aPlan, const char* aRegion, double aFrom, double aTo)
{
  return static_cast<double>(std::count_if(aPlan.begin(), aPlan.end(), [&](const auto& aProgram) {
    const double day = static_cast<double>(aProgram.mArrival.count()) / 100000;
    return aProgram.mRegion == aRegion && day >= aFrom && day < aTo;
  }));
}

// Guards against a load whose volume or peak differs from the mix. The expected numbers follow from
// the rate; the tolerance is four standard deviations of a Poisson count.
BOOST_AUTO_TEST_CASE(PlanArrivalsFollowTheRate)
{
  const auto plan = BuildPlan(TestMix(), 7, Millis(100000));
  const double atPeak = 20 * 100 * 0.02; // Two hundredths of the day around sunset.
  const double off = 2 * 100 * 0.1;
  BOOST_TEST(std::abs(Count(plan, "east", 0.29, 0.31) - atPeak) < 4 * std::sqrt(atPeak));
  BOOST_TEST(std::abs(Count(plan, "west", 0.69, 0.71) - atPeak) < 4 * std::sqrt(atPeak));
  BOOST_TEST(std::abs(Count(plan, "east", 0.65, 0.75) - off) < 4 * std::sqrt(off));
  const double total = 2 * 100 + 18 * 100 * 0.05 * std::sqrt(2 * 3.14159265);
  BOOST_TEST(std::abs(Count(plan, "east", 0, 1) - total) < 4 * std::sqrt(total));
}

// Guards against messages that differ between two runs and so between their caches.
BOOST_AUTO_TEST_CASE(PlanTextHasTheWantedLength)
{
  BOOST_TEST(TextOf(1, 25).size() == 100U);
  BOOST_TEST(TextOf(1, 25) == TextOf(1, 25));
  BOOST_TEST(TextOf(1, 25) != TextOf(2, 25));
}

}
