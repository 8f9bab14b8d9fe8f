#include "scripted_entry.h"

#include "sycamore/bench/runner.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <set>

namespace sycamore::bench {

using base::Millis;
using client::CompletePart;
using client::ScriptedEntry;

// A run of a few programs against an entry that the test scripts.
struct RunnerFixture
{
  Mix mMix;
  std::vector<PlannedProgram> mPlan;
  RunOptions mOptions;

  RunnerFixture()
  {
    mMix.mAccounts = { { "a", {}, {}, {} } };
    mMix.mTemplates = { { "t", 1000, 5, Millis(0), true, false, {} } };
    mOptions.mDrain = base::Seconds(30);
  }

  void Plan(std::vector<PlannedStep> aSteps)
  {
    mPlan.push_back({ Millis(0), 0, 0, "r", mPlan.size(), std::move(aSteps) });
  }

  AccountRecord Run(const ScriptedEntry::Script& aScript)
  {
    ScriptedEntry entry(aScript);
    mOptions.mEntries = { entry.mEndpoint };
    const RunRecord record = RunPlan(mMix, mPlan, mOptions);
    mRequests = entry.Requests();
    return record.mAccounts[0];
  }

  // Answers of an entry that works; the stream of a call has one token.
  static void Work(http::Server& aServer, const http::Request& aRequest, int aCount)
  {
    http::ResponsePart part = CompletePart(aRequest, 200, "{}");
    if (aRequest.mPath == "/v1/programs") {
      part.mStatus = 201;
      part.mBody = fmt::format(R"({{"program":"1-{}-1"}})", aCount);
    } else if (aRequest.mAcceptsStream) {
      part.mContentType = "text/event-stream";
      part.mBody = "id: 1.0\nevent: token\ndata: {\"text\":\"a\"}\n\nid: 1.1\nevent: done\ndata: "
                   "{\"seq\":1}\n\n";
    }
    aServer.Send(std::move(part));
  }

  size_t CountOf(std::string_view aPart) const
  {
    return static_cast<size_t>(
      std::count_if(mRequests.begin(), mRequests.end(), [&](const http::Request& aRequest) {
        return aRequest.mPath.find(aPart) != std::string::npos;
      }));
  }

  std::vector<http::Request> mRequests;
};

// Guards against steps left out, wrong sequence numbers, and programs that are not ended.
BOOST_FIXTURE_TEST_CASE(RunnerCarriesOutEveryStep, RunnerFixture)
{
  PlannedSubAgents agents;
  agents.mPrograms = { { Millis(0), 0, 0, "r", 9, { PlannedModel{ "m", 1, 1, false } } } };
  Plan({ PlannedModel{ "m", 3, 5, true },
         PlannedPause{ Millis(20) },
         agents,
         PlannedTool{ "s", "fine", 8, false } });
  const AccountRecord record = Run(Work);
  BOOST_TEST(record.mDone == 1U);
  BOOST_TEST(record.mFailed == 0U);
  BOOST_TEST(record.mSubAgents == 1U);
  BOOST_TEST(record.mCalls == 3U);
  BOOST_TEST(record.mFirstToken.size() == 1U);
  BOOST_TEST_REQUIRE(record.mLatency.size() == 1U);
  BOOST_TEST(record.mLatency[0] >= 20);
  BOOST_TEST(record.mWaiting[0] <= record.mLatency[0] - 20);
  BOOST_TEST(CountOf("/end") == 2U);
  std::set<int64_t> seqs;
  for (const http::Request& request : mRequests) {
    if (request.mPath == "/v1/programs/1-1-1/calls") {
      seqs.insert(boost::json::parse(request.mBody).at("seq").as_int64());
    }
  }
  BOOST_TEST((seqs == std::set<int64_t>{ 1, 2 }));
}

// Guards against refusals that end a program, or that are sent again without a pause.
BOOST_FIXTURE_TEST_CASE(RunnerRefusedCallIsRepeated, RunnerFixture)
{
  Plan({ PlannedModel{ "m", 1, 1, false } });
  const AccountRecord record =
    Run([](http::Server& aServer, const http::Request& aRequest, int aCount) {
      if (aCount == 2) {
        aServer.Send(CompletePart(
          aRequest, 429, R"({"error":{"code":"request_limit","run":"not_run","retryable":true}})"));
      } else {
        Work(aServer, aRequest, aCount);
      }
    });
  BOOST_TEST(record.mDone == 1U);
  BOOST_TEST(record.mRefused == 1U);
  BOOST_TEST(record.mRetried == 1U);
  BOOST_TEST(record.mLatency[0] >= 200);
}

// Guards against a call that runs twice because its stream broke.
BOOST_FIXTURE_TEST_CASE(RunnerBrokenStreamIsContinued, RunnerFixture)
{
  Plan({ PlannedModel{ "m", 1, 1, true } });
  const AccountRecord record =
    Run([](http::Server& aServer, const http::Request& aRequest, int aCount) {
      if (aCount == 2) {
        auto part = CompletePart(aRequest, 200, "id: 4.0\nevent: token\ndata: {}\n\n");
        part.mContentType = "text/event-stream";
        aServer.Send(std::move(part));
      } else {
        Work(aServer, aRequest, aCount);
      }
    });
  BOOST_TEST(record.mDone == 1U);
  BOOST_TEST(record.mReconnected == 1U);
  BOOST_TEST_REQUIRE(mRequests.size() == 4U);
  BOOST_TEST(mRequests[2].mMethod == "GET");
  BOOST_TEST(mRequests[2].mPath == "/v1/programs/1-1-1/calls/1/events");
  BOOST_TEST(mRequests[2].mLastEventId == "4.0");
}

// Guards against failed programs that are counted as done or keep their memory.
BOOST_FIXTURE_TEST_CASE(RunnerFailedProgramIsCountedAndEnded, RunnerFixture)
{
  Plan({ PlannedTool{ "s", "fine", 8, false }, PlannedModel{ "m", 1, 1, false } });
  const AccountRecord record =
    Run([](http::Server& aServer, const http::Request& aRequest, int aCount) {
      if (aCount == 2) {
        aServer.Send(CompletePart(
          aRequest,
          502,
          R"({"error":{"code":"outcome_unknown","run":"unknown","retryable":false}})"));
      } else {
        Work(aServer, aRequest, aCount);
      }
    });
  BOOST_TEST(record.mDone == 0U);
  BOOST_TEST(record.mFailed == 1U);
  BOOST_TEST(record.mUnknown == 1U);
  BOOST_TEST(record.mErrors.at("outcome_unknown") == 1U);
  BOOST_TEST(record.mLatency.empty());
  BOOST_TEST(CountOf("/end") == 1U);
}

// Guards against a looping program whose proper end counts as a failure.
BOOST_FIXTURE_TEST_CASE(RunnerLoopingProgramEndsByLimit, RunnerFixture)
{
  mMix.mTemplates[0].mEndsByLimit = true;
  Plan(std::vector<PlannedStep>(50, PlannedModel{ "m", 1, 1, false }));
  const AccountRecord record =
    Run([](http::Server& aServer, const http::Request& aRequest, int aCount) {
      if (aCount == 7) {
        aServer.Send(CompletePart(
          aRequest, 409, R"({"error":{"code":"turn_limit","run":"not_run","retryable":false}})"));
      } else {
        Work(aServer, aRequest, aCount);
      }
    });
  BOOST_TEST(record.mDone == 1U);
  BOOST_TEST(record.mEndedByLimit == 1U);
  BOOST_TEST(record.mFailed == 0U);
  BOOST_TEST(record.mLatency.empty());
}

// Guards against a run that waits forever for a program that hangs.
BOOST_FIXTURE_TEST_CASE(RunnerHangingProgramIsCutOff, RunnerFixture)
{
  mOptions.mDrain = Millis(300);
  Plan({ PlannedModel{ "m", 1, 1, false } });
  const AccountRecord record =
    Run([](http::Server& aServer, const http::Request& aRequest, int aCount) {
      if (aCount == 1) {
        Work(aServer, aRequest, aCount);
      }
    });
  BOOST_TEST(record.mUnfinished == 1U);
  BOOST_TEST(record.mDone == 0U);
}

// Guards against a load that waits for the system: arrivals must not depend on answers.
BOOST_FIXTURE_TEST_CASE(RunnerArrivalsDoNotWaitForAnswers, RunnerFixture)
{
  mOptions.mDrain = Millis(200);
  for (int i = 0; i < 20; ++i) {
    Plan({ PlannedModel{ "m", 1, 1, false } });
  }
  const AccountRecord record = Run([](http::Server&, const http::Request&, int) {});
  BOOST_TEST(record.mStarted == 20U);
  BOOST_TEST(record.mUnfinished == 20U);
  BOOST_TEST(mRequests.size() == 20U);
}

}
