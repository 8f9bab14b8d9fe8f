#include "sycamore/policy/retry_budget.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>
#include <vector>

namespace sycamore::policy {

using base::TimePoint;

BOOST_AUTO_TEST_SUITE(RetryBudgetTest)

// In no ten-second window may the retries exceed the greater of kMinimum and the ratio of its
// requests.
RC_BOOST_PROP(RetriesStayWithinRatioOfRequests, ())
{
  RetryBudget budget(0.1);
  std::vector<int64_t> requests;
  std::vector<int64_t> retries;
  int64_t second = 100;
  const auto steps = *rc::gen::container<std::vector<std::pair<int, bool>>>(
    rc::gen::pair(rc::gen::inRange(0, 3), rc::gen::arbitrary<bool>()));
  for (const auto& [pause, request] : steps) {
    second += pause;
    const TimePoint now{ base::Seconds{ second } };
    if (request) {
      budget.OnRequest(now);
      requests.push_back(second);
      continue;
    }
    const bool allowed = budget.TryRetry(now);
    if (allowed) {
      retries.push_back(second);
    }
    const auto recent = [second](int64_t aTime) { return second - aTime < 10; };
    const auto asked = std::count_if(requests.begin(), requests.end(), recent);
    const auto made = std::count_if(retries.begin(), retries.end(), recent);
    const double limit = std::max<double>(RetryBudget::kMinimum, 0.1 * static_cast<double>(asked));
    RC_ASSERT(static_cast<double>(made) <= limit);
  }
}

BOOST_AUTO_TEST_CASE(BudgetAfterQuietWindowAllowsMinimumAgain)
{
  RetryBudget budget(0.1);
  const TimePoint now{ base::Seconds{ 100 } };
  for (uint32_t i = 0; i < RetryBudget::kMinimum; ++i) {
    BOOST_TEST(budget.TryRetry(now));
  }
  BOOST_TEST(!budget.TryRetry(now));
  BOOST_TEST(budget.TryRetry(now + base::Seconds{ 10 }));
}

BOOST_AUTO_TEST_SUITE_END()

}
