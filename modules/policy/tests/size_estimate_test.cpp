#include "sycamore/policy/size_estimate.h"

#include <boost/test/unit_test.hpp>

namespace sycamore::policy {

struct SizeEstimateFixture
{
  void AddTimes(int aTimes, uint64_t aTokens)
  {
    for (int i = 0; i < aTimes; ++i) {
      mEstimate.Add(aTokens);
    }
  }

  SizeEstimate mEstimate;
};

// Guards against programs near their end that wait behind new ones of the same kind.
BOOST_FIXTURE_TEST_CASE(SizeEstimateOfSimilarProgramsFallsWithService, SizeEstimateFixture)
{
  AddTimes(20, 1000);
  BOOST_TEST(mEstimate.Remaining(0) == 1000U);
  BOOST_TEST(mEstimate.Remaining(900) == 100U);
}

// Guards against a program in an endless loop that is always estimated as nearly done.
BOOST_FIXTURE_TEST_CASE(SizeEstimateBeyondAllRecordedGrowsWithService, SizeEstimateFixture)
{
  AddTimes(20, 1000);
  BOOST_TEST(mEstimate.Remaining(5000) == 5000U);
}

// Guards against estimates from outdated programs.
BOOST_FIXTURE_TEST_CASE(SizeEstimateForgetsOldPrograms, SizeEstimateFixture)
{
  AddTimes(200, 1000);
  AddTimes(200, 50);
  BOOST_TEST(mEstimate.Remaining(0) == 50U);
}

// Guards against estimates from too few observations.
BOOST_FIXTURE_TEST_CASE(SizeEstimateWithoutObservationsUsesService, SizeEstimateFixture)
{
  BOOST_TEST(mEstimate.Remaining(0) == 0U);
  AddTimes(3, 1000);
  BOOST_TEST(mEstimate.Remaining(200) == 200U);
}

}
