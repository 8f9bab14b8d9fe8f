// Lost connections, replaced sidecars, retries and deadlines.
#include "core_fixture.h"

namespace sycamore::entry::testing {

struct RecoveryFixture : OwnerFixture
{
  wire::DispatchT TakeDispatch(transport::LinkId aLink)
  {
    auto dispatch = mEntry.Take<wire::DispatchT>(aLink);
    BOOST_REQUIRE(dispatch.has_value());
    return std::move(*dispatch);
  }

  void ReplyLookup(transport::LinkId aLink,
                   const wire::LookupT& aLookup,
                   wire::CallState aState,
                   uint64_t aIncarnation)
  {
    wire::LookupReplyT reply;
    reply.call = std::make_unique<wire::CallIdT>(*aLookup.call);
    reply.attempt = aLookup.attempt;
    reply.state = aState;
    reply.incarnation = aIncarnation;
    mEntry.Frame(aLink, wire::MakeFrame(std::move(reply)));
  }

  std::string mProgram{ mEntry.Create() };
};

BOOST_FIXTURE_TEST_SUITE(Recovery, RecoveryFixture)

// After a lost connection the call is looked up; sending it blindly could run it twice.
BOOST_AUTO_TEST_CASE(KeyedCallAfterLostLinkIsLookedUpNotSent)
{
  const uint64_t request = mEntry.Request("POST", Calls(mProgram), KeyedBody(1, "k"));
  const wire::DispatchT dispatch = TakeDispatch(mTool);
  mEntry.Disconnect(mTool);
  mEntry.Pass(base::Millis{ 1000 });
  const auto link = mEntry.ConnectSidecar("side-t", 72, "registry", "tool");
  const auto lookup = mEntry.Take<wire::LookupT>(link);
  BOOST_REQUIRE(lookup);
  BOOST_TEST(!mEntry.Take<wire::DispatchT>(link).has_value());
  ReplyLookup(link, *lookup, wire::CallState::Running, 72);
  mEntry.AnswerTool(link, dispatch, "{}");
  BOOST_TEST(mEntry.Answer(request).mStatus == 200);
}

// The same incarnation may get the call again once it says that it never saw it.
BOOST_AUTO_TEST_CASE(KeyedCallUnseenBySameIncarnationIsSentAgainThere)
{
  mEntry.Request("POST", Calls(mProgram), KeyedBody(1, "k"));
  TakeDispatch(mTool);
  mEntry.Disconnect(mTool);
  const auto link = mEntry.ConnectSidecar("side-t", 72, "registry", "tool");
  const auto lookup = mEntry.Take<wire::LookupT>(link);
  BOOST_REQUIRE(lookup);
  ReplyLookup(link, *lookup, wire::CallState::Unseen, 72);
  const wire::DispatchT again = TakeDispatch(link);
  BOOST_TEST(again.sidecar_incarnation == 72u);
}

// Another incarnation never gets the call; its outcome is unknown.
BOOST_AUTO_TEST_CASE(KeyedCallOfReplacedSidecarIsUnknown)
{
  const uint64_t request = mEntry.Request("POST", Calls(mProgram), KeyedBody(1, "k"));
  TakeDispatch(mTool);
  mEntry.Disconnect(mTool);
  const auto link = mEntry.ConnectSidecar("side-t", 73, "registry", "tool");
  BOOST_TEST(mEntry.Answer(request).ErrorCode() == "outcome_unknown");
  BOOST_TEST(mEntry.Answer(request).Run() == "unknown");
  mEntry.Pass(base::Millis{ 1000 });
  BOOST_TEST(!mEntry.Take<wire::DispatchT>(link).has_value());
  BOOST_TEST(mEntry.Ask("POST", Calls(mProgram), KeyedBody(1, "k")).ErrorCode() ==
             "outcome_unknown");
}

// An intent whose sidecar was replaced before the dispatch did not run.
BOOST_AUTO_TEST_CASE(KeyedCallWhoseSidecarWasReplacedBeforeDispatchIsNotRun)
{
  mEntry.mHoldLog = true;
  const uint64_t request = mEntry.Request("POST", Calls(mProgram), KeyedBody(1, "k"));
  mEntry.Disconnect(mTool);
  const auto link = mEntry.ConnectSidecar("side-t", 73, "registry", "tool");
  mEntry.mHoldLog = false;
  mEntry.Settle();
  BOOST_TEST(mEntry.Answer(request).ErrorCode() == "sealed_not_run");
  BOOST_TEST(mEntry.Answer(request).Run() == "not_run");
  BOOST_TEST(!mEntry.Take<wire::DispatchT>(link).has_value());
}

BOOST_AUTO_TEST_CASE(KeyedCallRefusedBySidecarIsRecordedAsNotRun)
{
  const uint64_t request = mEntry.Request("POST", Calls(mProgram), KeyedBody(1, "k"));
  const wire::DispatchT dispatch = TakeDispatch(mTool);
  mEntry.Outcome(mTool, dispatch, wire::CallResult::NotRun, "target_leaving");
  BOOST_TEST(mEntry.Answer(request).Run() == "not_run");
  BOOST_TEST(mEntry.Ask("POST", Calls(mProgram), KeyedBody(1, "k")).ErrorCode() ==
             "sealed_not_run");
}

// At its deadline a running non-idempotent call is unknown; its late outcome is still recorded.
BOOST_AUTO_TEST_CASE(KeyedCallAfterDeadlineIsUnknownAndLaterRefined)
{
  const uint64_t request = mEntry.Request("POST", Calls(mProgram), KeyedBody(1, "k"));
  const wire::DispatchT dispatch = TakeDispatch(mTool);
  mEntry.Pass(base::Millis{ 10100 });
  BOOST_TEST(mEntry.Answer(request).ErrorCode() == "outcome_unknown");
  mEntry.AnswerTool(mTool, dispatch, R"({"late":true})");
  const Received& again = mEntry.Ask("POST", Calls(mProgram), KeyedBody(1, "k"));
  BOOST_TEST(again.mStatus == 200);
  BOOST_TEST(again.Json().at("answer").at("late").as_bool());
}

// A repeatable call whose sidecar does not come back goes elsewhere.
BOOST_AUTO_TEST_CASE(ModelCallOfVanishedSidecarIsSentElsewhere)
{
  const uint64_t request = mEntry.Request("POST", Calls(mProgram), ModelBody(1, "hi"));
  TakeDispatch(mEngine);
  const auto other = mEntry.ConnectSidecar("side-f", 75, "llm", "engine");
  mEntry.Disconnect(mEngine);
  mEntry.Pass(base::Millis{ 5200 });
  const wire::DispatchT again = TakeDispatch(other);
  mEntry.AnswerModel(other, again, "yes");
  BOOST_TEST(mEntry.Answer(request).mStatus == 200);
}

// The outcome of a replaced attempt must not answer the call, and the sidecar must forget it.
BOOST_AUTO_TEST_CASE(OutcomeOfEarlierAttemptIsAcknowledgedAndIgnored)
{
  const uint64_t request = mEntry.Request("POST", Calls(mProgram), ModelBody(1, "hi"));
  const wire::DispatchT first = TakeDispatch(mEngine);
  const auto other = mEntry.ConnectSidecar("side-f", 75, "llm", "engine");
  mEntry.Outcome(mEngine, first, wire::CallResult::Unknown, "target_failed");
  const wire::DispatchT second = TakeDispatch(other);
  while (mEntry.Take<wire::CallAckT>(mEngine)) {
  }
  mEntry.AnswerModel(mEngine, first, "old");
  BOOST_TEST(!mEntry.Answer(request).Complete());
  BOOST_TEST(mEntry.Take<wire::CallAckT>(mEngine).has_value());
  mEntry.AnswerModel(other, second, "new");
  BOOST_TEST(mEntry.Answer(request).Json().at("answer").at("content").as_string() == "new");
}

// A retry after streamed text must void that text.
BOOST_AUTO_TEST_CASE(StreamOfRetriedCallIsReset)
{
  const uint64_t request = mEntry.Request("POST", Calls(mProgram), ModelBody(1, "hi", true));
  const wire::DispatchT first = TakeDispatch(mEngine);
  const auto other = mEntry.ConnectSidecar("side-f", 75, "llm", "engine");
  wire::CallTokenT token;
  token.call = std::make_unique<wire::CallIdT>(*first.call);
  token.attempt = first.attempt;
  token.text = "half";
  mEntry.Frame(mEngine, wire::MakeFrame(std::move(token)));
  mEntry.Outcome(mEngine, first, wire::CallResult::Unknown, "target_failed");
  const wire::DispatchT second = TakeDispatch(other);
  mEntry.AnswerModel(other, second, "whole");
  const std::string& body = mEntry.Answer(request).mBody;
  BOOST_TEST(body.find("half") < body.find("event: reset"));
  BOOST_TEST(body.find("event: reset") < body.find("whole"));
  BOOST_TEST(mEntry.Answer(request).Complete());
}

// Retries must stop at the budget, or a failing target gets ever more load.
BOOST_AUTO_TEST_CASE(CallThatAlwaysFailsStopsAtRetryBudget)
{
  const uint64_t request = mEntry.Request("POST", Calls(mProgram), ModelBody(1, "hi"));
  int attempts = 0;
  for (int i = 0; i < 200; ++i) {
    if (const auto dispatch = mEntry.Take<wire::DispatchT>(mEngine)) {
      ++attempts;
      mEntry.Outcome(mEngine, *dispatch, wire::CallResult::Unknown, "target_failed");
    }
    mEntry.Pass(base::Millis{ 50 });
  }
  BOOST_TEST(mEntry.Answer(request).ErrorCode() == "target_failed");
  BOOST_TEST(mEntry.Answer(request).Run() == "uncommitted");
  BOOST_TEST(attempts == 4);
}

// A refusal before anything ran must be told as not run.
BOOST_AUTO_TEST_CASE(CallThatWasAlwaysRefusedIsNotRun)
{
  const uint64_t request = mEntry.Request("POST", Calls(mProgram), ModelBody(1, "hi"));
  for (int i = 0; i < 200; ++i) {
    if (const auto dispatch = mEntry.Take<wire::DispatchT>(mEngine)) {
      mEntry.Outcome(mEngine, *dispatch, wire::CallResult::NotRun, "overloaded");
    }
    mEntry.Pass(base::Millis{ 50 });
  }
  BOOST_TEST(mEntry.Answer(request).ErrorCode() == "overloaded");
  BOOST_TEST(mEntry.Answer(request).Run() == "not_run");
}

// A call past its deadline is cancelled at the target and told as uncommitted.
BOOST_AUTO_TEST_CASE(ModelCallAfterDeadlineIsCancelled)
{
  const uint64_t request = mEntry.Request("POST", Calls(mProgram), ModelBody(1, "hi"));
  TakeDispatch(mEngine);
  mEntry.Pass(base::Millis{ 10100 });
  BOOST_TEST(mEntry.Answer(request).ErrorCode() == "deadline_exceeded");
  BOOST_TEST(mEntry.Answer(request).Run() == "uncommitted");
  BOOST_TEST(mEntry.Take<wire::CallCancelT>(mEngine).has_value());
  // The caller may send the same call again.
  mEntry.Request("POST", Calls(mProgram), ModelBody(1, "hi"));
  BOOST_TEST(mEntry.Take<wire::DispatchT>(mEngine).has_value());
}

// A leaving sidecar gets no new work.
BOOST_AUTO_TEST_CASE(CallWhileOnlyTargetIsLeavingIsNotRun)
{
  mEntry.Frame(mEngine, wire::MakeFrame(wire::LeavingT{}));
  const uint64_t request = mEntry.Request("POST", Calls(mProgram), ModelBody(1, "hi"));
  mEntry.Pass(base::Millis{ 5100 });
  BOOST_TEST(!mEntry.Take<wire::DispatchT>(mEngine).has_value());
  BOOST_TEST(mEntry.Answer(request).ErrorCode() == "no_target");
  BOOST_TEST(mEntry.Answer(request).Run() == "not_run");
}

// A token lost with a connection must not be missing from the stream.
BOOST_AUTO_TEST_CASE(StreamAfterLostTokenIsCompletedFromOutcome)
{
  const uint64_t request = mEntry.Request("POST", Calls(mProgram), ModelBody(1, "hi", true));
  const wire::DispatchT dispatch = TakeDispatch(mEngine);
  for (const uint32_t index : { 0u, 2u }) {
    wire::CallTokenT token;
    token.call = std::make_unique<wire::CallIdT>(*dispatch.call);
    token.attempt = dispatch.attempt;
    token.index = index;
    token.text = index == 0 ? "a" : "c";
    mEntry.Frame(mEngine, wire::MakeFrame(std::move(token)));
  }
  mEntry.AnswerModel(mEngine, dispatch, "abc");
  const std::string& body = mEntry.Answer(request).mBody;
  BOOST_TEST(body.find(R"({"text":"a"})") != std::string::npos);
  BOOST_TEST(body.find(R"({"text":"bc"})") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}
