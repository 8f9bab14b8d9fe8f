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

// After a lost connection the entry does not know whether the sidecar received the call. It must
// look the call up; sending it again could run it twice.
BOOST_AUTO_TEST_CASE(KeyedCallAfterLostLinkIsLookedUpNotSent)
{
  const uint64_t request = mEntry.Request("POST", Calls(mProgram), KeyedBody(1, "k"));
  const wire::DispatchT dispatch = TakeDispatch(mTool);
  mEntry.Disconnect(mTool);
  mEntry.AdvanceTime(base::Millis{ 1000 });
  const auto link = mEntry.ConnectSidecar("side-t", 72, "registry", "tool");
  const auto lookup = mEntry.Take<wire::LookupT>(link);
  BOOST_REQUIRE(lookup);
  BOOST_TEST(!mEntry.Take<wire::DispatchT>(link).has_value());
  ReplyLookup(link, *lookup, wire::CallState::Running, 72);
  mEntry.AnswerTool(link, dispatch, "{}");
  BOOST_TEST(mEntry.Answer(request).mStatus == 200);
}

// If the same sidecar incarnation reports that it never received the call, the call must be sent to
// it again, or it would never run.
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

// A replaced sidecar has lost its records, and its predecessor may have run the call. The call must
// not be sent to the new incarnation, and its outcome must be reported as unknown.
BOOST_AUTO_TEST_CASE(KeyedCallOfReplacedSidecarIsUnknown)
{
  const uint64_t request = mEntry.Request("POST", Calls(mProgram), KeyedBody(1, "k"));
  TakeDispatch(mTool);
  mEntry.Disconnect(mTool);
  const auto link = mEntry.ConnectSidecar("side-t", 73, "registry", "tool");
  BOOST_TEST(mEntry.Answer(request).ErrorCode() == "outcome_unknown");
  BOOST_TEST(mEntry.Answer(request).Run() == "unknown");
  mEntry.AdvanceTime(base::Millis{ 1000 });
  BOOST_TEST(!mEntry.Take<wire::DispatchT>(link).has_value());
  BOOST_TEST(mEntry.Ask("POST", Calls(mProgram), KeyedBody(1, "k")).ErrorCode() ==
             "outcome_unknown");
}

// If the sidecar is replaced before the intent is committed, the call was never dispatched. It must
// be reported as not run and not as unknown.
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

// A sidecar that refuses a non-idempotent call did not run it. The refusal must be recorded, so
// that a repeated request gets the same result and does not run the call.
BOOST_AUTO_TEST_CASE(KeyedCallRefusedBySidecarIsRecordedAsNotRun)
{
  const uint64_t request = mEntry.Request("POST", Calls(mProgram), KeyedBody(1, "k"));
  const wire::DispatchT dispatch = TakeDispatch(mTool);
  mEntry.Outcome(mTool, dispatch, wire::CallResult::NotRun, "target_leaving");
  BOOST_TEST(mEntry.Answer(request).Run() == "not_run");
  BOOST_TEST(mEntry.Ask("POST", Calls(mProgram), KeyedBody(1, "k")).ErrorCode() ==
             "sealed_not_run");
}

// A non-idempotent call that still runs at its deadline is reported as unknown. Its late outcome
// must be recorded, so that a repeated request gets the answer.
BOOST_AUTO_TEST_CASE(KeyedCallAfterDeadlineIsUnknownUntilLateOutcome)
{
  const uint64_t request = mEntry.Request("POST", Calls(mProgram), KeyedBody(1, "k"));
  const wire::DispatchT dispatch = TakeDispatch(mTool);
  mEntry.AdvanceTime(base::Millis{ 10100 });
  BOOST_TEST(mEntry.Answer(request).ErrorCode() == "outcome_unknown");
  mEntry.AnswerTool(mTool, dispatch, R"({"late":true})");
  const Received& again = mEntry.Ask("POST", Calls(mProgram), KeyedBody(1, "k"));
  BOOST_TEST(again.mStatus == 200);
  BOOST_TEST(again.Json().at("answer").at("late").as_bool());
}

// A repeatable call must not wait until its deadline for a sidecar that does not reconnect. It must
// be sent to another target.
BOOST_AUTO_TEST_CASE(ModelCallOfLostSidecarIsSentToOtherTarget)
{
  const uint64_t request = mEntry.Request("POST", Calls(mProgram), ModelBody(1, "hi"));
  TakeDispatch(mEngine);
  const auto other = mEntry.ConnectSidecar("side-f", 75, "llm", "engine");
  mEntry.Disconnect(mEngine);
  mEntry.AdvanceTime(base::Millis{ 5200 });
  const wire::DispatchT again = TakeDispatch(other);
  mEntry.AnswerModel(other, again, "yes");
  BOOST_TEST(mEntry.Answer(request).mStatus == 200);
}

// After a retry, the outcome of the earlier attempt may still arrive. It must not answer the call,
// but it must be acknowledged, or the sidecar keeps its record for ever.
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

// The retry of a streamed call starts its text anew. The stream must be reset first, or the caller
// gets the text of both attempts.
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

// The retries of a call that always fails must stop at the retry budget, or a failing target gets
// more and more load.
BOOST_AUTO_TEST_CASE(CallThatAlwaysFailsStopsAtRetryBudget)
{
  const uint64_t request = mEntry.Request("POST", Calls(mProgram), ModelBody(1, "hi"));
  int attempts = 0;
  for (int i = 0; i < 200; ++i) {
    if (const auto dispatch = mEntry.Take<wire::DispatchT>(mEngine)) {
      ++attempts;
      mEntry.Outcome(mEngine, *dispatch, wire::CallResult::Unknown, "target_failed");
    }
    mEntry.AdvanceTime(base::Millis{ 50 });
  }
  BOOST_TEST(mEntry.Answer(request).ErrorCode() == "target_failed");
  BOOST_TEST(mEntry.Answer(request).Run() == "uncommitted");
  BOOST_TEST(attempts == 4);
}

// A call that every attempt refused before it ran must be reported as not run, so that the caller
// knows that it may safely repeat it.
BOOST_AUTO_TEST_CASE(CallThatWasAlwaysRefusedIsNotRun)
{
  const uint64_t request = mEntry.Request("POST", Calls(mProgram), ModelBody(1, "hi"));
  for (int i = 0; i < 200; ++i) {
    if (const auto dispatch = mEntry.Take<wire::DispatchT>(mEngine)) {
      mEntry.Outcome(mEngine, *dispatch, wire::CallResult::NotRun, "overloaded");
    }
    mEntry.AdvanceTime(base::Millis{ 50 });
  }
  BOOST_TEST(mEntry.Answer(request).ErrorCode() == "overloaded");
  BOOST_TEST(mEntry.Answer(request).Run() == "not_run");
}

// At its deadline a model call must be cancelled at the target, which would otherwise go on
// generating for nobody, and reported as uncommitted, so that the caller may repeat it.
BOOST_AUTO_TEST_CASE(ModelCallAfterDeadlineIsCancelled)
{
  const uint64_t request = mEntry.Request("POST", Calls(mProgram), ModelBody(1, "hi"));
  TakeDispatch(mEngine);
  mEntry.AdvanceTime(base::Millis{ 10100 });
  BOOST_TEST(mEntry.Answer(request).ErrorCode() == "deadline_exceeded");
  BOOST_TEST(mEntry.Answer(request).Run() == "uncommitted");
  BOOST_TEST(mEntry.Take<wire::CallCancelT>(mEngine).has_value());
  // The caller may send the same call again.
  mEntry.Request("POST", Calls(mProgram), ModelBody(1, "hi"));
  BOOST_TEST(mEntry.Take<wire::DispatchT>(mEngine).has_value());
}

// A sidecar that announced that it is leaving must get no new calls, which its stop would abort.
BOOST_AUTO_TEST_CASE(CallWhileOnlyTargetIsLeavingIsNotRun)
{
  mEntry.Frame(mEngine, wire::MakeFrame(wire::LeavingT{}));
  const uint64_t request = mEntry.Request("POST", Calls(mProgram), ModelBody(1, "hi"));
  mEntry.AdvanceTime(base::Millis{ 5100 });
  BOOST_TEST(!mEntry.Take<wire::DispatchT>(mEngine).has_value());
  BOOST_TEST(mEntry.Answer(request).ErrorCode() == "no_target");
  BOOST_TEST(mEntry.Answer(request).Run() == "not_run");
}

// Tokens may be lost with a connection. The text after the gap must come from the outcome, or the
// streamed text would miss a part.
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
