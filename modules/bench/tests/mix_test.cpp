#include "sycamore/bench/mix.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <iterator>

namespace sycamore::bench {

struct MixFixture
{
  boost::json::value mMix = boost::json::parse(R"({"name":"m","duration_s":10,"day_s":10,
    "templates":[{"name":"t","budget_tokens":1000,"steps":[{"pause_ms":1}]}],
    "accounts":[{"account":"a",
      "row":{"weight":1,"requests_per_s":1,"tokens_per_s":1,"concurrency":1},
      "arrivals":[{"region":"r","base_per_s":1}],"programs":[{"template":"t"}]}]})");

  std::string FaultyPath() const
  {
    const auto mix = ParseMix(boost::json::serialize(mMix));
    return base::IsOk(mix) ? "" : base::ErrorOf(mix).mField;
  }
};

// Guards against shipped mixes that cannot be run.
BOOST_FIXTURE_TEST_CASE(MixFilesOfBothUsersAreValid, MixFixture)
{
  for (const char* name : { "authority", "jadoo-ghar" }) {
    std::ifstream file(std::string(SYCAMORE_MIX_DIR) + "/" + name + ".json");
    const std::string text{ std::istreambuf_iterator<char>(file),
                            std::istreambuf_iterator<char>() };
    const auto mix = ParseMix(text);
    BOOST_REQUIRE_MESSAGE(base::IsOk(mix), name);
    BOOST_TEST(base::ValueOf(mix).mName == name);
  }
}

// Guards against a fault that the author of a mix cannot find.
BOOST_FIXTURE_TEST_CASE(MixFaultsAreNamedByPath, MixFixture)
{
  BOOST_TEST(FaultyPath() == "");
  mMix.at("accounts").at(0).at("arrivals").at(0).as_object()["sunset"] = 2;
  BOOST_TEST(FaultyPath() == "/accounts/0/arrivals/0/sunset");
  mMix.at("templates").at(0).as_object()["colour"] = 2;
  BOOST_TEST(FaultyPath() == "/templates/0/colour");
  mMix.as_object()["name"] = "";
  BOOST_TEST(FaultyPath() == "/name");
}

// Guards against a template that starts itself without end.
BOOST_FIXTURE_TEST_CASE(MixTemplateThatContainsItselfIsRefused, MixFixture)
{
  mMix.at("templates").at(0).as_object()["steps"] =
    boost::json::parse(R"([{"repeat":{"times":1,"steps":[
      {"sub_agents":{"template":"t","count":1}}]}}])");
  BOOST_TEST(FaultyPath() == "/templates/0");
}

// Guards against a peak that does not follow the sunset of the region and the season.
BOOST_FIXTURE_TEST_CASE(MixRateHasItsPeakAtSunset, MixFixture)
{
  Mix mix;
  mix.mDay = base::Millis(1000);
  mix.mSunsetDriftPerDay = 0.1;
  const Arrivals arrivals{ "r", 1, 5, 0.9, 0.05 };
  BOOST_TEST(RateAt(mix, arrivals, base::Millis(900)) == 5, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(RateAt(mix, arrivals, base::Millis(400)) < 1.01);
  // The second day's peak is at 1.0, which is the third day's morning.
  BOOST_TEST(RateAt(mix, arrivals, base::Millis(1999)) > 4.9);
  BOOST_TEST(RateAt(mix, arrivals, base::Millis(1900)) < 2);
}

}
