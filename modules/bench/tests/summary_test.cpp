#include "sycamore/bench/chart.h"
#include "sycamore/bench/compare.h"
#include "sycamore/bench/summary.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

namespace sycamore::bench {

struct SummaryFixture
{
  Mix mMix;
  RunRecord mRecord;
  EngineReading mBefore;
  EngineReading mAfter;

  SummaryFixture()
  {
    mMix.mName = "m<1>";
    mMix.mAccounts = { { "a", {}, {}, {} }, { "b", {}, {}, {} } };
    mRecord.mAccounts.resize(2);
    mRecord.mElapsed = base::Millis(10000);
  }

  boost::json::object SummaryOf(const std::string& aLabel, double aLatency)
  {
    mRecord.mAccounts[0].mLatency = { aLatency };
    return Summarize(mMix, { aLabel, 1 }, mRecord, mBefore, mAfter);
  }

  static const Ratio& Find(const std::vector<Ratio>& aRatios,
                           std::string_view aMetric,
                           std::string_view aLabel)
  {
    const auto found = std::find_if(aRatios.begin(), aRatios.end(), [&](const Ratio& aRatio) {
      return aRatio.mMetric == aMetric && aRatio.mLabel == aLabel;
    });
    BOOST_REQUIRE(found != aRatios.end());
    return *found;
  }
};

// Guards against percentiles that are off by one rank.
BOOST_FIXTURE_TEST_CASE(PercentileIsNearestRank, SummaryFixture)
{
  BOOST_TEST(Percentile({}, 0.5) == 0);
  BOOST_TEST(Percentile({ 3, 1, 2 }, 0.5) == 2);
  BOOST_TEST(Percentile({ 4, 3, 1, 2 }, 0.5) == 2);
  BOOST_TEST(rc::check("the nearest rank", [] {
    auto values = *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 99)));
    const auto percent = *rc::gen::inRange(1, 101);
    const double found = Percentile({ values.begin(), values.end() }, percent / 100.0);
    const auto below =
      std::count_if(values.begin(), values.end(), [&](int v) { return v < found; });
    const auto upTo =
      std::count_if(values.begin(), values.end(), [&](int v) { return v <= found; });
    const auto count = static_cast<double>(values.size());
    RC_ASSERT(static_cast<double>(upTo) >= percent / 100.0 * count - 1e-9);
    RC_ASSERT(static_cast<double>(below) < percent / 100.0 * count + 1e-9);
  }));
}

// Guards against memory of live programs, or of other users, that is counted as held for nothing.
BOOST_FIXTURE_TEST_CASE(SummaryCountsHeldTokensOfFinishedProgramsOnly, SummaryFixture)
{
  mRecord.mFinished = { "1-1-1", "1-2-1" };
  mAfter.mHeldTokens = { { "1-1-1", 30 }, { "1-3-1", 500 }, { "other", 7000 } };
  mBefore.mRecomputedTokens = 100;
  mAfter.mRecomputedTokens = 140;
  const auto engines = SummaryOf("x", 1).at("engines").as_object();
  BOOST_TEST(engines.at("held_for_finished_tokens").to_number<uint64_t>() == 30U);
  BOOST_TEST(engines.at("recomputed_tokens").to_number<double>() == 40);
}

// Guards against a total that is not the sum of the accounts.
BOOST_FIXTURE_TEST_CASE(SummaryTotalsAllAccounts, SummaryFixture)
{
  mRecord.mAccounts[0].mDone = 2;
  mRecord.mAccounts[1].mDone = 3;
  mRecord.mAccounts[0].mErrors["no_target"] = 1;
  mRecord.mAccounts[1].mErrors["no_target"] = 1;
  mRecord.mAccounts[1].mLatency = { 30 };
  const auto total = SummaryOf("x", 10).at("total").as_object();
  BOOST_TEST(total.at("programs").at("done").to_number<int>() == 5);
  BOOST_TEST(total.at("errors").at("no_target").to_number<int>() == 2);
  BOOST_TEST(total.at("latency_ms").at("mean").to_number<double>() == 20);
  BOOST_TEST(SummaryText(SummaryOf("x", 10)).find("no_target: 2") != std::string::npos);
}

// Guards against a difference that is claimed although the repetitions overlap.
BOOST_FIXTURE_TEST_CASE(CompareMarksOnlyRangesThatAreApart, SummaryFixture)
{
  const auto ratios = CompareRuns({ SummaryOf("base", 90),
                                    SummaryOf("base", 110),
                                    SummaryOf("near", 108),
                                    SummaryOf("near", 150),
                                    SummaryOf("far", 40),
                                    SummaryOf("far", 60) });
  const Ratio& near = Find(ratios, "total latency_ms mean", "near");
  const Ratio& far = Find(ratios, "total latency_ms mean", "far");
  BOOST_TEST(near.mRatio == 1.29, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(!near.mDistinct);
  BOOST_TEST(far.mRuns == 2U);
  BOOST_TEST(far.mRatio == 0.5);
  BOOST_TEST(far.mLeast == 0.4);
  BOOST_TEST(far.mGreatest == 0.6);
  BOOST_TEST(far.mDistinct);
  BOOST_TEST(RatioText(ratios).find("0.400..0.600") != std::string::npos);
}

// Guards against a page that needs the network, or breaks on a name.
BOOST_FIXTURE_TEST_CASE(ReportPageIsSelfContained, SummaryFixture)
{
  mRecord.mArrivals = { 0.5, 2, 30 };
  mRecord.mAccounts[0].mWaiting = { 10, 20 };
  const auto page = ReportPage(mMix, mRecord, SummaryOf("x", 10));
  BOOST_TEST(page.find("m&lt;1&gt;") != std::string::npos);
  BOOST_TEST(page.find("m<1>") == std::string::npos);
  BOOST_TEST(page.find("nan") == std::string::npos);
  for (const char* reference : { "src=", "href=", "url(", "@import" }) {
    BOOST_TEST(page.find(reference) == std::string::npos, reference);
  }
}

}
