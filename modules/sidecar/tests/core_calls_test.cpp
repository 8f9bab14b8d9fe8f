#include "core_fixture.h"

#include <boost/test/unit_test.hpp>

namespace sycamore::sidecar {

using base::ErrorKind;
using base::Millis;
using base::Seconds;
using http::SendProgress;
using wire::CallResult;

static const std::string kChat = "/v1/chat/completions";

static std::string
Piece(const std::string& aText)
{
  return R"(data: {"choices":[{"delta":{"content":")" + aText + "\"}}]}\n\n";
}

static const std::string kUsage =
  R"(data: {"choices":[],"usage":{"prompt_tokens":12,"completion_tokens":2,)"
  R"("prompt_tokens_details":{"cached_tokens":8}}})"
  "\n\ndata: [DONE]\n\n";

// Guards against lost text or usage of a streamed call.
BOOST_FIXTURE_TEST_CASE(CoreAfterStreamedCallSendsTokensAndOutcome, CoreFixture)
{
  Receive(kLink, Model(1));
  const auto requests = mOutput.RequestsOf(kChat);
  BOOST_REQUIRE(requests.size() == 1U);
  BOOST_TEST(requests[0].mStream);
  BOOST_TEST(requests[0].mBody.find(R"("program":"3-5-0000000000000009")") != std::string::npos);
  mCore->OnData(requests[0].mRequestId, Piece("Hel") + Piece("lo").substr(0, 9), mNow);
  mCore->OnData(requests[0].mRequestId, Piece("lo").substr(9) + kUsage, mNow);
  Done(requests[0].mRequestId, "");
  const auto tokens = mOutput.FramesOf<wire::CallTokenT>(kLink);
  BOOST_REQUIRE(tokens.size() == 2U);
  BOOST_TEST(tokens[0].text == "Hel");
  BOOST_TEST(tokens[1].text == "lo");
  BOOST_TEST(tokens[1].index == 1U);
  const auto outcome = LastOutcome();
  BOOST_TEST((outcome.result == CallResult::Answered));
  BOOST_TEST(outcome.status == 200U);
  BOOST_TEST(outcome.prompt_tokens == 12U);
  BOOST_TEST(outcome.cached_tokens == 8U);
  BOOST_TEST(outcome.generated_tokens == 2U);
  BOOST_TEST(outcome.body.find(R"("content":"Hello")") != std::string::npos);
}

// Guards against a truncated stream that is reported as a complete answer.
BOOST_FIXTURE_TEST_CASE(CoreWhenStreamLacksEndMarkerReportsFailure, CoreFixture)
{
  Receive(kLink, Model(1));
  const uint64_t requestId = mOutput.RequestsOf(kChat).at(0).mRequestId;
  mCore->OnData(requestId, Piece("Hel"), mNow);
  Done(requestId, "");
  BOOST_TEST((LastOutcome().result == CallResult::Unknown));
  BOOST_TEST(LastOutcome().error == "target_failed");
  BOOST_TEST(LastOutcome().generated_tokens == 1U);
}

// Guards against "not run" for a call of which bytes were sent, and against "unknown" for a call of
// which none were sent.
BOOST_FIXTURE_TEST_CASE(CoreWhenTargetFailsReportsNotRunOnlyIfNothingWasSent, CoreFixture)
{
  Receive(kLink, Tool("a"));
  Receive(kLink, Tool("b"));
  const auto requests = mOutput.RequestsOf("/tools/issue-notice");
  BOOST_REQUIRE(requests.size() == 2U);
  Fail(requests[0].mRequestId, ErrorKind::ConnectionLost, SendProgress::MaybeSent);
  BOOST_TEST((LastOutcome().result == CallResult::Unknown));
  BOOST_TEST(LastOutcome().error == "outcome_unknown");
  Fail(requests[1].mRequestId, ErrorKind::TargetRefused, SendProgress::NothingSent);
  BOOST_TEST((LastOutcome().result == CallResult::NotRun));
  BOOST_TEST(LastOutcome().error == "target_refused");
}

// Guards against a tool name that reaches another path of the target.
BOOST_FIXTURE_TEST_CASE(CoreWithHostileToolNameStaysBelowTools, CoreFixture)
{
  wire::DispatchT dispatch = Tool("a");
  dispatch.path = "x/../../control?a b\r\n";
  Receive(kLink, std::move(dispatch));
  BOOST_TEST(mOutput.RequestsOf("/tools/x%2F..%2F..%2Fcontrol%3Fa%20b%0D%0A").size() == 1U);
  wire::DispatchT parent = Tool("b");
  parent.path = "..";
  Receive(kLink, std::move(parent));
  BOOST_TEST(LastOutcome().error == "invalid_field");
  BOOST_TEST((LastOutcome().result == CallResult::NotRun));
}

// Guards against counting a call as run when the engine rejected its fencing token.
BOOST_FIXTURE_TEST_CASE(CoreWhenEngineRejectsFenceReportsNotRun, CoreFixture)
{
  Receive(kLink, Model(1));
  Done(mOutput.RequestsOf(kChat).at(0).mRequestId, "", 409);
  BOOST_TEST((LastOutcome().result == CallResult::NotRun));
  BOOST_TEST(LastOutcome().error == "fenced");
}

// Guards against dropping the error body that a target returns for a streamed call.
BOOST_FIXTURE_TEST_CASE(CoreWhenStreamedCallFailsPassesErrorBodyOn, CoreFixture)
{
  Receive(kLink, Model(1));
  const uint64_t requestId = mOutput.RequestsOf(kChat).at(0).mRequestId;
  mCore->OnData(requestId, R"({"error":"too long"})", mNow);
  Done(requestId, "", 400);
  BOOST_TEST((LastOutcome().result == CallResult::Answered));
  BOOST_TEST(LastOutcome().status == 400U);
  BOOST_TEST(LastOutcome().body == R"({"error":"too long"})");
}

// Guards against exceeding the target's concurrency limit, and against calls that stay queued when
// a slot becomes free.
BOOST_FIXTURE_TEST_CASE(CoreWithFullTargetQueuesUntilACallEnds, CoreFixture)
{
  for (uint32_t seq = 1; seq <= 3; ++seq) {
    Receive(kLink, Model(seq));
  }
  BOOST_REQUIRE(mOutput.RequestsOf(kChat).size() == 2U);
  Fail(mOutput.RequestsOf(kChat)[0].mRequestId, ErrorKind::ConnectionLost, SendProgress::MaybeSent);
  BOOST_TEST(mOutput.RequestsOf(kChat).size() == 3U);
}

// Guards against queued calls with long histories that use too much memory.
BOOST_FIXTURE_TEST_CASE(CoreWithManyWaitingBytesRefusesAsOverloaded, CoreFixture)
{
  constexpr size_t kBody = size_t{ 4 } << 20;
  constexpr uint32_t kFit = 4;
  for (uint32_t seq = 1; seq <= 2 + kFit; ++seq) {
    wire::DispatchT dispatch = Model(seq);
    dispatch.body = "{" + std::string(kBody - 2, ' ') + "}";
    Receive(kLink, std::move(dispatch));
  }
  BOOST_TEST(mOutput.FramesOf<wire::CallOutcomeT>(kLink).empty());
  Receive(kLink, Model(7));
  BOOST_TEST(LastOutcome().error == "overloaded");
  BOOST_TEST((LastOutcome().result == CallResult::NotRun));
  Done(mOutput.RequestsOf(kChat)[0].mRequestId, "", 500);
  Receive(kLink, Model(8));
  BOOST_TEST(mOutput.FramesOf<wire::CallOutcomeT>(kLink).size() == 2U);
  BOOST_TEST(mCore->Counters().mQueued == 4U);
}

// Guards against queued calls that outlive their deadline.
BOOST_FIXTURE_TEST_CASE(CoreWhenQueuedCallExpiresReportsNotRun, CoreFixture)
{
  for (uint32_t seq = 1; seq <= 3; ++seq) {
    Receive(kLink, Model(seq));
  }
  Pass(Seconds(11));
  const auto outcomes = mOutput.FramesOf<wire::CallOutcomeT>(kLink);
  BOOST_REQUIRE(outcomes.size() == 1U);
  BOOST_TEST(outcomes[0].call->seq == 3U);
  BOOST_TEST((outcomes[0].result == CallResult::NotRun));
  BOOST_TEST(outcomes[0].error == "deadline_exceeded");
}

// Guards against running a non-idempotent call twice, and against a false "not run" for it.
BOOST_FIXTURE_TEST_CASE(CoreWhenDispatchIsRepeatedRunsOnce, CoreFixture)
{
  Receive(kLink, Tool("a"));
  Receive(kLink, Tool("a"));
  BOOST_REQUIRE(mOutput.RequestsOf("/tools/issue-notice").size() == 1U);
  Done(mOutput.RequestsOf("/tools/issue-notice")[0].mRequestId, R"({"ok":1})");
  Receive(kLink, Tool("a"));
  wire::CallAckT ack;
  ack.call = Id(1, "a");
  Receive(kLink, std::move(ack));
  Receive(kLink, Tool("a"));
  BOOST_TEST(mOutput.RequestsOf("/tools/issue-notice").size() == 1U);
  for (const auto& outcome : mOutput.FramesOf<wire::CallOutcomeT>(kLink)) {
    BOOST_TEST((outcome.result == CallResult::Answered));
  }
}

// Guards against running a call that the previous sidecar process may have run.
BOOST_FIXTURE_TEST_CASE(CoreOfAnotherIncarnationRefusesNonIdempotentCall, CoreFixture)
{
  Restart(kIncarnation + 1);
  Receive(kLink, Tool("a"));
  BOOST_TEST(mOutput.RequestsOf("/tools/issue-notice").empty());
  BOOST_TEST((LastOutcome().result == CallResult::NotRun));
}

// Guards against running dispatches of an owner that was replaced and does not know it yet.
BOOST_FIXTURE_TEST_CASE(CoreAfterSealRefusesOlderEpochAndSealedCall, CoreFixture)
{
  Connect(2, kEntry + 1);
  wire::SealT seal;
  seal.call = Id(1, "a");
  seal.epoch = 2;
  seal.sidecar_incarnation = kIncarnation;
  Receive(2, seal);
  const auto replies = mOutput.FramesOf<wire::SealReplyT>(2);
  BOOST_REQUIRE(replies.size() == 1U);
  BOOST_TEST((replies[0].state == wire::CallState::Sealed));
  Receive(kLink, Tool("a", 1));
  Receive(kLink, Tool("b", 1));
  Receive(2, Tool("a", 2));
  BOOST_TEST(mOutput.RequestsOf("/tools/issue-notice").empty());
}

// Guards against an outcome that is lost when the owner changes.
BOOST_FIXTURE_TEST_CASE(CoreWhenSealedWhileRunningSendsOutcomeToNewOwner, CoreFixture)
{
  Receive(kLink, Tool("a"));
  Connect(2, kEntry + 1);
  wire::SealT seal;
  seal.call = Id(1, "a");
  seal.epoch = 2;
  seal.sidecar_incarnation = kIncarnation;
  Receive(2, seal);
  BOOST_TEST((mOutput.FramesOf<wire::SealReplyT>(2).at(0).state == wire::CallState::Running));
  Done(mOutput.RequestsOf("/tools/issue-notice")[0].mRequestId, "{}");
  BOOST_TEST((LastOutcome(2).result == CallResult::Answered));
  wire::CallAckT ack;
  ack.call = Id(1, "a");
  Receive(kLink, ack); // The ack of the replaced owner must not discard the outcome.
  wire::LookupT lookup;
  lookup.call = Id(1, "a");
  Receive(2, lookup);
  BOOST_TEST((mOutput.FramesOf<wire::LookupReplyT>(2).at(0).state == wire::CallState::Finished));
}

// Guards against outcomes lost with a connection.
BOOST_FIXTURE_TEST_CASE(CoreWhenOwnerReconnectsSendsOutcomeOnNewestLink, CoreFixture)
{
  Receive(kLink, Tool("a"));
  mCore->OnPeer(transport::PeerLost{ kLink, "test" }, mNow);
  Connect(2, kEntry);
  Done(mOutput.RequestsOf("/tools/issue-notice")[0].mRequestId, "{}");
  BOOST_TEST((LastOutcome(2).result == CallResult::Answered));
  BOOST_TEST(mOutput.FramesOf<wire::CallOutcomeT>(kLink).empty());
}

// Guards against two attempts of a call that both run to the end, and against reporting the outcome
// of the cancelled one.
BOOST_FIXTURE_TEST_CASE(CoreWhenNewAttemptArrivesCancelsTheOlder, CoreFixture)
{
  Receive(kLink, Model(1, 1));
  Receive(kLink, Model(1, 2));
  const auto requests = mOutput.RequestsOf(kChat);
  BOOST_REQUIRE(requests.size() == 2U);
  BOOST_TEST(mOutput.mCancelled == std::vector<uint64_t>{ requests[0].mRequestId });
  Fail(requests[0].mRequestId, ErrorKind::ConnectionLost, SendProgress::MaybeSent);
  BOOST_TEST(mOutput.FramesOf<wire::CallOutcomeT>(kLink).empty());
  mCore->OnData(requests[1].mRequestId, Piece("x") + kUsage, mNow);
  Done(requests[1].mRequestId, "");
  BOOST_TEST(LastOutcome().attempt == 2U);
  BOOST_TEST((LastOutcome().result == CallResult::Answered));
}

// Guards against cancelling a non-idempotent call, whose outcome would be lost.
BOOST_FIXTURE_TEST_CASE(CoreWhenCancelledStopsOnlyRepeatableCalls, CoreFixture)
{
  Receive(kLink, Model(1));
  Receive(kLink, Tool("a"));
  wire::CallCancelT cancel;
  cancel.call = Id(1);
  cancel.attempt = 1;
  Receive(kLink, cancel);
  wire::CallCancelT other;
  other.call = Id(1, "a");
  Receive(kLink, other);
  BOOST_TEST(mOutput.mCancelled ==
             std::vector<uint64_t>{ mOutput.RequestsOf(kChat).at(0).mRequestId });
}

// Guards against new work on a leaving instance, and against aborting its running calls.
BOOST_FIXTURE_TEST_CASE(CoreWhenDrainingRefusesNewAndFinishesRunningCalls, CoreFixture)
{
  for (uint32_t seq = 1; seq <= 3; ++seq) {
    Receive(kLink, Model(seq));
  }
  mCore->BeginDrain(mNow);
  BOOST_TEST(mOutput.FramesOf<wire::LeavingT>(kLink).size() == 1U);
  BOOST_TEST(mOutput.mHeartbeat.leaving);
  BOOST_TEST(LastOutcome().call->seq == 3U);
  BOOST_TEST(LastOutcome().error == "target_leaving");
  Receive(kLink, Model(4));
  BOOST_TEST((LastOutcome().result == CallResult::NotRun));
  BOOST_TEST(mOutput.mCancelled.empty());
  BOOST_TEST(!mCore->Drained(mNow));
  for (const auto& request : mOutput.RequestsOf(kChat)) {
    mCore->OnData(request.mRequestId, Piece("x") + kUsage, mNow);
    Done(request.mRequestId, "");
  }
  BOOST_TEST(mOutput.RequestsOf(kChat).size() == 2U);
  BOOST_TEST(!mCore->Drained(mNow));
  for (uint32_t seq = 1; seq <= 4; ++seq) {
    wire::CallAckT ack;
    ack.call = Id(seq);
    ack.attempt = 1;
    Receive(kLink, ack);
  }
  BOOST_TEST(mCore->Drained(mNow));
}

// Guards against work accepted under a table that may be outdated.
BOOST_FIXTURE_TEST_CASE(CoreWithoutEntriesForSevenSecondsRefusesAsConfigStale, CoreFixture)
{
  Pass(Millis(6900), false);
  Receive(kLink, Model(1));
  BOOST_TEST(mOutput.RequestsOf(kChat).size() == 1U);
  Pass(Millis(300), false);
  Receive(kLink, Model(2));
  BOOST_TEST(LastOutcome().error == "config_stale");
  BOOST_TEST((LastOutcome().result == CallResult::NotRun));
  Receive(kLink, wire::HeartbeatT());
  Receive(kLink, Model(3));
  BOOST_TEST(mOutput.RequestsOf(kChat).size() == 2U);
}

// Guards against reporting an engine as up whose load polls fail.
BOOST_FIXTURE_TEST_CASE(CoreWhenLoadPollsFailReportsTargetDown, CoreFixture)
{
  Done(mOutput.RequestsOf("/v1/load").at(0).mRequestId,
       R"({"running":3,"queued":1,"queued_tokens":50,"cache_used_tokens":7,)"
       R"("cache_capacity_tokens":100,"age_ms":20})");
  Pass(Millis(200));
  BOOST_REQUIRE(mOutput.mHeartbeat.loads.size() == 2U);
  BOOST_TEST(mOutput.mHeartbeat.loads[0]->up);
  BOOST_TEST(mOutput.mHeartbeat.loads[0]->running == 3U);
  BOOST_TEST(mOutput.mHeartbeat.loads[0]->age_ms == 220U);
  for (size_t poll = 1; poll <= 3; ++poll) {
    Pass(Millis(600));
    Fail(mOutput.RequestsOf("/v1/load").at(poll).mRequestId,
         ErrorKind::TargetRefused,
         SendProgress::NothingSent);
  }
  Pass(Millis(100));
  BOOST_TEST(!mOutput.mHeartbeat.loads[0]->up);
}

}
