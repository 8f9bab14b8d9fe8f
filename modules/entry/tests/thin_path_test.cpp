// A program without faults: creation, calls, history, end.
#include "core_fixture.h"

namespace sycamore::entry::testing {

BOOST_FIXTURE_TEST_SUITE(ProgramWithoutFaults, OwnerFixture)

// A single entry must claim every partition after the owner timeout, or no program can be created.
BOOST_AUTO_TEST_CASE(EntryAloneAfterOwnerTimeoutOwnsAllPartitions)
{
  BOOST_TEST(mEntry.Owns(0));
  BOOST_TEST(mEntry.Owns(1));
  BOOST_TEST(mEntry.Ask("GET", "/readyz").mStatus == 200);
}

// A turn must not be acknowledged before it is committed to the log and accepted by the fold, or a
// takeover could lose an acknowledged answer.
BOOST_AUTO_TEST_CASE(ModelCallBeforeCommitIsNotAnswered)
{
  const std::string program = mEntry.Create();
  const uint64_t request = mEntry.Request("POST", Calls(program), ModelBody(1, "hi"));
  const auto dispatch = mEntry.Take<wire::DispatchT>(mEngine);
  BOOST_REQUIRE(dispatch);
  mEntry.mHoldLog = true;
  mEntry.AnswerModel(mEngine, *dispatch, "hello");
  BOOST_TEST(!mEntry.Answer(request).Complete());
  mEntry.mHoldLog = false;
  mEntry.Settle();
  const Received& answer = mEntry.Answer(request);
  BOOST_TEST(answer.mStatus == 200);
  BOOST_TEST(answer.Json().at("answer").at("content").as_string() == "hello");
  BOOST_TEST(answer.Json().at("usage").at("cached_tokens").as_int64() == 5);
  BOOST_TEST(mEntry.Take<wire::CallAckT>(mEngine).has_value());
}

// The prompt of a later model call must hold the whole committed history in order, including tool
// answers, or the model loses context.
BOOST_AUTO_TEST_CASE(SecondModelCallSendsHistoryBeforeNewMessages)
{
  const std::string program = mEntry.Create();
  RunModel(program, 1, "first");
  const uint64_t tool = mEntry.Request("POST", Calls(program), ToolBody(2, "x"));
  const auto lookup = mEntry.Take<wire::DispatchT>(mTool);
  BOOST_REQUIRE(lookup);
  BOOST_TEST(lookup->path == "lookup");
  mEntry.AnswerTool(mTool, *lookup, R"({"tag":"T1"})");
  BOOST_TEST(mEntry.Answer(tool).mStatus == 200);
  mEntry.Request("POST", Calls(program), ModelBody(3, "third"));
  const auto dispatch = mEntry.Take<wire::DispatchT>(mEngine);
  BOOST_REQUIRE(dispatch);
  const std::string& body = dispatch->body;
  const size_t first = body.find("first");
  const size_t answer = body.find("answer to first");
  const size_t tag = body.find("T1");
  const size_t third = body.find("third");
  BOOST_REQUIRE(third != std::string::npos);
  BOOST_TEST(first < answer);
  BOOST_TEST(answer < tag);
  BOOST_TEST(tag < third);
}

// Tokens must be streamed as they arrive, but the final event only after the commit, since it
// acknowledges the turn.
BOOST_AUTO_TEST_CASE(StreamedCallSendsTokensAtOnceAndDoneAfterCommit)
{
  const std::string program = mEntry.Create();
  const uint64_t request = mEntry.Request("POST", Calls(program), ModelBody(1, "hi", true));
  const auto dispatch = mEntry.Take<wire::DispatchT>(mEngine);
  BOOST_REQUIRE(dispatch);
  wire::CallTokenT token;
  token.call = std::make_unique<wire::CallIdT>(*dispatch->call);
  token.attempt = dispatch->attempt;
  token.text = "hel";
  mEntry.Frame(mEngine, wire::MakeFrame(std::move(token)));
  BOOST_TEST(mEntry.Answer(request).mBody.find("hel") != std::string::npos);
  mEntry.mHoldLog = true;
  mEntry.AnswerModel(mEngine, *dispatch, "hello");
  BOOST_TEST(mEntry.Answer(request).mBody.find("event: done") == std::string::npos);
  mEntry.mHoldLog = false;
  mEntry.Settle();
  const Received& answer = mEntry.Answer(request);
  BOOST_TEST(answer.Complete());
  BOOST_TEST(answer.mContentType == "text/event-stream");
  BOOST_TEST(answer.mBody.find(R"({"text":"lo"})") != std::string::npos);
  BOOST_TEST(answer.mBody.find("event: done") != std::string::npos);
}

// A non-idempotent call must not be dispatched before its intent is committed. Otherwise a new
// owner would not know of the call and could run it twice.
BOOST_AUTO_TEST_CASE(KeyedCallBeforeIntentFoldIsNotDispatched)
{
  const std::string program = mEntry.Create();
  mEntry.mHoldLog = true;
  const uint64_t request = mEntry.Request("POST", Calls(program), KeyedBody(1, "k1"));
  mEntry.AdvanceTime(base::Millis{ 500 });
  BOOST_TEST(!mEntry.Take<wire::DispatchT>(mTool).has_value());
  mEntry.mHoldLog = false;
  mEntry.Settle();
  const auto dispatch = mEntry.Take<wire::DispatchT>(mTool);
  BOOST_REQUIRE(dispatch);
  BOOST_TEST(dispatch->sidecar_incarnation == 72u);
  BOOST_TEST(!dispatch->repeatable);
  mEntry.AnswerTool(mTool, *dispatch, R"({"done":true})");
  BOOST_TEST(mEntry.Answer(request).mStatus == 200);
  const auto repeat = mEntry.Ask("POST", Calls(program), KeyedBody(1, "k1"));
  BOOST_TEST(repeat.mBody == mEntry.Answer(request).mBody);
  BOOST_TEST(!mEntry.Take<wire::DispatchT>(mTool).has_value());
}

// The history must list every committed turn once and in order, or an agent that resumes from it
// works on a wrong conversation.
BOOST_AUTO_TEST_CASE(HistoryAfterCallsListsAllTurnsInOrder)
{
  const std::string program = mEntry.Create();
  RunModel(program, 1, "first");
  RunModel(program, 2, "second");
  const auto history = mEntry.Ask("GET", "/v1/programs/" + program + "/history").Json();
  const auto& turns = history.at("turns").as_array();
  BOOST_REQUIRE(turns.size() == 2);
  BOOST_TEST(turns[0].at("answer").at("content").as_string() == "answer to first");
  BOOST_TEST(turns[1].at("answer").at("content").as_string() == "answer to second");
}

// The release of the engine memory of an ended program may be lost. It must be repeated until the
// sidecar acknowledges it, or the memory leaks.
BOOST_AUTO_TEST_CASE(EndAfterModelCallReleasesEngineMemoryUntilAcknowledged)
{
  const std::string program = mEntry.Create();
  RunModel(program, 1, "first");
  const auto ended = mEntry.Ask("POST", "/v1/programs/" + program + "/end");
  BOOST_TEST(ended.mStatus == 200);
  const auto release = mEntry.Take<wire::ReleaseT>(mEngine);
  BOOST_REQUIRE(release);
  mEntry.AdvanceTime(base::Millis{ 2500 });
  BOOST_REQUIRE(mEntry.Take<wire::ReleaseT>(mEngine).has_value());
  wire::ReleaseAckT ack;
  ack.program = std::make_unique<wire::ProgramT>(*release->program);
  mEntry.Frame(mEngine, wire::MakeFrame(std::move(ack)));
  mEntry.AdvanceTime(base::Millis{ 5000 });
  BOOST_TEST(!mEntry.Take<wire::ReleaseT>(mEngine).has_value());
  BOOST_TEST(mEntry.Ask("POST", Calls(program), ModelBody(2, "x")).ErrorCode() == "program_ended");
}

BOOST_AUTO_TEST_SUITE_END()

}
