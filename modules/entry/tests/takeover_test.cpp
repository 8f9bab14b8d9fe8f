// Change of the owner: claims, superseded owners, seals of undecided intents.
#include "core_fixture.h"

namespace sycamore::entry::testing {

// entry-a owns all partitions. TakeOver starts entry-b with the same sidecars; it gets no frames
// from entry-a and claims the partitions.
struct TakeoverFixture : OwnerFixture
{
  // Starts entry-b and waits until it owns all partitions. If aToolIncarnation is 0, the sidecar of
  // the tool is not connected to it.
  void TakeOver(uint64_t aToolIncarnation)
  {
    mNext = std::make_unique<SimEntry>(mLog, "entry-b", 12, mEntry.mNow);
    mNext->ConfirmTable();
    mNextEngine = mNext->ConnectSidecar("side-e", 71, "llm", "engine");
    if (aToolIncarnation != 0) {
      mNextTool = mNext->ConnectSidecar("side-t", aToolIncarnation, "registry", "tool");
    }
    mNext->AdvanceTime(base::Millis{ 3200 });
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

// Turns that the old owner acknowledged must be in the history of the new owner, or their answers
// are lost.
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

// An owner whose append reaches the log only after the claim of a new owner must not acknowledge
// the turn: readers ignore records with an old epoch, so the turn is not in the history.
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
  mEntry.AdvanceTime(base::Millis{ 100 });
  BOOST_TEST(!mEntry.Owns(0));
  BOOST_TEST(mNext->Ask("GET", "/v1/programs/" + program + "/history")
               .Json()
               .at("turns")
               .as_array()
               .empty());
}

// An owner that was paused may have been superseded meanwhile. It must read the stream before it
// serves again, or it answers from outdated state.
BOOST_AUTO_TEST_CASE(PausedOwnerAfterTakeoverStepsDownBeforeServing)
{
  const std::string program = mEntry.Create();
  RunModel(program, 1, "first");
  TakeOver(72);
  mEntry.AdvanceTimeWithoutTicks(base::Millis{ 10000 });
  const uint64_t request = mEntry.Request("GET", "/v1/programs/" + program + "/history");
  BOOST_TEST(!mEntry.Answer(request).Complete());
  mEntry.AdvanceTime(base::Millis{ 100 });
  BOOST_TEST(!mEntry.Owns(0));
  BOOST_TEST(!mEntry.Owns(1));
}

// If no other entry claimed the partitions during the pause, the paused owner must claim them again
// by itself, or its programs stay unavailable.
BOOST_AUTO_TEST_CASE(PausedOwnerWithoutTakeoverClaimsAgainAndAnswers)
{
  const std::string program = mEntry.Create();
  RunModel(program, 1, "first");
  mEntry.AdvanceTimeWithoutTicks(base::Millis{ 10000 });
  const Received& history = mEntry.Ask("GET", "/v1/programs/" + program + "/history");
  BOOST_TEST(history.mStatus == 200);
  BOOST_TEST(history.Json().at("turns").as_array().size() == 1);
}

// An intent that never reached the sidecar must be reported as not run, but only after the sidecar
// has sealed it. Before that a delayed dispatch of the old owner could still run it.
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
  // The program continues with the next sequence number and a new key.
  mNext->Request("POST", Calls(program), KeyedBody(2, "k2"));
  BOOST_TEST(mNext->Take<wire::DispatchT>(mNextTool).has_value());
}

// If the call of the old owner still runs, the new owner must wait for its outcome and not run it
// again.
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
  mNext->AdvanceTime(base::Millis{ 4000 });
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

// If the sidecar was replaced, nobody knows whether its predecessor ran the call. The call must be
// reported as unknown and must not be sent again.
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

// While the sidecar is unreachable, the outcome of the intent is unknown, and the program must be
// able to continue. Once the sidecar reconnects and seals the intent, the result must become not
// run.
BOOST_AUTO_TEST_CASE(UndecidedIntentOfUnreachableSidecarIsUnknownUntilSealed)
{
  const std::string program = mEntry.Create();
  mEntry.Request("POST", Calls(program), KeyedBody(1, "k"));
  TakeOver(0);
  BOOST_TEST(mNext->Ask("POST", Calls(program), KeyedBody(1, "k")).ErrorCode() ==
             "outcome_unknown");
  mNext->AdvanceTime(base::Millis{ 3200 });
  // Meanwhile the program continues with the next sequence number.
  mNext->Request("POST", Calls(program), ModelBody(2, "go on"));
  BOOST_TEST(mNext->Take<wire::DispatchT>(mNextEngine).has_value());
  mNextTool = mNext->ConnectSidecar("side-t", 72, "registry", "tool");
  const auto seal = mNext->Take<wire::SealT>(mNextTool);
  BOOST_REQUIRE(seal);
  ReplySeal(*seal, wire::CallState::Sealed, 72);
  BOOST_TEST(mNext->Ask("POST", Calls(program), KeyedBody(1, "k")).ErrorCode() == "sealed_not_run");
}

// A new owner does not know how many tokens the calls of the old owner used. It must count the
// whole reservation (4096 tokens) as spent, or the program could exceed its budget.
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
