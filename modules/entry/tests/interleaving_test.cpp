// Random interleavings of deliveries, appends, faults and pauses.
#include "sim_world.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>
#include <tuple>
#include <vector>

namespace sycamore::entry::testing {

static size_t sAcknowledged = 0;
static size_t sKeyedRuns = 0;

BOOST_AUTO_TEST_SUITE(Interleavings)

// Whatever happens in whatever order: a non-idempotent call runs at most once and only where its
// intent says, "not run" is true, acknowledged answers never change, budgets hold, no owner appends
// a batch that the fold rejects as contradictory, and every request is answered once.
RC_BOOST_PROP(RulesHoldInAllInterleavings, ())
{
  SimWorld world;
  // Without the resizing the first small cases would consist of the first actions only.
  const auto count = *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<size_t>(100, 3000));
  const auto steps =
    *rc::gen::resize(rc::kNominalSize,
                     rc::gen::container<std::vector<std::tuple<int, size_t, size_t>>>(
                       count,
                       rc::gen::tuple(rc::gen::inRange(0, SimWorld::WeightTotal()),
                                      rc::gen::inRange<size_t>(0, 8),
                                      rc::gen::inRange<size_t>(0, 8))));
  for (const auto& [choice, first, second] : steps) {
    world.Step(choice, first, second);
  }
  world.HealAndCheck();
  sAcknowledged += world.AcknowledgedCount();
  sKeyedRuns += world.KeyedRunCount();
}

// A world in which nothing happens would satisfy every rule.
BOOST_AUTO_TEST_CASE(WorldsAboveHadAnsweredAndKeyedCalls)
{
  BOOST_TEST(sAcknowledged > 100);
  BOOST_TEST(sKeyedRuns > 50);
}

BOOST_AUTO_TEST_SUITE_END()

}
