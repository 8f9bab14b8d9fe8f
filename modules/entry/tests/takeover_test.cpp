// Change of owner: claims, superseded owners, seals.
#include "core_fixture.h"

namespace sycamore::entry::testing {

// entry-a owned everything and died; entry-b takes over with the same sidecars.
struct TakeoverFixture : OwnerFixture
{
  // aToolIncarnation 0: the tool's sidecar is not connected to the new owner.
  void TakeOver(uint64_t aToolIncarnation)
  {
    mNext = std::make_unique<SimEntry>(mLog, "entry-b", 12, mEntry.mNow);
    mNext->GiveTable();
    mNextEngine = mNext->ConnectSidecar("side-e", 71, "llm", "engine");
    if (aToolIncarnation != 0) {
      mNextTool = mNext->ConnectSidecar("side-t", aToolIncarnation, "registry", "tool");
    }
    mNext->Pass(base::Millis{ 3200 });
    BOOST_REQUIRE(mNext->Owns(0));
    BOOST_REQUIRE(mNext->Owns(1));
  }

  void ReplySeal(const wire::SealT& aSeal, wire::CallState aState, uint64_t aIncarnation)
  {
    wire::SealReplyT reply;
    reply.call = std::make_unique<wire::CallIdT>(*aSeal.call);
    reply.epoch = aSeal.epoch;
    reply.state = aState;
    reply.incarnation = aIncarnation;
    mNext->Frame(mNextTool, wire::MakeFrame(std::move(reply)));
  }

  std::unique_ptr<SimEntry> mNext;
  transport::LinkId mNextEngine = 0;
  transport::LinkId mNextTool = 0;
};

BOOST_FIXTURE_TEST_SUITE(Takeover, TakeoverFixture)

// Acknowledged history must survive the owner.
BOOST_AUTO_TEST_CASE(NewOwnerAfterCommittedTurnsServesWholeHistory)
{
  const std::string program = mEntry.Create();
  RunModel(program, 1, "first");
  RunModel(program, 2, "second");
  TakeOver(72);
  mNext->Request("POST", Calls(program), ModelBody(3, "third"));
  const auto dispatch = mNext->Take<wire::DispatchT>(mNextEngine);
  BOOST_REQUIRE(dispatch);
  BOOST_TEST(dispatch->epoch == 2u);
  BOOST_TEST(dispatch->body.find("answer to first") != std::string::npos);
  BOOST_TEST(dispatch->body.find("answer to second") < dispatch->body.find("third"));
}

// A superseded owner must not answer from records that every reader ignores.
BOOST_AUTO_TEST_CASE(SupersededOwnerAfterResumingDoesNotAcknowledge)
{
  const std::string program = mEntry.Create();
  const uint64_t request = mEntry.Request("POST", Calls(program), ModelBody(1, "hi"));
  const auto dispatch = mEntry.Take<wire::DispatchT>(mEngine);
  BOOST_REQUIRE(dispatch);
  mEntry.mHoldLog = true;
  mEntry.AnswerModel(mEngine, *dispatch, "late");
  TakeOver(72);
  mEntry.mHoldLog = false;
  mEntry.Settle();
  const Received& answer = mEntry.Answer(request);
  BOOST_TEST(answer.mStatus == 503);
  BOOST_TEST(answer.Run() == "uncommitted");
  mEntry.Pass(base::Millis{ 100 });
  BOOST_TEST(!mEntry.Owns(0));
  BOOST_TEST(mNext->Ask("GET", "/v1/programs/" + program + "/history")
               .Json()
               .at("turns")
               .as_array()
               .empty());
}

// A paused owner must read the stream before it serves again.
BOOST_AUTO_TEST_CASE(PausedOwnerAfterTakeoverStepsDownBeforeServing)
{
  const std::string program = mEntry.Create();
  RunModel(program, 1, "first");
  TakeOver(72);
  mEntry.Jump(base::Millis{ 10000 });
  const uint64_t request = mEntry.Request("GET", "/v1/programs/" + program + "/history");
  BOOST_TEST(!mEntry.Answer(request).Complete());
  mEntry.Pass(base::Millis{ 100 });
  BOOST_TEST(!mEntry.Owns(0));
  BOOST_TEST(!mEntry.Owns(1));
}

// Without a rival, a paused owner must come back by itself.
BOOST_AUTO_TEST_CASE(PausedOwnerWithoutRivalClaimsAgainAndAnswers)
{
  const std::string program = mEntry.Create();
  RunModel(program, 1, "first");
  mEntry.Jump(base::Millis{ 10000 });
  const Received& history = mEntry.Ask("GET", "/v1/programs/" + program + "/history");
  BOOST_TEST(history.mStatus == 200);
  BOOST_TEST(history.Json().at("turns").as_array().size() == 1);
}

// An intent that never reached the sidecar must be answered as not run, and only after the seal.
BOOST_AUTO_TEST_CASE(UndecidedIntentAfterSealIsNotRun)
{
  const std::string program = mEntry.Create();
  mEntry.Request("POST", Calls(program), KeyedBody(1, "k"));
  TakeOver(72);
  const uint64_t request = mNext->Request("POST", Calls(program), KeyedBody(1, "k"));
  BOOST_TEST(!mNext->Answer(request).Complete());
  const auto seal = mNext->Take<wire::SealT>(mNextTool);
  BOOST_REQUIRE(seal);
  BOOST_TEST(seal->epoch == 2u);
  BOOST_TEST(seal->sidecar_incarnation == 72u);
  ReplySeal(*seal, wire::CallState::Sealed, 72);
  const Received& answer = mNext->Answer(request);
  BOOST_TEST(answer.ErrorCode() == "sealed_not_run");
  BOOST_TEST(answer.Run() == "not_run");
  BOOST_TEST(!mNext->Take<wire::DispatchT>(mNextTool).has_value());
  // The chain goes on with a new number and key.
  mNext->Request("POST", Calls(program), KeyedBody(2, "k2"));
  BOOST_TEST(mNext->Take<wire::DispatchT>(mNextTool).has_value());
}

// A call that still runs must be waited for, not repeated.
BOOST_AUTO_TEST_CASE(UndecidedIntentThatRunsIsAnsweredByItsOutcome)
{
  const std::string program = mEntry.Create();
  mEntry.Request("POST", Calls(program), KeyedBody(1, "k"));
  const auto dispatch = mEntry.Take<wire::DispatchT>(mTool);
  BOOST_REQUIRE(dispatch);
  TakeOver(72);
  const uint64_t request = mNext->Request("POST", Calls(program), KeyedBody(1, "k"));
  const auto seal = mNext->Take<wire::SealT>(mNextTool);
  BOOST_REQUIRE(seal);
  ReplySeal(*seal, wire::CallState::Running, 72);
  mNext->Pass(base::Millis{ 4000 });
  BOOST_TEST(!mNext->Answer(request).Complete());
  mNext->AnswerTool(mNextTool, *dispatch, R"({"booked":1})");
  const Received& answer = mNext->Answer(request);
  BOOST_TEST(answer.mStatus == 200);
  BOOST_TEST(mNext->Take<wire::CallAckT>(mNextTool).has_value());
  const auto history = mNext->Ask("GET", "/v1/programs/" + program + "/history").Json();
  const auto& turn = history.at("turns").at(0);
  BOOST_TEST(turn.at("request").at("key").as_string() == "k");
  BOOST_TEST(turn.at("answer").at("booked").as_int64() == 1);
}

// If the sidecar that may have run the call is gone, nothing can be known.
BOOST_AUTO_TEST_CASE(UndecidedIntentOfReplacedSidecarIsUnknown)
{
  const std::string program = mEntry.Create();
  mEntry.Request("POST", Calls(program), KeyedBody(1, "k"));
  TakeOver(99);
  const Received& answer = mNext->Ask("POST", Calls(program), KeyedBody(1, "k"));
  BOOST_TEST(answer.ErrorCode() == "outcome_unknown");
  BOOST_TEST(answer.Run() == "unknown");
  BOOST_TEST(!mNext->Take<wire::DispatchT>(mNextTool).has_value());
}

// While the sidecar is unreachable the answer is unknown; a later seal gives the better one.
BOOST_AUTO_TEST_CASE(UndecidedIntentOfUnreachableSidecarIsUnknownAndLaterRefined)
{
  const std::string program = mEntry.Create();
  mEntry.Request("POST", Calls(program), KeyedBody(1, "k"));
  TakeOver(0);
  BOOST_TEST(mNext->Ask("POST", Calls(program), KeyedBody(1, "k")).ErrorCode() ==
             "outcome_unknown");
  mNext->Pass(base::Millis{ 3200 });
  // The chain goes on in the meantime.
  mNext->Request("POST", Calls(program), ModelBody(2, "go on"));
  BOOST_TEST(mNext->Take<wire::DispatchT>(mNextEngine).has_value());
  mNextTool = mNext->ConnectSidecar("side-t", 72, "registry", "tool");
  const auto seal = mNext->Take<wire::SealT>(mNextTool);
  BOOST_REQUIRE(seal);
  ReplySeal(*seal, wire::CallState::Sealed, 72);
  BOOST_TEST(mNext->Ask("POST", Calls(program), KeyedBody(1, "k")).ErrorCode() == "sealed_not_run");
}

// The reservation of a call that the dead owner had dispatched counts as spent.
BOOST_AUTO_TEST_CASE(ReservationAfterTakeoverCountsAsSpent)
{
  const std::string program = mEntry.Create(4200);
  mEntry.Request("POST", Calls(program), ModelBody(1, "hi"));
  BOOST_REQUIRE(mEntry.Take<wire::DispatchT>(mEngine).has_value());
  TakeOver(72);
  mNext->Request("POST", Calls(program), ModelBody(1, "hi"));
  const auto dispatch = mNext->Take<wire::DispatchT>(mNextEngine);
  BOOST_REQUIRE(dispatch);
  mNext->AnswerModel(mNextEngine, *dispatch, "yes");
  const auto state = mNext->Ask("GET", "/v1/programs/" + program).Json();
  BOOST_TEST(state.at("budget").at("spent").as_int64() == 4096 + 22);
}

BOOST_AUTO_TEST_SUITE_END()

}
