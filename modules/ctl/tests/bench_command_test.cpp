#include "command_fixture.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <fstream>

namespace sycamore::ctl {

// A load mix of one account, with its table row.
static constexpr const char* kMix = R"({"name":"m","duration_s":1,"day_s":1,
  "templates":[{"name":"t","budget_tokens":1000,"steps":[{"pause_ms":1}]}],
  "accounts":[{"account":"a",
    "row":{"weight":2,"requests_per_s":3,"tokens_per_s":4,"concurrency":5},
    "arrivals":[{"region":"r","base_per_s":20}],"programs":[{"template":"t"}]}]})";

struct BenchCommandFixture : CommandFixture
{
  std::string mPath = "ctl_bench_command_test.json";
  BenchCommandFixture() { std::ofstream(mPath) << kMix; }
  ~BenchCommandFixture() { std::remove(mPath.c_str()); }
  BenchCommandFixture(const BenchCommandFixture&) = delete;
  BenchCommandFixture& operator=(const BenchCommandFixture&) = delete;
};

// Guards against edits that conflict because they lack the version of the current row, and against
// limits that differ from those of the mix.
BOOST_FIXTURE_TEST_CASE(BenchPrepareEditsCurrentVersion, BenchCommandFixture)
{
  ScriptedEntry entry([](http::Server& aServer, const http::Request& aRequest, int) {
    const bool list = aRequest.mMethod == "GET";
    aServer.Send(CompletePart(aRequest,
                              200,
                              list ? R"({"version":9,"orders":[],"rows":[
        {"account":"a","region":"r","model":"*","version":8},
        {"account":"a","region":"*","model":"*","version":6}]})"
                                   : R"({"version":10})"));
  });
  BOOST_TEST((Run({ "bench", "prepare", mPath, EntryFlag(entry) }) == ExitCode::Ok));
  const auto requests = entry.Requests();
  BOOST_TEST_REQUIRE(requests.size() == 2U);
  BOOST_TEST(requests[1].mPath == "/v1/table/rows/a/*/*");
  const auto body = boost::json::parse(requests[1].mBody);
  BOOST_TEST(body.at("base_version").to_number<int>() == 6);
  BOOST_TEST(body.at("concurrency").to_number<int>() == 5);
}

// Guards against result files of `bench run` that `bench compare` cannot read.
BOOST_FIXTURE_TEST_CASE(BenchRunWritesFilesThatCompareReads, BenchCommandFixture)
{
  ScriptedEntry entry([](http::Server& aServer, const http::Request& aRequest, int) {
    aServer.Send(CompletePart(aRequest, 200, R"({"program":"1-2-3"})"));
  });
  const std::string out = "ctl_bench_command_test_out";
  BOOST_TEST((Run({ "bench", "run", mPath, "--settle_s=0", "--out=" + out, EntryFlag(entry) }) ==
              ExitCode::Ok));
  BOOST_TEST(Contains(mOut, "0 failed"));
  for (const char* suffix : { ".json", ".txt", ".html" }) {
    BOOST_TEST(std::ifstream(out + suffix).good(), suffix);
  }
  mOut.clear();
  BOOST_TEST((Run({ "bench", "compare", out + ".json", out + ".json" }) == ExitCode::Ok));
  BOOST_TEST(Contains(mOut, "total programs done"));
  for (const char* suffix : { ".json", ".txt", ".html" }) {
    std::remove((out + suffix).c_str());
  }
}

// Guards against a crash of `bench compare` on a file that is not a result.
BOOST_FIXTURE_TEST_CASE(BenchCompareOfOtherFileIsUsageError, BenchCommandFixture)
{
  BOOST_TEST((Run({ "bench", "compare", mPath, mPath }) == ExitCode::Usage));
  BOOST_TEST(Contains(mErr, "is not a result of `bench run`"));
}

}
