// Random interleavings of frame deliveries, log appends, faults and pauses.
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

// In every interleaving a non-idempotent call runs at most once and only at the sidecar incarnation
// of its intent, a call reported as not run never runs, acknowledged answers never change, budgets
// are kept, no batch in the log is invalid, and every request is answered exactly once.
RC_BOOST_PROP(RandomInterleavingsKeepAllInvariants, ())
{
  SimWorld world;
  // RapidCheck starts with small sizes, which would limit the first cases to the first actions.
  const auto count = *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<size_t>(100, 3000));
  const auto steps =
    *rc::gen::resize(rc::kNominalSize,
                     rc::gen::container<std::vector<std::tuple<int, size_t, size_t>>>(
                       count,
                       rc::gen::tuple(rc::gen::inRange(0, SimWorld::TotalWeight()),
                                      rc::gen::inRange<size_t>(0, 8),
                                      rc::gen::inRange<size_t>(0, 8))));
  for (const auto& [choice, first, second] : steps) {
    world.Step(choice, first, second);
  }
  world.HealAndCheck();
  sAcknowledged += world.AcknowledgedCount();
  sKeyedRuns += world.KeyedRunCount();
}

// Guards against a vacuous pass of the property above: a simulation in which no call finishes keeps
// every invariant.
BOOST_AUTO_TEST_CASE(RandomInterleavingsIncludeAnsweredAndKeyedCalls)
{
  BOOST_TEST(sAcknowledged > 100);
  BOOST_TEST(sKeyedRuns > 50);
}

BOOST_AUTO_TEST_SUITE_END()

}
