#include "command_fixture.h"

#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <fstream>
#include <iterator>

namespace sycamore::ctl {

// Guards against a table that lacks a size or a collection, and against a chart that is not
// written.
BOOST_FIXTURE_TEST_CASE(CapacityStorePrintsARowForEachSizeAndCollection, CommandFixture)
{
  const std::string prefix = "capacity_test";
  BOOST_TEST((Run({ "capacity", "store", "--gateways=12,48", "--out=" + prefix }) == ExitCode::Ok));
  BOOST_TEST(Contains(mOut, "each               12"));
  BOOST_TEST(Contains(mOut, "aggregators        48"));
  std::ifstream file(prefix + ".svg");
  const std::string chart{ std::istreambuf_iterator<char>(file), {} };
  BOOST_TEST(Contains(chart, "<svg"));
  std::remove((prefix + ".svg").c_str());
}

BOOST_FIXTURE_TEST_CASE(CapacityStoreFaultyNumbersAreUsageErrors, CommandFixture)
{
  for (const char* gateways : { "3", "x", "30,-1", "30,999999", "" }) {
    const std::string flag = std::string("--gateways=") + gateways;
    BOOST_TEST((Run({ "capacity", "store", flag }) == ExitCode::Usage), gateways);
  }
  BOOST_TEST((Run({ "capacity", "store", "--turns_per_s=0" }) == ExitCode::Usage));
}

}
