// Two entries: forwarding, takeover and drain. One entry: checkpoints, history, metrics.
#include "core_fixture.h"

namespace sycamore::entry::testing {

// Two connected entries that share the partitions, each with the same sidecars.
struct PairFixture : OwnerFixture
{
  PairFixture()
  {
    mOther.ConfirmTable();
    mOtherEngine = mOther.ConnectSidecar("side-e", 71, "llm", "engine");
    mOtherTool = mOther.ConnectSidecar("side-t", 72, "registry", "tool");
    mPair.Connect();
    mPair.AdvanceTime(base::Millis{ 1500 });
  }

  SimEntry mOther{ mLog, "entry-b", 12, mEntry.mNow };
  SimPair mPair{ mEntry, mOther };
  transport::LinkId mOtherEngine = 0;
  transport::LinkId mOtherTool = 0;
};

BOOST_FIXTURE_TEST_SUITE(TwoEntries, PairFixture)

// An entry that joins must not claim the partitions of a live owner, which would abort its calls.
BOOST_AUTO_TEST_CASE(EntryThatJoinsDoesNotClaimOwnedPartitions)
{
  mPair.AdvanceTime(base::Millis{ 8000 });
  BOOST_TEST(mEntry.Owns(0));
  BOOST_TEST(mEntry.Owns(1));
  BOOST_TEST(mOther.mHeartbeat.partitions.empty());
  BOOST_TEST(mLog.Fold(0).mEpoch == 1u);
}

// A caller may send a request to any entry. One that does not own the partition must forward it and
// return the owner's answer, also for streams and errors.
BOOST_AUTO_TEST_CASE(RequestsAtOtherEntryAreAnsweredByOwner)
{
  const uint64_t created = mOther.Request(
    "POST", "/v1/programs", R"({"account":"acme","region":"r","budget_tokens":99999})");
  mPair.Deliver();
  BOOST_REQUIRE_MESSAGE(mOther.Answer(created).mStatus == 201, mOther.Answer(created).mBody);
  const std::string program(mOther.Answer(created).Json().at("program").as_string());
  const uint64_t call = mOther.Request("POST", Calls(program), ModelBody(1, "hi", true));
  mPair.Deliver();
  const auto dispatch = mEntry.Take<wire::DispatchT>(mEngine);
  BOOST_REQUIRE(dispatch);
  mEntry.AnswerModel(mEngine, *dispatch, "hello");
  mPair.Deliver();
  const Received& answer = mOther.Answer(call);
  BOOST_TEST(answer.Complete());
  BOOST_TEST(answer.mContentType == "text/event-stream");
  BOOST_TEST(answer.mBody.find("event: done") != std::string::npos);
  const uint64_t wrong = mOther.Request("POST", Calls(program), ModelBody(7, "hi"));
  mPair.Deliver();
  BOOST_TEST(mOther.Answer(wrong).ErrorCode() == "turn_out_of_order");
}

// If the owner is lost while it handles a forwarded request, the caller must not wait for ever, and
// the answer must say that the call may have run without a commit.
BOOST_AUTO_TEST_CASE(ForwardedRequestAfterLostOwnerIsUncommitted)
{
  const std::string program = mEntry.Create();
  const uint64_t call = mOther.Request("POST", Calls(program), ModelBody(1, "hi"));
  mPair.Deliver();
  BOOST_REQUIRE(mEntry.Take<wire::DispatchT>(mEngine).has_value());
  mPair.Disconnect();
  BOOST_TEST(mOther.Answer(call).ErrorCode() == "owner_unavailable");
  BOOST_TEST(mOther.Answer(call).Run() == "uncommitted");
}

// When the owner dies, the other entry claims its partitions after the owner timeout. Requests that
// arrive before the claim must wait for it and not fail.
BOOST_AUTO_TEST_CASE(RequestAfterOwnerDiedWaitsForTakeover)
{
  const std::string program = mEntry.Create();
  RunModel(program, 1, "first");
  mPair.Disconnect();
  const uint64_t call = mOther.Request("POST", Calls(program), ModelBody(2, "next"));
  mOther.AdvanceTime(base::Millis{ 2000 });
  BOOST_TEST(!mOther.Owns(0));
  mOther.AdvanceTime(base::Millis{ 2000 });
  BOOST_TEST(mOther.Owns(0));
  BOOST_TEST(mOther.Owns(1));
  const auto dispatch = mOther.Take<wire::DispatchT>(mOtherEngine);
  BOOST_REQUIRE(dispatch);
  mOther.AnswerModel(mOtherEngine, *dispatch, "yes");
  BOOST_TEST(mOther.Answer(call).mStatus == 200);
}

// A drain must not abort calls: calls in flight finish at the old owner, and new calls run at the
// next owner.
BOOST_AUTO_TEST_CASE(DrainWithCallInFlightFinishesItAndHandsOver)
{
  const std::string program = mEntry.Create();
  const std::string idle = mEntry.Create();
  const uint64_t running = mEntry.Request("POST", Calls(program), ModelBody(1, "hi"));
  const auto dispatch = mEntry.Take<wire::DispatchT>(mEngine);
  BOOST_REQUIRE(dispatch);
  mEntry.Do(DrainRequested{});
  BOOST_TEST(mEntry.Ask("GET", "/readyz").mStatus == 503);
  mPair.AdvanceTime(base::Millis{ 1000 });
  BOOST_TEST(!mEntry.mCore->Drained());
  const uint64_t late = mEntry.Request("POST", Calls(program), ModelBody(1, "hi"));
  const uint64_t waiting = mEntry.Request("POST", Calls(idle), ModelBody(1, "elsewhere"));
  mEntry.AnswerModel(mEngine, *dispatch, "yes");
  BOOST_TEST(mEntry.Answer(running).mStatus == 200);
  BOOST_TEST(mEntry.Answer(late).mStatus == 200);
  mPair.AdvanceTime(base::Millis{ 4000 });
  BOOST_TEST(mOther.Owns(0));
  BOOST_TEST(mOther.Owns(1));
  const auto moved = mOther.Take<wire::DispatchT>(mOtherEngine);
  BOOST_REQUIRE(moved);
  BOOST_TEST(moved->body.find("elsewhere") != std::string::npos);
  BOOST_TEST(!mEntry.mCore->Drained());
  mOther.AnswerModel(mOtherEngine, *moved, "done");
  mPair.Deliver();
  BOOST_TEST(mEntry.Answer(waiting).mStatus == 200);
  mPair.AdvanceTime(base::Millis{ 500 });
  BOOST_TEST(mEntry.mCore->Drained());
}

// With no other entry to take over, a drain must release the partitions in the log and finish, so
// that the next entry can claim them at once.
BOOST_AUTO_TEST_CASE(DrainOfEntryAloneReleasesItsPartitions)
{
  mPair.Disconnect();
  mEntry.Do(DrainRequested{});
  mEntry.AdvanceTime(base::Millis{ 200 });
  BOOST_TEST(mEntry.mCore->Drained());
  BOOST_TEST(mLog.Fold(0).mOwner.empty());
}

// While the log is down no release can be recorded. The drain must then finish after 5 s and not
// wait for the log.
BOOST_AUTO_TEST_CASE(DrainWithoutLogFinishesAfterTimeout)
{
  mPair.Disconnect();
  mLog.mDown = true;
  mEntry.Do(DrainRequested{});
  mEntry.AdvanceTime(base::Millis{ 4000 });
  BOOST_TEST(!mEntry.mCore->Drained());
  mEntry.AdvanceTime(base::Millis{ 1500 });
  BOOST_TEST(mEntry.mCore->Drained());
}

// Of two entries only the one with the lower name dials. If both did, their two connections would
// supersede each other without end.
BOOST_AUTO_TEST_CASE(InstanceListDialsSidecarsAndLaterEntriesOnly)
{
  mEntry.Do(InstancesRead{ std::vector<world::Instance>{
    { "entry-0", "entry", "lahore-a", "d", "127.0.0.1:10", world::InstanceState::Live },
    { "entry-z", "entry", "lahore-a", "d", "127.0.0.1:11", world::InstanceState::Live },
    { "side-1", "sidecar", "lahore-a", "d", "127.0.0.1:12", world::InstanceState::Live } } });
  BOOST_REQUIRE(mEntry.mDialled.size() == 2);
  BOOST_TEST(mEntry.mDialled[0].mPort == 11);
  BOOST_TEST(mEntry.mDialled[1].mPort == 12);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(Durability, OwnerFixture)

// The log drops records older than the retention period. Without a checkpoint well before that, the
// records of live programs would be lost.
BOOST_AUTO_TEST_CASE(CheckpointIsWrittenWithinQuarterOfRetention)
{
  mEntry.mSettings.mRetention = base::Millis{ 40000 };
  const std::string program = mEntry.Create();
  mEntry.AdvanceTime(base::Millis{ 10100 });
  BOOST_REQUIRE(!mEntry.mCheckpoints.empty());
  const uint32_t partition = mEntry.mCheckpoints.begin()->first;
  BOOST_TEST(mLog.Fold(partition).mCheckpointOffset == mEntry.mCheckpoints[partition]);
}

// The log drops turns older than the retention period, and a live program would lose its history.
// Turns older than half of the period must be appended again.
BOOST_AUTO_TEST_CASE(OldTurnsOfLiveProgramAreRewritten)
{
  mEntry.mSettings.mRetention = base::Millis{ 40000 };
  const std::string program = mEntry.Create();
  RunModel(program, 1, "first");
  mEntry.Request("POST", Calls(program), KeyedBody(2, "k"));
  const auto dispatch = mEntry.Take<wire::DispatchT>(mTool);
  mEntry.AnswerTool(mTool, *dispatch, "{}");
  const uint32_t partition = program[0] == '0' ? 0 : 1;
  const uint64_t before = mLog.Fold(partition).mNextOffset;
  mEntry.AdvanceTime(base::Millis{ 25000 });
  const ledger::PartitionState state = mLog.Fold(partition);
  const ledger::ProgramState& folded = state.mPrograms.begin()->second;
  BOOST_REQUIRE(folded.mTurns.size() == 2);
  BOOST_TEST(folded.mTurns[0].mOffset >= before);
  BOOST_TEST(folded.mTurns[1].mOffset >= before);
  const auto turns =
    mEntry.Ask("GET", "/v1/programs/" + program + "/history").Json().at("turns").as_array();
  BOOST_REQUIRE(turns.size() == 2);
  BOOST_TEST(turns[1].at("request").at("key").as_string() == "k");
}

// Turns evicted from the bounded history cache must be read from the log, or the history would be
// incomplete.
BOOST_AUTO_TEST_CASE(HistoryBeyondCacheIsReadFromLog)
{
  mEntry.mSettings.mHistoryCacheBytes = 300;
  const std::string program = mEntry.Create();
  for (uint32_t seq = 1; seq <= 30; ++seq) {
    BOOST_REQUIRE(RunModel(program, seq, fmt::format("question{}", seq)).mStatus == 200);
  }
  const auto turns =
    mEntry.Ask("GET", "/v1/programs/" + program + "/history").Json().at("turns").as_array();
  BOOST_REQUIRE(turns.size() == 30);
  BOOST_TEST(turns[0].at("answer").at("content").as_string() == "answer to question1");
  BOOST_TEST(turns[29].at("answer").at("content").as_string() == "answer to question30");
}

// The sidecar releases the engine memory of a program whose lease expires, so the entry must renew
// the lease of a live program.
BOOST_AUTO_TEST_CASE(LiveProgramIsHeldAtItsEngine)
{
  const std::string program = mEntry.Create();
  RunModel(program, 1, "x");
  mEntry.AdvanceTime(base::Millis{ 20100 });
  const auto hold = mEntry.Take<wire::HoldT>(mEngine);
  BOOST_REQUIRE(hold);
  BOOST_TEST(hold->programs.size() == 1);
  BOOST_TEST(hold->lease_ms == 60000u);
}

// Operators read the state of a running call from the dump and the metrics. Wrong counts there
// would mislead them.
BOOST_AUTO_TEST_CASE(DumpAndMetricsDuringCallReportItsState)
{
  const std::string program = mEntry.Create();
  mEntry.Request("POST", Calls(program), ModelBody(1, "x"));
  const auto dump = mEntry.Ask("GET", "/dump").Json();
  BOOST_TEST(dump.at("calls_in_progress").as_int64() == 1);
  BOOST_TEST(dump.at("partitions").at(0).at("phase").as_string() == "owned");
  const std::string& metrics = mEntry.Ask("GET", "/metrics").mBody;
  BOOST_TEST(metrics.find("sycamore_entry_programs_created_total 1") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}
